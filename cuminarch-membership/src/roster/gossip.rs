//! Gossip of statements and configurations between nodes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::ConfigDocument;
use cuminarch_protocol::{
    ConfigPatch, ConfigSnapshot, ControlMessage, Heartbeat, Member, MemberState,
};
use cuminarch_types::{EndpointId, MonoTime, Revision};
use rand::RngExt;

use super::{Roster, RosterPeer};
use crate::{FleetAction, apply_patch};

impl Roster {
    /// Number of random members to which each round sends a heartbeat.
    const PEERS_PER_ROUND: usize = 2;
    /// Interval between two rounds, as a fraction of the time limit for a configuration
    /// to be in force: five rounds make up for a lost push.
    const GOSSIP_INTERVAL_FRACTION: f64 = 0.2;
    /// Maximum interval between two rounds, because rounds also compare members.
    const MAX_GOSSIP_INTERVAL: Duration = Duration::from_millis(600);
    /// Time during which a member that has gone may return with a new process.
    const RETURN_WINDOW: Duration = Duration::from_secs(30);
    /// Minimum interval between two comparisons of members with one peer.
    const MIN_PULL_INTERVAL: Duration = Duration::from_millis(700);
    /// Minimum interval between two pushes of a configuration to one peer.
    const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(600);

    /// Sends heartbeats to a few random members and one that has gone recently.
    pub(super) fn gossip(&mut self, now: MonoTime) {
        if now < self.next_gossip_at {
            return;
        }
        let jitter = self.rng.random_range(0.8..1.2);
        let interval = self.settings.config_apply.mul_f64(Self::GOSSIP_INTERVAL_FRACTION);
        let interval = interval.min(Self::MAX_GOSSIP_INTERVAL);
        self.next_gossip_at = now.after(interval.mul_f64(jitter));
        let mut targets = self.spread_targets(Self::PEERS_PER_ROUND, None);
        targets.extend(self.recently_gone(now));
        targets.extend(self.recently_lost(now));
        for peer in targets {
            self.send_heartbeat(&peer, now);
        }
    }

    /// Returns random members, half of them from the own zone: the others may be cut off.
    fn spread_targets(&mut self, count: usize, excluded: Option<&EndpointId>) -> Vec<EndpointId> {
        let zone = self.own.zone.clone();
        let mut targets = self.random_members(count / 2, excluded, |member| member.zone == zone);
        let held: BTreeSet<EndpointId> = targets.iter().cloned().collect();
        let is_left = |member: &Member| !held.contains(&member.endpoint);
        targets.extend(self.random_members(count - targets.len(), excluded, is_left));
        targets
    }

    /// Returns a random member that left or went recently, if any. Its host may run a
    /// new process that knows no other node, for example while the store is unavailable.
    fn recently_gone(&mut self, now: MonoTime) -> Option<EndpointId> {
        let is_recent = |member: &&Arc<Member>| {
            let changed_at = self.table.changed_at(&member.endpoint).unwrap_or_default();
            member.state >= MemberState::Leaving && now.since(changed_at) < Self::RETURN_WINDOW
        };
        let gone: Vec<EndpointId> =
            self.table.iter().filter(is_recent).map(|member| member.endpoint.clone()).collect();
        let index = self.rng.random_range(0..gone.len().max(1));
        gone.get(index).cloned()
    }

    /// Returns random members whose links ended recently, if any. Their processes may have ended,
    /// and new ones may know no other node.
    fn recently_lost(&mut self, now: MonoTime) -> Vec<EndpointId> {
        let is_recent =
            |peer: &RosterPeer| peer.lost_at.is_some_and(|at| now.since(at) < Self::RETURN_WINDOW);
        let lost = self.peers.iter().filter(|(_, peer)| is_recent(peer));
        let lost: BTreeSet<EndpointId> = lost.map(|(endpoint, _)| endpoint.clone()).collect();
        if lost.is_empty() {
            return Vec::new();
        }
        self.random_members(Self::FAN_OUT, None, |member| lost.contains(&member.endpoint))
    }

    /// Returns random members that have not gone, except this node and `excluded`.
    fn random_peers(&mut self, count: usize, excluded: Option<&EndpointId>) -> Vec<EndpointId> {
        self.random_members(count, excluded, |_| true)
    }

    /// Returns random members that have not gone and match, except this node and `excluded`.
    pub(super) fn random_members(
        &mut self,
        count: usize,
        excluded: Option<&EndpointId>,
        matches: impl Fn(&Member) -> bool,
    ) -> Vec<EndpointId> {
        let is_peer = |member: &&Arc<Member>| {
            member.state != MemberState::Gone
                && member.endpoint != self.own.endpoint
                && Some(&member.endpoint) != excluded
                && matches(member)
        };
        let mut peers: Vec<EndpointId> =
            self.table.iter().filter(is_peer).map(|member| member.endpoint.clone()).collect();
        let mut chosen = Vec::with_capacity(count.min(peers.len()));
        while chosen.len() < count && !peers.is_empty() {
            let index = self.rng.random_range(0..peers.len());
            chosen.push(peers.swap_remove(index));
        }
        chosen
    }

    pub(super) fn heartbeat(&self, now: MonoTime) -> Heartbeat {
        let age_ms = |at| u32::try_from(now.since(at).as_millis().saturating_add(1)).ok();
        Heartbeat {
            revision: self.revision(),
            members_digest: self.table.digest(),
            verified_age_ms: self.evidence.at().and_then(age_ms),
            store_era: self.store.era.unwrap_or_default(),
            lacks_platform: self.owes_departure(),
            ..Heartbeat::default()
        }
    }

    pub(super) fn send(&mut self, to: &EndpointId, message: ControlMessage) {
        let Some(member) = self.table.get(to) else { return };
        self.actions.push(FleetAction::Send(to.clone(), member.control_address, message));
    }

    /// Sends pending statements: own ones to many members, others to a few, which
    /// reaches all members in a few steps.
    pub(super) fn flush_statements(&mut self) {
        let news = std::mem::take(&mut self.pending_statements);
        if news.is_empty() {
            return;
        }
        let is_own = news.contains(&self.own.endpoint);
        let members: Vec<Arc<Member>> =
            news.iter().filter_map(|endpoint| self.table.get(endpoint)).cloned().collect();
        let count = if is_own { Self::MAX_DIRECT_RECIPIENTS } else { Self::FAN_OUT };
        for peer in self.random_peers(count, None) {
            self.send(&peer, ControlMessage::Members(members.clone()));
        }
    }

    pub(super) fn receive(&mut self, from: &EndpointId, message: ControlMessage, now: MonoTime) {
        if *from == self.own.endpoint {
            return;
        }
        if let Some(peer) = self.peers.get_mut(from) {
            peer.lost_at = None;
        }
        match message {
            ControlMessage::Hello(hello) => {
                if hello.fleet == self.settings.fleet && hello.member.endpoint == *from {
                    self.tell_history(from, &hello.member);
                    let peer = self.peers.entry(from.clone()).or_default();
                    peer.met_incarnation = Some(hello.member.incarnation);
                    self.merge(&Arc::new(hello.member), now);
                    self.send_heartbeat(from, now);
                }
            }
            ControlMessage::Heartbeat(heartbeat) => {
                let answer = self.heartbeat(now);
                self.send(from, ControlMessage::Ack(answer));
                self.request_evidence(from, &heartbeat, now);
                self.asked_to_store(from, &heartbeat, now);
                self.compare_heartbeat(from, &heartbeat, now);
            }
            ControlMessage::Ack(heartbeat) => {
                self.evidence_received(from, &heartbeat, now);
                self.compare_heartbeat(from, &heartbeat, now);
            }
            ControlMessage::Members(members) => self.members_received(from, &members, now),
            ControlMessage::Buckets(buckets) => {
                let members = self.table.differing(&buckets);
                self.send(from, ControlMessage::Members(members));
            }
            ControlMessage::PullConfig(above) => self.config_pulled(from, above),
            ControlMessage::Config(offer) => self.config_received(from, &offer, now),
            ControlMessage::Patch(patch) => self.patch_received(from, &patch, now),
            ControlMessage::Identify => {
                let hello = self.hello();
                self.send(from, hello);
            }
            // Messages between relays, which this kind of fleet does not have.
            ControlMessage::LastSeenQuery(_) | ControlMessage::LastSeenReply(_) => {}
        }
    }

    /// Sends the state of this node to a peer and asks for its state.
    pub(super) fn send_heartbeat(&mut self, to: &EndpointId, now: MonoTime) {
        let heartbeat = self.heartbeat(now);
        self.note_question(to, now);
        self.send(to, ControlMessage::Heartbeat(heartbeat));
    }

    /// Compares the state of a peer with the own state.
    fn compare_heartbeat(&mut self, from: &EndpointId, heartbeat: &Heartbeat, now: MonoTime) {
        self.note_peer_era(heartbeat.store_era, now);
        let differs = heartbeat.members_digest != self.table.digest();
        let buckets = self.table.buckets().to_vec();
        let peer = self.peers.entry(from.clone()).or_default();
        peer.revision = heartbeat.revision;
        peer.reported_revision = Some(heartbeat.revision);
        let was_pulled_recently =
            peer.pulled_at.is_some_and(|at| now.since(at) < Self::MIN_PULL_INTERVAL);
        if differs && !was_pulled_recently {
            peer.pulled_at = Some(now);
            self.send(from, ControlMessage::Buckets(buckets));
        }
        self.send_config(from, now);
        self.apply_pending_config(now);
    }

    fn members_received(&mut self, from: &EndpointId, members: &[Arc<Member>], now: MonoTime) {
        let mut newer = Vec::new();
        for member in members {
            self.tell_history(from, member);
            self.note_witness(member, now);
            self.merge(member, now);
            match self.table.get(&member.endpoint) {
                Some(held) if held.supersedes(member) => newer.push(Arc::clone(held)),
                _ => {}
            }
        }
        if !newer.is_empty() {
            self.send(from, ControlMessage::Members(newer));
        }
    }

    /// Forwards a new configuration: to many members if it came from the store, else to a few.
    pub(super) fn spread_config(&mut self, from: Option<&EndpointId>, now: MonoTime) {
        let count = if from.is_some() { Self::FAN_OUT } else { Self::MAX_DIRECT_RECIPIENTS };
        for peer in self.spread_targets(count, from) {
            self.send_config(&peer, now);
        }
    }

    fn send_config(&mut self, to: &EndpointId, now: MonoTime) {
        let own = self.revision();
        let peer = self.peers.entry(to.clone()).or_default();
        let held = peer.revision;
        let was_sent_recently = peer.config_sent_at.is_some_and(|at| {
            now.since(at) < Self::MIN_PUSH_INTERVAL && !self.config.came_into_force_after(at)
        });
        if held >= own || was_sent_recently {
            return;
        }
        peer.config_sent_at = Some(now);
        if let Some(message) = self.config.message_for(held) {
            self.send(to, message);
        }
    }

    fn note_revision(&mut self, from: &EndpointId, revision: Revision) {
        let peer = self.peers.entry(from.clone()).or_default();
        peer.revision = peer.revision.max(revision);
    }

    fn config_received(&mut self, from: &EndpointId, offer: &ConfigSnapshot, now: MonoTime) {
        self.note_revision(from, offer.revision);
        let document = ConfigDocument {
            revision: offer.revision,
            change: offer.change.clone(),
            sheet: offer.sheet.clone(),
        };
        self.apply_config(&document, Some(from), now);
    }

    fn patch_received(&mut self, from: &EndpointId, patch: &ConfigPatch, now: MonoTime) {
        self.note_revision(from, patch.revision);
        if patch.revision <= self.revision() {
            return;
        }
        let base = self.config.gate.document();
        match base.and_then(|base| apply_patch(base, patch)) {
            Some(document) => self.apply_config(&document, Some(from), now),
            None => {
                let revision = self.revision();
                self.send(from, ControlMessage::PullConfig(revision));
            }
        }
    }

    fn config_pulled(&mut self, from: &EndpointId, above: Revision) {
        if self.revision() > above
            && let Some(whole) = self.config.whole()
        {
            self.send(from, ControlMessage::Config(whole));
        }
    }
}
