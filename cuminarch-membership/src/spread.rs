//! Distributes statements about members.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{ControlMessage, Member, MemberState};
use cuminarch_types::{EndpointId, MonoTime};

use crate::fleet::{PublishedView, SpreadScope};
use crate::peer::Peer;
use crate::{Fleet, FleetAction, FleetNotice, MergeOutcome};

/// Maximum number of statements in one message.
const MAX_STATEMENTS: usize = 1_024;
/// Maximum number of simultaneous departures that every relay sends to its whole zone.
const MAX_URGENT_DEPARTURES: usize = 4;
/// Minimum interval between two refutations.
const MIN_REFUTATION_INTERVAL: Duration = Duration::from_millis(500);
/// Number of ticks on which an announcement is repeated.
const ANNOUNCEMENT_REPEAT_TICKS: u32 = 4;

impl Fleet {
    /// Merges a statement about any member. Returns `true` if it was new.
    pub(crate) fn merge(
        &mut self,
        member: &Arc<Member>,
        scope: SpreadScope,
        now: MonoTime,
    ) -> bool {
        if member.endpoint == self.own.endpoint {
            self.own_statement_received(member, now);
            return false;
        }
        let held = self.table.get(&member.endpoint).map(|held| (held.incarnation, held.state));
        if self.table.merge(member, now) != MergeOutcome::Newer {
            return false;
        }
        let is_refuted = held == Some((member.incarnation, MemberState::Suspect))
            && member.state == MemberState::Active;
        if is_refuted {
            self.note_flap(&member.endpoint, now);
        }
        let pending_scope = self.pending_statements.entry(member.endpoint.clone()).or_insert(scope);
        *pending_scope = scope.max(*pending_scope);
        self.topology.is_stale = true;
        self.publish_view(member, now);
        true
    }

    /// Refutes a later statement of others about this node, or stops if a newer process exists.
    fn own_statement_received(&mut self, member: &Arc<Member>, now: MonoTime) {
        if member.incarnation > self.own.incarnation {
            self.is_superseded = true;
            self.notice(FleetNotice::Superseded);
            return;
        }
        if member.precedence() <= self.own.precedence() {
            return;
        }
        if self.refuted_at.is_some_and(|refuted_at| now.since(refuted_at) < MIN_REFUTATION_INTERVAL)
        {
            return;
        }
        self.refuted_at = Some(now);
        let mut own = Member::clone(&self.own);
        own.statement = member.statement.saturating_add(1);
        self.replace_own(own, now);
    }

    /// Announces a new state of this node.
    pub(crate) fn announce_state(&mut self, state: MemberState, now: MonoTime) {
        if self.own.state >= state {
            return;
        }
        let mut own = Member::clone(&self.own).with_state(state);
        own.statement = own.statement.saturating_add(1);
        self.refresh_topology(now);
        self.replace_own(own, now);
        self.announcements_left = ANNOUNCEMENT_REPEAT_TICKS;
        self.announce_directly();
        self.flush_statements(now);
    }

    fn replace_own(&mut self, own: Member, now: MonoTime) {
        let own = Arc::new(own);
        self.table.merge(&own, now);
        self.publish_view(&own, now);
        self.pending_statements.insert(own.endpoint.clone(), SpreadScope::Everyone);
        self.own = own;
        self.topology.is_stale = true;
    }

    pub(crate) fn repeat_announcement(&mut self) {
        if self.announcements_left > 0 {
            self.announcements_left -= 1;
            self.announce_directly();
        }
    }

    /// Sends the own state to every relay of the zone and every peer that has sent a message.
    fn announce_directly(&mut self) {
        let relays = self.topology.zone_relays.iter();
        let peers = self.peers.iter().filter(|(_, peer)| peer.last_seen_at.is_some());
        let mut targets: Vec<EndpointId> =
            relays.chain(peers.map(|(endpoint, _)| endpoint)).cloned().collect();
        targets.sort_unstable();
        targets.dedup();
        for target in targets {
            self.send(&target, ControlMessage::Members(vec![Arc::clone(&self.own)]));
        }
    }

    pub(crate) fn members_received(
        &mut self,
        from: &EndpointId,
        members: Vec<Arc<Member>>,
        now: MonoTime,
    ) {
        let is_relay =
            self.topology.zone_relays.contains(from) || self.topology.other_relays.contains(from);
        let scope = if is_relay { SpreadScope::Attached } else { SpreadScope::Everyone };
        let mut newer = Vec::new();
        for member in &members {
            self.merge(member, scope, now);
            match self.table.get(&member.endpoint) {
                Some(held) if held.supersedes(member) => newer.push(Arc::clone(held)),
                _ => {}
            }
        }
        self.send_members(from, newer);
    }

    pub(crate) fn send_members(&mut self, to: &EndpointId, members: Vec<Arc<Member>>) {
        for chunk in members.chunks(MAX_STATEMENTS) {
            self.send(to, ControlMessage::Members(chunk.to_vec()));
        }
    }

    /// Forwards the statements merged since the last tick.
    pub(crate) fn flush_statements(&mut self, now: MonoTime) {
        let pending = std::mem::take(&mut self.pending_statements);
        if pending.is_empty() {
            return;
        }
        let statements = |scope: SpreadScope| -> Vec<Arc<Member>> {
            let wanted = pending.iter().filter(|(_, pending)| **pending >= scope);
            wanted.filter_map(|(endpoint, _)| self.table.get(endpoint)).cloned().collect()
        };
        let for_attached = statements(SpreadScope::Attached);
        let for_relays = statements(SpreadScope::Everyone);
        if self.topology.is_relay {
            for node in self.recipients(&for_attached, now) {
                self.send_members(&node, for_attached.clone());
            }
            let relays = self.topology.zone_relays.iter().chain(&self.topology.other_relays);
            for relay in relays.cloned().collect::<Vec<_>>() {
                self.send_members(&relay, for_relays.clone());
            }
        } else if pending.contains_key(&self.own.endpoint) {
            for home in self.topology.homes.clone() {
                self.send(&home, ControlMessage::Members(vec![Arc::clone(&self.own)]));
            }
        }
    }

    /// Returns the nodes of the zone to which this relay forwards these statements.
    fn recipients(&self, statements: &[Arc<Member>], now: MonoTime) -> BTreeSet<EndpointId> {
        let silence_timeout = self.settings.silence_timeout;
        let reports =
            |peer: &Peer| peer.reported_at.is_some_and(|at| now.since(at) <= silence_timeout);
        let reporting_peers = self.peers.iter().filter(|(_, peer)| reports(peer));
        let mut recipients: BTreeSet<EndpointId> = self.topology.attached.keys().cloned().collect();
        recipients.extend(reporting_peers.map(|(endpoint, _)| endpoint.clone()));
        let leaving = statements.iter().filter(|member| member.state == MemberState::Leaving);
        if (1..=MAX_URGENT_DEPARTURES).contains(&leaving.count()) {
            let in_zone = |member: &&Arc<Member>| {
                member.zone == self.own.zone && member.state != MemberState::Gone
            };
            let zone = self.table.iter().filter(in_zone);
            recipients.extend(zone.map(|member| member.endpoint.clone()));
        }
        recipients.remove(&self.own.endpoint);
        recipients
    }

    /// Sends the view of a member to the driver if it changed.
    pub(crate) fn publish_view(&mut self, member: &Arc<Member>, now: MonoTime) {
        let state = member.state.max(self.state_of_zone(&member.zone, now));
        let previous = self.views.get(&member.endpoint).copied();
        let is_unchanged = previous
            .is_some_and(|view| (view.incarnation, view.state) == (member.incarnation, state));
        if is_unchanged || (previous.is_none() && state == MemberState::Gone) {
            return;
        }
        let number = previous.map_or(1, |view| view.number.saturating_add(1));
        let view = PublishedView { number, incarnation: member.incarnation, state };
        self.views.insert(member.endpoint.clone(), view);
        let mut viewed_member = Member::clone(member).with_state(state);
        viewed_member.statement = number;
        self.actions.push(FleetAction::View(Box::new(viewed_member)));
    }
}
