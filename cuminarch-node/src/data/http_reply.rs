//! Answers to callers, forwarded or from the node itself.

use bytes::Bytes;
use cuminarch_engine::{Refusal, RefusalReason};
use cuminarch_protocol::{AnswerHead, HeaderField};
use cuminarch_types::{Outcome, RequestId};

use super::answer::{Answer, AnswerBody};
use crate::interface::{CallerInterface, LocalAnswer};

/// Body of an answer to a caller.
pub enum ReplyBody {
    /// Complete in memory.
    Buffered(Bytes),
    /// Forwarded as it arrives.
    Streaming(Box<AnswerBody>),
    /// No body, regardless of the stated length.
    None,
}

/// An answer to a caller.
pub struct HttpReply {
    pub status: u16,
    pub fields: Vec<HeaderField>,
    /// Length to state, if known.
    pub len_bytes: Option<u64>,
    pub body: ReplyBody,
    /// Set if the connection closes after this answer.
    pub closes: bool,
}

impl From<LocalAnswer> for HttpReply {
    fn from(answer: LocalAnswer) -> Self {
        let len_bytes = u64::try_from(answer.body.len()).ok();
        let LocalAnswer { status, fields, body, closes } = answer;
        Self { status, fields, len_bytes, body: ReplyBody::Buffered(body), closes }
    }
}

/// Converts an answer into an HTTP reply that streams its body.
pub async fn http_reply_from_answer(
    interface: &dyn CallerInterface,
    mut answer: Answer,
    root: RequestId,
    is_head: bool,
) -> HttpReply {
    let AnswerHead { status, headers: mut fields, body_len_bytes } = answer.head;
    let has_no_body = is_head || matches!(status, 204 | 304) || body_len_bytes == Some(0);
    let body = if has_no_body {
        if answer.body.expect_end().await.is_err() {
            let refusal = Refusal::unknown(RefusalReason::UpstreamFailed);
            return interface.refusal(&refusal, root, &[]).into();
        }
        ReplyBody::None
    } else {
        ReplyBody::Streaming(Box::new(answer.body))
    };
    let len_bytes = body_len_bytes.filter(|_| status != 204);
    if let Some(len_bytes) = len_bytes {
        fields.push(HeaderField::new("content-length", len_bytes.to_string()));
    }
    interface.add_answer_fields(Outcome::Completed, root, &mut fields);
    HttpReply { status, fields, len_bytes, body, closes: false }
}
