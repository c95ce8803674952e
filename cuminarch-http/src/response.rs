use bytes::{Buf, BytesMut};
use cuminarch_protocol::HeaderField;

use crate::answer::{check_answer, is_interim};
use crate::fields::{copy_fields, head_len_bytes, map_parse_error};
use crate::framing::DeclaredFraming;
use crate::{BodyFraming, HeadLimits, HttpError, find_field, has_list_token};

/// Head of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Fields in order, names in lower case.
    pub fields: Vec<HeaderField>,
    /// Framing of the body.
    pub framing: BodyFraming,
    /// Declared length of the body in bytes, also if there is no body.
    pub declared_len_bytes: Option<u64>,
    /// Whether the connection can be reused after the body.
    pub keeps_alive: bool,
}

impl ResponseHead {
    /// Removes the head of a final answer from the front of `buffer` and returns it, or `None` if
    /// it is incomplete. Interim answers are discarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an answer, or if the end of the answer is ambiguous.
    pub fn parse(
        buffer: &mut BytesMut,
        limits: &HeadLimits,
        is_head_request: bool,
    ) -> Result<Option<Self>, HttpError> {
        loop {
            if !Self::may_begin_with(buffer) {
                return Err(HttpError::Malformed);
            }
            let len_bytes = head_len_bytes(buffer)?;
            if len_bytes.unwrap_or(buffer.len()) > limits.max_len_bytes {
                return Err(HttpError::HeadTooLong);
            }
            let Some(len_bytes) = len_bytes else { return Ok(None) };
            let mut headers = [httparse::EMPTY_HEADER; HeadLimits::MAX_FIELDS];
            let mut response = httparse::Response::new(&mut headers);
            let status = response.parse(&buffer[..len_bytes]).map_err(map_parse_error)?;
            let code = response.code.filter(|_| status.is_complete());
            let code = code.ok_or(HttpError::Malformed)?;
            let head = if is_interim(code) {
                Self::check_interim(&response)?;
                None
            } else {
                Some(Self::from_parsed(&response, code, is_head_request)?)
            };
            buffer.advance(len_bytes);
            if head.is_some() {
                return Ok(head);
            }
        }
    }

    /// Returns `true` if the bytes are the beginning of a status line, or none.
    fn may_begin_with(bytes: &[u8]) -> bool {
        const VERSION: &[u8] = b"HTTP/1.";
        let len_bytes = bytes.len().min(VERSION.len());
        bytes[..len_bytes] == VERSION[..len_bytes]
    }

    /// Checks an interim answer, which has no body.
    fn check_interim(response: &httparse::Response<'_, '_>) -> Result<(), HttpError> {
        let fields = copy_fields(response.headers);
        let declared = DeclaredFraming::from_fields(&fields)?;
        let has_body = declared.is_chunked || declared.length.is_some_and(|length| length > 0);
        if has_body { Err(HttpError::Malformed) } else { Ok(()) }
    }

    fn from_parsed(
        response: &httparse::Response<'_, '_>,
        status: u16,
        is_head_request: bool,
    ) -> Result<Self, HttpError> {
        let is_http_10 = response.version == Some(0);
        let mut fields = copy_fields(response.headers);
        check_answer(status, &fields)?;
        let declared = DeclaredFraming::from_fields(&fields)?;
        let has_no_body = is_head_request || matches!(status, 204 | 304);
        let framing = match (has_no_body, declared.is_chunked, declared.length) {
            (true, _, _) | (false, false, Some(0)) => BodyFraming::Empty,
            (false, true, _) => BodyFraming::Chunked,
            (false, false, Some(len_bytes)) => BodyFraming::Length(len_bytes),
            (false, false, None) => BodyFraming::UntilClose,
        };
        if declared.is_chunked {
            fields.retain(|field| field.name != "content-length");
        }
        let declared_len_bytes = declared.length.filter(|_| !declared.is_chunked);
        let is_persistent = !is_http_10 || has_list_token(&fields, "connection", "keep-alive");
        let keeps_alive = is_persistent
            && framing != BodyFraming::UntilClose
            && !has_list_token(&fields, "connection", "close");
        Ok(Self { status, framing, declared_len_bytes, keeps_alive, fields })
    }

    /// Returns the value of the first field with this lower-case name.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&[u8]> {
        find_field(&self.fields, name)
    }
}
