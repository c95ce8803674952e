//! Membership by one object per node in the platform's store and by gossip.
//!
//! For a platform whose store is shared by all nodes: each node stores one object
//! that describes it, and writes the object only when it changes. Changes spread
//! by gossip. Two nodes of each zone hold a watch on the configuration; the
//! others read it from the store only when it has not been confirmed for half
//! of the time that a change may take. Calls thus grow more slowly than the
//! fleet, and no node that reaches the store depends on any other.

mod backoff;
mod config_reads;
mod era;
mod evidence;
mod first_config;
mod gossip;
mod owed_departure;
mod store;
mod upstream_history;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::{ConfigDocument, GateDecision};
use cuminarch_protocol::{ControlMessage, Hello, Member, MemberState, UpstreamRecord};
use cuminarch_types::{EndpointId, Incarnation, MonoTime, Revision};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::configuration::ConfigState;
use crate::{
    ConfigSource, FleetAction, FleetEvent, FleetNotice, FleetSettings, FleetSummary, MemberTable,
    MergeOutcome, make_patch,
};

use evidence::Evidence;
use first_config::PendingConfig;
use owed_departure::OwedDeparture;
use store::StoreState;
use upstream_history::UpstreamHistory;

/// State of another node, known from its messages.
#[derive(Clone, Debug, Default)]
struct RosterPeer {
    revision: Revision,
    /// Revision that it reported to have in force, if any.
    reported_revision: Option<Revision>,
    pulled_at: Option<MonoTime>,
    config_sent_at: Option<MonoTime>,
    /// When the link to it ended, until it sends something again.
    lost_at: Option<MonoTime>,
    /// Process with which there was a link last.
    met_incarnation: Option<Incarnation>,
    /// When the heartbeats were sent whose replies are awaited. Replies come in this order.
    asked_at: VecDeque<MonoTime>,
}

/// Membership and configuration state machine of one node, with a shared store and gossip.
#[derive(Debug)]
pub struct Roster {
    settings: FleetSettings,
    own: Arc<Member>,
    table: MemberTable,
    config: ConfigState,
    pending_config: Option<PendingConfig>,
    peers: BTreeMap<EndpointId, RosterPeer>,
    /// Members whose latest statement has to be forwarded.
    pending_statements: BTreeSet<EndpointId>,
    evidence: Evidence,
    evidence_shared_at: MonoTime,
    store: StoreState,
    history: UpstreamHistory,
    owed: OwedDeparture,
    rng: ChaCha8Rng,
    started_at: MonoTime,
    next_gossip_at: MonoTime,
    is_shown: bool,
    actions: Vec<FleetAction>,
}

impl Roster {
    /// Interval between two ticks.
    pub const TICK: Duration = Duration::from_millis(250);
    /// Maximum number of members that receive own statements directly.
    const MAX_DIRECT_RECIPIENTS: usize = 32;
    /// Number of members to which statements of others are forwarded.
    const FAN_OUT: usize = 4;
    /// Time for which the entry of a member that has gone is kept.
    const TOMBSTONE_TTL: Duration = Duration::from_secs(600);

    /// Creates the state of a node that has just started.
    #[must_use]
    pub fn new(settings: FleetSettings, own: Member, now: MonoTime) -> Self {
        let own = Arc::new(own);
        let mut table = MemberTable::new();
        table.merge(&own, now);
        let config = ConfigState::new(settings.seed);
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let store = StoreState::new(&mut rng, now);
        Self {
            settings,
            own,
            table,
            config,
            pending_config: None,
            peers: BTreeMap::new(),
            pending_statements: BTreeSet::new(),
            evidence: Evidence::default(),
            evidence_shared_at: MonoTime::ZERO,
            store,
            history: UpstreamHistory::default(),
            owed: OwedDeparture::default(),
            rng,
            started_at: now,
            next_gossip_at: now,
            is_shown: false,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to execute.
    pub fn handle(&mut self, event: FleetEvent, now: MonoTime) -> Vec<FleetAction> {
        match event {
            FleetEvent::Tick => self.tick(now),
            FleetEvent::Received(from, message) => self.receive(&from, message, now),
            FleetEvent::LinkLost(member) => self.link_lost(&member, now),
            FleetEvent::LinkUnresponsive(member) => {
                self.link_lost(&member, now);
                self.send_heartbeat(&member, now);
            }
            FleetEvent::Platform(call, reply) => self.store_replied(&call, reply, now),
            FleetEvent::StoreEra(era) => self.note_store_era(era, now),
            FleetEvent::Misdirected(member) => self.member_answered(&Arc::from(member), now),
            FleetEvent::Upstream(record) => self.upstream_changed(record, now),
            FleetEvent::UpstreamPending(pending) => self.upstream_pending(pending, now),
            FleetEvent::Leave => self.announce_state(MemberState::Leaving, now),
            FleetEvent::Stop => self.announce_state(MemberState::Gone, now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the message that this node sends first on a link.
    #[must_use]
    pub fn hello(&self) -> ControlMessage {
        let member = Member::clone(&self.own);
        ControlMessage::Hello(Box::new(Hello { fleet: self.settings.fleet.clone(), member }))
    }

    /// Returns the revision of the configuration in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.config.gate.revision()
    }

    /// Returns the table of known members.
    #[must_use]
    pub const fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the state for operators.
    #[must_use]
    pub fn summary(&self, now: MonoTime) -> FleetSummary {
        FleetSummary {
            is_relay: false,
            is_reporter: self.is_watcher(),
            lacks_platform: self.store.is_unavailable,
            store_era: self.store.era.unwrap_or_default(),
            revision: self.revision(),
            config_currency: self.config_currency(now),
            zone_relays: Vec::new(),
            homes: Vec::new(),
            attached: Vec::new(),
            cut_zones: Vec::new(),
            members: self.table.iter().cloned().collect(),
            memory_bytes: size_of::<Self>()
                + self.table.len() * MemberTable::bytes_per_member()
                + self.config.len_bytes(),
        }
    }

    fn tick(&mut self, now: MonoTime) {
        if !std::mem::replace(&mut self.is_shown, true) {
            self.publish_view(&Arc::clone(&self.own));
        }
        self.gossip(now);
        self.flush_statements();
        self.apply_pending_config(now);
        self.drive_store(now);
        self.ask_to_store_departure(now);
        self.report_unverified_config(now);
        self.table.remove_expired_tombstones(Self::TOMBSTONE_TTL, now);
    }

    fn publish_view(&mut self, member: &Arc<Member>) {
        self.actions.push(FleetAction::View(Box::new(Member::clone(member))));
    }

    fn notice(&mut self, notice: FleetNotice) {
        self.actions.push(FleetAction::Notice(notice));
    }

    /// Merges a statement about any member. Returns `true` if it was new.
    fn merge(&mut self, member: &Arc<Member>, now: MonoTime) -> bool {
        if member.endpoint == self.own.endpoint {
            self.own_statement_received(member, now);
            return false;
        }
        let member = &self.with_known_departure(member);
        if self.table.merge(member, now) != MergeOutcome::Newer {
            return false;
        }
        self.publish_view(member);
        self.resolve_address_conflict(member, now);
        self.pending_statements.insert(member.endpoint.clone());
        true
    }

    /// Marks the earlier of two members with the same data address as gone: only the later
    /// one can be alive.
    fn resolve_address_conflict(&mut self, member: &Arc<Member>, now: MonoTime) {
        let has_same_address = |other: &&Arc<Member>| {
            other.endpoint != member.endpoint
                && other.data_address == member.data_address
                && other.state != MemberState::Gone
        };
        let Some(other) = self.table.iter().find(has_same_address).cloned() else { return };
        let earlier = if other.incarnation < member.incarnation { &other } else { member };
        self.give_up(earlier, now);
    }

    /// Marks another member as gone.
    fn give_up(&mut self, member: &Arc<Member>, now: MonoTime) {
        if member.endpoint == self.own.endpoint {
            return;
        }
        let gone = Arc::new(Member::clone(member).with_state(MemberState::Gone));
        self.table.merge(&gone, now);
        self.publish_view(&gone);
        self.notice(FleetNotice::GivenUp(gone.endpoint.clone()));
    }

    /// Handles the statement of a node that has just answered at its address: no other member is
    /// there, whatever the clocks of the hosts say about which is the later one.
    fn member_answered(&mut self, member: &Arc<Member>, now: MonoTime) {
        if member.endpoint == self.own.endpoint {
            return;
        }
        let is_displaced = |other: &&Arc<Member>| {
            other.endpoint != member.endpoint
                && other.data_address == member.data_address
                && other.state != MemberState::Gone
        };
        let displaced: Vec<Arc<Member>> = self.table.iter().filter(is_displaced).cloned().collect();
        for other in &displaced {
            self.give_up(other, now);
            self.pending_statements.insert(other.endpoint.clone());
        }
        self.merge(member, now);
        let held = self.table.get(&member.endpoint).cloned();
        if let Some(held) = held.filter(|held| held.supersedes(member)) {
            // The host of an earlier process may have had a faster clock; the new process has to
            // learn of that before its statements count.
            let message = ControlMessage::Members(vec![Arc::clone(&held)]);
            let address = member.control_address;
            self.actions.push(FleetAction::Send(held.endpoint.clone(), address, message));
        }
    }

    /// Supersedes a later statement of others about this node. A statement of an earlier
    /// process can seem later if the clock was set back.
    fn own_statement_received(&mut self, member: &Arc<Member>, now: MonoTime) {
        self.adopt_history(member);
        if member.incarnation > self.own.incarnation {
            let incarnation = Incarnation::new(member.incarnation.get().saturating_add(1));
            self.replace_own(Member { incarnation, ..Member::clone(&self.own) }, now);
        } else if member.precedence() > self.own.precedence() {
            let statement = member.statement.saturating_add(1);
            self.replace_own(Member { statement, ..Member::clone(&self.own) }, now);
        }
    }

    fn replace_own(&mut self, own: Member, now: MonoTime) {
        let own = Arc::new(own);
        self.table.merge(&own, now);
        self.publish_view(&own);
        self.own = own;
        self.pending_statements.insert(self.own.endpoint.clone());
        self.flush_statements();
    }

    fn upstream_changed(&mut self, record: UpstreamRecord, now: MonoTime) {
        let statement = self.own.statement.saturating_add(1);
        let own = Member { statement, upstream: Some(record), ..Member::clone(&self.own) };
        self.replace_own(own, now);
        self.store.is_own_object_current = self.store.written_upstream == self.own.upstream;
        self.drive_store(now);
        self.ask_to_store_departure(now);
    }

    fn announce_state(&mut self, state: MemberState, now: MonoTime) {
        if self.own.state < state {
            let statement = self.own.statement.saturating_add(1);
            let own = Member { statement, ..Member::clone(&self.own) };
            self.replace_own(own.with_state(state), now);
        }
    }

    /// Applies a configuration from the store or, if `from` is given, from a member.
    fn apply_config(
        &mut self,
        document: &ConfigDocument,
        from: Option<&EndpointId>,
        now: MonoTime,
    ) {
        let base = self.config.gate.document().cloned();
        if document.revision <= self.revision() || document.revision == self.config.refused {
            return;
        }
        match self.config.gate.offer(document) {
            GateDecision::Accepted(policy) => {
                let set_aside = FleetNotice::about_set_aside(&policy);
                self.actions.push(FleetAction::Policy(policy));
                set_aside.into_iter().for_each(|notice| self.notice(notice));
                let (source, currency) = (ConfigSource::new(from), self.config_currency(now));
                self.notice(FleetNotice::ConfigInForce(document.revision, source, currency));
                let patch = base.and_then(|base| make_patch(&base, document));
                self.config.accept(document, patch, now);
                self.spread_config(from, now);
            }
            GateDecision::Refused(error) => {
                self.config.refused = document.revision;
                self.notice(FleetNotice::ConfigRefused(document.revision, error.to_string()));
            }
            GateDecision::NotNewer => {}
        }
    }
}
