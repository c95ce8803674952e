use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Delays between tries that grow exponentially and are spread at random, so
/// that callers which failed together do not return together.
///
/// A delay is drawn evenly from half of the present ceiling up to the ceiling.
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
    /// Delays from `first` to `longest`, drawn from the given seed.
    #[must_use]
    pub fn new(first: Duration, longest: Duration, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { initial_delay: first, max_delay: longest, ceiling: first.min(longest), random }
    }

    /// The delay before the next try.
    pub fn next_delay(&mut self) -> Duration {
        let ceiling = self.ceiling;
        self.ceiling = ceiling.saturating_mul(2).min(self.max_delay);
        let ceiling_us = u64::try_from(ceiling.as_micros()).unwrap_or(u64::MAX);
        let delay_us = self.random.random_range(ceiling_us / 2..=ceiling_us);
        Duration::from_micros(delay_us)
    }

    /// Begins anew after a success.
    pub const fn reset(&mut self) {
        self.ceiling = if self.initial_delay.as_nanos() < self.max_delay.as_nanos() {
            self.initial_delay
        } else {
            self.max_delay
        };
    }
}
