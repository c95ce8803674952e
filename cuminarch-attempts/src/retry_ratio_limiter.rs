/// Bounds the retries towards one service to a fraction of first attempts with a token bucket, so
/// that retries fade out when many calls fail at the same time.
#[derive(Clone, Debug)]
pub struct RetryRatioLimiter {
    tokens_milli: u64,
}

impl RetryRatioLimiter {
    const CAPACITY_MILLI: u64 = 10_000;
    const RETRY_COST_MILLI: u64 = 1_000;

    /// Creates a full bucket.
    #[must_use]
    pub const fn new() -> Self {
        Self { tokens_milli: Self::CAPACITY_MILLI }
    }

    /// Records a first attempt, which earns `retry_percent` hundredths of a retry.
    pub fn record_first_attempt(&mut self, retry_percent: u32) {
        let earned_milli = u64::from(retry_percent) * Self::RETRY_COST_MILLI / 100;
        self.tokens_milli = (self.tokens_milli + earned_milli).min(Self::CAPACITY_MILLI);
    }

    /// Takes the token for one retry and returns `true` if one is available.
    #[must_use]
    pub fn try_retry(&mut self) -> bool {
        if self.tokens_milli < Self::RETRY_COST_MILLI {
            return false;
        }
        self.tokens_milli -= Self::RETRY_COST_MILLI;
        true
    }
}

impl Default for RetryRatioLimiter {
    fn default() -> Self {
        Self::new()
    }
}
