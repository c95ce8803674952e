//! Heartbeats, and the state exchanged by them.

use cuminarch_protocol::{ControlMessage, Coverage, Heartbeat, Hello, MemberState};
use cuminarch_types::{EndpointId, MonoTime, Revision};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;

use crate::{Fleet, FleetAction};

/// Interval between two heartbeats to a member that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between two attempts to contact the seeds.
const SEED_CONTACT_INTERVAL: Duration = Duration::from_secs(3);
/// Number of consecutive heartbeats with a different digest before members are compared.
const MISMATCHES_TO_PULL: u32 = 2;
/// Minimum interval between two comparisons of members.
const MIN_PULL_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a link breaks until its peer counts as silent.
const LINK_LOST_GRACE: Duration = Duration::from_secs(1);

impl Fleet {
    pub(crate) fn exchange_heartbeats(&mut self, now: MonoTime) {
        if now < self.next_heartbeat_at {
            return;
        }
        let jitter = self.rng.random_range(0.95..1.05);
        self.next_heartbeat_at = now.after(self.settings.heartbeat_interval.mul_f64(jitter));
        let is_probing = now >= self.next_probe_at;
        if is_probing {
            let jitter = self.rng.random_range(0.8..1.2);
            self.next_probe_at = now.after(PROBE_INTERVAL.mul_f64(jitter));
        }
        let silence_timeout = self.settings.silence_timeout;
        let relays = self.topology.zone_relays.iter().filter(|_| self.topology.is_relay);
        let mut targets: Vec<EndpointId> = relays.chain(&self.topology.homes).cloned().collect();
        let is_unresponsive = |endpoint: &EndpointId| {
            self.peers.get(endpoint).is_some_and(|peer| peer.is_unresponsive(silence_timeout, now))
        };
        let others = self.topology.other_relays.iter();
        targets.extend(others.filter(|relay| is_probing || !is_unresponsive(relay)).cloned());
        if is_probing {
            targets.extend(self.unresponsive_relays.iter().cloned());
            targets.extend(self.member_of_cut_zone());
        }
        for target in targets {
            let heartbeat = self.heartbeat_for(&target);
            self.peer(&target).unanswered_since.get_or_insert(now);
            self.send(&target, ControlMessage::Heartbeat(heartbeat));
        }
    }

    /// Returns a random member of a cut zone: all relays of the zone may be new.
    fn member_of_cut_zone(&mut self) -> Option<EndpointId> {
        if !self.topology.is_relay || self.cut_zones.is_empty() {
            return None;
        }
        let in_cut = self.table.iter().filter(|member| {
            self.cut_zones.contains_key(&member.zone) && member.state != MemberState::Gone
        });
        let members: Vec<EndpointId> = in_cut.map(|member| member.endpoint.clone()).collect();
        let index = self.rng.random_range(0..members.len().max(1));
        members.get(index).cloned()
    }

    fn heartbeat_for(&self, target: &EndpointId) -> Heartbeat {
        let mut heartbeat = Heartbeat {
            revision: self.revision(),
            members_digest: self.table.digest(),
            ..Heartbeat::default()
        };
        if self.topology.is_relay {
            heartbeat.cut_zones = self.silent_zones();
            heartbeat.lacks_platform = self.platform.is_unavailable;
            if self.topology.zone_relays.contains(target) {
                heartbeat.coverage = Some(self.coverage());
            }
        }
        heartbeat
    }

    /// Returns how far the own revision is in force on the members that this relay serves.
    pub(crate) fn coverage(&self) -> Coverage {
        let revision = self.revision();
        let mut coverage = Coverage { members: 1, in_force: 1, lowest: revision };
        for (endpoint, _) in self.topology.attached.iter().filter(|(_, is_served)| **is_served) {
            let is_active =
                self.table.get(endpoint).is_some_and(|member| member.state == MemberState::Active);
            if !is_active {
                continue;
            }
            let held: Revision =
                self.peers.get(endpoint).map(|peer| peer.revision).unwrap_or_default();
            coverage.members += 1;
            coverage.in_force += u32::from(held == revision);
            coverage.lowest = coverage.lowest.min(held);
        }
        coverage
    }

    pub(crate) fn receive(&mut self, from: &EndpointId, message: ControlMessage, now: MonoTime) {
        if *from == self.own.endpoint {
            return;
        }
        self.record_received(from, now);
        match message {
            ControlMessage::Hello(hello) => self.hello_received(from, *hello, now),
            ControlMessage::Identify => {
                let hello = self.hello();
                self.send(from, hello);
            }
            ControlMessage::Heartbeat(heartbeat) => self.heartbeat_received(from, heartbeat, now),
            ControlMessage::Ack(heartbeat) => self.compare_heartbeat(from, heartbeat, now),
            ControlMessage::Members(members) => self.members_received(from, members, now),
            ControlMessage::Buckets(buckets) => {
                let members = self.table.differing(&buckets);
                self.send_members(from, members);
            }
            ControlMessage::LastSeenQuery(endpoint) => self.query_received(from, endpoint, now),
            ControlMessage::LastSeenReply(report) => self.last_seen_received(&report, now),
            ControlMessage::PullConfig(revision) => self.config_pulled(from, revision),
            ControlMessage::Config(offer) => self.config_received(from, &offer, now),
            ControlMessage::Patch(patch) => self.patch_received(from, &patch, now),
        }
    }

    fn record_received(&mut self, from: &EndpointId, now: MonoTime) {
        self.has_received_message = true;
        let Some(member) = self.table.get(from) else { return };
        let zone = member.zone.clone();
        if zone != self.own.zone {
            self.zone_last_seen.insert(zone, now);
        }
        self.peer(from).record_message(now);
        if self.unresponsive_relays.remove(from) {
            self.topology.is_stale = true;
        }
    }

    fn hello_received(&mut self, from: &EndpointId, hello: Hello, now: MonoTime) {
        if hello.fleet != self.settings.fleet || hello.member.endpoint != *from {
            return;
        }
        let member = Arc::new(hello.member);
        self.members_received(from, vec![member], now);
        self.record_received(from, now);
        if !self.platform.is_listed() && !self.topology.is_relay {
            self.pull_members(from, now);
        }
    }

    fn heartbeat_received(&mut self, from: &EndpointId, heartbeat: Heartbeat, now: MonoTime) {
        let Some(held) = self.table.get(from).cloned() else {
            let identify = ControlMessage::Identify;
            self.reply_over_link(from, identify);
            return;
        };
        if matches!(held.state, MemberState::Suspect | MemberState::Gone) {
            self.send(from, ControlMessage::Members(vec![held]));
        }
        let topology = &self.topology;
        let is_mutual = topology.homes.contains(from)
            || (topology.is_relay
                && (topology.zone_relays.contains(from) || topology.other_relays.contains(from)));
        if !is_mutual {
            let answer = self.heartbeat_for(from);
            self.send(from, ControlMessage::Ack(answer));
            let peer = self.peer(from);
            peer.revision = heartbeat.revision;
            peer.reported_at = Some(now);
            self.repair_config(from, now);
        } else {
            self.compare_heartbeat(from, heartbeat, now);
        }
    }

    /// Answers a sender whose address is unknown, over the link on which its message arrived.
    fn reply_over_link(&mut self, to: &EndpointId, message: ControlMessage) {
        let unspecified_address = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
        self.actions.push(FleetAction::Send(to.clone(), unspecified_address, message));
    }

    /// Compares the state of a relay with the own state.
    fn compare_heartbeat(&mut self, from: &EndpointId, heartbeat: Heartbeat, now: MonoTime) {
        let differs = heartbeat.members_digest != self.table.digest();
        let peer = self.peer(from);
        peer.revision = heartbeat.revision;
        peer.cut_zones = heartbeat.cut_zones;
        peer.lacks_platform = heartbeat.lacks_platform;
        peer.coverage = heartbeat.coverage;
        peer.mismatches = if differs { peer.mismatches + 1 } else { 0 };
        if peer.mismatches >= MISMATCHES_TO_PULL {
            self.pull_members(from, now);
        }
        self.repair_config(from, now);
    }

    fn pull_members(&mut self, from: &EndpointId, now: MonoTime) {
        if self.pulled_at.is_some_and(|pulled_at| now.since(pulled_at) < MIN_PULL_INTERVAL) {
            return;
        }
        self.pulled_at = Some(now);
        self.peer(from).mismatches = 0;
        let buckets = self.table.buckets().to_vec();
        self.send(from, ControlMessage::Buckets(buckets));
    }

    pub(crate) fn contact_seeds(&mut self, now: MonoTime) {
        if self.has_received_message || now < self.next_seed_at {
            return;
        }
        let jitter = self.rng.random_range(0.5..1.0);
        self.next_seed_at = now.after(SEED_CONTACT_INTERVAL.mul_f64(jitter));
        for seed in self.settings.seeds.clone() {
            if seed != self.own.control_address {
                self.actions.push(FleetAction::Connect(seed));
            }
        }
    }

    pub(crate) fn link_lost(&mut self, endpoint: &EndpointId, now: MonoTime) {
        let shift = self.settings.silence_timeout.saturating_sub(LINK_LOST_GRACE);
        let shift_micros = u64::try_from(shift.as_micros()).unwrap_or(0);
        let earlier = MonoTime::from_micros(now.as_micros().saturating_sub(shift_micros));
        let Some(peer) = self.peers.get_mut(endpoint) else { return };
        peer.last_seen_at = peer.last_seen_at.map(|last_seen_at| last_seen_at.min(earlier));
        peer.watched_since = peer.watched_since.map(|since| since.min(earlier));
        peer.unanswered_since = Some(peer.unanswered_since.unwrap_or(now).min(earlier));
    }
}
