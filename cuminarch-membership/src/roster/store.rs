//! Calls to the platform's store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{EndpointId, MonoTime, ObjectVersion, Revision, StoreEra};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Roster;
use crate::call_kind::CallKind;
use crate::topology::rank_in_zone;
use crate::{FleetAction, FleetNotice, PlatformCall, PlatformReply, ZoneObject};

/// What this node knows of the store.
#[derive(Debug)]
pub struct StoreState {
    under_way: BTreeSet<CallKind>,
    /// Latest era that the store itself has named.
    pub(super) era: Option<StoreEra>,
    /// Latest era that a peer has told of.
    pub(super) peer_era: StoreEra,
    /// Version of the store up to which the configuration is known.
    pub(super) config_version: Option<ObjectVersion>,
    /// When the members are to be read next; none before the first time.
    pub(super) next_list_at: Option<MonoTime>,
    /// Whether the members have been read.
    pub(super) is_listed: bool,
    /// Whether the next reading of the members may not lag.
    pub(super) needs_current_list: bool,
    /// Whether the own object says what the node would say now.
    pub is_own_object_current: bool,
    /// When the own object was last written; zero before the first time.
    pub(super) written_at: MonoTime,
    /// Version of the own object, if there is one.
    pub(super) own_version: Option<ObjectVersion>,
    /// Members whose objects have to be written by this node, with their versions.
    pub(super) outdated: BTreeMap<EndpointId, ObjectVersion>,
    pub(super) next_call_at: MonoTime,
    /// When the configuration is asked for next, as long as there is none.
    next_config_at: MonoTime,
    failures: u32,
    pub is_unavailable: bool,
    is_safe_defaults_reported: bool,
}

impl StoreState {
    /// Longest wait before the first call, so that a mass restart is spread out.
    const START_JITTER: Duration = Duration::from_millis(150);

    pub fn new(rng: &mut ChaCha8Rng, now: MonoTime) -> Self {
        Self {
            under_way: BTreeSet::new(),
            era: None,
            peer_era: StoreEra::default(),
            config_version: None,
            next_list_at: None,
            is_listed: false,
            needs_current_list: false,
            is_own_object_current: true,
            written_at: MonoTime::ZERO,
            own_version: None,
            outdated: BTreeMap::new(),
            next_call_at: now.after(Self::START_JITTER.mul_f64(rng.random_range(0.0..1.0))),
            next_config_at: now,
            failures: 0,
            is_unavailable: false,
            is_safe_defaults_reported: false,
        }
    }
}

impl Roster {
    /// Members of a zone that hold a watch on the configuration; more than one, so
    /// that the loss of any of them is not felt.
    const WATCHERS: usize = 2;
    /// Time after the start by which a node knows the others, or is alone. Before that it
    /// does not take itself for one that has to watch, as all nodes of a fleet that
    /// starts would.
    const SETTLE_DELAY: Duration = Duration::from_secs(4);
    /// Time between two questions for the configuration by a node that has none.
    const INITIAL_CONFIG_INTERVAL: Duration = Duration::from_millis(700);
    /// Time between two readings of the members by a node that has just started.
    const INITIAL_LIST_INTERVAL: Duration = Duration::from_millis(1_500);
    /// Time after which a reading that may lag shows what was written before: the
    /// platform speaks of seconds.
    const MAX_STALENESS: Duration = Duration::from_millis(3_500);
    /// Time after which a configuration that nobody has confirmed is asked for, as part
    /// of that in which it has to be in force: more than a watch takes, which confirms it
    /// to all.
    const VERIFY_DELAY_RATIO: f64 = 1.25;
    /// Further time for each rank below the watchers, as part of the same, so that a zone
    /// does not ask all at once and the first answers serve the others.
    const VERIFY_DELAY_STEP_RATIO: f64 = 0.075;
    /// Wait after the first failure; doubled with each further one.
    const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
    /// Longest wait after a failure.
    const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
    /// Failures in a row after which the store counts as lost.
    const UNAVAILABLE_AFTER_FAILURES: u32 = 2;
    /// Time between two readings of the members by the first node of a zone.
    const LIST_INTERVAL: Duration = Duration::from_secs(10);
    /// The same for the other nodes.
    const LIST_INTERVAL_OTHERS: Duration = Duration::from_secs(120);
    /// Time after the start when a node says that it has no configuration.
    const SAFE_DEFAULTS_DELAY: Duration = Duration::from_secs(3);

    /// Place of this node among those of its zone, from 0.
    pub(super) fn rank(&self) -> usize {
        rank_in_zone(&self.own, &self.table)
    }

    /// Whether this node holds a watch on the configuration.
    pub(super) fn is_watcher(&self) -> bool {
        self.rank() < Self::WATCHERS
    }

    /// Says once that no configuration was found.
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

    /// Time until the members are read again, in case gossip has missed any. One
    /// node of a zone does so often enough.
    fn list_period(&mut self) -> Duration {
        let period =
            if self.rank() == 0 { Self::LIST_INTERVAL } else { Self::LIST_INTERVAL_OTHERS };
        period.mul_f64(self.rng.random_range(0.8..1.2))
    }

    fn start_period(&mut self) -> Duration {
        Self::INITIAL_LIST_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2))
    }

    pub(super) fn drive_store(&mut self, now: MonoTime) {
        self.report_safe_defaults(now);
        if now < self.store.next_call_at || self.own.state >= MemberState::Gone {
            return;
        }
        if self.store.next_list_at.is_none_or(|at| at <= now) {
            let may_lag = !self.store.needs_current_list;
            self.call(if may_lag {
                PlatformCall::ListMembersLagging
            } else {
                PlatformCall::ListMembers
            });
        }
        if !self.store.is_own_object_current && self.has_upstream() {
            let version = self.store.own_version;
            self.call(PlatformCall::PutMember(self.own.clone(), version));
        }
        self.repair_outdated();
        self.ask_for_config(now);
    }

    /// Whether there is an upstream that others should know of, or that has left.
    fn has_upstream(&self) -> bool {
        self.own.upstream.as_ref().is_none_or(|upstream| upstream.instance.is_some())
    }

    fn ask_for_config(&mut self, now: MonoTime) {
        if self.revision() == Revision::default() {
            if self.store.next_config_at <= now {
                self.store.next_config_at = now.after(Self::INITIAL_CONFIG_INTERVAL);
                self.call(PlatformCall::ListConfigLagging);
            }
            return;
        }
        let knows_others = self.table.len() > 1;
        if !knows_others && now.since(self.started_at) < Self::SETTLE_DELAY {
            return;
        }
        let rank = self.rank();
        if rank < Self::WATCHERS {
            let call = self.store.config_version;
            self.call(call.map_or(PlatformCall::ListConfig, PlatformCall::WatchConfig));
            return;
        }
        let later = u32::try_from(rank - Self::WATCHERS).unwrap_or(u32::MAX);
        let parts =
            f64::from(later).mul_add(Self::VERIFY_DELAY_STEP_RATIO, Self::VERIFY_DELAY_RATIO);
        let patience = self.settings.config_apply.mul_f64(parts);
        // What a start found in the store is confirmed by the peers meanwhile.
        let verified_at = self.verified_at.unwrap_or(self.started_at);
        if now.since(verified_at) >= patience {
            self.call(PlatformCall::ListConfig);
        }
    }

    fn call(&mut self, call: PlatformCall) {
        if self.store.under_way.insert(CallKind::of(&call)) {
            self.actions.push(FleetAction::Platform(call));
        }
    }

    pub(super) fn store_replied(
        &mut self,
        call: &PlatformCall,
        reply: PlatformReply,
        now: MonoTime,
    ) {
        self.store.under_way.remove(&CallKind::of(call));
        if reply == PlatformReply::Failed {
            return self.store_failed(call, now);
        }
        self.store.failures = 0;
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
                if let Some(document) = document {
                    self.stored_config_received(document, now);
                }
                self.config_read(call, version, now);
            }
            PlatformReply::MembersWritten(version) => self.member_written(call, version, now),
            PlatformReply::MembersConflict(object) => {
                self.write_conflicted(call, object.as_ref(), now);
            }
            _ => {}
        }
        self.drive_store(now);
    }

    /// Notes up to where the configuration of the store is known.
    fn config_read(&mut self, call: &PlatformCall, version: ObjectVersion, now: MonoTime) {
        // A reading that may lag says neither where a watch has to begin nor that
        // nothing newer is there.
        if *call == PlatformCall::ListConfigLagging || !self.is_of_latest_era(version) {
            return;
        }
        // A watch that began in an earlier era has missed what was written between.
        let is_gapless = match call {
            PlatformCall::WatchConfig(after) => after.era() == version.era(),
            _ => true,
        };
        self.store.config_version = Some(version).filter(|_| is_gapless);
        self.verified_at = Some(now);
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
        self.check_own_object(version, objects);
        if *call == PlatformCall::ListMembers {
            self.store.needs_current_list = false;
        }
        if !std::mem::replace(&mut self.store.is_listed, true) {
            self.ask_first_peers(now);
        }
        // Of two nodes that write and then read, one finds the other.
        let is_new = now.since(self.store.written_at) < Self::MAX_STALENESS;
        let period = if is_alone || is_new { self.start_period() } else { self.list_period() };
        self.store.next_list_at = Some(now.after(period));
    }

    fn member_written(&mut self, call: &PlatformCall, version: ObjectVersion, now: MonoTime) {
        let PlatformCall::PutMember(written, expected) = call else { return };
        if written.endpoint != self.own.endpoint {
            self.store.outdated.remove(&written.endpoint);
            if expected.is_some_and(|expected| expected.era() != version.era()) {
                // The number that was expected may stand for another write in this era.
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
        if std::mem::replace(&mut self.store.written_at, now) == MonoTime::ZERO {
            self.store.next_list_at = None;
        }
    }

    /// Another write came first: an earlier one of this process whose answer was lost, one
    /// of the process before it, or one that mended the object.
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
        if object.is_some_and(|object| self.matches_own_state(object)) {
            self.store.is_own_object_current = true;
            return;
        }
        if version.is_none() || version == *expected {
            // Nothing was learned that would let the next write succeed.
            self.back_off(now);
        }
    }

    /// Takes in an object of the store. That of this node may be up to date
    /// although an earlier process wrote it.
    fn member_listed(&mut self, member: &Arc<Member>, version: ObjectVersion, now: MonoTime) {
        if member.endpoint == self.own.endpoint {
            if self.is_of_latest_era(version) {
                self.store.own_version = self.store.own_version.max(Some(version));
            }
            return self.own_statement_received(member, now);
        }
        self.merge(member, now);
        let held = self.table.get(&member.endpoint);
        let is_outdated = held.is_some_and(|held| held.supersedes(member) && !held.takes_work());
        let is_repairable = self.rank() == 0 && self.is_of_latest_era(version);
        if is_outdated && member.takes_work() && is_repairable {
            self.store.outdated.insert(member.endpoint.clone(), version);
        }
    }

    /// Whether an object says what this node would write now.
    fn matches_own_state(&self, object: &ZoneObject) -> bool {
        object.value.members.iter().any(|member| {
            member.endpoint == self.own.endpoint
                && member.incarnation == self.own.incarnation
                && member.upstream == self.own.upstream
        })
    }

    /// Writes the own object again if a reading that is not older than it shows that it is
    /// missing or says something else.
    fn check_own_object(&mut self, version: ObjectVersion, objects: &[ZoneObject]) {
        let is_newer = self.store.own_version.is_some_and(|own| own <= version);
        if self.store.is_own_object_current && is_newer && self.store.written_at != MonoTime::ZERO {
            self.store.is_own_object_current =
                objects.iter().any(|object| self.matches_own_state(object));
        }
    }

    /// Asks some peers what they have in force as soon as any are known.
    fn ask_first_peers(&mut self, now: MonoTime) {
        if self.revision() == Revision::default() {
            self.next_gossip_at = now;
            self.gossip(now);
        }
        self.apply_pending_config(now);
    }

    /// Writes for members that left while the store was away, as nodes that start
    /// later would take them for alive.
    fn repair_outdated(&mut self) {
        let Some((endpoint, version)) = self.store.outdated.first_key_value() else { return };
        let (endpoint, version) = (endpoint.clone(), *version);
        match self.table.get(&endpoint).cloned() {
            Some(held) if !held.takes_work() => {
                self.call(PlatformCall::PutMember(held, Some(version)));
            }
            _ => {
                self.store.outdated.remove(&endpoint);
            }
        }
    }

    /// Makes no call for a while, longer after each failure in a row.
    fn back_off(&mut self, now: MonoTime) {
        let doubled = Self::INITIAL_BACKOFF.saturating_mul(1 << self.store.failures.min(8));
        let wait = doubled.min(Self::MAX_BACKOFF).mul_f64(self.rng.random_range(0.5..1.0));
        self.store.next_call_at = self.store.next_call_at.max(now.after(wait));
    }

    fn store_failed(&mut self, call: &PlatformCall, now: MonoTime) {
        self.store.failures = self.store.failures.saturating_add(1);
        if CallKind::of(call) == CallKind::Config {
            self.store.config_version = None;
        }
        self.back_off(now);
        if self.store.failures >= Self::UNAVAILABLE_AFTER_FAILURES && !self.store.is_unavailable {
            self.store.is_unavailable = true;
            self.notice(FleetNotice::PlatformUnavailable);
        }
    }
}
