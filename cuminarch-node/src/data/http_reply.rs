//! Answers to callers, forwarded or from the node itself.

use bytes::{Bytes, BytesMut};
use cuminarch_engine::{Refusal, RefusalReason};
use cuminarch_protocol::{AnswerHead, HeaderField};
use cuminarch_types::{Outcome, RequestId};

use super::answer::{Answer, AnswerBody};
use super::body::BrokenBody;
use crate::interface::{CallerInterface, LocalAnswer};

/// Body of an answer to a caller.
pub enum ReplyBody {
    /// Complete in memory.
    Buffered(Bytes),
    /// Forwarded as it arrives.
    Streaming(Box<StreamedBody>),
    /// No body, regardless of the stated length.
    None,
}

/// Body of an answer that is forwarded as it arrives.
pub struct StreamedBody {
    /// The part that has been received.
    pub received: BytesMut,
    pub rest: AnswerBody,
    root: RequestId,
    echoed_fields: Vec<HeaderField>,
}

impl StreamedBody {
    /// Receives more of the body, up to this length or a little more. Returns `true` at its end.
    async fn receive(&mut self, max_len_bytes: usize) -> Result<bool, BrokenBody> {
        while self.received.len() < max_len_bytes {
            match self.rest.next().await.transpose()? {
                Some(bytes) => self.received.extend_from_slice(&bytes),
                None => return Ok(true),
            }
        }
        Ok(false)
    }
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

impl HttpReply {
    /// Receives the body if it is not much longer than `max_len_bytes`. An answer that breaks off
    /// is replaced by the node's own.
    pub async fn receive_body(
        mut self,
        interface: &dyn CallerInterface,
        max_len_bytes: usize,
    ) -> Self {
        let ReplyBody::Streaming(mut body) = self.body else { return self };
        match body.receive(max_len_bytes).await {
            Ok(true) => {
                self.len_bytes = u64::try_from(body.received.len()).ok();
                self.body = ReplyBody::Buffered(body.received.freeze());
                self
            }
            Ok(false) => Self { body: ReplyBody::Streaming(body), ..self },
            Err(BrokenBody) => broken_answer(interface, body.root, &body.echoed_fields),
        }
    }
}

/// Returns the answer in place of one that broke off before its head was written.
fn broken_answer(
    interface: &dyn CallerInterface,
    root: RequestId,
    echoed_fields: &[HeaderField],
) -> HttpReply {
    let refusal = Refusal::unknown(RefusalReason::UpstreamFailed);
    interface.refusal(&refusal, root, echoed_fields).into()
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
    echoed_fields: Vec<HeaderField>,
    is_head: bool,
) -> HttpReply {
    let AnswerHead { status, headers: mut fields, body_len_bytes } = answer.head;
    let has_no_body = is_head || matches!(status, 204 | 304) || body_len_bytes == Some(0);
    let body = if has_no_body {
        if answer.body.expect_end().await.is_err() {
            return broken_answer(interface, root, &echoed_fields);
        }
        ReplyBody::None
    } else {
        let received = BytesMut::new();
        let body = StreamedBody { received, rest: answer.body, root, echoed_fields };
        ReplyBody::Streaming(Box::new(body))
    };
    let len_bytes = body_len_bytes.filter(|_| status != 204);
    if let Some(len_bytes) = len_bytes {
        fields.push(HeaderField::new("content-length", len_bytes.to_string()));
    }
    interface.add_answer_fields(Outcome::Completed, root, &mut fields);
    HttpReply { status, fields, len_bytes, body, closes: false }
}
