use std::sync::Arc;

use cuminarch_config::ConfigDocument;
use cuminarch_protocol::{ControlMessage, Member, UpstreamRecord};
use cuminarch_types::{EndpointId, ObjectVersion, StoreEra, ZoneName};
use serde::{Deserialize, Serialize};

/// Value of the object `members/ZONE`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneMembers {
    /// The zone.
    pub zone: ZoneName,
    /// Its members that have not gone.
    pub members: Vec<Arc<Member>>,
}

/// The object `members/ZONE` with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ZoneObject {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Its value.
    pub value: ZoneMembers,
}

/// What came of a call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformReply {
    /// Objects under `members/`: all of them, or those that a watch saw change.
    Members {
        /// Version of the store.
        version: ObjectVersion,
        /// The objects.
        zones: Vec<ZoneObject>,
    },
    /// The object `config/current`, if there is one or it changed.
    Config {
        /// Version of the store.
        version: ObjectVersion,
        /// The document.
        document: Option<ConfigDocument>,
    },
    /// The own zone's members were written.
    MembersWritten(ObjectVersion),
    /// They were not, because the object is another one than expected.
    MembersConflict(Option<ZoneObject>),
    /// The own zone's status was written.
    StatusWritten,
    /// The call failed; a write may have taken effect.
    Failed,
}

/// What a [`Fleet`](crate::Fleet) is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetEvent {
    /// Time has passed; expected about every [`Fleet::TICK`](crate::Fleet::TICK).
    Tick,
    /// A message came over the link with this member.
    Received(EndpointId, ControlMessage),
    /// The link with this member broke.
    LinkLost(EndpointId),
    /// A call to the platform ended.
    Platform(crate::PlatformCall, PlatformReply),
    /// An answer of the store named this era.
    StoreEra(StoreEra),
    /// The own upstream has registered something new.
    Upstream(UpstreamRecord),
    /// The own endpoint stops taking work.
    Leave,
    /// The own process is about to end.
    Stop,
}
