use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_membership::{Fleet, FleetNotice};
use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{EndpointId, Incarnation, MonoTime, Revision};

use super::TrafficCounters;

/// What a node thinks of a member, and since when.
#[derive(Clone, Copy, Debug)]
pub struct ObservedMember {
    /// Process of the member.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
    /// Since when it is seen so.
    pub observed_at: MonoTime,
    /// Since when it is not active.
    pub not_active_since: Option<MonoTime>,
    /// Since when it is neither active nor suspect.
    pub unused_since: Option<MonoTime>,
}

/// One node of a [`VirtualFleet`](super::VirtualFleet).
#[derive(Debug)]
pub struct VirtualNode {
    /// Its state machine.
    pub fleet: Fleet,
    /// Whether its process runs.
    pub is_running: bool,
    /// Number of its process, to tell late events of an earlier one.
    pub process_number: u64,
    /// Until when it is paused.
    pub paused_until: MonoTime,
    /// What it thinks of the members.
    pub observed_members: BTreeMap<EndpointId, ObservedMember>,
    /// When each revision came into force.
    pub in_force_at: BTreeMap<Revision, MonoTime>,
    /// Revision of the policy in force.
    pub revision: Revision,
    /// What it reported to operators.
    pub notices: Vec<(MonoTime, FleetNotice)>,
    /// Its traffic, over all its processes.
    pub counters: TrafficCounters,
    /// Wall time that its decisions and the encoding of its messages took.
    pub processing_time: Duration,
}

impl VirtualNode {
    /// Its entry.
    #[must_use]
    pub fn member(&self) -> &Member {
        self.fleet.own()
    }

    /// State in which it sees an endpoint, gone if it does not know it.
    #[must_use]
    pub fn state_of(&self, endpoint: &EndpointId) -> MemberState {
        self.observed_members.get(endpoint).map_or(MemberState::Gone, |seen| seen.state)
    }

    /// Takes in a view of a member. Returns whether it did not go back to an
    /// earlier process.
    pub fn observe_member(&mut self, member: &Member, now: MonoTime) -> bool {
        let before = self.observed_members.get(&member.endpoint).copied();
        let since = |is_in: bool, before: Option<MonoTime>| is_in.then(|| before.unwrap_or(now));
        let seen = ObservedMember {
            incarnation: member.incarnation,
            state: member.state,
            observed_at: now,
            not_active_since: since(
                member.state > MemberState::Active,
                before.and_then(|seen| seen.not_active_since),
            ),
            unused_since: since(
                member.state > MemberState::Suspect,
                before.and_then(|seen| seen.unused_since),
            ),
        };
        self.observed_members.insert(member.endpoint.clone(), seen);
        before.is_none_or(|before| before.incarnation <= member.incarnation)
    }
}
