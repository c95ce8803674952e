//! Carries out the calls to the platform that the state machine asks for.

use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::ConfigDocument;
use cuminarch_membership::{FleetEvent, PlatformCall, PlatformReply, ZoneMembers, ZoneObject};
use cuminarch_platform::{
    Expect, Listing, Object, ObjectPath, ObjectStore, ObjectVersion, PlatformError,
};
use cuminarch_protocol::Member;
use cuminarch_types::{ParseError, StoreEra, ZoneName};
use flume::{Receiver, Sender, TrySendError};

use crate::NodeError;
use crate::duty::Duties;
use crate::event::NodeEvent;

const MEMBERS: &str = "members";
const CURRENT_CONFIG: &str = "config/current";

/// Threads that call the platform, one for each kind of call that may wait.
pub struct PlatformThreads {
    calls: Sender<PlatformCall>,
    members: Sender<PlatformCall>,
    config: Sender<PlatformCall>,
    replies: Receiver<FleetEvent>,
}

impl PlatformThreads {
    const RING_CAPACITY: usize = 16;

    /// Starts the threads; they end after their last call when this is dropped.
    pub fn spawn(
        store: &Arc<dyn ObjectStore>,
        watch_time: Duration,
        duties: &Duties,
    ) -> Result<Self, NodeError> {
        let (reply, replies) = flume::bounded(Self::RING_CAPACITY);
        let start = |duty: &'static str| {
            let (sender, calls) = flume::bounded(Self::RING_CAPACITY);
            let (store, reply) = (Arc::clone(store), reply.clone());
            let caller = StoreClient { store, watch_timeout: watch_time };
            duties.spawn(duty, move || run(&caller, &calls, &reply)).map(|_| sender)
        };
        let calls = start("platform")?;
        let members = start("platform-members")?;
        let config = start("platform-config")?;
        Ok(Self { calls, members, config, replies })
    }

    /// Hands a call over. Returns its reply at once if it cannot be made.
    pub fn submit(&self, call: PlatformCall) -> Option<(PlatformCall, PlatformReply)> {
        let ring = match call {
            PlatformCall::WatchMembers(_) => &self.members,
            PlatformCall::ListConfig
            | PlatformCall::ListConfigLagging
            | PlatformCall::WatchConfig(_) => &self.config,
            _ => &self.calls,
        };
        match ring.try_send(call) {
            Ok(()) => None,
            Err(TrySendError::Full(call) | TrySendError::Disconnected(call)) => {
                Some((call, PlatformReply::Failed))
            }
        }
    }

    /// Where replies come, and what they say of the store.
    pub const fn replies(&self) -> &Receiver<FleetEvent> {
        &self.replies
    }
}

/// Makes calls to the store.
struct StoreClient {
    store: Arc<dyn ObjectStore>,
    /// Time for which a watch waits.
    watch_timeout: Duration,
}

fn run(caller: &StoreClient, calls: &Receiver<PlatformCall>, replies: &Sender<FleetEvent>) {
    let mut told_era = StoreEra::default();
    while let Ok(call) = calls.recv() {
        let reply = caller.execute(&call).unwrap_or_else(|error| {
            log::warn!("{} {call:?}: {error}", NodeEvent::PlatformCallFailed);
            PlatformReply::Failed
        });
        // Told first, as the reply is judged by it.
        let era = caller.store.latest_era();
        let is_told = std::mem::replace(&mut told_era, era) == era
            || replies.send(FleetEvent::StoreEra(era)).is_ok();
        if !is_told || replies.send(FleetEvent::Platform(call, reply)).is_err() {
            return;
        }
    }
}

/// Reads all members.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub fn read_members(store: &dyn ObjectStore) -> Result<PlatformReply, PlatformError> {
    Ok(members_reply(&store.list(&path(MEMBERS)?)?))
}

impl StoreClient {
    fn execute(&self, call: &PlatformCall) -> Result<PlatformReply, PlatformError> {
        let store = &*self.store;
        match call {
            PlatformCall::ListMembers => read_members(store),
            PlatformCall::ListMembersLagging => {
                Ok(members_reply(&store.list_lagging(&path(MEMBERS)?)?))
            }
            PlatformCall::WatchMembers(after) => {
                Ok(members_reply(&store.watch(&path(MEMBERS)?, *after, self.watch_timeout)?))
            }
            PlatformCall::ListConfig => config_reply(&store.list(&path(CURRENT_CONFIG)?)?),
            PlatformCall::ListConfigLagging => {
                config_reply(&store.list_lagging(&path(CURRENT_CONFIG)?)?)
            }
            PlatformCall::WatchConfig(after) => {
                config_reply(&store.watch(&path(CURRENT_CONFIG)?, *after, self.watch_timeout)?)
            }
            PlatformCall::PutMembers(value, expected) => put_members(store, value, *expected),
            PlatformCall::PutStatus(status) => {
                let path = path(&format!("status/{}", status.zone))?;
                let value = serde_json::to_string(status).map_err(malformed)?;
                store.put(&path, &value, Expect::Any).map(|_| PlatformReply::StatusWritten)
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

/// Writes an object over this version of it, or where there is none.
fn put_expected(
    store: &dyn ObjectStore,
    path: &ObjectPath,
    text: &str,
    expected: Option<ObjectVersion>,
) -> Result<PlatformReply, PlatformError> {
    let expect = expected.map_or(Expect::Absent, Expect::Version);
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
