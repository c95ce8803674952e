use cuminarch_membership::Registration;
use thiserror::Error;

use super::LocalAnswer;

/// Result of parsing a registration.
#[derive(Debug)]
pub enum RegistrationResult {
    /// The registration of the upstream, and the acknowledgement to send.
    Accepted(Box<Registration>, LocalAnswer),
    /// The reason for the refusal, and the answer to send.
    Refused(RegistrationError, LocalAnswer),
}

/// Reason why a registration is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RegistrationError {
    /// The method or path is unknown.
    #[error("unknown method or path")]
    UnknownCall,
    /// The content is malformed.
    #[error("malformed: {0}")]
    Malformed(String),
}
