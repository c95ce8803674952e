//! Threads of a node, none of which may end unnoticed.

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
    /// Its thread runs.
    Running,
    /// Its thread ended as the node was told to stop.
    Ended,
    /// Its thread ended unexpectedly.
    Failed {
        /// What is known of the cause.
        reason: CompactString,
    },
}

/// A duty that ended unexpectedly; the node can't go on without it.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the {duty} duty ended unexpectedly: {reason}")]
pub struct DutyError {
    /// The duty.
    pub duty: &'static str,
    /// What is known of the cause.
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

    /// No duties yet, and where faults of later ones are reported.
    pub fn new() -> (Self, Receiver<DutyError>) {
        let (faults, receiver) = flume::bounded(Self::ERROR_RING_CAPACITY);
        let duties =
            Self { states: Arc::default(), duty_errors: faults, is_stopping: Arc::default() };
        (duties, receiver)
    }

    /// Starts the thread of a duty.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be had.
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

    /// From now on duties are expected to end.
    pub fn begin_shutdown(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// State of each duty.
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
