use std::sync::Arc;

use cuminarch_config::ConfigDocument;
use cuminarch_protocol::{ControlMessage, Member, UpstreamRecord};
use cuminarch_types::{EndpointId, ObjectVersion, StoreEra, ZoneName};
use serde::{Deserialize, Serialize};

use crate::PendingUpstream;

/// Value of the object `members/ZONE`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneMembers {
    /// The zone.
    pub zone: ZoneName,
    /// Members of the zone that have not gone.
    pub members: Vec<Arc<Member>>,
}

/// The object `members/ZONE` with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneObject {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Value of the object.
    pub value: ZoneMembers,
}

/// Result of a call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformReply {
    /// Objects under `members/`: all of them, or those that changed during a watch.
    Members {
        /// Version of the store.
        version: ObjectVersion,
        /// The objects.
        zones: Vec<ZoneObject>,
    },
    /// The object `config/current`, if it exists and, for a watch, has changed.
    Config {
        /// Version of the store.
        version: ObjectVersion,
        /// The document.
        document: Option<ConfigDocument>,
    },
    /// The own zone's members were written.
    MembersWritten(ObjectVersion),
    /// The write failed because the object did not have the expected version.
    MembersConflict(Option<ZoneObject>),
    /// The own zone's status was written.
    StatusWritten,
    /// The call failed; a write may have taken effect.
    Failed,
}

/// An event that a [`Fleet`](crate::Fleet) handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetEvent {
    /// Timer tick, expected about every [`Fleet::TICK`](crate::Fleet::TICK).
    Tick,
    /// A message arrived over the link to this member.
    Received(EndpointId, ControlMessage),
    /// The link to this member broke.
    LinkLost(EndpointId),
    /// The link to this member was closed because it did not reply; the member may be well.
    LinkUnresponsive(EndpointId),
    /// A call to the platform ended.
    Platform(crate::PlatformCall, PlatformReply),
    /// The store reported this era in an answer.
    StoreEra(StoreEra),
    /// The node of this member refused a call that was meant for another endpoint at its address.
    Misdirected(Box<Member>),
    /// The record of the own upstream changed.
    Upstream(UpstreamRecord),
    /// A registration of the own upstream waits for what earlier processes have acknowledged.
    UpstreamPending(PendingUpstream),
    /// The own endpoint stops taking work.
    Leave,
    /// The own process is about to end.
    Stop,
}
