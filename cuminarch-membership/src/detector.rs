//! Detects failed members of the own zone.
//!
//! As in SWIM (Das, Gupta, Motivala, 2002), a member is suspected before it is
//! removed and can refute the suspicion. As in Lifeguard (Dadgar, Phillips,
//! Currey, 2017), a node that receives few messages considers that it may itself
//! be isolated. Unlike both, two relays watch each member and ask the other relays.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{ControlMessage, LastSeenReport, Member, MemberState};
use cuminarch_types::{EndpointId, MonoTime};

use crate::fleet::SpreadScope;
use crate::{Fleet, FleetNotice};

/// Interval after which the count of refuted suspicions drops by one.
const FLAP_DECAY_INTERVAL: Duration = Duration::from_secs(60);
/// Maximum number of refuted suspicions that extend the timeout for the next.
const MAX_FLAPS: u32 = 4;
/// Minimum number of watched members for a majority decision.
const MIN_MAJORITY: usize = 2;

impl Fleet {
    pub(crate) fn detect_failures(&mut self, now: MonoTime) {
        let attached = self.topology.attached.keys();
        let watched: BTreeSet<EndpointId> = attached
            .chain(&self.topology.zone_relays)
            .chain(&self.unresponsive_relays)
            .cloned()
            .collect();
        let overdue: Vec<EndpointId> =
            watched.iter().filter(|endpoint| self.is_overdue(endpoint, now)).cloned().collect();
        let is_majority_silent = self.is_majority_silent(&watched, now);
        for endpoint in overdue {
            self.evaluate_member(&endpoint, is_majority_silent, now);
        }
    }

    /// Returns `true` if no message came lately from more than half of these members.
    fn is_majority_silent(&self, watched: &BTreeSet<EndpointId>, now: MonoTime) -> bool {
        let silence_timeout = self.settings.silence_timeout;
        let is_seen = |endpoint: &&EndpointId| {
            self.peers
                .get(*endpoint)
                .is_some_and(|peer| peer.is_recently_seen(silence_timeout, now))
        };
        let seen = watched.iter().filter(is_seen).count();
        watched.len() >= MIN_MAJORITY && seen * 2 < watched.len()
    }

    /// Returns `true` if this relay may itself be isolated: since `since`, no message
    /// came from any other relay of any zone or, if there is no other relay, most of
    /// the watched members are silent.
    fn may_be_isolated(&self, since: MonoTime, is_majority_silent: bool) -> bool {
        let relays = self.topology.zone_relays.iter().chain(&self.topology.other_relays);
        let mut seen = relays
            .filter_map(|relay| self.peers.get(relay))
            .map(|peer| peer.last_seen_at.is_some_and(|seen_at| seen_at >= since))
            .peekable();
        if seen.peek().is_none() { is_majority_silent } else { !seen.any(|is_seen| is_seen) }
    }

    fn is_overdue(&mut self, endpoint: &EndpointId, now: MonoTime) -> bool {
        let silence_timeout = self.settings.silence_timeout;
        let is_present =
            self.table.get(endpoint).is_some_and(|member| member.state != MemberState::Gone);
        let peer = self.peer(endpoint);
        if peer.flaps > 0 && now.since(peer.flapped_at) > FLAP_DECAY_INTERVAL {
            peer.flaps -= 1;
            peer.flapped_at = now;
        }
        let watched_since = *peer.watched_since.get_or_insert(now);
        let last_seen_at =
            peer.last_seen_at.map_or(watched_since, |seen_at| seen_at.max(watched_since));
        let timeout = silence_timeout * (1 + peer.flaps);
        is_present && now.since(last_seen_at) > timeout
    }

    fn evaluate_member(&mut self, endpoint: &EndpointId, is_majority_silent: bool, now: MonoTime) {
        let vote_time = self.settings.vote_timeout;
        let peer = self.peer(endpoint);
        let Some(relays_asked_at) = peer.relays_asked_at else {
            self.ask_relays(endpoint, now);
            return;
        };
        if now.since(relays_asked_at) < vote_time {
            return;
        }
        if peer.silence_votes == 0 && self.may_be_isolated(relays_asked_at, is_majority_silent) {
            self.peer(endpoint).relays_asked_at = None;
            return;
        }
        self.escalate_suspicion(endpoint, now);
    }

    fn ask_relays(&mut self, endpoint: &EndpointId, now: MonoTime) {
        let peer = self.peer(endpoint);
        peer.relays_asked_at = Some(now);
        peer.silence_votes = 0;
        let relays = self.topology.zone_relays.clone();
        for relay in relays.iter().filter(|relay| *relay != endpoint) {
            self.send(relay, ControlMessage::LastSeenQuery(endpoint.clone()));
        }
    }

    /// Marks a silent member as suspect, or as gone if it did not refute the suspicion in time.
    fn escalate_suspicion(&mut self, endpoint: &EndpointId, now: MonoTime) {
        let Some(held) = self.table.get(endpoint).cloned() else { return };
        let changed_at = self.table.changed_at(endpoint).unwrap_or(now);
        let state = match held.state {
            MemberState::Active => MemberState::Suspect,
            _ if now.since(changed_at) < self.settings.refute_timeout => return,
            MemberState::Suspect | MemberState::Leaving => MemberState::Gone,
            MemberState::Gone => return,
        };
        let statement = Arc::new(Member::clone(&held).with_state(state));
        if self.merge(&statement, SpreadScope::Everyone, now) {
            self.notice(match state {
                MemberState::Suspect => FleetNotice::Suspected(endpoint.clone()),
                _ => FleetNotice::GivenUp(endpoint.clone()),
            });
        }
    }

    pub(crate) fn query_received(
        &mut self,
        from: &EndpointId,
        endpoint: EndpointId,
        now: MonoTime,
    ) {
        let silence_timeout = self.settings.silence_timeout;
        let seen_at = self.peers.get(&endpoint).and_then(|peer| peer.last_seen_at);
        let age = seen_at.map(|seen_at| now.since(seen_at)).filter(|age| *age < silence_timeout);
        let age_ms = age.and_then(|age| u32::try_from(age.as_millis()).ok());
        self.send(from, ControlMessage::LastSeenReply(LastSeenReport { endpoint, age_ms }));
    }

    pub(crate) fn last_seen_received(&mut self, report: &LastSeenReport, now: MonoTime) {
        let Some(peer) = self.peers.get_mut(&report.endpoint) else { return };
        if peer.relays_asked_at.is_none() {
            return;
        }
        match report.age_ms {
            None => peer.silence_votes += 1,
            Some(age_ms) => {
                let micros = now.as_micros().saturating_sub(u64::from(age_ms) * 1_000);
                let seen_at = Some(MonoTime::from_micros(micros));
                peer.last_seen_at = peer.last_seen_at.max(seen_at);
                peer.relays_asked_at = None;
            }
        }
    }

    /// Records a refuted suspicion, which extends the timeout for the next.
    pub(crate) fn note_flap(&mut self, endpoint: &EndpointId, now: MonoTime) {
        let peer = self.peer(endpoint);
        peer.flaps = (peer.flaps + 1).min(MAX_FLAPS);
        peer.flapped_at = now;
    }
}
