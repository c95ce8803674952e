use thiserror::Error;

use crate::FrameLimit;

/// A frame that could not be encoded or decoded.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The frame has no bytes.
    #[error("the frame is empty")]
    Empty,
    /// The frame is longer than its limit.
    #[error("the frame has {len_bytes} bytes, more than {limit}")]
    TooLong {
        /// Length of the frame in bytes.
        len_bytes: usize,
        /// The limit that applies.
        limit: FrameLimit,
    },
    /// The first byte names no kind of frame.
    #[error("unknown frame tag {tag}")]
    UnknownTag {
        /// The first byte.
        tag: u8,
    },
    /// The content is not the CBOR that the tag announces.
    #[error("malformed frame: {reason}")]
    Malformed {
        /// What the decoder found.
        reason: String,
    },
}
