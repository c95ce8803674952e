//! What an answer may look like, whoever has read it.

use cuminarch_protocol::HeaderField;
use http::{HeaderName, HeaderValue};

use crate::HttpError;

/// Statuses of final answers (RFC 9110, section 15: others are invalid).
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;
/// Statuses of interim answers that are not the answer to an upgrade, which nodes never ask for.
const INTERIM_STATUSES: std::ops::RangeInclusive<u16> = 100..=199;
const SWITCHING_PROTOCOLS: u16 = 101;

/// Checks the head of a final answer, also of one that another node has read.
///
/// # Errors
///
/// Returns [`HttpError::Malformed`] if it is no answer in the protocol.
pub fn check_answer(status: u16, fields: &[HeaderField]) -> Result<(), HttpError> {
    let is_valid = FINAL_STATUSES.contains(&status) && fields.iter().all(is_valid_field);
    if is_valid { Ok(()) } else { Err(HttpError::Malformed) }
}

/// Returns `true` if a status is that of an interim answer, which another one follows.
pub fn is_interim(status: u16) -> bool {
    INTERIM_STATUSES.contains(&status) && status != SWITCHING_PROTOCOLS
}

/// Returns `true` if a line of a trailer section is a field.
pub fn is_field_line(line: &[u8]) -> bool {
    let Some(colon) = memchr::memchr(b':', line) else { return false };
    let (name, value) = line.split_at(colon);
    is_valid(name, value[1..].trim_ascii())
}

fn is_valid_field(field: &HeaderField) -> bool {
    is_valid(field.name.as_bytes(), &field.value)
}

/// Returns `true` if a name is a token and a value has no control characters.
fn is_valid(name: &[u8], value: &[u8]) -> bool {
    HeaderName::from_bytes(name).is_ok() && HeaderValue::from_bytes(value).is_ok()
}
