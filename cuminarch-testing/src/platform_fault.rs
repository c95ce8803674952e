use std::time::Duration;

/// A fault injected into the platform.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformFault {
    /// No fault.
    #[default]
    None,
    /// Every call fails.
    Down,
    /// Writes are applied, but their answers are lost.
    LoseAnswers,
    /// Every call is delayed by this time before it is executed.
    Slow(Duration),
}
