use bytes::{Buf, BytesMut};
use cuminarch_protocol::HeaderField;

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
            let Some(len_bytes) = head_len_bytes(buffer)? else {
                let is_too_long = buffer.len() > limits.max_len_bytes;
                return if is_too_long { Err(HttpError::HeadTooLong) } else { Ok(None) };
            };
            let mut headers = [httparse::EMPTY_HEADER; HeadLimits::MAX_FIELDS];
            let mut response = httparse::Response::new(&mut headers);
            let status = response.parse(&buffer[..len_bytes]).map_err(map_parse_error)?;
            let code = response.code.filter(|_| status.is_complete());
            let code = code.ok_or(HttpError::Malformed)?;
            let is_interim = (100..200).contains(&code) && code != 101;
            let head = if is_interim {
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

    fn from_parsed(
        response: &httparse::Response<'_, '_>,
        status: u16,
        is_head_request: bool,
    ) -> Result<Self, HttpError> {
        let is_http_10 = response.version == Some(0);
        let mut fields = copy_fields(response.headers);
        let declared = DeclaredFraming::from_fields(&fields)?;
        let has_no_body = is_head_request || matches!(status, 101 | 204 | 304);
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
