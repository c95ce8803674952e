use cuminarch_protocol::HeaderField;

use crate::HttpError;
use crate::fields::find_field;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this length in bytes.
    Length(u64),
    /// The body is chunked.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl BodyFraming {
    /// Returns the length of the body in bytes, if known in advance.
    #[must_use]
    pub const fn len_bytes(self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Length(len_bytes) => Some(len_bytes),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

/// Framing that the fields of a head declare.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeclaredFraming {
    pub length: Option<u64>,
    pub is_chunked: bool,
}

impl DeclaredFraming {
    /// Reads `content-length` and `transfer-encoding`.
    pub fn from_fields(fields: &[HeaderField]) -> Result<Self, HttpError> {
        let is_chunked = match find_field(fields, "transfer-encoding") {
            None => false,
            Some(value) if value.eq_ignore_ascii_case(b"chunked") => true,
            Some(_) => return Err(HttpError::UnsupportedTransferCoding),
        };
        let mut lengths = fields.iter().filter(|field| field.name == "content-length");
        let length = lengths.next().map(|field| parse_length(&field.value)).transpose()?;
        if lengths.next().is_some() {
            return Err(HttpError::AmbiguousLength);
        }
        let codings = fields.iter().filter(|field| field.name == "transfer-encoding").count();
        if codings > 1 {
            Err(HttpError::UnsupportedTransferCoding)
        } else {
            Ok(Self { length, is_chunked })
        }
    }
}

fn parse_length(value: &[u8]) -> Result<u64, HttpError> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number);
    text.and_then(|text| text.parse().ok()).ok_or(HttpError::AmbiguousLength)
}
