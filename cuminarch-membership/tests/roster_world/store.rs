//! A store that keeps objects by version and may come back from a copy.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::ConfigDocument;
use cuminarch_membership::{ObjectVersion, PlatformCall, PlatformReply, ZoneMembers, ZoneObject};
use cuminarch_protocol::Member;
use cuminarch_types::{EndpointId, MonoTime, StoreEra};

/// What the store holds at one moment.
#[derive(Clone, Debug, Default)]
struct Content {
    era: u64,
    version: u64,
    objects: BTreeMap<EndpointId, (u64, Arc<Member>)>,
    config: Option<(u64, ConfigDocument)>,
}

/// The store, with copies of what it held during the last seconds.
#[derive(Debug)]
pub struct StoreModel {
    content: Content,
    copies: VecDeque<(MonoTime, Content)>,
    /// How far readings that may lag are behind.
    pub lag: Duration,
}

impl StoreModel {
    const MOST_COPIES: usize = 400;

    pub fn new() -> Self {
        let content = Content { era: 1, version: 1, ..Content::default() };
        Self { content, copies: VecDeque::new(), lag: Duration::ZERO }
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

    /// Other writers of the platform change objects of theirs.
    pub fn advance_version(&mut self, changes: u64) {
        self.content.version += changes;
    }

    /// Another writer puts its own words in the place of a member's object.
    pub fn overwrite(&mut self, member: Member) {
        self.content.version += 1;
        let object = (self.content.version, Arc::new(member));
        self.content.objects.insert(object.1.endpoint.clone(), object);
    }

    /// Keeps a copy of what is held now.
    pub fn take_backup(&mut self, now: MonoTime) {
        self.copies.push_back((now, self.content.clone()));
        while self.copies.len() > Self::MOST_COPIES {
            self.copies.pop_front();
        }
    }

    /// The store comes back from a copy of this age, in a new era.
    pub fn restore(&mut self, age: Duration, now: MonoTime) {
        let era = self.content.era + 1;
        self.content = Content { era, ..self.copy(age, now) };
    }

    fn copy(&self, age: Duration, now: MonoTime) -> Content {
        let is_old = |(at, _): &&(MonoTime, Content)| now.since(*at) >= age;
        let copy = self.copies.iter().rev().find(is_old).or_else(|| self.copies.front());
        copy.map_or_else(|| self.content.clone(), |(_, content)| content.clone())
    }

    /// Carries out a call other than a watch.
    pub fn call(&mut self, call: &PlatformCall, now: MonoTime) -> PlatformReply {
        match call {
            PlatformCall::ListMembersLagging => self.copy(self.lag, now).members(),
            PlatformCall::ListConfigLagging => self.copy(self.lag, now).config(0),
            PlatformCall::ListMembers => self.content.members(),
            PlatformCall::PutMember(member, expected) => self.content.put(member, *expected),
            _ => self.content.config(0),
        }
    }

    /// The answer to a watch, or nothing as long as it waits.
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

    /// The configuration, if it changed after a version.
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
