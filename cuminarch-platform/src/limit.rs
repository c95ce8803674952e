use cuminarch_types::{MonoTime, RatePerSecond};

/// Token bucket: within any span of time no more calls pass than the burst plus
/// the rate times the span.
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
    /// Microseconds that one token takes to come.
    token_us: u64,
    /// Most tokens held, in microseconds.
    burst_us: u64,
    /// Tokens held, in microseconds.
    available_us: u64,
    updated_at: MonoTime,
}

impl TokenBucket {
    /// A full bucket. A rate of zero lets just the burst through.
    #[must_use]
    pub fn new(rate: RatePerSecond, burst: u32, now: MonoTime) -> Self {
        let token_us = (1_000_000.0 / rate.get()).ceil().clamp(1.0, 1e15) as u64;
        let burst_us = token_us.saturating_mul(u64::from(burst.max(1)));
        Self { token_us, burst_us, available_us: burst_us, updated_at: now }
    }

    /// Takes a token if there is one.
    pub fn try_take(&mut self, now: MonoTime) -> bool {
        let since_us = u64::try_from(now.since(self.updated_at).as_micros()).unwrap_or(u64::MAX);
        self.updated_at = self.updated_at.max(now);
        self.available_us = self.available_us.saturating_add(since_us).min(self.burst_us);
        let is_taken = self.available_us >= self.token_us;
        if is_taken {
            self.available_us -= self.token_us;
        }
        is_taken
    }
}
