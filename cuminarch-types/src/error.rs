use thiserror::Error;

/// A text that does not denote a value of the expected type.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a valid {type_name}: {reason}")]
pub struct ParseError {
    /// The type that was expected.
    pub type_name: &'static str,
    /// The rejected text, cut to [`ParseError::MAX_TEXT_CHARS`].
    pub text: String,
    /// What is wrong with it.
    pub reason: &'static str,
}

impl ParseError {
    /// Longest part of a rejected text that an error repeats.
    pub const MAX_TEXT_CHARS: usize = 64;

    /// Describes why `text` was rejected.
    #[must_use]
    pub fn new(type_name: &'static str, text: &str, reason: &'static str) -> Self {
        let text = text.chars().take(Self::MAX_TEXT_CHARS).collect();
        Self { type_name, text, reason }
    }
}
