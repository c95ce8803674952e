//! Frames of a data link.
//!
//! Field names are one letter long on the wire: each call and each answer has a head, and full
//! names would be a quarter of the bytes of a small call.

use bytes::Bytes;
use compact_str::CompactString;
use cuminarch_types::{
    Attempts, LifetimeDigest, Outcome, Rank, RequestId, RouteName, ServiceName, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::codec::{decode, encode_tagged, split_tag};
use crate::{FrameLimit, Member, ProtocolError, SendKind};

/// Feature of a data link: heads of calls name the lifetime of the upstream that they are meant for,
/// and the refusal of a call that was meant for another endpoint names the one that refused it.
pub const DESTINATION_FEATURE: &str = "destination";

const TAG_HEAD: u8 = 1;
const TAG_BODY: u8 = 2;
const TAG_BODY_END: u8 = 3;
const TAG_REFUSAL: u8 = 4;
const TAG_CANCEL: u8 = 5;

/// A header field of a request or an answer; lists of fields keep their original order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeaderField {
    /// Field name in lower case.
    #[serde(rename = "n")]
    pub name: CompactString,
    /// Field value as received.
    #[serde(rename = "v", with = "crate::byte_string")]
    pub value: Vec<u8>,
}

impl HeaderField {
    /// Creates a header field.
    #[must_use]
    pub fn new(name: impl Into<CompactString>, value: impl Into<Vec<u8>>) -> Self {
        Self { name: name.into(), value: value.into() }
    }
}

/// Properties of a call that the entry node derives from its route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutedCall {
    /// The route.
    #[serde(rename = "r")]
    pub route: RouteName,
    /// Service of the entry node's own upstream.
    #[serde(rename = "c")]
    pub caller_service: ServiceName,
    /// Zone of the entry node.
    #[serde(rename = "z")]
    pub caller_zone: ZoneName,
    /// Whether an upstream makes the call on behalf of a request that it runs.
    #[serde(default, rename = "n", skip_serializing_if = "std::ops::Not::not")]
    pub is_nested: bool,
    /// Objective: time within which an answer has its full value, in milliseconds.
    #[serde(rename = "o")]
    pub objective_ms: u32,
    /// Kind of this send.
    #[serde(default, rename = "s", skip_serializing_if = "SendKind::is_first")]
    pub send: SendKind,
}

/// Opens a call on a data link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallHead {
    /// Id of the root request that this call serves.
    #[serde(rename = "r")]
    pub root: RequestId,
    /// The service that is called.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// HTTP method.
    #[serde(rename = "m")]
    pub method: CompactString,
    /// Path and query as the caller sent them.
    #[serde(rename = "t")]
    pub target: CompactString,
    /// Header fields without hop-by-hop ones.
    #[serde(rename = "h")]
    pub headers: Vec<HeaderField>,
    /// Length of the body in bytes, if it is known.
    #[serde(default, rename = "b", skip_serializing_if = "Option::is_none")]
    pub body_len_bytes: Option<u64>,
    /// Attempts that nested calls of this call may spend.
    #[serde(rename = "a")]
    pub share: Attempts,
    /// Rank in the order of refusal.
    #[serde(rename = "p")]
    pub rank: Rank,
    /// Time left until the deadline in milliseconds.
    #[serde(rename = "d")]
    pub remaining_ms: u64,
    /// Whether the sender's policy declares the request idempotent.
    #[serde(rename = "i")]
    pub idempotent: bool,
    /// Idempotency key, bound or chosen by the client.
    #[serde(default, rename = "k", skip_serializing_if = "Option::is_none")]
    pub key: Option<CompactString>,
    /// Properties derived from the route, if the call took one.
    #[serde(default, rename = "u", skip_serializing_if = "Option::is_none")]
    pub routed: Option<RoutedCall>,
    /// Lifetime of the upstream for which the call is meant; any, if it is absent. Only nodes that
    /// announce [`DESTINATION_FEATURE`] can read it.
    #[serde(default, rename = "l", skip_serializing_if = "Option::is_none")]
    pub lifetime: Option<LifetimeDigest>,
}

/// Load that an endpoint reports with its answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Running and waiting calls, in thousandths of the number that the endpoint runs concurrently.
    #[serde(rename = "o")]
    pub occupancy_milli: u32,
    /// The service with the greatest shortage at or behind the endpoint, if any.
    #[serde(default, rename = "p", skip_serializing_if = "Option::is_none")]
    pub pressure: Option<PressureReport>,
    /// Fan-out in thousandths: calls that one call of this route causes at the service behind the
    /// endpoint that is called most.
    #[serde(default, rename = "f", skip_serializing_if = "is_zero")]
    pub fan_out_milli: u32,
    /// Whether only upstreams make calls on this route, as far as the endpoint knows.
    #[serde(default, rename = "i", skip_serializing_if = "std::ops::Not::not")]
    pub is_internal: bool,
    /// What the endpoint takes well, if it learns that.
    #[serde(default, rename = "c", skip_serializing_if = "Option::is_none")]
    pub capacity: Option<CapacityReport>,
}

/// What an endpoint takes well, as its own node measures it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityReport {
    /// Requests that it runs concurrently at most.
    #[serde(rename = "l")]
    pub limit: u32,
    /// Typical time of a run of this route, in microseconds, once enough runs have ended.
    #[serde(default, rename = "w", skip_serializing_if = "Option::is_none")]
    pub run_time_us: Option<u32>,
}

// `skip_serializing_if` passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// Capacity shortage of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PressureReport {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Fraction of its load that has to be shed, in thousandths.
    #[serde(rename = "m")]
    pub shed_milli: u16,
    /// Age of this observation in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Time that one call of this route occupies slots of the service, in microseconds.
    #[serde(rename = "l")]
    pub load_us: u32,
}

/// Final report on a call: the unspent attempts of its share, and the admission level of the
/// services behind it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Receipt {
    /// Unspent attempts of the share.
    #[serde(rename = "u")]
    pub unspent: Attempts,
    /// Highest admission level that the call met.
    #[serde(rename = "l")]
    pub level: Rank,
    /// Age of that level in milliseconds.
    #[serde(rename = "a")]
    pub level_age_ms: u32,
    /// Load of the endpoint and of the services behind it.
    #[serde(default, rename = "d", skip_serializing_if = "Option::is_none")]
    pub load: Option<Box<LoadReport>>,
}

/// Opens an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerHead {
    /// HTTP status code.
    #[serde(rename = "s")]
    pub status: u16,
    /// Header fields without hop-by-hop ones.
    #[serde(rename = "h")]
    pub headers: Vec<HeaderField>,
    /// Length of the body in bytes, if it is known.
    #[serde(default, rename = "b", skip_serializing_if = "Option::is_none")]
    pub body_len_bytes: Option<u64>,
}

/// Answer of a node that has none from its upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RefusalHead {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Reason, for logs and callers.
    pub reason: CompactString,
    /// Time after which a retry makes sense, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Bound key of the endpoint with which the request must be sent instead.
    pub bound_to: Option<CompactString>,
    /// Whether the call reached the endpoint's upstream and was turned away there.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reached_upstream: bool,
    /// Final report on the call.
    pub receipt: Receipt,
    /// The node's statement about itself, if the call was meant for another endpoint. Only nodes
    /// that announce [`DESTINATION_FEATURE`] can read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub member: Option<Box<Member>>,
}

/// A frame from the entry node to the serving node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallFrame {
    /// Opens a call.
    Head(Box<CallHead>),
    /// Part of the request body.
    Body(Bytes),
    /// The request body is complete.
    BodyEnd,
    /// The sender cancels the rest of the request body, because it has its final answer.
    Cancel,
}

impl CallFrame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Returns an error if a head cannot be encoded as CBOR.
    pub fn encode(&self) -> Result<Bytes, ProtocolError> {
        match self {
            Self::Head(head) => encode_tagged(TAG_HEAD, head).map(Bytes::from),
            Self::Body(bytes) => Ok(encode_body(bytes)),
            Self::BodyEnd => Ok(Bytes::from_static(&[TAG_BODY_END])),
            Self::Cancel => Ok(Bytes::from_static(&[TAG_CANCEL])),
        }
    }

    /// Decodes a frame of at most `limit` bytes; a body shares the memory of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is empty, too long, of an unknown kind or malformed.
    pub fn decode(bytes: &Bytes, limit: FrameLimit) -> Result<Self, ProtocolError> {
        let (tag, content) = split_tag(bytes, limit)?;
        match tag {
            TAG_HEAD => Ok(Self::Head(Box::new(decode(content)?))),
            TAG_BODY => Ok(Self::Body(bytes.slice(1..))),
            TAG_BODY_END => Ok(Self::BodyEnd),
            TAG_CANCEL => Ok(Self::Cancel),
            _ => Err(ProtocolError::UnknownTag { tag }),
        }
    }
}

/// A frame from the serving node to the entry node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerFrame {
    /// Opens the upstream's answer.
    Head(Box<AnswerHead>),
    /// Part of the answer body.
    Body(Bytes),
    /// The answer body is complete.
    BodyEnd(Receipt),
    /// The node refused the call or got no answer from its upstream.
    Refusal(Box<RefusalHead>),
    /// The upstream's answer ended within the body.
    Truncated(Receipt),
}

impl AnswerFrame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Returns an error if a head cannot be encoded as CBOR.
    pub fn encode(&self) -> Result<Bytes, ProtocolError> {
        match self {
            Self::Head(head) => encode_tagged(TAG_HEAD, head).map(Bytes::from),
            Self::Body(bytes) => Ok(encode_body(bytes)),
            Self::BodyEnd(receipt) => encode_tagged(TAG_BODY_END, receipt).map(Bytes::from),
            Self::Refusal(head) => encode_tagged(TAG_REFUSAL, head).map(Bytes::from),
            Self::Truncated(receipt) => encode_tagged(TAG_CANCEL, receipt).map(Bytes::from),
        }
    }

    /// Decodes a frame of at most `limit` bytes; a body shares the memory of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is empty, too long, of an unknown kind or malformed.
    pub fn decode(bytes: &Bytes, limit: FrameLimit) -> Result<Self, ProtocolError> {
        let (tag, content) = split_tag(bytes, limit)?;
        match tag {
            TAG_HEAD => Ok(Self::Head(Box::new(decode(content)?))),
            TAG_BODY => Ok(Self::Body(bytes.slice(1..))),
            TAG_BODY_END => Ok(Self::BodyEnd(decode(content)?)),
            TAG_REFUSAL => Ok(Self::Refusal(Box::new(decode(content)?))),
            TAG_CANCEL => Ok(Self::Truncated(decode(content)?)),
            _ => Err(ProtocolError::UnknownTag { tag }),
        }
    }
}

fn encode_body(bytes: &[u8]) -> Bytes {
    let mut frame = Vec::with_capacity(bytes.len() + 1);
    frame.push(TAG_BODY);
    frame.extend_from_slice(bytes);
    Bytes::from(frame)
}
