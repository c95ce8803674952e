use cuminarch_platform::TokenBucket;
use cuminarch_types::{MonoTime, RatePerSecond};

/// Rate limits of a store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Writes and deletions.
    pub writes: RatePerSecond,
    /// Reads of objects, listings and watches.
    pub reads: RatePerSecond,
}

impl StoreLimits {
    /// Returns the limits of the users' platform.
    #[must_use]
    pub const fn platform_limits() -> Self {
        Self { writes: RatePerSecond::new(500.0), reads: RatePerSecond::new(2_000.0) }
    }
}

/// Enforces [`StoreLimits`].
#[derive(Debug)]
pub struct RateLimiter {
    writes: TokenBucket,
    reads: TokenBucket,
}

impl RateLimiter {
    /// Creates a limiter with full buckets that allow bursts of a tenth of a second's calls.
    pub fn new(limits: StoreLimits, now: MonoTime) -> Self {
        let bucket = |rate: RatePerSecond| TokenBucket::new(rate, (rate.get() / 10.0) as u32, now);
        Self { writes: bucket(limits.writes), reads: bucket(limits.reads) }
    }

    /// Returns `true` if a write is admitted.
    pub fn admit_write(&mut self, now: MonoTime) -> bool {
        self.writes.try_take(now)
    }

    /// Returns `true` if another call is admitted.
    pub fn admit_read(&mut self, now: MonoTime) -> bool {
        self.reads.try_take(now)
    }
}
