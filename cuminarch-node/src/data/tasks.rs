//! Spawns the tasks of the data thread and reports their panics.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;

use futures_util::FutureExt;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

type Panic = Box<dyn Any + Send>;

/// Spawns tasks and collects their panics.
#[derive(Clone)]
pub struct Tasks {
    panics: mpsc::UnboundedSender<Panic>,
}

/// Receiver of task panics.
pub struct TaskPanics {
    panics: mpsc::UnboundedReceiver<Panic>,
}

impl Tasks {
    /// Creates a spawner and the receiver of its tasks' panics.
    pub fn new() -> (Self, TaskPanics) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { panics: sender }, TaskPanics { panics: receiver })
    }

    /// Spawns a task on this thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.start(task);
    }

    /// Spawns a task on this thread that is aborted when its guard is dropped.
    pub fn spawn_guarded(&self, task: impl Future<Output = ()> + 'static) -> TaskGuard {
        TaskGuard { handle: self.start(task) }
    }

    fn start(&self, task: impl Future<Output = ()> + 'static) -> AbortHandle {
        let panics = self.panics.clone();
        let supervised = async move {
            if let Err(panic) = AssertUnwindSafe(task).catch_unwind().await {
                let _ = panics.send(panic);
            }
        };
        tokio::task::spawn_local(supervised).abort_handle()
    }
}

/// Aborts its task on drop.
#[derive(Debug)]
pub struct TaskGuard {
    handle: AbortHandle,
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.handle.abort();
    }
}

impl TaskPanics {
    /// Waits for the next panic of a task.
    pub async fn next(&mut self) -> Panic {
        match self.panics.recv().await {
            Some(panic) => panic,
            None => std::future::pending().await,
        }
    }
}

#[cfg(test)]
mod tests;
