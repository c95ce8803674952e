//! Datagrams between nodes about the allotments of client accounts.
//!
//! A datagram may be lost, repeated or late. Tokens are debited at their sender, so a lost or late
//! one can only lose tokens; [`AllotmentAsk::id`] lets a receiver drop repeated ones.

use cuminarch_types::{AccountName, EndpointId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::ProtocolError;
use crate::codec::{decode, encode_tagged, split_tag};
use crate::limit::FrameLimit;

const TAG_ASK: u8 = 1;
const TAG_GRANT: u8 = 2;

fn is_zero_u8(value: &u8) -> bool {
    *value == 0
}

fn is_zero_u32(value: &u32) -> bool {
    *value == 0
}

/// Asks the node that holds a part of an account's allotment for tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllotmentAsk {
    /// Unique among the asks of the sender's process.
    #[serde(rename = "i")]
    pub id: u64,
    /// The account.
    #[serde(rename = "a")]
    pub account: AccountName,
    /// Number of the part within the zone of the receiver.
    #[serde(default, rename = "s", skip_serializing_if = "is_zero_u8")]
    pub shard: u8,
    /// Tokens wanted now, in thousandths of a request.
    #[serde(rename = "w")]
    pub wanted_milli: u32,
    /// Tokens beyond these that the sender expects to use soon, in thousandths of a request.
    #[serde(default, rename = "e", skip_serializing_if = "is_zero_u32")]
    pub extra_milli: u32,
    /// Requests that arrived at the sender since its last ask for this account.
    #[serde(rename = "n")]
    pub arrived_requests: u32,
    /// Whether the sender holds a part of the same allotment, in another zone.
    #[serde(default, rename = "h", skip_serializing_if = "std::ops::Not::not")]
    pub is_from_holder: bool,
    /// Usage of the sender's part, in thousandths of its rate, if the sender holds one.
    #[serde(default, rename = "u", skip_serializing_if = "is_zero_u32")]
    pub usage_milli: u32,
}

/// Answers an ask.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllotmentGrant {
    /// Id of the ask.
    #[serde(rename = "i")]
    pub id: u64,
    /// The account.
    #[serde(rename = "a")]
    pub account: AccountName,
    /// Tokens handed over, in thousandths of a request. They expire if they are not used.
    #[serde(rename = "g")]
    pub granted_milli: u32,
    /// Lifetime of the tokens in milliseconds, counted from when the ask was sent.
    #[serde(default, rename = "l", skip_serializing_if = "is_zero_u32")]
    pub lifetime_ms: u32,
    /// Time until the missing tokens are free, in milliseconds; 0 if none is missing.
    #[serde(rename = "r")]
    pub retry_after_ms: u32,
    /// Arriving requests relative to the allotted rate, in thousandths: over all parts in an
    /// answer to an entry node, over the part of the sender in an answer to another holder.
    #[serde(rename = "u")]
    pub usage_milli: u32,
    /// Whether the sender does not hold a part of this allotment.
    #[serde(default, rename = "x", skip_serializing_if = "std::ops::Not::not")]
    pub is_not_holder: bool,
}

/// Content of a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AllotmentMessage {
    /// Asks for tokens.
    Ask(AllotmentAsk),
    /// Answers an ask.
    Grant(AllotmentGrant),
}

/// A datagram with its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AllotmentDatagram {
    /// The sender.
    pub from: EndpointId,
    /// Process of the sender.
    pub incarnation: Incarnation,
    /// The content.
    pub message: AllotmentMessage,
}

impl AllotmentDatagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, ProtocolError> {
        let sender = (&self.from, self.incarnation);
        match &self.message {
            AllotmentMessage::Ask(ask) => encode_tagged(TAG_ASK, &(sender, ask)),
            AllotmentMessage::Grant(grant) => encode_tagged(TAG_GRANT, &(sender, grant)),
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if it is empty, too long, of an unknown kind or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Self, ProtocolError> {
        let (tag, content) = split_tag(bytes, FrameLimit::CONTROL)?;
        let ((from, incarnation), message) = match tag {
            TAG_ASK => {
                let (sender, ask) = decode(content)?;
                (sender, AllotmentMessage::Ask(ask))
            }
            TAG_GRANT => {
                let (sender, grant) = decode(content)?;
                (sender, AllotmentMessage::Grant(grant))
            }
            _ => return Err(ProtocolError::UnknownTag { tag }),
        };
        Ok(Self { from, incarnation, message })
    }
}
