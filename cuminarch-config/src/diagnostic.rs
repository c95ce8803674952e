use std::fmt;

use compact_str::CompactString;
use cuminarch_types::{AccountName, ClassName, ServiceName};
use serde::Serialize;
use thiserror::Error;

/// Position in the text of a sheet, counted from 1.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// Line.
    pub line: u64,
    /// Column in characters.
    pub column: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {} column {}", self.line, self.column)
    }
}

/// Severity of a diagnostic.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The sheet cannot be put into force.
    Error,
    /// The sheet can be put into force, but probably does not do what was intended.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// Kind of a diagnostic.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DiagnosticKind {
    /// The text is not YAML.
    #[error("{reason}")]
    Syntax {
        /// Message of the parser.
        reason: String,
    },
    /// The document with the sheet is larger than the platform allows.
    #[error("the document of {len_bytes} bytes is larger than {max_bytes} bytes")]
    TooLarge {
        /// Upper bound on the size of the document, in bytes.
        len_bytes: usize,
        /// Maximum size, in bytes.
        max_bytes: usize,
    },
    /// A key that the sheet format does not define.
    #[error("unknown key {key:?}; expected one of {expected}")]
    UnknownKey {
        /// The key.
        key: String,
        /// Keys that are allowed here.
        expected: String,
    },
    /// A required key that is missing.
    #[error("key {key:?} is missing")]
    MissingKey {
        /// The key.
        key: &'static str,
    },
    /// A value of the wrong type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// Expected type.
        expected: &'static str,
        /// Actual type.
        found: &'static str,
    },
    /// A value of the right type that is not valid for its key.
    #[error("{reason}")]
    InvalidValue {
        /// Reason why it is invalid.
        reason: String,
    },
    /// A number outside its range.
    #[error("{value} is not from {min} to {max}")]
    OutOfRange {
        /// The number.
        value: u64,
        /// Minimum.
        min: u64,
        /// Maximum.
        max: u64,
    },
    /// No class is defined.
    #[error("no class is defined")]
    NoClasses,
    /// More classes than there are priorities.
    #[error("{count} classes are defined, more than {max}")]
    TooManyClasses {
        /// Number of classes.
        count: usize,
        /// Maximum.
        max: usize,
    },
    /// A class that an earlier entry already defines.
    #[error("class {class} is already defined by classes[{first}]")]
    DuplicateClass {
        /// The class.
        class: ClassName,
        /// Index of the earlier entry.
        first: usize,
    },
    /// A class that no entry defines.
    #[error("class {class} is not defined")]
    UnknownClass {
        /// The class.
        class: ClassName,
    },
    /// A class that is not the default and that no rule, route or account uses.
    #[error("class {class} is used by no rule")]
    UnusedClass {
        /// The class.
        class: ClassName,
    },
    /// A protected class that is refused before an unprotected one.
    #[error("protected class {class} comes before {unprotected}, which is not protected")]
    ProtectedBeforeUnprotected {
        /// The protected class.
        class: ClassName,
        /// An unprotected class after it.
        unprotected: ClassName,
    },
    /// A grant smaller than the depth of the longest chain of services.
    #[error("{grant} attempts cannot reach a service {depth} deep")]
    GrantTooSmall {
        /// Attempts granted.
        grant: u32,
        /// Depth of the longest chain of services.
        depth: u32,
    },
    /// A service that the sheet does not declare.
    #[error("service {service} is not declared under services")]
    UnknownService {
        /// The service.
        service: ServiceName,
    },
    /// An entry that is listed more than once.
    #[error("{entry} is listed more than once")]
    Duplicate {
        /// The entry.
        entry: CompactString,
    },
    /// A method that HTTP does not allow or that is not written in capitals.
    #[error("{method:?} is not a method in capital letters")]
    InvalidMethod {
        /// The method.
        method: CompactString,
    },
    /// An invalid path pattern.
    #[error("path pattern {pattern:?}: {reason}")]
    InvalidPattern {
        /// The pattern.
        pattern: CompactString,
        /// Reason why it is invalid.
        reason: &'static str,
    },
    /// A rule whose requests are all covered by earlier rules.
    #[error("the rule can never match: {} cover it", rules(.covered_by))]
    NeverMatches {
        /// Indexes of the earlier rules.
        covered_by: Vec<usize>,
    },
    /// A non-idempotent rule whose class allows so many retries that they can exceed first
    /// attempts.
    #[error("class {class} of a non-idempotent rule allows {retry_percent} retries per hundred")]
    NonIdempotentRetries {
        /// The class.
        class: ClassName,
        /// Retries per hundred first attempts.
        retry_percent: u32,
    },
    /// An idempotent rule that covers requests of a later, non-idempotent rule.
    #[error("{example} also fits non-idempotent rules[{later}], but this rule comes first")]
    ShadowsNonIdempotent {
        /// Index of the later rule.
        later: usize,
        /// A request that both rules cover.
        example: String,
    },
    /// A non-idempotent rule of an unprotected class, which is refused before protected ones.
    #[error("class {class} of a non-idempotent rule is not protected")]
    NonIdempotentUnprotected {
        /// The class.
        class: ClassName,
    },
    /// An account that an earlier entry already defines.
    #[error("account {account} is already defined by accounts[{first}]")]
    DuplicateAccount {
        /// The account.
        account: AccountName,
        /// Index of the earlier entry.
        first: usize,
    },
    /// A key that is listed before, for this account or another one. The key itself is not shown.
    #[error("the key is already listed as {first}")]
    DuplicateKey {
        /// Path of the earlier entry.
        first: String,
    },
    /// An account without keys, which nobody can use.
    #[error("account {account} has no keys")]
    AccountWithoutKeys {
        /// The account.
        account: AccountName,
    },
    /// The rules overlap in too many ways to determine which of them can match.
    #[error("the path patterns overlap in too many ways to be compared")]
    TooComplex,
}

fn rules(indexes: &[usize]) -> String {
    let names: Vec<String> = indexes.iter().map(|index| format!("rules[{index}]")).collect();
    names.join(", ")
}

impl DiagnosticKind {
    /// Returns the severity of this kind.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        match self {
            Self::GrantTooSmall { .. }
            | Self::ShadowsNonIdempotent { .. }
            | Self::NonIdempotentUnprotected { .. }
            | Self::UnusedClass { .. }
            | Self::AccountWithoutKeys { .. } => Severity::Warning,
            _ => Severity::Error,
        }
    }
}

/// An error or warning about a sheet, with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Diagnostic {
    /// Path in the sheet, such as `rules[2].class`; empty for the whole sheet.
    pub path: String,
    /// Position in the text, if the sheet was parsed from text.
    pub position: Option<Position>,
    /// What is wrong.
    pub kind: DiagnosticKind,
}

impl Diagnostic {
    /// Creates a diagnostic for the entry at `path`.
    #[must_use]
    pub fn new(path: impl Into<String>, kind: DiagnosticKind) -> Self {
        Self { path: path.into(), position: None, kind }
    }

    /// Sets the position in the text.
    #[must_use]
    pub const fn with_position(mut self, position: Option<Position>) -> Self {
        self.position = position;
        self
    }

    /// Returns the severity.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        self.kind.severity()
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(position) = self.position {
            write!(formatter, "{position}: ")?;
        }
        write!(formatter, "{}: ", self.severity())?;
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        self.kind.fmt(formatter)
    }
}
