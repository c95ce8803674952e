//! Models a store of versioned objects that can be restored from a backup.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::ConfigDocument;
use cuminarch_membership::{ObjectVersion, PlatformCall, PlatformReply, ZoneMembers, ZoneObject};
use cuminarch_protocol::Member;
use cuminarch_types::{EndpointId, MonoTime, StoreEra};

/// Content of the store at one time.
#[derive(Clone, Debug, Default)]
struct Content {
    era: u64,
    version: u64,
    objects: BTreeMap<EndpointId, (u64, Arc<Member>)>,
    config: Option<(u64, ConfigDocument)>,
}

/// The store, with backups of its content during the last seconds.
#[derive(Debug)]
pub struct StoreModel {
    content: Content,
    backups: VecDeque<(MonoTime, Content)>,
    /// Staleness of stale reads.
    pub lag: Duration,
}

impl StoreModel {
    const MAX_BACKUPS: usize = 400;

    pub fn new() -> Self {
        let content = Content { era: 1, version: 1, ..Content::default() };
        Self { content, backups: VecDeque::new(), lag: Duration::ZERO }
    }

    pub fn era(&self) -> StoreEra {
        StoreEra::new(self.content.era)
    }

    pub fn object(&self, endpoint: &EndpointId) -> Option<&Member> {
        self.content.objects.get(endpoint).map(|(_, member)| member.as_ref())
    }

    pub fn publish(&mut self, document: ConfigDocument) {
        self.content.version += 1;
        self.content.config = Some((self.content.version, document));
    }

    /// Advances the version, as writes of other systems to their objects do.
    pub fn advance_version(&mut self, changes: u64) {
        self.content.version += changes;
    }

    /// Replaces a member's object, as another writer might.
    pub fn overwrite(&mut self, member: Member) {
        self.content.version += 1;
        let object = (self.content.version, Arc::new(member));
        self.content.objects.insert(object.1.endpoint.clone(), object);
    }

    /// Stores a backup of the current content.
    pub fn take_backup(&mut self, now: MonoTime) {
        self.backups.push_back((now, self.content.clone()));
        while self.backups.len() > Self::MAX_BACKUPS {
            self.backups.pop_front();
        }
    }

    /// Restores the content from a backup of this age, in a new era.
    pub fn restore(&mut self, age: Duration, now: MonoTime) {
        let era = self.content.era + 1;
        self.content = Content { era, ..self.backup(age, now) };
    }

    fn backup(&self, age: Duration, now: MonoTime) -> Content {
        let is_old = |(at, _): &&(MonoTime, Content)| now.since(*at) >= age;
        let backup = self.backups.iter().rev().find(is_old).or_else(|| self.backups.front());
        backup.map_or_else(|| self.content.clone(), |(_, content)| content.clone())
    }

    /// Executes a call other than a watch.
    pub fn call(&mut self, call: &PlatformCall, now: MonoTime) -> PlatformReply {
        match call {
            PlatformCall::ListMembersLagging => self.backup(self.lag, now).members(),
            PlatformCall::ListConfigLagging => self.backup(self.lag, now).config(0),
            PlatformCall::ListMembers => self.content.members(),
            PlatformCall::PutMember(member, expected) => self.content.put(member, *expected),
            _ => self.content.config(0),
        }
    }

    /// Returns the answer to a watch, or `None` while it waits.
    pub fn watch(&self, after: ObjectVersion, is_over: bool) -> Option<PlatformReply> {
        if after.get() > self.content.version {
            return Some(PlatformReply::Failed);
        }
        let changed_at = self.content.config.as_ref().map_or(0, |(version, _)| *version);
        (is_over || changed_at > after.get()).then(|| self.content.config(after.get()))
    }
}

impl Content {
    fn of(&self, number: u64) -> ObjectVersion {
        ObjectVersion::new(number).with_era(StoreEra::new(self.era))
    }

    fn object(&self, number: u64, member: &Arc<Member>) -> ZoneObject {
        let value = ZoneMembers { zone: member.zone.clone(), members: vec![Arc::clone(member)] };
        ZoneObject { version: self.of(number), value }
    }

    fn members(&self) -> PlatformReply {
        let objects = self.objects.values();
        let zones = objects.map(|(version, member)| self.object(*version, member)).collect();
        PlatformReply::Members { version: self.of(self.version), zones }
    }

    /// Returns the configuration if it changed after a version.
    fn config(&self, after: u64) -> PlatformReply {
        let changed = self.config.as_ref().filter(|(version, _)| *version > after);
        let document = changed.map(|(_, document)| document.clone());
        PlatformReply::Config { version: self.of(self.version), document }
    }

    fn put(&mut self, member: &Arc<Member>, expected: Option<ObjectVersion>) -> PlatformReply {
        if let Some((version, held)) = self.objects.get(&member.endpoint)
            && expected.map(ObjectVersion::get) != Some(*version)
        {
            return PlatformReply::MembersConflict(Some(self.object(*version, held)));
        }
        self.version += 1;
        self.objects.insert(member.endpoint.clone(), (self.version, Arc::clone(member)));
        PlatformReply::MembersWritten(self.of(self.version))
    }
}
