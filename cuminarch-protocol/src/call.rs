//! Frames of a data link.
//!
//! Names are one letter long on the wire: a head is sent for each call and each answer,
//! and on small calls names would be a quarter of the bytes.

use bytes::Bytes;
use compact_str::CompactString;
use cuminarch_types::{Attempts, Outcome, Rank, RequestId, RouteName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::codec::{decode, encode_tagged, split_tag};
use crate::{FrameLimit, ProtocolError, SendKind};

const TAG_HEAD: u8 = 1;
const TAG_BODY: u8 = 2;
const TAG_BODY_END: u8 = 3;
const TAG_REFUSAL: u8 = 4;
const TAG_CANCEL: u8 = 5;

/// One header field of a request or an answer, in its original order.
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
    /// Joins a name and a value.
    #[must_use]
    pub fn new(name: impl Into<CompactString>, value: impl Into<Vec<u8>>) -> Self {
        Self { name: name.into(), value: value.into() }
    }
}

/// What the first node knows of a call from the route that it took.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutedCall {
    /// The route.
    #[serde(rename = "r")]
    pub route: RouteName,
    /// Service of the upstream beside the first node.
    #[serde(rename = "c")]
    pub caller_service: ServiceName,
    /// Zone of the first node.
    #[serde(rename = "z")]
    pub caller_zone: ZoneName,
    /// Whether an upstream makes the call for a request that it runs.
    #[serde(default, rename = "n", skip_serializing_if = "std::ops::Not::not")]
    pub is_nested: bool,
    /// Time within which an answer is of full use, in milliseconds.
    #[serde(rename = "o")]
    pub objective_ms: u32,
    /// Which send this is.
    #[serde(default, rename = "s", skip_serializing_if = "SendKind::is_first")]
    pub send: SendKind,
}

/// Opens a call on a data link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallHead {
    /// The member's request that this call serves.
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
    /// Attempts that the call may spend beneath itself.
    #[serde(rename = "a")]
    pub share: Attempts,
    /// Place in the refusal order.
    #[serde(rename = "p")]
    pub rank: Rank,
    /// Time left until the deadline in milliseconds.
    #[serde(rename = "d")]
    pub remaining_ms: u64,
    /// Whether the sender's policy calls the request idempotent.
    #[serde(rename = "i")]
    pub idempotent: bool,
    /// Idempotency key, bound or chosen by the client.
    #[serde(default, rename = "k", skip_serializing_if = "Option::is_none")]
    pub key: Option<CompactString>,
    /// What the route says, if the call took one.
    #[serde(default, rename = "u", skip_serializing_if = "Option::is_none")]
    pub routed: Option<RoutedCall>,
}

/// Load that an endpoint reports with its answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Calls that run or wait there, in thousandths of those that it runs at once.
    #[serde(rename = "o")]
    pub occupancy_milli: u32,
    /// The service most short of capacity at or behind the endpoint, if any is.
    #[serde(default, rename = "p", skip_serializing_if = "Option::is_none")]
    pub pressure: Option<PressureReport>,
    /// Calls that one call of this route causes at the service called most behind
    /// the endpoint, in thousandths.
    #[serde(default, rename = "f", skip_serializing_if = "is_zero")]
    pub fan_out_milli: u32,
    /// Whether only upstreams make calls on this route, as far as the endpoint knows.
    #[serde(default, rename = "i", skip_serializing_if = "std::ops::Not::not")]
    pub is_internal: bool,
}

// Serde passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// How short of capacity a service is.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PressureReport {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Part of its load that has to be shed, in thousandths.
    #[serde(rename = "m")]
    pub shed_milli: u16,
    /// Time since this was so, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Time for which one call of this route holds slots of the service, in microseconds.
    #[serde(rename = "l")]
    pub load_us: u32,
}

/// Closes the account of a call: what it leaves of its share, and the
/// admission level of the services behind it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Receipt {
    /// Attempts of the share that were not spent.
    #[serde(rename = "u")]
    pub unspent: Attempts,
    /// Highest admission level met by the call.
    #[serde(rename = "l")]
    pub level: Rank,
    /// Time since that level was in force, in milliseconds.
    #[serde(rename = "a")]
    pub level_age_ms: u32,
    /// Load of the endpoint and of what lies behind it.
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

/// Answer of a node that did not obtain one from its upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RefusalHead {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Why, in words for logs and callers.
    pub reason: CompactString,
    /// Time after which a new attempt makes sense, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// The endpoint's bound key that the request must be sent with instead.
    pub bound_to: Option<CompactString>,
    /// Whether the endpoint's upstream saw the call and turned it away itself.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub reached_upstream: bool,
    /// What the call leaves of its share.
    pub receipt: Receipt,
}

/// A frame from the caller's node to the upstream's node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallFrame {
    /// Opens a call.
    Head(Box<CallHead>),
    /// Part of the request body.
    Body(Bytes),
    /// The request body is whole.
    BodyEnd,
    /// The sender gives up the rest of the request body, as it has its final answer.
    Cancel,
}

impl CallFrame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Fails when a head cannot be written as CBOR.
    pub fn encode(&self) -> Result<Bytes, ProtocolError> {
        match self {
            Self::Head(head) => encode_tagged(TAG_HEAD, head).map(Bytes::from),
            Self::Body(bytes) => Ok(encode_body(bytes)),
            Self::BodyEnd => Ok(Bytes::from_static(&[TAG_BODY_END])),
            Self::Cancel => Ok(Bytes::from_static(&[TAG_CANCEL])),
        }
    }

    /// Decodes a frame of at most `limit` bytes; a body shares its memory.
    ///
    /// # Errors
    ///
    /// Fails on an empty, too long, unknown or malformed frame.
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

/// A frame from the upstream's node to the caller's node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerFrame {
    /// Opens the upstream's answer.
    Head(Box<AnswerHead>),
    /// Part of the answer body.
    Body(Bytes),
    /// The answer body is whole.
    BodyEnd(Receipt),
    /// There is no answer of the upstream.
    Refusal(Box<RefusalHead>),
    /// The upstream broke off within the body.
    Truncated(Receipt),
}

impl AnswerFrame {
    /// Encodes the frame.
    ///
    /// # Errors
    ///
    /// Fails when a head cannot be written as CBOR.
    pub fn encode(&self) -> Result<Bytes, ProtocolError> {
        match self {
            Self::Head(head) => encode_tagged(TAG_HEAD, head).map(Bytes::from),
            Self::Body(bytes) => Ok(encode_body(bytes)),
            Self::BodyEnd(receipt) => encode_tagged(TAG_BODY_END, receipt).map(Bytes::from),
            Self::Refusal(head) => encode_tagged(TAG_REFUSAL, head).map(Bytes::from),
            Self::Truncated(receipt) => encode_tagged(TAG_CANCEL, receipt).map(Bytes::from),
        }
    }

    /// Decodes a frame of at most `limit` bytes; a body shares its memory.
    ///
    /// # Errors
    ///
    /// Fails on an empty, too long, unknown or malformed frame.
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
