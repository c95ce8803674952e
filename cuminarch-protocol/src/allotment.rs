//! Datagrams between nodes about the allotments of client accounts.
//!
//! A datagram may be lost, repeated or late. Tokens are debited at their sender, so a lost or late
//! one can only lose tokens; [`AllotmentAsk::id`] lets a receiver drop repeated ones. The content
//! is encoded as an array without field names: a busy account causes many datagrams.

use cuminarch_types::{AccountName, EndpointId, Incarnation};
use serde::{Deserialize, Serialize};

use crate::ProtocolError;
use crate::codec::{decode, encode_tagged, split_tag};
use crate::limit::FrameLimit;

const TAG_ASK: u8 = 1;
const TAG_GRANT: u8 = 2;

/// Asks the node that holds a part of an account's allotment for tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "AskFields", into = "AskFields")]
pub struct AllotmentAsk {
    /// Unique among the asks of the sender's process.
    pub id: u64,
    /// The account.
    pub account: AccountName,
    /// Number of the part within the zone of the receiver.
    pub shard: u8,
    /// Tokens wanted now, in thousandths of a request.
    pub wanted_milli: u32,
    /// Tokens beyond these that the sender expects to use soon, in thousandths of a request.
    pub extra_milli: u32,
    /// Requests that arrived at the sender since its last ask for this account.
    pub arrived_requests: u32,
    /// Whether the sender holds a part of the same allotment, in another zone.
    pub is_from_holder: bool,
    /// Usage of the sender's part, in thousandths of its rate, if the sender holds one.
    pub usage_milli: u32,
}

/// Answers an ask.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "GrantFields", into = "GrantFields")]
pub struct AllotmentGrant {
    /// Id of the ask.
    pub id: u64,
    /// Tokens handed over, in thousandths of a request. They expire if they are not used.
    pub granted_milli: u32,
    /// Lifetime of the tokens in milliseconds, counted from when the ask was sent.
    pub lifetime_ms: u32,
    /// Time until the missing tokens are free, in milliseconds; 0 if none is missing.
    pub retry_after_ms: u32,
    /// Arriving requests relative to the allotted rate, in thousandths: over all parts in an
    /// answer to an entry node, over the part of the sender in an answer to another holder.
    pub usage_milli: u32,
    /// Whether the sender does not hold a part of this allotment.
    pub is_not_holder: bool,
}

type AskFields = (u64, AccountName, u8, u32, u32, u32, bool, u32);
type GrantFields = (u64, u32, u32, u32, u32, bool);

impl From<AskFields> for AllotmentAsk {
    fn from(fields: AskFields) -> Self {
        let (id, account, shard, wanted_milli, extra_milli, arrived_requests, holder, usage) =
            fields;
        Self {
            id,
            account,
            shard,
            wanted_milli,
            extra_milli,
            arrived_requests,
            is_from_holder: holder,
            usage_milli: usage,
        }
    }
}

impl From<AllotmentAsk> for AskFields {
    fn from(ask: AllotmentAsk) -> Self {
        (
            ask.id,
            ask.account,
            ask.shard,
            ask.wanted_milli,
            ask.extra_milli,
            ask.arrived_requests,
            ask.is_from_holder,
            ask.usage_milli,
        )
    }
}

impl From<GrantFields> for AllotmentGrant {
    fn from(fields: GrantFields) -> Self {
        let (id, granted_milli, lifetime_ms, retry_after_ms, usage_milli, is_not_holder) = fields;
        Self { id, granted_milli, lifetime_ms, retry_after_ms, usage_milli, is_not_holder }
    }
}

impl From<AllotmentGrant> for GrantFields {
    fn from(grant: AllotmentGrant) -> Self {
        (
            grant.id,
            grant.granted_milli,
            grant.lifetime_ms,
            grant.retry_after_ms,
            grant.usage_milli,
            grant.is_not_holder,
        )
    }
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
