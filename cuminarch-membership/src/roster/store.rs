//! Schedules the calls of this node to the platform's store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{Member, MemberState, UpstreamRecord};
use cuminarch_types::{EndpointId, MonoTime, ObjectVersion, Revision, StoreEra};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Roster;
use super::backoff::Backoffs;
use super::config_reads::ConfigRead;
use crate::call_kind::CallKind;
use crate::topology::rank_in_zone;
use crate::{FleetAction, FleetNotice, PlatformCall, PlatformReply, ZoneObject};

/// State of the calls to the store.
#[derive(Debug)]
pub struct StoreState {
    /// Calls under way, with the times at which they were started.
    under_way: BTreeMap<CallKind, MonoTime>,
    backoffs: Backoffs,
    /// Latest era that the store itself has reported.
    pub(super) era: Option<StoreEra>,
    /// Latest era that a peer has reported.
    pub(super) peer_era: StoreEra,
    /// Version of the store up to which the configuration is known.
    pub(super) config_version: Option<ObjectVersion>,
    /// Time of the next read of the members; `None` before the first one.
    pub(super) next_list_at: Option<MonoTime>,
    /// Whether the members have been read.
    pub(super) is_listed: bool,
    /// Whether an earlier process of the own endpoint was reported as rejoined.
    is_rejoined: bool,
    /// Whether the next read of the members must not be stale.
    pub(super) needs_current_list: bool,
    /// Whether the own object matches the current state of the node.
    pub is_own_object_current: bool,
    /// When the own object was last written; zero before the first write.
    pub(super) written_at: MonoTime,
    /// Version of the own object, if it exists.
    pub(super) own_version: Option<ObjectVersion>,
    /// Members whose objects this node has to rewrite, with the versions of the objects.
    pub(super) outdated: BTreeMap<EndpointId, ObjectVersion>,
    /// Time of the first call.
    first_call_at: MonoTime,
    /// Time of the next read of the configuration while there is none.
    pub(super) next_config_at: MonoTime,
    /// Whether the next watch is the first one after a read or a change.
    pub(super) is_first_watch: bool,
    /// When other members became known, or the node took itself for the only one.
    pub(super) settled_at: Option<MonoTime>,
    /// Record of the upstream in the own object.
    pub(super) written_upstream: Option<UpstreamRecord>,
    failures: u32,
    pub is_unavailable: bool,
    is_safe_defaults_reported: bool,
}

impl StoreState {
    /// Maximum delay before the first call, to spread out a mass restart.
    const START_JITTER: Duration = Duration::from_millis(150);

    pub fn new(rng: &mut ChaCha8Rng, now: MonoTime) -> Self {
        Self {
            under_way: BTreeMap::new(),
            backoffs: Backoffs::default(),
            era: None,
            peer_era: StoreEra::default(),
            config_version: None,
            next_list_at: None,
            is_listed: false,
            is_rejoined: false,
            needs_current_list: false,
            is_own_object_current: true,
            written_at: MonoTime::ZERO,
            own_version: None,
            outdated: BTreeMap::new(),
            first_call_at: now.after(Self::START_JITTER.mul_f64(rng.random_range(0.0..1.0))),
            next_config_at: now,
            is_first_watch: true,
            settled_at: None,
            written_upstream: None,
            failures: 0,
            is_unavailable: false,
            is_safe_defaults_reported: false,
        }
    }
}

impl Roster {
    /// Interval between two reads of the members by a node that has just started.
    const INITIAL_LIST_INTERVAL: Duration = Duration::from_millis(1_500);
    /// Maximum staleness of a stale read: the platform specifies it only as some
    /// seconds.
    const MAX_STALENESS: Duration = Duration::from_millis(3_500);
    /// Number of consecutive failures after which the store counts as unavailable.
    const UNAVAILABLE_AFTER_FAILURES: u32 = 2;
    /// Interval between two reads of the members by the first node of a zone.
    const LIST_INTERVAL: Duration = Duration::from_secs(10);
    /// Interval between two reads of the members by the other nodes.
    const LIST_INTERVAL_OTHERS: Duration = Duration::from_secs(120);
    /// Number of nodes of each zone that repair the objects of members that left.
    pub(super) const REPAIRING_RANKS: usize = 2;
    /// Delay after the start before a node reports that it has no configuration.
    const SAFE_DEFAULTS_DELAY: Duration = Duration::from_secs(3);

    /// Returns the rank of this node among the nodes of its zone, from 0.
    pub(super) fn rank(&self) -> usize {
        rank_in_zone(&self.own, &self.table)
    }

    /// Reports once that no configuration was found.
    fn report_safe_defaults(&mut self, now: MonoTime) {
        let is_late = now.since(self.started_at) >= Self::SAFE_DEFAULTS_DELAY;
        if is_late
            && !self.store.is_safe_defaults_reported
            && self.revision() == Revision::default()
        {
            self.store.is_safe_defaults_reported = true;
            self.notice(FleetNotice::SafeDefaults);
        }
    }

    /// Returns the delay until the members are read again, in case gossip has missed
    /// any. It is enough that one node of a zone reads often.
    fn list_interval(&mut self) -> Duration {
        let interval =
            if self.rank() == 0 { Self::LIST_INTERVAL } else { Self::LIST_INTERVAL_OTHERS };
        interval.mul_f64(self.rng.random_range(0.8..1.2))
    }

    fn initial_list_interval(&mut self) -> Duration {
        Self::INITIAL_LIST_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2))
    }

    pub(super) fn drive_store(&mut self, now: MonoTime) {
        self.report_safe_defaults(now);
        if now < self.store.first_call_at || self.own.state >= MemberState::Gone {
            return;
        }
        if self.store.next_list_at.is_none_or(|at| at <= now) {
            let may_lag = !self.store.needs_current_list;
            let call =
                if may_lag { PlatformCall::ListMembersLagging } else { PlatformCall::ListMembers };
            self.call(call, now);
        }
        if !self.store.is_own_object_current && self.has_upstream() {
            let version = self.store.own_version;
            self.call(PlatformCall::PutMember(self.own.clone(), version), now);
        }
        self.verify_history(now);
        self.repair_outdated(now);
        self.ask_for_config(now);
    }

    /// Returns `true` unless no upstream has registered yet.
    fn has_upstream(&self) -> bool {
        self.own.upstream.as_ref().is_none_or(|upstream| upstream.instance.is_some())
    }

    /// Starts a call unless one of its kind is under way or has just failed. Kinds do not wait for
    /// each other: a write that gets no answer must not delay a read of the configuration.
    pub(super) fn call(&mut self, call: PlatformCall, now: MonoTime) {
        let kind = CallKind::of(&call);
        if self.store.under_way.contains_key(&kind) || !self.store.backoffs.is_over(kind, now) {
            return;
        }
        self.store.under_way.insert(kind, now);
        if matches!(kind, CallKind::Config | CallKind::VerifyConfig) {
            self.evidence.reads = self.evidence.reads.saturating_add(1);
        }
        self.actions.push(FleetAction::Platform(call));
    }

    pub(super) fn store_replied(
        &mut self,
        call: &PlatformCall,
        reply: PlatformReply,
        now: MonoTime,
    ) {
        let kind = CallKind::of(call);
        let started_at = self.store.under_way.remove(&kind).unwrap_or(now);
        if reply == PlatformReply::Failed {
            return self.store_failed(call, now);
        }
        self.store.failures = 0;
        self.store.backoffs.succeeded(kind);
        self.history.store_answered(now);
        if std::mem::take(&mut self.store.is_unavailable) {
            self.notice(FleetNotice::PlatformAvailable);
        }
        match reply {
            PlatformReply::Members { version, zones } => {
                self.note_store_era(version.era(), now);
                self.members_listed(call, version, &zones, now);
            }
            PlatformReply::Config { version, document } => {
                self.note_store_era(version.era(), now);
                let read = ConfigRead { started_at, version, is_empty: document.is_none() };
                if let Some(document) = document {
                    self.stored_config_received(document, now);
                }
                self.config_read(call, &read, now);
            }
            PlatformReply::MembersWritten(version) => self.member_written(call, version, now),
            PlatformReply::MembersConflict(object) => {
                self.write_conflicted(call, object.as_ref(), now);
            }
            _ => {}
        }
        self.drive_store(now);
    }

    fn members_listed(
        &mut self,
        call: &PlatformCall,
        version: ObjectVersion,
        objects: &[ZoneObject],
        now: MonoTime,
    ) {
        let is_alone = self.table.len() == 1;
        for object in objects {
            for member in &object.value.members {
                self.member_listed(member, object.version, now);
            }
        }
        self.report_rejoined(objects);
        self.check_own_object(version, objects);
        if *call == PlatformCall::ListMembers {
            self.store.needs_current_list = false;
        }
        if !std::mem::replace(&mut self.store.is_listed, true) {
            self.ask_first_peers(now);
        }
        // Of two nodes that both write and then read, at least one finds the other.
        let is_new = now.since(self.store.written_at) < Self::MAX_STALENESS;
        let interval =
            if is_alone || is_new { self.initial_list_interval() } else { self.list_interval() };
        self.store.next_list_at = Some(now.after(interval));
    }

    /// Reports once that the other nodes have known this endpoint since before this process started.
    fn report_rejoined(&mut self, objects: &[ZoneObject]) {
        let mut members = objects.iter().flat_map(|object| &object.value.members);
        let is_known = members.any(|member| {
            member.endpoint == self.own.endpoint
                && member.incarnation < self.own.incarnation
                && member.state != MemberState::Gone
        });
        if is_known && !std::mem::replace(&mut self.store.is_rejoined, true) {
            self.notice(FleetNotice::Rejoined);
        }
    }

    fn member_written(&mut self, call: &PlatformCall, version: ObjectVersion, now: MonoTime) {
        let PlatformCall::PutMember(written, expected) = call else { return };
        if written.endpoint != self.own.endpoint {
            self.store.outdated.remove(&written.endpoint);
            if expected.is_some_and(|expected| expected.era() != version.era()) {
                // In this era, the expected version number may belong to another write.
                self.store.needs_current_list = true;
                self.store.next_list_at = Some(now);
            }
            return;
        }
        self.note_store_era(version.era(), now);
        if !self.is_of_latest_era(version) {
            return;
        }
        self.store.own_version = Some(version);
        self.store.is_own_object_current = written.upstream == self.own.upstream;
        self.store.written_upstream = written.upstream.clone();
        self.report_recorded(written.upstream.as_ref());
        self.confirm_history();
        if std::mem::replace(&mut self.store.written_at, now) == MonoTime::ZERO {
            self.store.next_list_at = None;
        }
    }

    /// Handles a conflict with an earlier write: one of this process whose answer was lost,
    /// one of the previous process, or a repair of the object by another node.
    fn write_conflicted(
        &mut self,
        call: &PlatformCall,
        object: Option<&ZoneObject>,
        now: MonoTime,
    ) {
        let PlatformCall::PutMember(written, expected) = call else { return };
        if written.endpoint != self.own.endpoint {
            self.store.outdated.remove(&written.endpoint);
            return;
        }
        let version = object.map(|object| object.version);
        if let Some(version) = version {
            self.note_store_era(version.era(), now);
        }
        self.store.own_version = version;
        for member in object.iter().flat_map(|object| &object.value.members) {
            self.adopt_history(member);
        }
        if object.is_some_and(|object| self.matches_own_state(object)) {
            self.store.is_own_object_current = true;
            self.store.written_upstream = self.own.upstream.clone();
            self.report_recorded(self.own.upstream.clone().as_ref());
            return;
        }
        if version.is_none() || version == *expected {
            // The reply contains nothing that would let the next write succeed.
            self.store.backoffs.extend(CallKind::PutMembers, now, &mut self.rng);
        }
    }

    /// Applies an object of the store. The own object may be up to date even if a
    /// previous process wrote it.
    fn member_listed(&mut self, member: &Arc<Member>, version: ObjectVersion, now: MonoTime) {
        if member.endpoint == self.own.endpoint {
            if self.is_of_latest_era(version) {
                self.store.own_version = self.store.own_version.max(Some(version));
            }
            return self.own_statement_received(member, now);
        }
        self.merge(member, now);
        let held = self.table.get(&member.endpoint);
        let is_outdated = held.is_some_and(|held| {
            held.supersedes(member) && !held.takes_work() && !knows_no_upstream_yet(held)
        });
        let is_repairable = self.rank() < Self::REPAIRING_RANKS && self.is_of_latest_era(version);
        if is_outdated && member.takes_work() && is_repairable {
            self.store.outdated.insert(member.endpoint.clone(), version);
        }
    }

    /// Returns `true` if an object has the content that this node would write now.
    fn matches_own_state(&self, object: &ZoneObject) -> bool {
        object.value.members.iter().any(|member| {
            member.endpoint == self.own.endpoint
                && member.incarnation == self.own.incarnation
                && member.upstream == self.own.upstream
        })
    }

    /// Has the own object written again if a read that is at least as recent shows that it
    /// is missing or differs.
    fn check_own_object(&mut self, version: ObjectVersion, objects: &[ZoneObject]) {
        let is_newer = self.store.own_version.is_some_and(|own| own <= version);
        if self.store.is_own_object_current && is_newer && self.store.written_at != MonoTime::ZERO {
            self.store.is_own_object_current =
                objects.iter().any(|object| self.matches_own_state(object));
        }
    }

    /// Asks some peers for the revision in force as soon as peers are known.
    fn ask_first_peers(&mut self, now: MonoTime) {
        if self.revision() == Revision::default() {
            self.next_gossip_at = now;
            self.gossip(now);
        }
        self.apply_pending_config(now);
    }

    /// Rewrites the objects of members that left while the store was unavailable. Nodes
    /// that start later would otherwise take these members for alive.
    fn repair_outdated(&mut self, now: MonoTime) {
        let Some((endpoint, version)) = self.store.outdated.first_key_value() else { return };
        let (endpoint, version) = (endpoint.clone(), *version);
        match self.table.get(&endpoint).cloned() {
            Some(held) if !held.takes_work() => {
                self.call(PlatformCall::PutMember(held, Some(version)), now);
            }
            _ => {
                self.store.outdated.remove(&endpoint);
            }
        }
    }

    /// Delays the next calls of a kind.
    pub(super) fn delay_calls(&mut self, kind: CallKind, wait: Duration, now: MonoTime) {
        self.store.backoffs.delay(kind, wait, now);
    }

    fn store_failed(&mut self, call: &PlatformCall, now: MonoTime) {
        self.store.failures = self.store.failures.saturating_add(1);
        let kind = CallKind::of(call);
        if matches!(kind, CallKind::Config | CallKind::VerifyConfig) {
            self.evidence.failed_reads = self.evidence.failed_reads.saturating_add(1);
        }
        if let PlatformCall::WatchConfigFor(after, _) = call {
            // A read since the start of the watch has replaced its version.
            self.store.config_version = self.store.config_version.filter(|held| held != after);
        }
        self.store.backoffs.failed(kind, now, &mut self.rng);
        if kind == CallKind::PutMembers && self.owes_departure() {
            self.store.backoffs.shorten(kind, Self::OWED_RETRY_DELAY, now);
        }
        if self.store.failures >= Self::UNAVAILABLE_AFTER_FAILURES && !self.store.is_unavailable {
            self.store.is_unavailable = true;
            self.notice(FleetNotice::PlatformUnavailable);
        }
    }
}

/// Returns `true` if a statement is of a process that runs, but has not verified its upstream.
fn knows_no_upstream_yet(statement: &Member) -> bool {
    let upstream = statement.upstream.as_ref();
    statement.state < MemberState::Leaving
        && upstream.is_some_and(|upstream| upstream.instance.is_none())
}
