use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminarch_config::{ConfigDocument, ZoneStatus};
use cuminarch_membership::{ObjectVersion, PlatformCall, PlatformReply, ZoneMembers, ZoneObject};
use cuminarch_types::{MonoTime, ZoneName};

/// A watch that is waiting for a change.
#[derive(Clone, Debug)]
pub struct PendingWatch {
    /// Index of the node.
    pub node: usize,
    /// Number of the node's process.
    pub process_number: u64,
    /// The call.
    pub call: PlatformCall,
    /// When the watch times out.
    pub ends_at: MonoTime,
}

/// Simulated store of the platform in virtual time.
#[derive(Debug, Default)]
pub struct VirtualPlatform {
    /// Whether every call fails.
    pub is_down: bool,
    /// Zones that cannot reach the platform.
    pub disconnected_zones: BTreeSet<ZoneName>,
    /// Number of calls by kind, failed ones included.
    pub calls_by_kind: BTreeMap<&'static str, u64>,
    /// Number of calls in each second.
    pub calls_by_second: BTreeMap<u64, u64>,
    /// Status reported by each zone.
    pub status: BTreeMap<ZoneName, ZoneStatus>,
    version: u64,
    members: BTreeMap<ZoneName, ZoneObject>,
    config: Option<(ConfigDocument, u64)>,
    backup: Option<Box<Backup>>,
    pub(super) pending_watches: Vec<PendingWatch>,
}

/// Contents of the platform at one point in time.
#[derive(Clone, Debug)]
struct Backup {
    version: u64,
    status: BTreeMap<ZoneName, ZoneStatus>,
    members: BTreeMap<ZoneName, ZoneObject>,
    config: Option<(ConfigDocument, u64)>,
}

impl VirtualPlatform {
    /// Time after which a watch without a change ends.
    pub const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

    /// Returns the number of calls of all kinds.
    #[must_use]
    pub fn total_calls(&self) -> u64 {
        self.calls_by_kind.values().sum()
    }

    /// Returns the maximum number of calls in one second from `since` on.
    #[must_use]
    pub fn peak_calls_since(&self, since: MonoTime) -> u64 {
        let first_second = since.as_micros() / 1_000_000;
        self.calls_by_second.range(first_second..).map(|(_, calls)| *calls).max().unwrap_or(0)
    }

    /// Stores a configuration.
    pub fn publish_config(&mut self, document: ConfigDocument) {
        self.version += 1;
        self.config = Some((document, self.version));
    }

    /// Takes a backup of the whole store, in place of an earlier one.
    pub fn back_up(&mut self) {
        self.backup = Some(Box::new(Backup {
            version: self.version,
            status: self.status.clone(),
            members: self.members.clone(),
            config: self.config.clone(),
        }));
    }

    /// Restores the backup, including its versions.
    pub(super) fn restore(&mut self) {
        let Some(backup) = self.backup.as_deref().cloned() else { return };
        self.version = backup.version;
        self.status = backup.status;
        self.members = backup.members;
        self.config = backup.config;
    }

    /// Returns the stored members of a zone.
    #[must_use]
    pub fn zone_members(&self, zone: &ZoneName) -> Option<&ZoneMembers> {
        self.members.get(zone).map(|object| &object.value)
    }

    pub(super) fn record_call(&mut self, call: &PlatformCall, now: MonoTime) {
        let kind = match call {
            PlatformCall::ListMembers | PlatformCall::ListMembersLagging => "list members",
            PlatformCall::WatchMembers(_) => "watch members",
            PlatformCall::ListConfig
            | PlatformCall::ListConfigLagging
            | PlatformCall::VerifyConfig => "list config",
            PlatformCall::WatchConfig(_) | PlatformCall::WatchConfigFor(..) => "watch config",
            PlatformCall::PutMembers(..) => "put members",
            PlatformCall::PutStatus(_) => "put status",
            PlatformCall::PutMember(..) => "put member",
        };
        *self.calls_by_kind.entry(kind).or_default() += 1;
        *self.calls_by_second.entry(now.as_micros() / 1_000_000).or_default() += 1;
    }

    /// Executes a call from a zone; returns `None` for a watch that has to wait.
    pub(super) fn execute(
        &mut self,
        call: &PlatformCall,
        zone: &ZoneName,
    ) -> Option<PlatformReply> {
        if self.is_down || self.disconnected_zones.contains(zone) {
            return Some(PlatformReply::Failed);
        }
        match call {
            PlatformCall::ListMembers | PlatformCall::ListMembersLagging => {
                Some(self.members_after(0))
            }
            PlatformCall::ListConfig
            | PlatformCall::ListConfigLagging
            | PlatformCall::VerifyConfig => Some(self.config_after(0)),
            PlatformCall::WatchMembers(after) => {
                let is_changed =
                    self.members.values().any(|object| object.version.get() > after.get());
                let is_restored = self.version < after.get();
                (is_changed || is_restored).then(|| self.members_after(after.get()))
            }
            PlatformCall::WatchConfig(after) | PlatformCall::WatchConfigFor(after, _) => {
                let is_changed =
                    self.config.as_ref().is_some_and(|(_, version)| *version > after.get());
                let is_restored = self.version < after.get();
                (is_changed || is_restored).then(|| self.config_after(after.get()))
            }
            PlatformCall::PutMembers(value, expected) => Some(self.put_members(value, *expected)),
            PlatformCall::PutStatus(status) => {
                self.status.insert(status.zone.clone(), status.clone());
                Some(PlatformReply::StatusWritten)
            }
            // Fleets with relays write members as whole zones only.
            PlatformCall::PutMember(..) => Some(PlatformReply::Failed),
        }
    }

    /// Returns the answer to a watch that ends without a change.
    pub(super) fn timeout_reply(&self, call: &PlatformCall) -> PlatformReply {
        let version = ObjectVersion::new(self.version);
        match call {
            PlatformCall::WatchConfig(_) | PlatformCall::WatchConfigFor(..) => {
                PlatformReply::Config { version, document: None }
            }
            _ => PlatformReply::Members { version, zones: Vec::new() },
        }
    }

    fn members_after(&self, after: u64) -> PlatformReply {
        let version = ObjectVersion::new(self.version);
        let changed = self.members.values().filter(|object| object.version.get() > after);
        PlatformReply::Members { version, zones: changed.cloned().collect() }
    }

    fn config_after(&self, after: u64) -> PlatformReply {
        let version = ObjectVersion::new(self.version);
        let changed = self.config.as_ref().filter(|(_, version)| *version > after);
        PlatformReply::Config { version, document: changed.map(|(document, _)| document.clone()) }
    }

    fn put_members(
        &mut self,
        value: &ZoneMembers,
        expected: Option<ObjectVersion>,
    ) -> PlatformReply {
        let current = self.members.get(&value.zone);
        if current.map(|object| object.version) != expected {
            return PlatformReply::MembersConflict(current.cloned());
        }
        self.version += 1;
        let version = ObjectVersion::new(self.version);
        self.members.insert(value.zone.clone(), ZoneObject { version, value: value.clone() });
        PlatformReply::MembersWritten(version)
    }
}
