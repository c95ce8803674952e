use std::time::{Duration, Instant};

use cuminarch_types::MonoTime;
use rustix::time::{ClockId, clock_gettime};

/// Clock of a process that also runs while its host is suspended, so that
/// beliefs, leases and requests are as old as they are.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn new() -> Self {
        Self { origin: since_boot() }
    }

    /// The present reading.
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO.after(since_boot().saturating_sub(self.origin))
    }

    /// The system's reading for `time`, unless the host is suspended meanwhile.
    pub fn to_instant(&self, time: MonoTime) -> Instant {
        Instant::now() + time.since(self.now())
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
