use cuminarch_membership::Registration;
use thiserror::Error;

use super::LocalAnswer;

/// What came of reading a registration.
#[derive(Debug)]
pub enum RegistrationResult {
    /// The upstream says this of itself; the answer is the acknowledgement.
    Accepted(Box<Registration>, LocalAnswer),
    /// It is not usable, for this reason.
    Refused(RegistrationError, LocalAnswer),
}

/// Why a registration is not usable.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum RegistrationError {
    /// It is no call that the node knows.
    #[error("no such call")]
    UnknownCall,
    /// It cannot be read.
    #[error("malformed: {0}")]
    Malformed(String),
}
