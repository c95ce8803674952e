use std::fmt;
use std::process::ExitCode;

/// Result of a command as the exit code of the program.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ExitStatus {
    /// The command succeeded.
    Success,
    /// A file could not be read or the output could not be written.
    IoError,
    /// The arguments are wrong.
    Usage,
    /// The sheet has errors.
    InvalidSheet,
    /// Another change came first; nothing was accepted.
    Outdated,
    /// The change weakens the configuration in force without permission to do so.
    Weaker,
    /// The platform or the node could not be reached; nothing was accepted.
    Unavailable,
    /// The change may have been accepted.
    Unknown,
    /// The accepted configuration is not in force in every zone.
    NotInForce,
}

impl ExitStatus {
    /// Returns the exit code of the program.
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
