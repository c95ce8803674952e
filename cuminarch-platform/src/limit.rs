use cuminarch_types::{MonoTime, RatePerSecond};

/// Token bucket: in any period, it admits at most the burst plus the rate times the period.
///
/// ```
/// use cuminarch_platform::TokenBucket;
/// use cuminarch_types::{MonoTime, RatePerSecond};
///
/// let mut bucket = TokenBucket::new(RatePerSecond::new(2.0), 1, MonoTime::ZERO);
/// assert!(bucket.try_take(MonoTime::ZERO));
/// assert!(!bucket.try_take(MonoTime::from_millis(499)));
/// assert!(bucket.try_take(MonoTime::from_millis(500)));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Time to refill one token, in microseconds.
    token_us: u64,
    /// Capacity as refill time, in microseconds.
    burst_us: u64,
    /// Available tokens as refill time, in microseconds.
    available_us: u64,
    updated_at: MonoTime,
}

impl TokenBucket {
    /// Creates a full bucket. A rate of zero admits only the burst.
    #[must_use]
    pub fn new(rate: RatePerSecond, burst: u32, now: MonoTime) -> Self {
        let token_us = (1_000_000.0 / rate.get()).ceil().clamp(1.0, 1e15) as u64;
        let burst_us = token_us.saturating_mul(u64::from(burst.max(1)));
        Self { token_us, burst_us, available_us: burst_us, updated_at: now }
    }

    /// Takes a token. Returns `false` if there is none.
    pub fn try_take(&mut self, now: MonoTime) -> bool {
        let elapsed_us = u64::try_from(now.since(self.updated_at).as_micros()).unwrap_or(u64::MAX);
        self.updated_at = self.updated_at.max(now);
        self.available_us = self.available_us.saturating_add(elapsed_us).min(self.burst_us);
        let is_taken = self.available_us >= self.token_us;
        if is_taken {
            self.available_us -= self.token_us;
        }
        is_taken
    }
}
