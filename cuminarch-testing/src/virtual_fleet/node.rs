use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_membership::{Fleet, FleetNotice};
use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{EndpointId, Incarnation, MonoTime, Revision};

use super::TrafficCounters;

/// State of a member as seen by a node.
#[derive(Clone, Copy, Debug)]
pub struct ObservedMember {
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// State of the member.
    pub state: MemberState,
    /// When this state was last reported.
    pub observed_at: MonoTime,
    /// Since when the member is not active; `None` if it is.
    pub not_active_since: Option<MonoTime>,
    /// Since when the member is neither active nor suspect; `None` if it is either.
    pub unused_since: Option<MonoTime>,
}

/// One node of a [`VirtualFleet`](super::VirtualFleet).
#[derive(Debug)]
pub struct VirtualNode {
    /// Membership state machine.
    pub fleet: Fleet,
    /// Whether the process is running.
    pub is_running: bool,
    /// Number of the process, to discard events of an earlier one.
    pub process_number: u64,
    /// Time until which the process is paused.
    pub paused_until: MonoTime,
    /// Members as seen by this node.
    pub observed_members: BTreeMap<EndpointId, ObservedMember>,
    /// Time at which each revision came into force.
    pub in_force_at: BTreeMap<Revision, MonoTime>,
    /// Revision of the policy in force.
    pub revision: Revision,
    /// Notices to operators, with their times.
    pub notices: Vec<(MonoTime, FleetNotice)>,
    /// Traffic of all processes of the node.
    pub counters: TrafficCounters,
    /// Wall time spent on decisions and on encoding messages.
    pub processing_time: Duration,
}

impl VirtualNode {
    /// Returns the node's own member entry.
    #[must_use]
    pub fn member(&self) -> &Member {
        self.fleet.own()
    }

    /// Returns the state of an endpoint as seen by this node; `Gone` if it is unknown.
    #[must_use]
    pub fn state_of(&self, endpoint: &EndpointId) -> MemberState {
        self.observed_members.get(endpoint).map_or(MemberState::Gone, |observed| observed.state)
    }

    /// Records the published state of a member. Returns `false` if it belongs to an earlier
    /// incarnation than the recorded one.
    pub fn observe_member(&mut self, member: &Member, now: MonoTime) -> bool {
        let previous = self.observed_members.get(&member.endpoint).copied();
        let since =
            |applies: bool, previous: Option<MonoTime>| applies.then(|| previous.unwrap_or(now));
        let observed = ObservedMember {
            incarnation: member.incarnation,
            state: member.state,
            observed_at: now,
            not_active_since: since(
                member.state > MemberState::Active,
                previous.and_then(|observed| observed.not_active_since),
            ),
            unused_since: since(
                member.state > MemberState::Suspect,
                previous.and_then(|observed| observed.unused_since),
            ),
        };
        self.observed_members.insert(member.endpoint.clone(), observed);
        previous.is_none_or(|previous| previous.incarnation <= member.incarnation)
    }
}
