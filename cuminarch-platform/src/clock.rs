use std::fmt;
use std::thread;
use std::time::{Duration, Instant};

use cuminarch_types::MonoTime;

/// A monotonic clock that can sleep; tests use a virtual one.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the current time.
    fn now(&self) -> MonoTime;

    /// Blocks the thread for `duration`.
    fn sleep(&self, duration: Duration);
}

/// The monotonic clock of the machine, with its creation as the origin.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose origin is now.
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

    fn sleep(&self, duration: Duration) {
        thread::sleep(duration);
    }
}
