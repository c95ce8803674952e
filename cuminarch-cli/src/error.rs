use std::io;

use cuminarch_config::SheetError;
use cuminarch_platform::PlatformError;
use cuminarch_types::Revision;
use thiserror::Error;

use crate::ExitStatus;

/// A command that could not be carried out.
#[derive(Debug, Error)]
pub enum CliError {
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What was seen.
        source: io::Error,
    },
    /// The output could not be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
    /// The sheet cannot come into force.
    #[error("{path}:\n{source}")]
    Sheet {
        /// The file or revision.
        path: String,
        /// Its faults.
        source: SheetError,
    },
    /// The platform did not do what was asked.
    #[error("{0}")]
    Platform(#[from] PlatformError),
    /// The node did not answer.
    #[error("the node at {address} did not answer: {reason}")]
    Node {
        /// Where it was asked.
        address: String,
        /// What was seen.
        reason: String,
    },
    /// The revision is neither accepted nor in the history.
    #[error("revision {0} is neither accepted nor in the history")]
    UnknownRevision(Revision),
    /// An argument is missing or does not fit.
    #[error("{0}")]
    Argument(String),
}

impl CliError {
    /// The status that the process ends with.
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
