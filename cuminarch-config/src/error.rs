use thiserror::Error;

/// A sheet that cannot be put into force.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SheetError {
    /// The text is not YAML of the expected shape.
    #[error("{0}")]
    Syntax(String),
    /// An entry contradicts the rest of the sheet.
    #[error("{path}: {reason}")]
    Entry {
        /// Where in the sheet, such as `rules[2].class`.
        path: String,
        /// What is wrong.
        reason: String,
    },
}
