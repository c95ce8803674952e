use std::time::Duration;

use cuminarch_types::ConcurrencyLimit;

/// Bounds of an [`Admission`](crate::Admission).
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Limit of a cold endpoint.
    pub initial_limit: ConcurrencyLimit,
    /// The limit never falls below this.
    pub min_limit: ConcurrencyLimit,
    /// The limit never rises above this.
    pub max_limit: ConcurrencyLimit,
    /// Maximum number of queued requests.
    pub max_queue: usize,
    /// Target queueing time.
    pub target_wait: Duration,
}

impl AdmissionSettings {
    /// Creates the default settings: an initial limit of 16 between 4 and 1000, 128 queued
    /// requests, 5 ms queueing time.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            initial_limit: ConcurrencyLimit::new(16),
            min_limit: ConcurrencyLimit::new(4),
            max_limit: ConcurrencyLimit::new(1_000),
            max_queue: 128,
            target_wait: Duration::from_millis(5),
        }
    }

    /// Sets the maximum limit.
    #[must_use]
    pub const fn with_max_limit(mut self, max_limit: ConcurrencyLimit) -> Self {
        self.max_limit = max_limit;
        self
    }
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self::new()
    }
}
