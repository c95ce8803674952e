//! Finds out which members of the own zone have failed.
//!
//! Follows SWIM (Das, Gupta, Motivala, 2002) in that a member is suspected
//! before it is given up and can refute the suspicion, and Lifeguard (Dadgar,
//! Phillips, Currey, 2017) in that a node that hears little doubts itself.
//! Unlike there, a member is watched by two relays, and those ask the others.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{ControlMessage, LastSeenReport, Member, MemberState};
use cuminarch_types::{EndpointId, MonoTime};

use crate::fleet::SpreadScope;
use crate::{Fleet, FleetNotice};

/// Time after which one refuted suspicion is forgotten.
const FLAP_MEMORY: Duration = Duration::from_secs(60);
/// Most refuted suspicions that lengthen the time until the next.
const MAX_FLAPS: u32 = 4;
/// Fewest watched members of which a majority can be silent.
const MIN_MAJORITY: usize = 2;

impl Fleet {
    pub(crate) fn detect_failures(&mut self, now: MonoTime) {
        let attached = self.topology.attached.keys();
        let watched: BTreeSet<EndpointId> = attached
            .chain(&self.topology.zone_relays)
            .chain(&self.unresponsive_relays)
            .cloned()
            .collect();
        let in_doubt: Vec<EndpointId> =
            watched.iter().filter(|endpoint| self.is_overdue(endpoint, now)).cloned().collect();
        let hears_few = self.is_majority_silent(&watched, now);
        for endpoint in in_doubt {
            self.evaluate_member(&endpoint, hears_few, now);
        }
    }

    /// Whether more than half of these members were not heard of lately.
    fn is_majority_silent(&self, watched: &BTreeSet<EndpointId>, now: MonoTime) -> bool {
        let silence = self.settings.silence_timeout;
        let is_heard = |endpoint: &&EndpointId| {
            self.peers.get(*endpoint).is_some_and(|peer| peer.is_recently_seen(silence, now))
        };
        let heard = watched.iter().filter(is_heard).count();
        watched.len() >= MIN_MAJORITY && heard * 2 < watched.len()
    }

    /// Whether this relay may itself be the one that is cut off: no other relay
    /// of any zone was heard since a doubt arose or, if there is none, few of the
    /// watched members are heard.
    fn may_be_isolated(&self, since: MonoTime, hears_few: bool) -> bool {
        let relays = self.topology.zone_relays.iter().chain(&self.topology.other_relays);
        let mut heard = relays
            .filter_map(|relay| self.peers.get(relay))
            .map(|peer| peer.last_seen_at.is_some_and(|heard_at| heard_at >= since))
            .peekable();
        if heard.peek().is_none() { hears_few } else { !heard.any(|is_heard| is_heard) }
    }

    fn is_overdue(&mut self, endpoint: &EndpointId, now: MonoTime) -> bool {
        let silence = self.settings.silence_timeout;
        let is_present =
            self.table.get(endpoint).is_some_and(|member| member.state != MemberState::Gone);
        let peer = self.peer(endpoint);
        if peer.flaps > 0 && now.since(peer.flapped_at) > FLAP_MEMORY {
            peer.flaps -= 1;
            peer.flapped_at = now;
        }
        let watched_since = *peer.watched_since.get_or_insert(now);
        let last = peer.last_seen_at.map_or(watched_since, |heard_at| heard_at.max(watched_since));
        let patience = silence * (1 + peer.flaps);
        is_present && now.since(last) > patience
    }

    fn evaluate_member(&mut self, endpoint: &EndpointId, hears_few: bool, now: MonoTime) {
        let vote_time = self.settings.vote_timeout;
        let peer = self.peer(endpoint);
        let Some(asked_at) = peer.asked_at else {
            self.ask_relays(endpoint, now);
            return;
        };
        if now.since(asked_at) < vote_time {
            return;
        }
        if peer.silence_votes == 0 && self.may_be_isolated(asked_at, hears_few) {
            self.peer(endpoint).asked_at = None;
            return;
        }
        self.escalate_suspicion(endpoint, now);
    }

    fn ask_relays(&mut self, endpoint: &EndpointId, now: MonoTime) {
        let peer = self.peer(endpoint);
        peer.asked_at = Some(now);
        peer.silence_votes = 0;
        let relays = self.topology.zone_relays.clone();
        for relay in relays.iter().filter(|relay| *relay != endpoint) {
            self.send(relay, ControlMessage::LastSeenQuery(endpoint.clone()));
        }
    }

    /// States that a silent member is suspect, or has gone if it did not refute that.
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
        let silence = self.settings.silence_timeout;
        let heard_at = self.peers.get(&endpoint).and_then(|peer| peer.last_seen_at);
        let age = heard_at.map(|heard_at| now.since(heard_at)).filter(|age| *age < silence);
        let age_ms = age.and_then(|age| u32::try_from(age.as_millis()).ok());
        self.send(from, ControlMessage::LastSeenReply(LastSeenReport { endpoint, age_ms }));
    }

    pub(crate) fn last_seen_received(&mut self, hearsay: &LastSeenReport, now: MonoTime) {
        let Some(peer) = self.peers.get_mut(&hearsay.endpoint) else { return };
        if peer.asked_at.is_none() {
            return;
        }
        match hearsay.age_ms {
            None => peer.silence_votes += 1,
            Some(age_ms) => {
                let micros = now.as_micros().saturating_sub(u64::from(age_ms) * 1_000);
                let heard_at = Some(MonoTime::from_micros(micros));
                peer.last_seen_at = peer.last_seen_at.max(heard_at);
                peer.asked_at = None;
            }
        }
    }

    /// Notes that a suspicion was refuted; the next one takes longer.
    pub(crate) fn note_flap(&mut self, endpoint: &EndpointId, now: MonoTime) {
        let peer = self.peer(endpoint);
        peer.flaps = (peer.flaps + 1).min(MAX_FLAPS);
        peer.flapped_at = now;
    }
}
