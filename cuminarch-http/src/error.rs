use thiserror::Error;

/// Reason why a message cannot be forwarded.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HttpError {
    /// The head is not valid HTTP/1.
    #[error("the head is malformed")]
    Malformed,
    /// The head has too many bytes or fields.
    #[error("the head is too long")]
    HeadTooLong,
    /// The length of the body is given twice, or not as a number.
    #[error("the length of the body is ambiguous")]
    AmbiguousLength,
    /// The body has a transfer coding other than chunked.
    #[error("the transfer coding is not known")]
    UnsupportedTransferCoding,
    /// A chunk is malformed.
    #[error("a chunk is malformed")]
    MalformedChunk,
    /// The connection ended within the message.
    #[error("the message broke off")]
    Truncated,
}
