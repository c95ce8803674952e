//! Threads of a node. A thread that ends unexpectedly is reported.

use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};

use compact_str::CompactString;
use flume::{Receiver, Sender};
use log::error;
use serde::Serialize;
use thiserror::Error;

use crate::NodeError;
use crate::event::NodeEvent;

/// State of one duty.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum DutyState {
    /// The thread runs.
    Running,
    /// The thread ended because the node stops.
    Ended,
    /// The thread ended unexpectedly.
    Failed {
        /// Panic message, or that the thread returned.
        reason: CompactString,
    },
}

/// Error of a duty that ended unexpectedly; the node cannot continue without it.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the {duty} duty ended unexpectedly: {reason}")]
pub struct DutyError {
    /// Name of the duty.
    pub duty: &'static str,
    /// Panic message, or that the thread returned.
    pub reason: CompactString,
}

/// The duties of one node.
#[derive(Clone, Debug)]
pub struct Duties {
    states: Arc<Mutex<BTreeMap<&'static str, DutyState>>>,
    duty_errors: Sender<DutyError>,
    is_stopping: Arc<AtomicBool>,
}

impl Duties {
    const ERROR_RING_CAPACITY: usize = 16;

    /// Creates an empty set of duties, and the receiver of their errors.
    pub fn new() -> (Self, Receiver<DutyError>) {
        let (duty_errors, receiver) = flume::bounded(Self::ERROR_RING_CAPACITY);
        let duties = Self { states: Arc::default(), duty_errors, is_stopping: Arc::default() };
        (duties, receiver)
    }

    /// Starts the thread of a duty.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn spawn(
        &self,
        duty: &'static str,
        work: impl FnOnce() + Send + 'static,
    ) -> Result<JoinHandle<()>, NodeError> {
        let duties = self.clone();
        self.lock().insert(duty, DutyState::Running);
        thread::Builder::new()
            .name(duty.to_owned())
            .spawn(move || {
                let result = catch_unwind(AssertUnwindSafe(work));
                duties.record_end(duty, result.err().map(|panic| panic_message(&*panic)));
            })
            .map_err(|source| NodeError::Thread { duty, source })
    }

    /// Declares that duties are expected to end from now on.
    pub fn begin_shutdown(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Returns the state of each duty.
    pub fn states(&self) -> BTreeMap<&'static str, DutyState> {
        self.lock().clone()
    }

    fn record_end(&self, duty: &'static str, panic: Option<CompactString>) {
        if panic.is_none() && self.is_stopping.load(Ordering::SeqCst) {
            self.lock().insert(duty, DutyState::Ended);
            return;
        }
        let reason = panic.unwrap_or_else(|| "it returned".into());
        error!("{} duty={duty}: {reason}", NodeEvent::DutyEnded);
        self.lock().insert(duty, DutyState::Failed { reason: reason.clone() });
        let _ = self.duty_errors.try_send(DutyError { duty, reason });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<&'static str, DutyState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> CompactString {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("it panicked").into()
}

#[cfg(test)]
mod tests;
