use cuminarch_platform::TokenBucket;
use cuminarch_types::{MonoTime, RatePerSecond};

/// Rates that the platform allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Objects written and removed.
    pub writes: RatePerSecond,
    /// Objects read, listings and watches.
    pub reads: RatePerSecond,
}

impl StoreLimits {
    /// The rates of the users' platform.
    #[must_use]
    pub const fn platform_limits() -> Self {
        Self { writes: RatePerSecond::new(500.0), reads: RatePerSecond::new(2_000.0) }
    }
}

/// The rates with what is used of them.
#[derive(Debug)]
pub struct RateLimiter {
    writes: TokenBucket,
    reads: TokenBucket,
}

impl RateLimiter {
    /// Nothing used; a tenth of a second's calls may come at once.
    pub fn new(limits: StoreLimits, now: MonoTime) -> Self {
        let bucket = |rate: RatePerSecond| TokenBucket::new(rate, (rate.get() / 10.0) as u32, now);
        Self { writes: bucket(limits.writes), reads: bucket(limits.reads) }
    }

    /// Whether a write may pass.
    pub fn admit_write(&mut self, now: MonoTime) -> bool {
        self.writes.try_take(now)
    }

    /// Whether another call may pass.
    pub fn admit_read(&mut self, now: MonoTime) -> bool {
        self.reads.try_take(now)
    }
}
