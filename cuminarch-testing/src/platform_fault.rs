use std::time::Duration;

/// What is wrong with the platform at the moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformFault {
    /// Nothing.
    #[default]
    None,
    /// Every call fails.
    Down,
    /// Writes take effect, but their answers are lost.
    LoseAnswers,
    /// Every call is held up for so long before it takes effect.
    Slow(Duration),
}
