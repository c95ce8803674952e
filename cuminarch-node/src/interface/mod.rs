//! Interfaces towards callers and the own upstream.
//!
//! A [`CallerInterface`] defines which header fields carry the service, the remaining time or the
//! outcome of a call. [`NativeInterface`] is cuminarch's own.

mod answer;
mod credential_fault;
mod key_field;
mod native;
mod plan;
mod registration;

use compact_str::CompactString;
use cuminarch_engine::Refusal;
use cuminarch_http::{RequestHead, ResponseHead};
use cuminarch_protocol::{HeaderField, RoutedCall, UpstreamSignals};
use cuminarch_types::{CallId, InstanceId, Outcome, ParseError, RequestId};

use crate::headers;

pub use crate::headers::{end_to_end_fields, parse_upstream_signals};
pub use answer::LocalAnswer;
pub use credential_fault::CredentialFault;
pub use key_field::{KeyField, with_account};
pub use native::{NativeInterface, random_request_id};
pub use plan::{CallPlan, IncomingRequest, ParsedRequest, Side};
pub use registration::{RegistrationError, RegistrationResult};

/// A request that is about to be sent to the own upstream.
#[derive(Clone, Debug)]
pub struct UpstreamCall<'a> {
    /// Id of the root request that it serves.
    pub root: RequestId,
    /// Id of the call.
    pub call: CallId,
    /// Time left in milliseconds.
    pub remaining_ms: u64,
    /// Instance of the upstream for which it is meant, if known.
    pub instance: Option<&'a InstanceId>,
    /// Properties derived from the route, if the call took one.
    pub routed: Option<&'a RoutedCall>,
}

/// Classification of an answer of the own upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerClass {
    /// The answer to the current request.
    Current {
        /// Whether the upstream reports a failure.
        is_failure: bool,
    },
    /// A late answer to an earlier request; the current answer may follow.
    Stale,
    /// The upstream states that it has not run the request.
    NotRun,
    /// An answer that must not be forwarded.
    Invalid,
}

/// HTTP conventions of callers and the own upstream.
pub trait CallerInterface: Send + Sync {
    /// Parses a request of a caller or of the own upstream.
    fn parse_request(&self, request: &IncomingRequest<'_>) -> ParsedRequest;

    /// Returns the id of a request with these fields for logs, if the interface defines one.
    fn request_label(&self, _fields: &[HeaderField]) -> Option<CompactString> {
        None
    }

    /// Returns the name of the field that holds the client account of a forwarded request.
    fn account_field(&self) -> &'static str;

    /// Returns `true` if the value of a forwarded field is new in each attempt of a request.
    fn is_attempt_field(&self, name: &str) -> bool;

    /// Adds fields to a request for the own upstream.
    fn add_upstream_fields(&self, call: &UpstreamCall<'_>, fields: &mut Vec<HeaderField>);

    /// Classifies an answer of the own upstream to a request with these fields.
    fn classify_answer(&self, request: &[HeaderField], answer: &ResponseHead) -> AnswerClass;

    /// Returns what an upstream states about itself in the fields of an answer.
    ///
    /// # Errors
    ///
    /// Returns an error if a value is malformed.
    fn upstream_signals(&self, fields: &[HeaderField]) -> Result<UpstreamSignals, ParseError>;

    /// Returns the fields of an answer that are forwarded.
    fn answer_fields(&self, answer: &ResponseHead) -> Vec<HeaderField> {
        headers::end_to_end_fields(&answer.fields)
    }

    /// Adds fields to an answer that is forwarded to the caller.
    fn add_answer_fields(&self, outcome: Outcome, root: RequestId, fields: &mut Vec<HeaderField>);

    /// Returns the node's own final answer to a call, with the echoed fields of its [`CallPlan`].
    fn refusal(&self, refusal: &Refusal, root: RequestId, echo: &[HeaderField]) -> LocalAnswer;

    /// Returns the answer to a request that is not accepted as a call.
    fn error_answer(&self, status: u16, text: &str) -> LocalAnswer;

    /// Returns `true` if new calls of callers are refused while the node shuts down.
    fn refuses_while_draining(&self) -> bool;

    /// Returns `true` if `content-length` in a chunked request is an error.
    fn rejects_length_with_chunked(&self) -> bool;

    /// Parses a registration of the own upstream.
    fn parse_registration(&self, head: &RequestHead, body: &[u8]) -> RegistrationResult;
}
