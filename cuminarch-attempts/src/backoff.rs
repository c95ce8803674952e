use std::time::Duration;

/// Exponential retry backoff with full jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
}

impl Backoff {
    /// Creates a backoff with delays below `base` for the first retry, doubling with each retry up
    /// to `cap`.
    #[must_use]
    pub const fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap }
    }

    /// Returns the delay before retry number `retry` (from 0); `random` is uniform over all values.
    #[must_use]
    pub fn delay(&self, retry: u32, random: u32) -> Duration {
        let factor = 1_u32.checked_shl(retry.min(16)).unwrap_or(u32::MAX);
        let ceiling = self.base.saturating_mul(factor).min(self.cap);
        ceiling.mul_f64(f64::from(random) / f64::from(u32::MAX))
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new(Duration::from_millis(10), Duration::from_millis(500))
    }
}
