use bytes::{Buf, BytesMut};
use compact_str::CompactString;
use cuminarch_protocol::HeaderField;

use crate::fields::{copy_fields, head_len_bytes, map_parse_error};
use crate::framing::DeclaredFraming;
use crate::{BodyFraming, HeadLimits, HttpError, find_field, has_list_token};

/// Head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// Method.
    pub method: CompactString,
    /// Target of the request line, without scheme and authority.
    pub target: CompactString,
    /// Whether the sender uses HTTP/1.0.
    pub is_http_10: bool,
    /// Fields in order, names in lower case.
    pub fields: Vec<HeaderField>,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Whether the sender requests that the connection is closed after the answer.
    pub wants_close: bool,
    /// Whether the sender waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

impl RequestHead {
    /// Removes a head from the front of `buffer` and returns it, or `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a request, or if the end of the request is ambiguous.
    pub fn parse(buffer: &mut BytesMut, limits: &HeadLimits) -> Result<Option<Self>, HttpError> {
        skip_empty_lines(buffer);
        let Some(len_bytes) = head_len_bytes(buffer)? else {
            let is_too_long = buffer.len() > limits.max_len_bytes;
            return if is_too_long { Err(HttpError::HeadTooLong) } else { Ok(None) };
        };
        if len_bytes > limits.max_len_bytes {
            return Err(HttpError::HeadTooLong);
        }
        let mut headers = [httparse::EMPTY_HEADER; HeadLimits::MAX_FIELDS];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(&buffer[..len_bytes]).map_err(map_parse_error)?;
        if status.is_partial() {
            return Err(HttpError::Malformed);
        }
        let head = Self::from_parsed(&request, limits)?;
        buffer.advance(len_bytes);
        Ok(Some(head))
    }

    fn from_parsed(
        request: &httparse::Request<'_, '_>,
        limits: &HeadLimits,
    ) -> Result<Self, HttpError> {
        let (Some(method), Some(target)) = (request.method, request.path) else {
            return Err(HttpError::Malformed);
        };
        let is_http_10 = request.version == Some(0);
        let mut fields = copy_fields(request.headers);
        let declared = DeclaredFraming::from_fields(&fields)?;
        let framing = match (declared.is_chunked, declared.length) {
            (true, _) if is_http_10 => return Err(HttpError::UnsupportedTransferCoding),
            (true, Some(_)) if limits.rejects_length_with_chunked => {
                return Err(HttpError::AmbiguousLength);
            }
            (true, _) => BodyFraming::Chunked,
            (false, Some(0) | None) => BodyFraming::Empty,
            (false, Some(len_bytes)) => BodyFraming::Length(len_bytes),
        };
        if declared.is_chunked {
            fields.retain(|field| field.name != "content-length");
        }
        let keeps_alive = !is_http_10 || has_list_token(&fields, "connection", "keep-alive");
        let expects_continue =
            !is_http_10 && framing != BodyFraming::Empty && find_field(&fields, "expect").is_some();
        Ok(Self {
            method: method.into(),
            target: origin_form(target).into(),
            is_http_10,
            wants_close: !keeps_alive || has_list_token(&fields, "connection", "close"),
            expects_continue,
            framing,
            fields,
        })
    }

    /// Returns the value of the first field with this lower-case name.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        find_field(&self.fields, name)
    }

    /// Returns the path of the target, without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }
}

/// Discards empty lines before a request, which some senders add after a body.
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
}

/// Returns the target without scheme and authority, which clients send only to proxies.
fn origin_form(target: &str) -> &str {
    let Some(rest) = target.strip_prefix("http://") else { return target };
    rest.find('/').map_or("/", |start| &rest[start..])
}
