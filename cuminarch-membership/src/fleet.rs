use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{ControlMessage, Hello, Member, MemberState};
use cuminarch_types::{EndpointId, Incarnation, MonoTime, Revision, ZoneName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::configuration::ConfigState;
use crate::peer::Peer;
use crate::platform::PlatformState;
use crate::topology::{homes, relays, relays_of_zone};
use crate::{FleetAction, FleetEvent, FleetNotice, FleetSettings, MemberTable};

/// Nodes to which this relay has to forward a statement.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum SpreadScope {
    /// The nodes that report to this relay.
    Attached,
    /// These nodes and all other relays.
    Everyone,
}

/// Relays and reporting members, computed from the table.
#[derive(Clone, Debug, Default)]
pub(crate) struct Topology {
    pub is_stale: bool,
    pub is_relay: bool,
    /// Other relays of the own zone, in order of rank.
    pub zone_relays: Vec<EndpointId>,
    /// Rank of this node among the relays of its zone.
    pub rank: usize,
    /// Relays of other zones; empty if this node is no relay.
    pub other_relays: Vec<EndpointId>,
    /// Relays that this node reports to; empty if it is a relay.
    pub homes: Vec<EndpointId>,
    /// Members that report to this relay, and whether this relay serves them.
    pub attached: BTreeMap<EndpointId, bool>,
}

/// The view of a member that was last published to the driver.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PublishedView {
    pub number: u32,
    pub incarnation: Incarnation,
    pub state: MemberState,
}

/// Membership and configuration state machine of one node, with relays in each zone.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) settings: FleetSettings,
    pub(crate) own: Arc<Member>,
    pub(crate) table: MemberTable,
    pub(crate) peers: BTreeMap<EndpointId, Peer>,
    pub(crate) unresponsive_relays: BTreeSet<EndpointId>,
    pub(crate) topology: Topology,
    pub(crate) pending_statements: BTreeMap<EndpointId, SpreadScope>,
    pub(crate) views: BTreeMap<EndpointId, PublishedView>,
    pub(crate) zone_last_seen: BTreeMap<ZoneName, MonoTime>,
    pub(crate) cut_zones: BTreeMap<ZoneName, MonoTime>,
    pub(crate) config: ConfigState,
    pub(crate) platform: PlatformState,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) started_at: MonoTime,
    pub(crate) ticked_at: MonoTime,
    pub(crate) next_heartbeat_at: MonoTime,
    pub(crate) next_probe_at: MonoTime,
    pub(crate) next_seed_at: MonoTime,
    pub(crate) next_forget_at: MonoTime,
    pub(crate) pulled_at: Option<MonoTime>,
    pub(crate) refuted_at: Option<MonoTime>,
    pub(crate) announcements_left: u32,
    pub(crate) is_superseded: bool,
    pub(crate) has_received_message: bool,
    pub(crate) is_own_shown: bool,
    pub(crate) actions: Vec<FleetAction>,
}

impl Fleet {
    /// Interval between two ticks.
    pub const TICK: Duration = Duration::from_millis(250);
    const MAX_UNRESPONSIVE_RELAYS: usize = 16;
    const CLEANUP_INTERVAL: Duration = Duration::from_secs(30);

    /// Creates the state of a node that has just started.
    #[must_use]
    pub fn new(settings: FleetSettings, own: Member, now: MonoTime) -> Self {
        let own = Arc::new(own);
        let mut table = MemberTable::new();
        table.merge(&own, now);
        let config = ConfigState::new(settings.seed);
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let platform = PlatformState::new(&mut rng, now);
        Self {
            settings,
            own,
            table,
            peers: BTreeMap::new(),
            unresponsive_relays: BTreeSet::new(),
            topology: Topology { is_stale: true, ..Topology::default() },
            pending_statements: BTreeMap::new(),
            views: BTreeMap::new(),
            zone_last_seen: BTreeMap::new(),
            cut_zones: BTreeMap::new(),
            config,
            platform,
            rng,
            started_at: now,
            ticked_at: now,
            next_heartbeat_at: now,
            next_probe_at: now,
            next_seed_at: now,
            next_forget_at: now,
            pulled_at: None,
            refuted_at: None,
            announcements_left: 0,
            is_superseded: false,
            has_received_message: false,
            is_own_shown: false,
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to execute.
    pub fn handle(&mut self, event: FleetEvent, now: MonoTime) -> Vec<FleetAction> {
        if !self.is_superseded {
            match event {
                FleetEvent::Tick => self.tick(now),
                FleetEvent::Received(from, message) => self.receive(&from, message, now),
                FleetEvent::LinkUnresponsive(_) => {}
                FleetEvent::LinkLost(peer) => self.link_lost(&peer, now),
                FleetEvent::Platform(call, reply) => self.platform_replied(&call, reply, now),
                // Stores of this kind of fleet have no eras: versions that decrease show a
                // restore. Its upstreams do not register either.
                FleetEvent::StoreEra(_) => {}
                // Relays detect the end of members themselves.
                FleetEvent::Misdirected(_)
                | FleetEvent::Upstream(_)
                | FleetEvent::UpstreamPending(_) => {}
                FleetEvent::Leave => self.announce_state(MemberState::Leaving, now),
                FleetEvent::Stop => self.announce_state(MemberState::Gone, now),
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the message that this node sends first on a link.
    #[must_use]
    pub fn hello(&self) -> ControlMessage {
        let member = Member::clone(&self.own);
        ControlMessage::Hello(Box::new(Hello { fleet: self.settings.fleet.clone(), member }))
    }

    /// Returns the own entry.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the table of known members.
    #[must_use]
    pub const fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Returns the revision of the configuration in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.config.gate.revision()
    }

    /// Returns `true` if this node is a relay of its zone.
    #[must_use]
    pub const fn is_relay(&self) -> bool {
        self.topology.is_relay
    }

    fn tick(&mut self, now: MonoTime) {
        if now.since(self.ticked_at) > self.settings.silence_timeout {
            self.reset_failure_detection(now);
        }
        self.ticked_at = now;
        if !std::mem::replace(&mut self.is_own_shown, true) {
            let own = Arc::clone(&self.own);
            self.publish_view(&own, now);
        }
        self.refresh_topology(now);
        self.exchange_heartbeats(now);
        self.contact_seeds(now);
        if self.topology.is_relay {
            self.detect_failures(now);
        }
        self.update_zone_reachability(now);
        self.repeat_announcement();
        self.flush_statements(now);
        self.report_safe_defaults(now);
        self.drive_platform(now);
        self.remove_expired_tombstones(now);
    }

    fn remove_expired_tombstones(&mut self, now: MonoTime) {
        if now < self.next_forget_at {
            return;
        }
        self.next_forget_at = now.after(Self::CLEANUP_INTERVAL);
        self.table.remove_expired_tombstones(self.settings.tombstone_ttl, now);
        let table = &self.table;
        self.peers.retain(|endpoint, _| table.get(endpoint).is_some());
        self.views.retain(|endpoint, _| table.get(endpoint).is_some());
    }

    /// Restarts failure detection for all members after a pause of this process.
    fn reset_failure_detection(&mut self, now: MonoTime) {
        for peer in self.peers.values_mut() {
            peer.watched_since = Some(now);
            peer.unanswered_since = None;
            peer.relays_asked_at = None;
        }
        for last_seen_at in self.zone_last_seen.values_mut() {
            *last_seen_at = now;
        }
        self.unresponsive_relays.clear();
        self.topology.is_stale = true;
    }

    pub(crate) fn refresh_topology(&mut self, now: MonoTime) {
        self.mark_unresponsive_relays(now);
        if !std::mem::take(&mut self.topology.is_stale) {
            return;
        }
        let own = &self.own.endpoint;
        let mut zone_relays =
            relays_of_zone(&self.own.zone, &self.table, &self.unresponsive_relays);
        let rank = zone_relays.iter().position(|relay| relay == own);
        let attached = rank.map(|_| self.attached(&zone_relays)).unwrap_or_default();
        let other_relays = rank.map(|_| self.other_relays()).unwrap_or_default();
        zone_relays.retain(|relay| relay != own);
        let homes = if rank.is_some() { Vec::new() } else { homes(own, &zone_relays) };
        let previous = &self.topology;
        if homes != previous.homes || zone_relays != previous.zone_relays {
            self.next_heartbeat_at = now;
        }
        self.topology = Topology {
            is_stale: false,
            is_relay: rank.is_some(),
            zone_relays,
            rank: rank.unwrap_or(usize::MAX),
            other_relays,
            homes,
            attached,
        };
        self.stop_watching_others();
    }

    fn attached(&self, zone_relays: &[EndpointId]) -> BTreeMap<EndpointId, bool> {
        let in_zone = |member: &&Arc<Member>| {
            member.zone == self.own.zone
                && member.state != MemberState::Gone
                && !zone_relays.contains(&member.endpoint)
        };
        let mut attached = BTreeMap::new();
        for member in self.table.iter().filter(in_zone) {
            let homes = homes(&member.endpoint, zone_relays);
            if homes.contains(&self.own.endpoint) {
                let is_served = homes.first() == Some(&self.own.endpoint);
                attached.insert(member.endpoint.clone(), is_served);
            }
        }
        attached
    }

    fn other_relays(&self) -> Vec<EndpointId> {
        let relays = relays(&self.table, &BTreeSet::new());
        let others = relays.into_iter().filter(|(zone, _)| *zone != self.own.zone);
        others.flat_map(|(_, relays)| relays).collect()
    }

    /// Resets the watch state of peers that this node no longer watches.
    fn stop_watching_others(&mut self) {
        let topology = &self.topology;
        for (endpoint, peer) in &mut self.peers {
            let is_watched = topology.attached.contains_key(endpoint)
                || (topology.is_relay && topology.zone_relays.contains(endpoint));
            if !is_watched {
                peer.watched_since = None;
                peer.relays_asked_at = None;
            }
        }
    }

    /// Excludes relays of the own zone that do not answer.
    fn mark_unresponsive_relays(&mut self, now: MonoTime) {
        let silence_timeout = self.settings.silence_timeout;
        let heartbeat_targets = self.topology.zone_relays.iter().chain(&self.topology.homes);
        let is_unresponsive = |endpoint: &&EndpointId| {
            self.peers.get(*endpoint).is_some_and(|peer| peer.is_unresponsive(silence_timeout, now))
        };
        let unresponsive: Vec<EndpointId> =
            heartbeat_targets.filter(is_unresponsive).cloned().collect();
        for endpoint in unresponsive {
            if self.unresponsive_relays.len() >= Self::MAX_UNRESPONSIVE_RELAYS {
                self.unresponsive_relays.clear();
            }
            if self.unresponsive_relays.insert(endpoint) {
                self.topology.is_stale = true;
            }
        }
    }

    pub(crate) fn send(&mut self, to: &EndpointId, message: ControlMessage) {
        let Some(member) = self.table.get(to) else { return };
        let address = member.control_address;
        self.actions.push(FleetAction::Send(to.clone(), address, message));
    }

    pub(crate) fn notice(&mut self, notice: FleetNotice) {
        self.actions.push(FleetAction::Notice(notice));
    }

    pub(crate) fn peer(&mut self, endpoint: &EndpointId) -> &mut Peer {
        self.peers.entry(endpoint.clone()).or_default()
    }
}
