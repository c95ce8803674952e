//! Messages of a control link.

use compact_str::CompactString;
use cuminarch_types::{ChangeId, EndpointId, Incarnation, Revision};
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

/// Periodic sign of life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// The sender.
    pub endpoint: EndpointId,
    /// The sender's process.
    pub incarnation: Incarnation,
    /// Revision of the configuration that the sender has in force.
    pub revision: Revision,
    /// Digest of the member list that the sender holds.
    pub members_digest: u64,
}

/// A whole configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigOffer {
    /// Its revision.
    pub revision: Revision,
    /// Identifies the change.
    pub change: ChangeId,
    /// The sheet as YAML text.
    pub sheet: String,
}

/// A message of a control link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum ControlMessage {
    /// Opens a link.
    Hello(Box<Hello>),
    /// Sign of life.
    Heartbeat(Heartbeat),
    /// What the sender believes about some members.
    Members(Vec<Member>),
    /// Asks for the receiver's whole member list.
    PullMembers,
    /// Asks for a configuration above this revision.
    PullConfig(Revision),
    /// Hands over a configuration.
    Config(Box<ConfigOffer>),
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
