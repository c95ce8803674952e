//! Departures of the own upstream that were acknowledged, but not stored yet.
//!
//! The next process of the node knows of a departure only if the store or a member tells it. While the
//! store does not answer this node, others may reach it, so the first nodes of each zone are asked
//! to store the departure. The own attempts are repeated at short intervals, and a process that is asked
//! to end waits for them.

use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{Heartbeat, Member, UpstreamState};
use cuminarch_types::{EndpointId, MonoTime};

use super::Roster;
use crate::topology::rank_in_zone;

/// Requests to store the departures of other nodes, and the own ones.
#[derive(Clone, Debug, Default)]
pub struct OwedDeparture {
    /// When the own departure became due.
    due_since: Option<MonoTime>,
    /// When others were last asked to store it.
    asked_at: Option<MonoTime>,
}

impl Roster {
    /// Longest delay before a departure is written again.
    pub(super) const OWED_RETRY_DELAY: Duration = Duration::from_millis(250);
    /// Time for the store to answer the own write before others are asked.
    const OWED_WRITE_TIME: Duration = Duration::from_millis(100);
    /// Interval at which others are asked.
    const OWED_ASK_INTERVAL: Duration = Duration::from_secs(1);

    /// Returns `true` if the upstream has left and the store is not known to have that.
    #[must_use]
    pub fn owes_departure(&self) -> bool {
        let upstream = self.own.upstream.as_ref();
        let has_left = upstream.is_some_and(|upstream| {
            upstream.instance.is_some() && upstream.state > UpstreamState::Ready
        });
        has_left && !self.store.is_own_object_current
    }

    /// Asks the first nodes of each zone to store the own departure if the store does not answer.
    pub(super) fn ask_to_store_departure(&mut self, now: MonoTime) {
        if !self.owes_departure() {
            self.owed = OwedDeparture::default();
            return;
        }
        let due_since = *self.owed.due_since.get_or_insert(now);
        let was_asked_recently =
            self.owed.asked_at.is_some_and(|at| now.since(at) < Self::OWED_ASK_INTERVAL);
        if now.since(due_since) < Self::OWED_WRITE_TIME || was_asked_recently {
            return;
        }
        self.owed.asked_at = Some(now);
        let is_first =
            |member: &&Arc<Member>| rank_in_zone(member, &self.table) < Self::REPAIRING_RANKS;
        let first: Vec<EndpointId> = self
            .table
            .iter()
            .filter(|member| member.endpoint != self.own.endpoint)
            .filter(is_first)
            .map(|member| member.endpoint.clone())
            .collect();
        for member in first {
            self.send_heartbeat(&member, now);
        }
    }

    /// Reads the members if another node cannot store that its upstream has left, which shows whether
    /// its object has to be repaired.
    pub(super) fn asked_to_store(
        &mut self,
        from: &EndpointId,
        heartbeat: &Heartbeat,
        now: MonoTime,
    ) {
        let has_left = self.table.get(from).is_some_and(|member| !member.takes_work());
        if heartbeat.lacks_platform && has_left && self.rank() < Self::REPAIRING_RANKS {
            self.store.needs_current_list = true;
            self.store.next_list_at = Some(now);
            self.drive_store(now);
        }
    }
}
