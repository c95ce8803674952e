use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use cuminarch_config::{Policy, ZoneStatus};
use cuminarch_protocol::{ControlMessage, Member, UpstreamRecord};
use cuminarch_types::{EndpointId, Revision, StoreEra, ZoneName};

use crate::{ConfigCurrency, ConfigSource, ObjectVersion, ZoneMembers};

/// A call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformCall {
    /// List the objects under `members/`.
    ListMembers,
    /// The same with a stale read: the reply may be some seconds old.
    ListMembersLagging,
    /// Wait for a change under `members/`.
    WatchMembers(ObjectVersion),
    /// List the objects under `config/`.
    ListConfig,
    /// The same with a stale read: the reply may be some seconds old.
    ListConfigLagging,
    /// List the objects under `config/`, also while a watch waits.
    VerifyConfig,
    /// Wait for a change under `config/`.
    WatchConfig(ObjectVersion),
    /// Wait for a change under `config/` for at most this time.
    WatchConfigFor(ObjectVersion, Duration),
    /// Replace the own zone's object under `members/` if it still has this version.
    PutMembers(Arc<ZoneMembers>, Option<ObjectVersion>),
    /// Write the own zone's object under `status/`.
    PutStatus(ZoneStatus),
    /// Replace a node's object under `members/` if it still has this version. The check
    /// keeps a write that is executed late from overwriting a newer object.
    PutMember(Arc<Member>, Option<ObjectVersion>),
}

/// An event to report to operators.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FleetNotice {
    /// The platform stopped answering this node.
    PlatformUnavailable,
    /// The platform answers this node again.
    PlatformAvailable,
    /// The platform's store was restored from a backup and is in this era now.
    StoreRestored(StoreEra),
    /// A configuration from this source came into force; the last evidence that the one before
    /// it was the latest follows.
    ConfigInForce(Revision, ConfigSource, ConfigCurrency),
    /// It has not been known for longer than a change may take that the configuration in force is
    /// the latest.
    ConfigUnverified(Revision, ConfigCurrency),
    /// The configuration in force is known to be the latest again, from this source; the evidence
    /// before it follows.
    ConfigVerified(Revision, ConfigSource, ConfigCurrency),
    /// A configuration was refused.
    ConfigRefused(Revision, String),
    /// An entry of the configuration in force is not served; its name and the reason follow.
    ConfigEntrySetAside(Revision, CompactString, String),
    /// So many further entries are not served.
    ConfigEntriesLeftOut(Revision, usize),
    /// Two configurations have this revision; the first one stays in force.
    ConfigConflict(Revision),
    /// Neither the platform nor a peer has provided a configuration yet.
    SafeDefaults,
    /// A newer process of the own endpoint exists.
    Superseded,
    /// The store names the members, and an earlier process of the own endpoint among them.
    Rejoined,
    /// A member is suspected.
    Suspected(EndpointId),
    /// A member was removed because it did not refute a suspicion or has been replaced.
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
            | Self::Superseded
            | Self::Rejoined => Ok(()),
            Self::StoreRestored(era) => write!(formatter, "era={era}"),
            Self::ConfigInForce(revision, source, currency)
            | Self::ConfigVerified(revision, source, currency) => {
                write!(formatter, "revision={revision} source={source} {currency}")
            }
            Self::ConfigUnverified(revision, currency) => {
                write!(formatter, "revision={revision} {currency}")
            }
            Self::ConfigConflict(revision) => write!(formatter, "revision={revision}"),
            Self::ConfigEntrySetAside(revision, entry, reason) => {
                write!(formatter, "revision={revision} entry={entry}: {reason}")
            }
            Self::ConfigEntriesLeftOut(revision, count) => {
                write!(formatter, "revision={revision} left_out={count}")
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

impl FleetNotice {
    /// Maximum number of entries of a configuration that are reported one by one.
    const MAX_REPORTED_ENTRIES: usize = 20;

    /// Returns the notices about the entries that a policy does not serve.
    pub(crate) fn about_set_aside(policy: &Policy) -> Vec<Self> {
        let (revision, entries) = (policy.revision(), policy.set_aside());
        let reported = entries.iter().take(Self::MAX_REPORTED_ENTRIES);
        let mut notices: Vec<Self> = reported
            .map(|found| {
                Self::ConfigEntrySetAside(revision, found.entry.clone(), found.reason.clone())
            })
            .collect();
        if entries.len() > notices.len() {
            notices.push(Self::ConfigEntriesLeftOut(revision, entries.len() - notices.len()));
        }
        notices
    }
}

/// An action that a [`Fleet`](crate::Fleet) asks its driver to execute.
#[derive(Clone, Debug)]
pub enum FleetAction {
    /// Send a message to a member, opening a link if none exists.
    Send(EndpointId, SocketAddr, ControlMessage),
    /// Open a link to the node at this address; both sides send a hello.
    Connect(SocketAddr),
    /// Call the platform; the reply is a [`FleetEvent::Platform`](crate::FleetEvent::Platform).
    Platform(PlatformCall),
    /// Update the view of a member. Its statement number counts the views of this
    /// node, so a later view always replaces an earlier one.
    View(Box<Member>),
    /// Apply what an earlier process of the own endpoint knew about the upstream.
    UpstreamHistory(Box<UpstreamRecord>),
    /// Nobody who can be asked knows more about the upstream than was reported so far.
    UpstreamHistoryComplete,
    /// Nobody could be asked about the upstream. Registrations that arrive from now on were sent by
    /// a live upstream; earlier ones may have been late.
    UpstreamHistoryUnknown,
    /// Have the own upstream register once more: nobody can tell what earlier processes knew.
    UpstreamUnconfirmed,
    /// The departure of the upstream is stored, or other members know of it.
    UpstreamRecorded(Box<UpstreamRecord>),
    /// Apply a policy.
    Policy(Arc<Policy>),
    /// Report to operators.
    Notice(FleetNotice),
}
