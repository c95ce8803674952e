use std::time::Instant;

use cuminarch_types::MonoTime;

/// Monotonic clock of a process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        Self { origin: Instant::now() }
    }

    /// The present reading.
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO.after(self.origin.elapsed())
    }

    /// The system's reading for `time`.
    pub fn instant(&self, time: MonoTime) -> Instant {
        self.origin + time.since(MonoTime::ZERO)
    }
}
