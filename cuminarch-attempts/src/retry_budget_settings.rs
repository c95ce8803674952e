use std::time::Duration;

/// Bounds of the repeats towards one service, over all its endpoints together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Repeats for each request that callers send to the service.
    pub ratio: f64,
    /// Further repeats within any window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl RetryBudgetSettings {
    /// Bounds on the repeats of a fleet.
    #[must_use]
    pub const fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self { ratio, slack, window }
    }
}
