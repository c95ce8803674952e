//! Messages of a control link.

use std::sync::Arc;

use compact_str::CompactString;
use cuminarch_types::{ChangeId, EndpointId, Revision, StoreEra, ZoneName};
use serde::{Deserialize, Serialize};

use crate::codec::{decode, encode_tagged, split_tag};
use crate::{FrameLimit, Member, ProtocolError};

const TAG_CONTROL: u8 = 16;

/// First message in each direction of a control link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    /// Name of the fleet; links between fleets are refused.
    pub fleet: CompactString,
    /// The sender's own entry.
    pub member: Member,
}

/// Periodic sign of life, and the answer to one.
///
/// Field names are short on the wire, because a relay handles one from each of
/// its nodes every second.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Revision of the configuration that the sender has in force.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Digest of the members that the sender knows.
    #[serde(rename = "d")]
    pub members_digest: u64,
    /// Zones of which the sender, a relay, hears no relay.
    #[serde(default, rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub cut_zones: Vec<ZoneName>,
    /// Whether the sender, a relay, lacks the platform.
    #[serde(default, rename = "p", skip_serializing_if = "is_false")]
    pub lacks_platform: bool,
    /// What the sender, a relay, has put into force; told to relays of its zone.
    #[serde(default, rename = "s", skip_serializing_if = "Option::is_none")]
    pub coverage: Option<Coverage>,
    /// Time since the platform was known to hold no newer configuration, in milliseconds.
    #[serde(default, rename = "v", skip_serializing_if = "Option::is_none")]
    pub verified_age_ms: Option<u32>,
    /// Latest era of the platform's store that the sender has seen.
    #[serde(default, rename = "e", skip_serializing_if = "is_no_era")]
    pub store_era: StoreEra,
}

/// How far the configuration is in force at the members that a relay serves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Coverage {
    /// Members served, the relay included.
    #[serde(rename = "m")]
    pub members: u32,
    /// Those that have the relay's revision in force.
    #[serde(rename = "f")]
    pub in_force: u32,
    /// Lowest revision in force at one of them.
    #[serde(rename = "l")]
    pub lowest: Revision,
}

// Serde passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
const fn is_no_era(era: &StoreEra) -> bool {
    era.get() == 0
}

// Serde passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// What a relay has heard of a member that another relay asked about.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LastSeenReport {
    /// The member.
    #[serde(rename = "e")]
    pub endpoint: EndpointId,
    /// Time since its last sign of life in milliseconds; none if there was none lately.
    #[serde(rename = "a")]
    pub age_ms: Option<u32>,
}

/// A whole configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// Its revision.
    pub revision: Revision,
    /// Identifies the change.
    pub change: ChangeId,
    /// The sheet as YAML text.
    pub sheet: String,
}

/// A configuration as a change to an earlier one.
///
/// The new sheet is the first `prefix_len_bytes` of the base, then `middle`,
/// then the last `suffix_len_bytes` of the base.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPatch {
    /// Revision that the change applies to.
    pub base: Revision,
    /// Revision that results.
    pub revision: Revision,
    /// Identifies the change.
    pub change: ChangeId,
    /// Bytes kept from the start of the base.
    pub prefix_len_bytes: u32,
    /// Bytes kept from the end of the base.
    pub suffix_len_bytes: u32,
    /// Text between the two.
    pub middle: String,
    /// Checksum of the resulting sheet.
    pub checksum: u64,
}

/// A message of a control link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub enum ControlMessage {
    /// Opens a link.
    #[serde(rename = "hello")]
    Hello(Box<Hello>),
    /// Asks for a hello, when the sender of a heartbeat is not known.
    #[serde(rename = "identify")]
    Identify,
    /// Sign of life.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Answer to a sign of life.
    #[serde(rename = "a")]
    Ack(Heartbeat),
    /// Statements about some members.
    #[serde(rename = "members")]
    Members(Vec<Arc<Member>>),
    /// Digests of the sender's members by bucket; asks for those that differ.
    #[serde(rename = "buckets")]
    Buckets(Vec<u64>),
    /// Asks whether a member was heard of.
    #[serde(rename = "ask")]
    LastSeenQuery(EndpointId),
    /// Answers that question.
    #[serde(rename = "heard")]
    LastSeenReply(LastSeenReport),
    /// Asks for a configuration above this revision.
    #[serde(rename = "pull")]
    PullConfig(Revision),
    /// Hands over a configuration.
    #[serde(rename = "config")]
    Config(Arc<ConfigSnapshot>),
    /// Hands over a configuration as a change.
    #[serde(rename = "patch")]
    Patch(Arc<ConfigPatch>),
}

impl ControlMessage {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be written as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, ProtocolError> {
        encode_tagged(TAG_CONTROL, self)
    }

    /// Decodes a message of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails on an empty, too long, unknown or malformed frame.
    pub fn decode(bytes: &[u8], limit: FrameLimit) -> Result<Self, ProtocolError> {
        let (tag, content) = split_tag(bytes, limit)?;
        match tag {
            TAG_CONTROL => decode(content),
            _ => Err(ProtocolError::UnknownTag { tag }),
        }
    }
}
