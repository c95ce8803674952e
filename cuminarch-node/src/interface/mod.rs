//! What callers and the own upstream speak to a node.
//!
//! The node carries calls; which fields name the service, the time left or the
//! outcome is up to a [`CallerInterface`]. [`NativeInterface`] is the product's
//! own.

mod answer;
mod native;
mod plan;
mod registration;

use compact_str::CompactString;
use cuminarch_engine::Refusal;
use cuminarch_http::{RequestHead, ResponseHead};
use cuminarch_protocol::{HeaderField, RoutedCall};
use cuminarch_types::{CallId, InstanceId, Outcome, RequestId};

use crate::headers;

pub use crate::headers::end_to_end_fields;
pub use answer::LocalAnswer;
pub use native::{NativeInterface, random_request_id};
pub use plan::{CallPlan, IncomingRequest, ParsedRequest, Side};
pub use registration::{RegistrationError, RegistrationResult};

/// A request that is about to be passed to the own upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCall<'a> {
    /// The member's request that it serves.
    pub root: RequestId,
    /// The call.
    pub call: CallId,
    /// Time left in milliseconds.
    pub remaining_ms: u64,
    /// The lifetime of the upstream that it is meant for, if that is known.
    pub instance: Option<&'a InstanceId>,
    /// What the route says, if the call took one.
    pub routed: Option<&'a RoutedCall>,
}

/// What an answer of the own upstream is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerClass {
    /// The answer to the request.
    Current {
        /// Whether the upstream answers that it failed.
        is_failure: bool,
    },
    /// A late answer to an earlier request; the own one may follow.
    Stale,
    /// The upstream states that it has not run the request.
    NotRun,
    /// Nothing that may be passed on.
    Invalid,
}

/// The dialect of HTTP that callers and the own upstream speak.
pub trait CallerInterface: Send + Sync {
    /// Reads who asks for what.
    fn parse_request(&self, request: &IncomingRequest<'_>) -> ParsedRequest;

    /// The id under which logs name a request with these fields, if it has one of
    /// its own.
    fn request_label(&self, _fields: &[HeaderField]) -> Option<CompactString> {
        None
    }

    /// Adds fields to a request for the own upstream.
    fn add_upstream_fields(&self, call: &UpstreamCall<'_>, fields: &mut Vec<HeaderField>);

    /// Judges an answer of the own upstream to a request with these fields.
    fn classify_answer(&self, request: &[HeaderField], answer: &ResponseHead) -> AnswerClass;

    /// Fields of an answer that are passed on.
    fn answer_fields(&self, answer: &ResponseHead) -> Vec<HeaderField> {
        headers::end_to_end_fields(&answer.fields)
    }

    /// Adds fields to an answer that is passed to the caller.
    fn add_answer_fields(&self, outcome: Outcome, root: RequestId, fields: &mut Vec<HeaderField>);

    /// The node's own final answer to a call; `echo` is that of its [`CallPlan`].
    fn refusal(&self, refusal: &Refusal, root: RequestId, echo: &[HeaderField]) -> LocalAnswer;

    /// The answer to a request that is not taken as a call.
    fn error_answer(&self, status: u16, text: &str) -> LocalAnswer;

    /// Whether new calls of callers are refused while the node shuts down.
    fn refuses_while_draining(&self) -> bool;

    /// Whether a length beside chunks makes a request malformed.
    fn rejects_length_with_chunked(&self) -> bool;

    /// Reads what the own upstream says of itself.
    fn parse_registration(&self, head: &RequestHead, body: &[u8]) -> RegistrationResult;
}
