use compact_str::CompactString;
use cuminarch_protocol::HeaderField;

use crate::HttpError;

/// Returns the value of the first field with this lower-case name.
#[must_use]
pub fn find_field<'a>(fields: &'a [HeaderField], name: &str) -> Option<&'a [u8]> {
    fields.iter().find(|field| field.name == name).map(|field| field.value.as_slice())
}

/// Returns `true` if the list of a field such as `connection` contains this token.
#[must_use]
pub fn has_list_token(fields: &[HeaderField], name: &str, token: &str) -> bool {
    fields
        .iter()
        .filter(|field| field.name == name)
        .flat_map(|field| field.value.split(|byte| *byte == b','))
        .any(|value| value.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

/// Returns the length of the head at the start of `bytes`, including its empty line. A line that
/// ends without a carriage return is malformed, because other parsers on the path may split the
/// lines differently.
pub fn head_len_bytes(bytes: &[u8]) -> Result<Option<usize>, HttpError> {
    let mut line_start = 0;
    for end in memchr::memchr_iter(b'\n', bytes) {
        if end == 0 || bytes[end - 1] != b'\r' {
            return Err(HttpError::Malformed);
        }
        if end - line_start == 1 && line_start > 0 {
            return Ok(Some(end + 1));
        }
        line_start = end + 1;
    }
    Ok(None)
}

/// Copies parsed fields, with names in lower case.
pub fn copy_fields(parsed: &[httparse::Header<'_>]) -> Vec<HeaderField> {
    let copy = |header: &httparse::Header<'_>| {
        let mut name = CompactString::from(header.name);
        name.make_ascii_lowercase();
        HeaderField::new(name, header.value.trim_ascii())
    };
    parsed.iter().map(copy).collect()
}

/// Converts an error of the parser.
pub const fn map_parse_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLong,
        _ => HttpError::Malformed,
    }
}
