//! Executes calls to the platform for the state machine.

use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::ConfigDocument;
use cuminarch_membership::{FleetEvent, PlatformCall, PlatformReply, ZoneMembers, ZoneObject};
use cuminarch_platform::{
    Listing, Object, ObjectPath, ObjectStore, ObjectVersion, PlatformError, Precondition,
};
use cuminarch_protocol::Member;
use cuminarch_types::{ParseError, StoreEra, ZoneName};
use flume::{Receiver, Sender, TrySendError};

use crate::NodeError;
use crate::duty::Duties;
use crate::event::NodeEvent;

const MEMBERS: &str = "members";
const CURRENT_CONFIG: &str = "config/current";

/// Threads that call the platform, one for each kind of call that may block.
pub struct PlatformThreads {
    calls: Sender<PlatformCall>,
    members: Sender<PlatformCall>,
    config: Sender<PlatformCall>,
    verification: Sender<PlatformCall>,
    replies: Receiver<FleetEvent>,
}

impl PlatformThreads {
    const RING_CAPACITY: usize = 16;

    /// Starts the threads; they end after their last call once this is dropped.
    pub fn spawn(
        store: &Arc<dyn ObjectStore>,
        watch_timeout: Duration,
        duties: &Duties,
    ) -> Result<Self, NodeError> {
        let (reply, replies) = flume::bounded(Self::RING_CAPACITY);
        let start = |duty: &'static str| {
            let (sender, calls) = flume::bounded(Self::RING_CAPACITY);
            let (store, reply) = (Arc::clone(store), reply.clone());
            let client = StoreClient { store, watch_timeout };
            duties.spawn(duty, move || run(&client, &calls, &reply)).map(|_| sender)
        };
        let calls = start("platform")?;
        let members = start("platform-members")?;
        let config = start("platform-config")?;
        let verification = start("platform-verify")?;
        Ok(Self { calls, members, config, verification, replies })
    }

    /// Queues a call. Returns a failure as its reply if the queue is full or closed.
    pub fn submit(&self, call: PlatformCall) -> Option<(PlatformCall, PlatformReply)> {
        let ring = match call {
            PlatformCall::WatchMembers(_) => &self.members,
            PlatformCall::ListConfig
            | PlatformCall::ListConfigLagging
            | PlatformCall::WatchConfig(_)
            | PlatformCall::WatchConfigFor(..) => &self.config,
            PlatformCall::VerifyConfig => &self.verification,
            _ => &self.calls,
        };
        match ring.try_send(call) {
            Ok(()) => None,
            Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) => {
                Some((call, PlatformReply::Failed))
            }
        }
    }

    /// Returns the receiver of replies and of eras of the store.
    pub const fn replies(&self) -> &Receiver<FleetEvent> {
        &self.replies
    }
}

/// Executes calls to the store.
struct StoreClient {
    store: Arc<dyn ObjectStore>,
    /// Time that a watch waits.
    watch_timeout: Duration,
}

fn run(client: &StoreClient, calls: &Receiver<PlatformCall>, replies: &Sender<FleetEvent>) {
    let mut sent_era = StoreEra::default();
    while let Ok(call) = calls.recv() {
        let reply = client.execute(&call).unwrap_or_else(|error| {
            log::warn!("{} {call:?}: {error}", NodeEvent::PlatformCallFailed);
            PlatformReply::Failed
        });
        // The era is sent first, because the reply is evaluated by it.
        let era = client.store.latest_era();
        let is_sent = std::mem::replace(&mut sent_era, era) == era
            || replies.send(FleetEvent::StoreEra(era)).is_ok();
        if !is_sent || replies.send(FleetEvent::Platform(call, reply)).is_err() {
            return;
        }
    }
}

/// Lists all members.
///
/// # Errors
///
/// Returns an error if the platform does not answer.
pub fn read_members(store: &dyn ObjectStore) -> Result<PlatformReply, PlatformError> {
    Ok(members_reply(&store.list(&path(MEMBERS)?)?))
}

impl StoreClient {
    fn execute(&self, call: &PlatformCall) -> Result<PlatformReply, PlatformError> {
        let store = &*self.store;
        match call {
            PlatformCall::ListMembers => read_members(store),
            PlatformCall::ListMembersLagging => {
                Ok(members_reply(&store.list_allow_stale(&path(MEMBERS)?)?))
            }
            PlatformCall::WatchMembers(after) => {
                Ok(members_reply(&store.watch(&path(MEMBERS)?, *after, self.watch_timeout)?))
            }
            PlatformCall::ListConfig | PlatformCall::VerifyConfig => {
                config_reply(&store.list(&path(CURRENT_CONFIG)?)?)
            }
            PlatformCall::ListConfigLagging => {
                config_reply(&store.list_allow_stale(&path(CURRENT_CONFIG)?)?)
            }
            PlatformCall::WatchConfig(after) => {
                config_reply(&store.watch(&path(CURRENT_CONFIG)?, *after, self.watch_timeout)?)
            }
            PlatformCall::WatchConfigFor(after, wait) => {
                config_reply(&store.watch(&path(CURRENT_CONFIG)?, *after, *wait)?)
            }
            PlatformCall::PutMembers(value, expected) => put_members(store, value, *expected),
            PlatformCall::PutStatus(status) => {
                let path = path(&format!("status/{}", status.zone))?;
                let value = serde_json::to_string(status).map_err(malformed)?;
                store.put(&path, &value, Precondition::Any).map(|_| PlatformReply::StatusWritten)
            }
            PlatformCall::PutMember(member, expected) => {
                let path = path(&format!("{MEMBERS}/{}", member.endpoint))?;
                let value = serde_json::to_string(member).map_err(malformed)?;
                put_expected(store, &path, &value, *expected)
            }
        }
    }
}

fn put_members(
    store: &dyn ObjectStore,
    value: &ZoneMembers,
    expected: Option<ObjectVersion>,
) -> Result<PlatformReply, PlatformError> {
    let path = members_path(&value.zone)?;
    let text = serde_json::to_string(value).map_err(malformed)?;
    put_expected(store, &path, &text, expected)
}

/// Writes an object if it still has the expected version; `None` expects no object.
fn put_expected(
    store: &dyn ObjectStore,
    path: &ObjectPath,
    text: &str,
    expected: Option<ObjectVersion>,
) -> Result<PlatformReply, PlatformError> {
    let expect = expected.map_or(Precondition::Absent, Precondition::Version);
    match store.put(path, text, expect) {
        Ok(version) => Ok(PlatformReply::MembersWritten(version)),
        Err(PlatformError::Conflict { current, .. }) => {
            let object = current.and_then(|current| parse_zone_object(&current));
            Ok(PlatformReply::MembersConflict(object))
        }
        Err(error) => Err(error),
    }
}

fn members_path(zone: &ZoneName) -> Result<ObjectPath, PlatformError> {
    path(&format!("{MEMBERS}/{zone}"))
}

fn members_reply(listing: &Listing) -> PlatformReply {
    let version = listing.version;
    let zones = listing.objects.iter().filter_map(parse_zone_object).collect();
    PlatformReply::Members { version, zones }
}

fn parse_zone_object(object: &Object) -> Option<ZoneObject> {
    let version = object.version;
    if let Ok(value) = serde_json::from_str::<ZoneMembers>(&object.value) {
        return Some(ZoneObject { version, value });
    }
    match serde_json::from_str::<Member>(&object.value) {
        Ok(member) => {
            let zone = member.zone.clone();
            Some(ZoneObject { version, value: ZoneMembers { zone, members: vec![member.into()] } })
        }
        Err(error) => {
            log::warn!("{} object={}: {error}", NodeEvent::ObjectUnreadable, object.path);
            None
        }
    }
}

fn config_reply(listing: &Listing) -> Result<PlatformReply, PlatformError> {
    let current = listing.objects.iter().find(|object| object.path.as_str() == CURRENT_CONFIG);
    let document: Option<ConfigDocument> =
        current.map(|object| serde_json::from_str(&object.value)).transpose().map_err(malformed)?;
    Ok(PlatformReply::Config { version: listing.version, document })
}

fn path(text: &str) -> Result<ObjectPath, PlatformError> {
    text.parse().map_err(|error: ParseError| malformed(error))
}

fn malformed(error: impl std::fmt::Display) -> PlatformError {
    PlatformError::Protocol { reason: error.to_string() }
}
