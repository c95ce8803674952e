use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use cuminarch_config::{Policy, ZoneStatus};
use cuminarch_protocol::{ControlMessage, Member};
use cuminarch_types::{EndpointId, Revision, StoreEra, ZoneName};

use crate::{ObjectVersion, ZoneMembers};

/// A call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformCall {
    /// List the objects under `members/`.
    ListMembers,
    /// The same, though what is returned may be some seconds old.
    ListMembersLagging,
    /// Wait for a change under `members/`.
    WatchMembers(ObjectVersion),
    /// List the objects under `config/`.
    ListConfig,
    /// The same, though what is returned may be some seconds old.
    ListConfigLagging,
    /// Wait for a change under `config/`.
    WatchConfig(ObjectVersion),
    /// Write the own zone's object under `members/` over this version of it.
    PutMembers(Arc<ZoneMembers>, Option<ObjectVersion>),
    /// Write the own zone's object under `status/`.
    PutStatus(ZoneStatus),
    /// Write a node's object under `members/` over this version of it, so that a write
    /// that is carried out late replaces nothing newer.
    PutMember(Arc<Member>, Option<ObjectVersion>),
}

/// Something that operators should know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetNotice {
    /// The platform does not answer this relay.
    PlatformUnavailable,
    /// The platform answers this relay again.
    PlatformAvailable,
    /// The platform's store came back from a copy, and is in this era now.
    StoreRestored(StoreEra),
    /// A configuration came into force.
    ConfigInForce(Revision),
    /// A configuration was refused.
    ConfigRefused(Revision, String),
    /// Two configurations have this revision; the first stays.
    ConfigConflict(Revision),
    /// Neither the platform nor a peer has given a configuration yet.
    SafeDefaults,
    /// Another process of the own endpoint is newer.
    Superseded,
    /// A member is suspected.
    Suspected(EndpointId),
    /// A member was given up.
    GivenUp(EndpointId),
    /// A zone cannot be reached.
    ZoneCut(ZoneName),
    /// A zone can be reached again.
    ZoneJoined(ZoneName),
}

impl fmt::Display for FleetNotice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PlatformUnavailable
            | Self::PlatformAvailable
            | Self::SafeDefaults
            | Self::Superseded => Ok(()),
            Self::StoreRestored(era) => write!(formatter, "era={era}"),
            Self::ConfigInForce(revision) | Self::ConfigConflict(revision) => {
                write!(formatter, "revision={revision}")
            }
            Self::ConfigRefused(revision, reason) => {
                write!(formatter, "revision={revision}: {reason}")
            }
            Self::Suspected(endpoint) | Self::GivenUp(endpoint) => {
                write!(formatter, "endpoint={endpoint}")
            }
            Self::ZoneCut(zone) | Self::ZoneJoined(zone) => write!(formatter, "zone={zone}"),
        }
    }
}

/// What a [`Fleet`](crate::Fleet) asks its driver to do.
#[derive(Clone, Debug)]
pub enum FleetAction {
    /// Send a message to a member, opening a link if there is none.
    Send(EndpointId, SocketAddr, ControlMessage),
    /// Open a link to whoever listens there; both sides say hello.
    Connect(SocketAddr),
    /// Call the platform; answer with [`FleetEvent::Platform`](crate::FleetEvent::Platform).
    Platform(PlatformCall),
    /// What to think of a member now. Its statement number counts views of
    /// this node, so that a later view always replaces an earlier one.
    View(Box<Member>),
    /// Put a policy into force.
    Policy(Arc<Policy>),
    /// Tell operators.
    Notice(FleetNotice),
}
