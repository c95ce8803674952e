use thiserror::Error;

use crate::FrameLimit;

/// Error while encoding or decoding a frame.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The frame has no bytes.
    #[error("the frame is empty")]
    Empty,
    /// The frame is longer than its limit.
    #[error("the frame has {len_bytes} bytes, more than the limit of {limit}")]
    TooLong {
        /// Length of the frame in bytes.
        len_bytes: usize,
        /// The limit that applies.
        limit: FrameLimit,
    },
    /// The first byte is not a known tag.
    #[error("unknown frame tag {tag}")]
    UnknownTag {
        /// The first byte.
        tag: u8,
    },
    /// The content is not valid CBOR of the kind that the tag announces.
    #[error("malformed frame: {reason}")]
    Malformed {
        /// Error of the CBOR encoder or decoder.
        reason: String,
    },
}
