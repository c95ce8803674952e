use std::time::{Duration, Instant};

use cuminarch_types::MonoTime;
use rustix::time::{ClockId, clock_gettime};

/// Clock that also advances while its host is suspended, because the ages of suspicions, leases and
/// requests include that time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Creates a clock whose origin is now.
    pub fn new() -> Self {
        Self { origin: since_boot() }
    }

    /// Returns the current time.
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO.after(since_boot().saturating_sub(self.origin))
    }

    /// Converts `time` to an `Instant`; the result is late if the host is suspended in the
    /// meantime.
    pub fn to_instant(self, time: MonoTime) -> Instant {
        Instant::now() + time.since(self.now())
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
