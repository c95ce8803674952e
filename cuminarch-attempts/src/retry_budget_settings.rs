use std::time::Duration;

/// Bounds on the retries towards one service, over all its endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries per request that callers send to the service.
    pub ratio: f64,
    /// Additional retries within any window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl RetryBudgetSettings {
    /// Creates the bounds.
    #[must_use]
    pub const fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self { ratio, slack, window }
    }
}
