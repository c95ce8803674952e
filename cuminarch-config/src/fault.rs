use std::fmt;

use compact_str::CompactString;
use cuminarch_types::{ClassName, ServiceName};
use serde::Serialize;
use thiserror::Error;

/// Place in the text of a sheet, counted from 1.
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

/// Whether a fault keeps a sheet from coming into force.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The sheet cannot come into force.
    Error,
    /// The sheet can come into force, but probably does not say what was meant.
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

/// What is wrong with an entry of a sheet.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum DiagnosticKind {
    /// The text is not YAML.
    #[error("{reason}")]
    Syntax {
        /// What the parser saw.
        reason: String,
    },
    /// The sheet and its framing are larger than the platform holds.
    #[error("the document of {len_bytes} bytes is larger than {max_bytes} bytes")]
    TooLarge {
        /// Size with the framing, in bytes.
        len_bytes: usize,
        /// Largest size, in bytes.
        max_bytes: usize,
    },
    /// A key that the sheet does not know.
    #[error("unknown key {key:?}; expected one of {expected}")]
    UnknownKey {
        /// The key.
        key: String,
        /// Keys that are known here.
        expected: String,
    },
    /// A key that has to be there.
    #[error("key {key:?} is missing")]
    MissingKey {
        /// The key.
        key: &'static str,
    },
    /// A value of another type.
    #[error("expected {expected}, found {found}")]
    WrongType {
        /// Type that is expected.
        expected: &'static str,
        /// Type that was found.
        found: &'static str,
    },
    /// A text that does not denote a value of the expected type.
    #[error("{reason}")]
    InvalidValue {
        /// What is wrong with it.
        reason: String,
    },
    /// A number outside its range.
    #[error("{value} is not from {min} to {max}")]
    OutOfRange {
        /// The number.
        value: u64,
        /// Least allowed.
        min: u64,
        /// Most allowed.
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
        /// Most allowed.
        max: usize,
    },
    /// A class that an earlier entry defines already.
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
    /// A class that neither a rule nor the default uses.
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
    /// A grant smaller than the depth of the longest chain.
    #[error("{grant} attempts cannot reach a service {depth} deep")]
    GrantTooSmall {
        /// Attempts granted.
        grant: u32,
        /// Depth of the longest chain.
        depth: u32,
    },
    /// A service that the sheet does not declare.
    #[error("service {service} is not declared under services")]
    UnknownService {
        /// The service.
        service: ServiceName,
    },
    /// An entry that stands twice in a list.
    #[error("{entry} stands twice")]
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
    /// A path pattern that cannot be matched as meant.
    #[error("path pattern {pattern:?}: {reason}")]
    InvalidPattern {
        /// The pattern.
        pattern: CompactString,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// A rule all of whose requests earlier rules take.
    #[error("the rule can never match: {} cover it", rules(.covered_by))]
    NeverMatches {
        /// Indexes of the earlier rules.
        covered_by: Vec<usize>,
    },
    /// A rule whose class allows so many retries that they exceed first attempts.
    #[error("class {class} of a non-idempotent rule allows {retry_percent} retries per hundred")]
    NonIdempotentRetries {
        /// The class.
        class: ClassName,
        /// Retries per hundred first attempts.
        retry_percent: u32,
    },
    /// An idempotent rule that takes requests which a later rule declares non-idempotent.
    #[error("{example} also fits non-idempotent rules[{later}], but this rule comes first")]
    ShadowsNonIdempotent {
        /// Index of the later rule.
        later: usize,
        /// A request that both rules cover.
        example: String,
    },
    /// A non-idempotent rule of a class that is refused before protected ones.
    #[error("class {class} of a non-idempotent rule is not protected")]
    NonIdempotentUnprotected {
        /// The class.
        class: ClassName,
    },
    /// The rules are too entangled to prove which of them can match.
    #[error("the path patterns overlap in too many ways to be compared")]
    TooComplex,
}

fn rules(indexes: &[usize]) -> String {
    let names: Vec<String> = indexes.iter().map(|index| format!("rules[{index}]")).collect();
    names.join(", ")
}

impl DiagnosticKind {
    /// Whether a fault of this kind keeps a sheet from coming into force.
    #[must_use]
    pub const fn severity(&self) -> Severity {
        match self {
            Self::GrantTooSmall { .. }
            | Self::ShadowsNonIdempotent { .. }
            | Self::NonIdempotentUnprotected { .. }
            | Self::UnusedClass { .. } => Severity::Warning,
            _ => Severity::Error,
        }
    }
}

/// One fault of a sheet, with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Diagnostic {
    /// Where in the sheet, such as `rules[2].class`; empty for the whole sheet.
    pub path: String,
    /// Where in the text, if it was read from text.
    pub position: Option<Position>,
    /// What is wrong.
    pub kind: DiagnosticKind,
}

impl Diagnostic {
    /// A fault of the entry at `path`.
    #[must_use]
    pub fn new(path: impl Into<String>, kind: DiagnosticKind) -> Self {
        Self { path: path.into(), position: None, kind }
    }

    /// Sets the place in the text.
    #[must_use]
    pub const fn with_position(mut self, position: Option<Position>) -> Self {
        self.position = position;
        self
    }

    /// Whether the fault keeps the sheet from coming into force.
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
