//! CBOR with limits on length and nesting depth.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{FrameLimit, ProtocolError};

/// Maximum nesting depth of decoded CBOR values.
const MAX_NESTING: usize = 16;

/// Encodes `tag` followed by `value`.
pub fn encode_tagged<T: Serialize>(tag: u8, value: &T) -> Result<Vec<u8>, ProtocolError> {
    let mut bytes = vec![tag];
    ciborium::into_writer(value, &mut bytes)
        .map_err(|error| ProtocolError::Malformed { reason: error.to_string() })?;
    Ok(bytes)
}

/// Decodes a value that must occupy all of `bytes`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ProtocolError> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_NESTING)
        .map_err(|error| ProtocolError::Malformed { reason: error.to_string() })?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(ProtocolError::Malformed { reason: "trailing bytes after the value".to_owned() })
    }
}

/// Splits a frame of at most `limit` bytes into its tag and its content.
pub fn split_tag(bytes: &[u8], limit: FrameLimit) -> Result<(u8, &[u8]), ProtocolError> {
    if bytes.len() > limit.as_bytes() {
        return Err(ProtocolError::TooLong { len_bytes: bytes.len(), limit });
    }
    match bytes.split_first() {
        Some((tag, content)) => Ok((*tag, content)),
        None => Err(ProtocolError::Empty),
    }
}
