/// Bounds retries towards one service to a share of first attempts, as a
/// token bucket, so that retries fade when many calls fail at once.
#[derive(Clone, Debug)]
pub struct RetryRatioLimiter {
    tokens_milli: u64,
}

impl RetryRatioLimiter {
    const CAPACITY_MILLI: u64 = 10_000;
    const RETRY_COST_MILLI: u64 = 1_000;

    /// A full bucket.
    #[must_use]
    pub const fn new() -> Self {
        Self { tokens_milli: Self::CAPACITY_MILLI }
    }

    /// Notes a first attempt; `retry_percent` retries per hundred are earned.
    pub fn record_first_attempt(&mut self, retry_percent: u32) {
        let earned_milli = u64::from(retry_percent) * Self::RETRY_COST_MILLI / 100;
        self.tokens_milli = (self.tokens_milli + earned_milli).min(Self::CAPACITY_MILLI);
    }

    /// Takes the token for one retry, if there is one.
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
