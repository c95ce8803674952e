use compact_str::CompactString;
use cuminarch_protocol::HeaderField;

use crate::HttpError;

/// Value of the first field of this name, which is in lower case.
#[must_use]
pub fn find_field<'a>(fields: &'a [HeaderField], name: &str) -> Option<&'a [u8]> {
    fields.iter().find(|field| field.name == name).map(|field| field.value.as_slice())
}

/// Whether a list of options, as in `connection`, has this one.
#[must_use]
pub fn has_list_token(fields: &[HeaderField], name: &str, option: &str) -> bool {
    fields
        .iter()
        .filter(|field| field.name == name)
        .flat_map(|field| field.value.split(|byte| *byte == b','))
        .any(|value| value.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
}

/// Length of the head at the beginning of `bytes`, its empty line included. A
/// line that ends without carriage return is malformed: other parsers on the
/// way may see other lines.
pub fn head_len_bytes(bytes: &[u8]) -> Result<Option<usize>, HttpError> {
    let mut line_from = 0;
    for end in memchr::memchr_iter(b'\n', bytes) {
        if end == 0 || bytes[end - 1] != b'\r' {
            return Err(HttpError::Malformed);
        }
        if end - line_from == 1 && line_from > 0 {
            return Ok(Some(end + 1));
        }
        line_from = end + 1;
    }
    Ok(None)
}

/// Copies parsed fields, names in lower case.
pub fn copy_fields(parsed: &[httparse::Header<'_>]) -> Vec<HeaderField> {
    let copy = |header: &httparse::Header<'_>| {
        let mut name = CompactString::from(header.name);
        name.make_ascii_lowercase();
        HeaderField::new(name, header.value.trim_ascii())
    };
    parsed.iter().map(copy).collect()
}

/// The fault behind an error of the parser.
pub const fn map_parse_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLong,
        _ => HttpError::Malformed,
    }
}
