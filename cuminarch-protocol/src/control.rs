//! Messages of a control link.

use std::fmt;
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
    /// Name of the fleet; links between different fleets are refused.
    pub fleet: CompactString,
    /// The sender's own member record.
    pub member: Member,
}

/// Periodic heartbeat, and the reply to one.
///
/// Field names are one letter long on the wire, because a relay handles a heartbeat from each of
/// its nodes every second.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Revision of the configuration in force at the sender.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Digest of the members that the sender knows.
    #[serde(rename = "d")]
    pub members_digest: u64,
    /// Zones in which the sender, a relay, reaches no relay.
    #[serde(default, rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub cut_zones: Vec<ZoneName>,
    /// Whether the sender, a relay, cannot reach the platform; without relays, whether the sender has
    /// not been able to store there that its upstream has left.
    #[serde(default, rename = "p", skip_serializing_if = "is_false")]
    pub lacks_platform: bool,
    /// Progress of the configuration at the members that the sender, a relay, serves; sent to the
    /// relays of its zone.
    #[serde(default, rename = "s", skip_serializing_if = "Option::is_none")]
    pub coverage: Option<Coverage>,
    /// Time since the platform was last known to hold no newer configuration, in milliseconds.
    #[serde(default, rename = "v", skip_serializing_if = "Option::is_none")]
    pub verified_age_ms: Option<u32>,
    /// Latest era of the platform's store that the sender has seen.
    #[serde(default, rename = "e", skip_serializing_if = "is_no_era")]
    pub store_era: StoreEra,
}

/// Progress of the configuration at the members that a relay serves.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Coverage {
    /// Number of members served, including the relay.
    #[serde(rename = "m")]
    pub members: u32,
    /// Number of these members with the relay's revision in force.
    #[serde(rename = "f")]
    pub in_force: u32,
    /// Lowest revision in force at any of these members.
    #[serde(rename = "l")]
    pub lowest: Revision,
}

// `skip_serializing_if` passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
const fn is_no_era(era: &StoreEra) -> bool {
    era.get() == 0
}

// `skip_serializing_if` passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
const fn is_false(value: &bool) -> bool {
    !*value
}

/// When a relay last received a message from a member; reply to another relay's query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LastSeenReport {
    /// The member.
    #[serde(rename = "e")]
    pub endpoint: EndpointId,
    /// Time since its last sign of life in milliseconds; `None` if there was no recent one.
    #[serde(rename = "a")]
    pub age_ms: Option<u32>,
}

/// A complete configuration.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigSnapshot {
    /// Its revision.
    pub revision: Revision,
    /// Id of the change.
    pub change: ChangeId,
    /// The sheet as YAML text.
    pub sheet: String,
}

/// Without the sheet, which may hold keys of client accounts.
impl fmt::Debug for ConfigSnapshot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { revision, change, sheet } = self;
        write!(formatter, "ConfigSnapshot({revision}, {change}, {} bytes)", sheet.len())
    }
}

/// A configuration as a patch to an earlier one.
///
/// The new sheet is the first `prefix_len_bytes` of the base, then `middle`,
/// then the last `suffix_len_bytes` of the base.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigPatch {
    /// Revision that the patch applies to.
    pub base: Revision,
    /// Resulting revision.
    pub revision: Revision,
    /// Id of the change.
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

/// Without the text, which may hold keys of client accounts.
impl fmt::Debug for ConfigPatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { base, revision, change, middle, .. } = self;
        write!(formatter, "ConfigPatch({base} to {revision}, {change}, {} bytes)", middle.len())
    }
}

/// A message of a control link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub enum ControlMessage {
    /// Opens a link.
    #[serde(rename = "hello")]
    Hello(Box<Hello>),
    /// Requests a hello, because the sender of a heartbeat is unknown.
    #[serde(rename = "identify")]
    Identify,
    /// Periodic heartbeat.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// Reply to a heartbeat.
    #[serde(rename = "a")]
    Ack(Heartbeat),
    /// Statements about some members.
    #[serde(rename = "members")]
    Members(Vec<Arc<Member>>),
    /// Digests of the sender's members by bucket; requests the members of buckets that differ.
    #[serde(rename = "buckets")]
    Buckets(Vec<u64>),
    /// Asks when a member was last seen.
    #[serde(rename = "ask")]
    LastSeenQuery(EndpointId),
    /// Reply to a [`Self::LastSeenQuery`].
    #[serde(rename = "heard")]
    LastSeenReply(LastSeenReport),
    /// Requests a configuration newer than this revision.
    #[serde(rename = "pull")]
    PullConfig(Revision),
    /// Sends a complete configuration.
    #[serde(rename = "config")]
    Config(Arc<ConfigSnapshot>),
    /// Sends a configuration as a patch.
    #[serde(rename = "patch")]
    Patch(Arc<ConfigPatch>),
}

impl ControlMessage {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded as CBOR.
    pub fn encode(&self) -> Result<Vec<u8>, ProtocolError> {
        encode_tagged(TAG_CONTROL, self)
    }

    /// Decodes a message of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is empty, too long, of an unknown kind or malformed.
    pub fn decode(bytes: &[u8], limit: FrameLimit) -> Result<Self, ProtocolError> {
        let (tag, content) = split_tag(bytes, limit)?;
        match tag {
            TAG_CONTROL => decode(content),
            _ => Err(ProtocolError::UnknownTag { tag }),
        }
    }
}
