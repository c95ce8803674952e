use thiserror::Error;

/// Error for text that is not a valid value of the expected type.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a valid {type_name}: {reason}")]
pub struct ParseError {
    /// The type that was expected.
    pub type_name: &'static str,
    /// The rejected text, truncated to [`ParseError::MAX_TEXT_CHARS`].
    pub text: String,
    /// Why the text was rejected.
    pub reason: &'static str,
}

impl ParseError {
    /// Maximum length of the rejected text in an error, in characters.
    pub const MAX_TEXT_CHARS: usize = 64;

    /// Creates an error for the rejected `text`.
    #[must_use]
    pub fn new(type_name: &'static str, text: &str, reason: &'static str) -> Self {
        let text = text.chars().take(Self::MAX_TEXT_CHARS).collect();
        Self { type_name, text, reason }
    }
}
