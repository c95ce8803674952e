use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Exponential backoff with jitter, so that callers which failed at the same time do not retry at
/// the same time.
///
/// A delay is drawn uniformly between half the current ceiling and the ceiling.
///
/// ```
/// use std::time::Duration;
/// use cuminarch_platform::Backoff;
///
/// let mut backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5), 7);
/// let first = backoff.next_delay();
/// assert!(first >= Duration::from_millis(50) && first <= Duration::from_millis(100));
/// assert!(backoff.next_delay() >= Duration::from_millis(100));
/// ```
#[derive(Clone, Debug)]
pub struct Backoff {
    initial_delay: Duration,
    max_delay: Duration,
    ceiling: Duration,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff whose ceiling grows from `initial_delay` to `max_delay`; `seed` seeds the
    /// jitter.
    #[must_use]
    pub fn new(initial_delay: Duration, max_delay: Duration, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { initial_delay, max_delay, ceiling: initial_delay.min(max_delay), random }
    }

    /// Returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let ceiling = self.ceiling;
        self.ceiling = ceiling.saturating_mul(2).min(self.max_delay);
        let ceiling_us = u64::try_from(ceiling.as_micros()).unwrap_or(u64::MAX);
        let delay_us = self.random.random_range(ceiling_us / 2..=ceiling_us);
        Duration::from_micros(delay_us)
    }

    /// Resets the ceiling after a success.
    pub const fn reset(&mut self) {
        self.ceiling = if self.initial_delay.as_nanos() < self.max_delay.as_nanos() {
            self.initial_delay
        } else {
            self.max_delay
        };
    }
}
