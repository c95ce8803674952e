use std::io;

use cuminarch_config::SheetError;
use cuminarch_platform::PlatformError;
use cuminarch_types::Revision;
use thiserror::Error;

use crate::ExitStatus;

/// An error that ends a command.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The output could not be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
    /// The sheet has errors.
    #[error("{path}:\n{source}")]
    Sheet {
        /// Path of the file, or the revision.
        path: String,
        /// The errors of the sheet.
        source: SheetError,
    },
    /// A call to the platform failed.
    #[error("{0}")]
    Platform(#[from] PlatformError),
    /// The node did not answer, or not with status 200.
    #[error("the node at {address} did not answer: {reason}")]
    Node {
        /// Admin address of the node.
        address: String,
        /// The error or status.
        reason: String,
    },
    /// The revision is neither accepted nor in the history.
    #[error("revision {0} is neither accepted nor in the history")]
    UnknownRevision(Revision),
    /// An argument is missing or invalid.
    #[error("{0}")]
    Argument(String),
}

impl CliError {
    /// Returns the exit status for this error.
    #[must_use]
    pub const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::File { .. } | Self::Output(_) => ExitStatus::IoError,
            Self::Sheet { .. } => ExitStatus::InvalidSheet,
            Self::Platform(_) | Self::Node { .. } => ExitStatus::Unavailable,
            Self::UnknownRevision(_) | Self::Argument(_) => ExitStatus::Usage,
        }
    }
}
