use std::fmt;
use std::process::ExitCode;

/// How a command ended, for scripts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ExitStatus {
    /// Done.
    Success,
    /// A file could not be read or the output not be written.
    IoError,
    /// The arguments are wrong.
    Usage,
    /// The sheet has faults.
    InvalidSheet,
    /// Another change came first; nothing was accepted.
    Outdated,
    /// The change weakens what is in force and that was not allowed.
    Weaker,
    /// The platform or the node could not be reached; nothing was accepted.
    Unavailable,
    /// The change may have been accepted.
    Unknown,
    /// The change is accepted, but not in force everywhere.
    NotInForce,
}

impl ExitStatus {
    /// The code that the process ends with.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::IoError => 1,
            Self::Usage => 2,
            Self::InvalidSheet => 3,
            Self::Outdated => 4,
            Self::Weaker => 5,
            Self::Unavailable => 6,
            Self::Unknown => 7,
            Self::NotInForce => 8,
        }
    }
}

impl fmt::Display for ExitStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Success => "done",
            Self::IoError => "a file could not be read or written",
            Self::Usage => "the arguments are wrong",
            Self::InvalidSheet => "the sheet has faults",
            Self::Outdated => "another change came first",
            Self::Weaker => "the change weakens what is in force",
            Self::Unavailable => "the platform or the node could not be reached",
            Self::Unknown => "the change may have been accepted",
            Self::NotInForce => "accepted, but not in force everywhere",
        })
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
