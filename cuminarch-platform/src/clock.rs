use std::fmt;
use std::thread;
use std::time::{Duration, Instant};

use cuminarch_types::MonoTime;

/// Monotonic time and the means to wait, replaced by tests.
pub trait Clock: fmt::Debug + Send + Sync {
    /// The present reading.
    fn now(&self) -> MonoTime;

    /// Waits.
    fn sleep(&self, span: Duration);
}

/// The monotonic clock of the machine, counted from its creation.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// A clock that begins now.
    #[must_use]
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> MonoTime {
        MonoTime::ZERO.after(self.origin.elapsed())
    }

    fn sleep(&self, span: Duration) {
        thread::sleep(span);
    }
}
