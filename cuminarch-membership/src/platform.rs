//! Schedules the calls of this node to the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::ZoneStatus;
use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{EndpointId, Incarnation, MonoTime, Revision};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::call_kind::CallKind;
use crate::fleet::SpreadScope;
use crate::limiter::CallLimiter;
use crate::{
    Fleet, FleetAction, FleetNotice, ObjectVersion, PlatformCall, PlatformReply, ZoneMembers,
    ZoneObject,
};

/// Maximum delay before the first call, to spread out a mass restart.
const START_JITTER: Duration = Duration::from_millis(500);
/// Minimum and maximum delay before the members are read again if the zone had none.
const RELIST_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));
/// Time for a new member to exchange messages with its zone before it may call the
/// platform on behalf of the zone.
const CONTACT_GRACE: Duration = Duration::from_secs(2);
/// Base delay after failures; doubled with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum delay after a failure at a node that reports for its zone.
const MAX_BACKOFF_REPORTER: Duration = Duration::from_secs(10);
/// Maximum delay after a failure at another node.
const MAX_BACKOFF: Duration = Duration::from_secs(60);
/// Calls per second and burst of a node that reports for its zone.
const REPORTER_RATE: (f64, f64) = (3.0, 8.0);
/// Calls per second and burst of another node.
const NODE_RATE: (f64, f64) = (0.1, 4.0);
/// Minimum interval between two writes of the zone's members.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval after which the zone's members are written even if unchanged.
const REFRESH_INTERVAL: Duration = Duration::from_secs(300);
/// Minimum interval between two writes of the zone's status.
const MIN_STATUS_INTERVAL: Duration = Duration::from_secs(3);
/// Time for peers to send a configuration before the platform is asked.
const PEER_CONFIG_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of relays of a zone that try the platform one after the other.
const MAX_REPORTERS: usize = 3;
/// Number of consecutive failures after which the platform counts as unavailable.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// The part of a zone's members whose change requires a write.
type WrittenMembers = BTreeMap<EndpointId, (Incarnation, bool)>;

/// State of the calls to the platform.
#[derive(Debug)]
pub(crate) struct PlatformState {
    limiter: CallLimiter,
    failures: u32,
    next_call_at: MonoTime,
    under_way: BTreeSet<CallKind>,
    members_version: Option<ObjectVersion>,
    config_version: Option<ObjectVersion>,
    object_version: Option<ObjectVersion>,
    written: WrittenMembers,
    written_at: Option<MonoTime>,
    status: Option<ZoneStatus>,
    status_at: Option<MonoTime>,
    sequence: u64,
    next_config_at: MonoTime,
    has_listed: bool,
    relist_at: Option<MonoTime>,
    report_from: MonoTime,
    pub is_unavailable: bool,
}

impl PlatformState {
    pub fn new(rng: &mut ChaCha8Rng, now: MonoTime) -> Self {
        let (per_second, burst) = NODE_RATE;
        let start = now.after(START_JITTER.mul_f64(rng.random_range(0.0..1.0)));
        Self {
            limiter: CallLimiter::new(per_second, burst, now),
            failures: 0,
            next_call_at: start,
            under_way: BTreeSet::new(),
            members_version: None,
            config_version: None,
            object_version: None,
            written: WrittenMembers::new(),
            written_at: None,
            status: None,
            status_at: None,
            sequence: 0,
            next_config_at: now.after(PEER_CONFIG_TIMEOUT),
            has_listed: false,
            relist_at: None,
            report_from: now,
            is_unavailable: false,
        }
    }

    /// Returns `true` if the members were read from the platform.
    pub const fn is_listed(&self) -> bool {
        self.members_version.is_some()
    }
}

impl Fleet {
    /// Returns `true` if this node calls the platform on behalf of its zone: it is the
    /// first relay in rank that reaches the platform, or the first of all if none does.
    pub(crate) fn is_reporter(&self) -> bool {
        if !self.topology.is_relay {
            return false;
        }
        let lacks_platform =
            |relay: &EndpointId| self.peers.get(relay).is_some_and(|peer| peer.lacks_platform);
        let (rank, relays) = (self.topology.rank, &self.topology.zone_relays);
        let higher_ranked = &relays[..rank.min(relays.len())];
        let candidates = &relays[..relays.len().min(MAX_REPORTERS - 1)];
        if rank >= MAX_REPORTERS
            || (self.platform.is_unavailable && !candidates.iter().all(lacks_platform))
        {
            return false;
        }
        higher_ranked.iter().all(lacks_platform) && (!self.platform.is_unavailable || rank == 0)
    }

    pub(crate) fn drive_platform(&mut self, now: MonoTime) {
        if now < self.platform.next_call_at || self.own.state != MemberState::Active {
            return;
        }
        let is_reporter = self.is_reporter();
        let (per_second, burst) = if is_reporter { REPORTER_RATE } else { NODE_RATE };
        self.platform.limiter.set_rate(per_second, burst, now);
        if let Some(relist_at) = self.platform.relist_at {
            if now >= relist_at && self.call(PlatformCall::ListMembers, now) {
                self.platform.relist_at = None;
            }
            return;
        }
        match self.platform.members_version {
            None => {
                self.call(PlatformCall::ListMembers, now);
            }
            Some(version) if is_reporter && now >= self.platform.report_from => {
                self.report(version, now);
            }
            Some(_) if self.platform.is_unavailable => {
                self.call(PlatformCall::ListMembers, now);
            }
            Some(_) => self.ask_for_config(now),
        }
    }

    /// Reads the configuration from the platform if no peer has sent one.
    fn ask_for_config(&mut self, now: MonoTime) {
        if self.revision() > Revision::default() || now < self.platform.next_config_at {
            return;
        }
        if self.call(PlatformCall::ListConfig, now) {
            let jitter = self.rng.random_range(0.5..1.5);
            self.platform.next_config_at = now.after(MAX_BACKOFF.mul_f64(jitter));
        }
    }

    /// Makes the calls of the node that reports for its zone.
    fn report(&mut self, members_version: ObjectVersion, now: MonoTime) {
        self.write_members(now);
        let read = self
            .platform
            .config_version
            .map_or(PlatformCall::ListConfig, PlatformCall::WatchConfig);
        self.call(read, now);
        self.call(PlatformCall::WatchMembers(members_version), now);
        self.write_status(now);
    }

    /// Makes a call unless one of its kind is in flight or the limiter denies it.
    /// Returns `true` if the call was made.
    fn call(&mut self, call: PlatformCall, now: MonoTime) -> bool {
        let kind = CallKind::of(&call);
        if self.platform.under_way.contains(&kind) || !self.platform.limiter.take(now) {
            return false;
        }
        self.platform.under_way.insert(kind);
        self.actions.push(FleetAction::Platform(call));
        true
    }

    fn write_members(&mut self, now: MonoTime) {
        let platform = &self.platform;
        let age = platform.written_at.map(|written_at| now.since(written_at));
        if age.is_some_and(|age| age < MIN_WRITE_INTERVAL) {
            return;
        }
        let in_zone = |member: &&Arc<Member>| {
            member.zone == self.own.zone && member.state != MemberState::Gone
        };
        let members: Vec<Arc<Member>> =
            self.table.iter().filter(in_zone).map(without_suspicion).collect();
        let content = content_of(&members);
        let is_due = content != platform.written || age.is_none_or(|age| age >= REFRESH_INTERVAL);
        if !is_due || platform.under_way.contains(&CallKind::PutMembers) {
            return;
        }
        let value = ZoneMembers { zone: self.own.zone.clone(), members };
        let expected = platform.object_version;
        if self.call(PlatformCall::PutMembers(Arc::new(value), expected), now) {
            self.platform.written = content;
            self.platform.written_at = Some(now);
        }
    }

    fn write_status(&mut self, now: MonoTime) {
        let age = self.platform.status_at.map(|status_at| now.since(status_at));
        if age.is_some_and(|age| age < MIN_STATUS_INTERVAL) {
            return;
        }
        let status = self.status();
        if self.platform.status.as_ref() == Some(&status) {
            return;
        }
        let sequence = self.platform.sequence + 1;
        let numbered = ZoneStatus { sequence, ..status.clone() };
        if self.call(PlatformCall::PutStatus(numbered), now) {
            self.platform.sequence = sequence;
            self.platform.status_at = Some(now);
            self.platform.status = Some(status);
        }
    }

    /// Returns the revisions in force in the own zone, as reported by its relays.
    fn status(&self) -> ZoneStatus {
        let highest = self.revision();
        let own = self.coverage();
        let mut status = ZoneStatus {
            zone: self.own.zone.clone(),
            relay: self.own.endpoint.clone(),
            sequence: 0,
            lowest_revision: own.lowest,
            highest_revision: highest,
            members: own.members,
            members_in_force: own.in_force,
        };
        for relay in &self.topology.zone_relays {
            let Some(peer) = self.peers.get(relay) else { continue };
            let Some(coverage) = peer.coverage else { continue };
            status.members += coverage.members;
            status.lowest_revision = status.lowest_revision.min(coverage.lowest);
            if peer.revision == highest {
                status.members_in_force += coverage.in_force;
            }
        }
        status
    }

    pub(crate) fn platform_replied(
        &mut self,
        call: &PlatformCall,
        reply: PlatformReply,
        now: MonoTime,
    ) {
        self.platform.under_way.remove(&CallKind::of(call));
        if reply == PlatformReply::Failed {
            self.platform_failed(call, now);
            return;
        }
        self.platform.failures = 0;
        if std::mem::take(&mut self.platform.is_unavailable) {
            self.notice(FleetNotice::PlatformAvailable);
        }
        if has_rolled_back(call, &reply) {
            self.reset_versions(call);
            return;
        }
        self.apply_reply(call, reply, now);
        self.refresh_topology(now);
        self.drive_platform(now);
    }

    fn apply_reply(&mut self, call: &PlatformCall, reply: PlatformReply, now: MonoTime) {
        match reply {
            PlatformReply::Members { version, zones } => {
                self.platform.members_version = Some(version);
                for object in zones {
                    self.apply_zone_object(object, now);
                }
                if *call == PlatformCall::ListMembers {
                    let is_first = !std::mem::replace(&mut self.platform.has_listed, true);
                    self.members_listed(is_first, now);
                }
            }
            PlatformReply::Config { version, document } => {
                self.platform.config_version = Some(version);
                if let Some(document) = document {
                    self.apply_config(&document, None, now);
                }
            }
            PlatformReply::MembersWritten(version) => {
                self.platform.object_version = Some(version);
            }
            PlatformReply::MembersConflict(object) => {
                self.platform.written.clear();
                self.platform.object_version = None;
                if let Some(object) = object {
                    self.apply_zone_object(object, now);
                }
            }
            PlatformReply::StatusWritten | PlatformReply::Failed => {}
        }
    }

    /// Has everything read and reported again after the platform went back to an
    /// earlier state. A watch from the previously known version would miss all writes
    /// until the platform's version exceeds it.
    ///
    /// The other watch, if pending, either began at a version that the platform still
    /// has or ends with a rollback as well. Until then its kind must not be read.
    fn reset_versions(&mut self, call: &PlatformCall) {
        match CallKind::of(call) {
            CallKind::Members => self.platform.members_version = None,
            _ => self.platform.config_version = None,
        }
        self.platform.status = None;
    }

    /// Sets the earliest time at which this node may report for its zone.
    ///
    /// Members that start at the same time with an empty store would each conclude
    /// that they are alone. Each one therefore reads again after a random delay, when
    /// the first has written its entry, and then waits until it knows the others.
    fn members_listed(&mut self, is_first: bool, now: MonoTime) {
        let mut others = self.table.iter().filter(|member| member.endpoint != self.own.endpoint);
        let is_alone = !others.any(|member| member.zone == self.own.zone);
        if is_first && is_alone {
            let (shortest, longest) = RELIST_DELAY_RANGE;
            let wait = shortest + (longest - shortest).mul_f64(self.rng.random_range(0.0..1.0));
            self.platform.relist_at = Some(now.after(wait));
        } else if !is_alone && is_first {
            self.platform.report_from = now.after(CONTACT_GRACE);
        } else if !is_alone && self.platform.written_at.is_none() {
            self.platform.report_from = self.started_at.after(CONTACT_GRACE * 2);
        }
    }

    fn apply_zone_object(&mut self, object: ZoneObject, now: MonoTime) {
        let ZoneObject { version, value } = object;
        if value.zone == self.own.zone {
            self.platform.object_version = Some(version);
            self.platform.written = content_of(&value.members);
        }
        for member in value.members.iter().filter(|member| member.zone == value.zone) {
            self.merge(member, SpreadScope::Everyone, now);
        }
    }

    fn platform_failed(&mut self, call: &PlatformCall, now: MonoTime) {
        let is_reporter = self.is_reporter();
        let platform = &mut self.platform;
        platform.failures = platform.failures.saturating_add(1);
        match call {
            // The write may have taken effect: read the current state.
            PlatformCall::PutMembers(..) => platform.members_version = None,
            PlatformCall::PutStatus(_) => platform.status = None,
            _ => {}
        }
        let max = if is_reporter { MAX_BACKOFF_REPORTER } else { MAX_BACKOFF };
        let doubled = INITIAL_BACKOFF.saturating_mul(1_u32 << platform.failures.min(10));
        let wait = doubled.min(max).mul_f64(self.rng.random_range(0.5..1.0));
        platform.next_call_at = platform.next_call_at.max(now.after(wait));
        if platform.failures >= UNAVAILABLE_AFTER_FAILURES && !platform.is_unavailable {
            platform.is_unavailable = true;
            self.notice(FleetNotice::PlatformUnavailable);
        }
    }
}

/// Returns `true` if the reply to a watch has a lower version than the watch began at.
fn has_rolled_back(call: &PlatformCall, reply: &PlatformReply) -> bool {
    match (call, reply) {
        (PlatformCall::WatchMembers(after), PlatformReply::Members { version, .. })
        | (PlatformCall::WatchConfig(after), PlatformReply::Config { version, .. }) => {
            version < after
        }
        _ => false,
    }
}

/// Returns the member with suspicions of others removed, which do not require a write.
fn without_suspicion(member: &Arc<Member>) -> Arc<Member> {
    match member.state {
        MemberState::Suspect => Arc::new(Member::clone(member).with_state(MemberState::Active)),
        _ => Arc::clone(member),
    }
}

fn content_of(members: &[Arc<Member>]) -> WrittenMembers {
    let written_part =
        |member: &Arc<Member>| (member.incarnation, member.state == MemberState::Leaving);
    members.iter().map(|member| (member.endpoint.clone(), written_part(member))).collect()
}
