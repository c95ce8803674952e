//! What earlier processes of this node have acknowledged about the upstream.
//!
//! A node keeps nothing on its host, so a process that starts doesn't know whether its upstream has
//! announced its departure, and a late registration looks like a new one. The own object in the
//! store and the tables of the other members still have the last record. The new process therefore
//! takes the upstream for ready only once it has written its own object under the condition that
//! the object is still the one whose record it has adopted; that costs no call beside the one that
//! a start takes anyway. It also learns from other members as they turn up; they tell what they know
//! before the new process' statement replaces it.

use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{ControlMessage, Member, UpstreamRecord, UpstreamState};
use cuminarch_types::{EndpointId, MonoTime};

use super::Roster;
use crate::{FleetAction, PlatformCall};

impl Roster {
    /// Time after which a registration counts although the store does not answer. Other members
    /// turn up within it.
    const HISTORY_TIMEOUT: Duration = Duration::from_millis(1_000);

    /// Finds out whether the upstream of a registration may be taken for ready.
    pub(super) fn upstream_pending(&mut self, record: UpstreamRecord, now: MonoTime) {
        let pending = self.store.pending_upstream.as_ref();
        let since = pending.map_or(now, |(_, since)| *since);
        if pending.is_none_or(|(pending, _)| pending.started_at_ms <= record.started_at_ms) {
            self.store.pending_upstream = Some((record, since));
        }
        self.drive_store(now);
    }

    /// Writes the own object with the record that waits, once an earlier one would have been listed.
    pub(super) fn verify_history(&mut self, now: MonoTime) {
        let Some((pending, since)) = &self.store.pending_upstream else { return };
        if now.since(*since) >= Self::HISTORY_TIMEOUT {
            return self.complete_history();
        }
        if !self.store.is_listed {
            return;
        }
        let statement = self.own.statement.saturating_add(1);
        let upstream = Some(pending.clone());
        let member = Member { statement, upstream, ..Member::clone(&self.own) };
        let version = self.store.own_version;
        self.call(PlatformCall::PutMember(Arc::new(member), version), now);
    }

    /// Notes that the own object was written.
    pub(super) fn confirm_history(&mut self) {
        let pending = self.store.pending_upstream.as_ref().map(|(record, _)| record);
        if pending.is_some() && pending == self.store.written_upstream.as_ref() {
            self.complete_history();
        }
    }

    fn complete_history(&mut self) {
        self.store.pending_upstream = None;
        self.actions.push(FleetAction::UpstreamHistoryComplete);
    }

    /// Adopts what a statement about this node says of its upstream. A host that had the same name
    /// and another service says nothing about this one.
    pub(super) fn adopt_history(&mut self, member: &Member) {
        let is_earlier = member.endpoint == self.own.endpoint
            && member.service == self.own.service
            && member.incarnation != self.own.incarnation;
        let upstream = member.upstream.as_ref().filter(|_| is_earlier);
        let Some(upstream) = upstream.filter(|upstream| upstream.instance.is_some()) else {
            return;
        };
        self.actions.push(FleetAction::UpstreamHistory(Box::new(upstream.clone())));
        let has_departed = upstream.state > UpstreamState::Ready;
        let pending = self.store.pending_upstream.as_ref().map(|(record, _)| record.lifetime());
        if has_departed && pending == Some(upstream.lifetime()) {
            self.complete_history();
        }
    }

    /// Tells a new process of a member what an earlier one has stated about its upstream, before the
    /// new statement replaces that.
    pub(super) fn tell_history(&mut self, from: &EndpointId, statement: &Member) {
        let knows_upstream = |member: &Member| {
            member.upstream.as_ref().is_some_and(|upstream| upstream.instance.is_some())
        };
        let Some(held) = self.table.get(from).filter(|held| knows_upstream(held)) else { return };
        let is_new = statement.endpoint == *from && statement.incarnation > held.incarnation;
        if is_new && !knows_upstream(statement) {
            let message = ControlMessage::Members(vec![Arc::clone(held)]);
            let address = statement.control_address;
            self.actions.push(FleetAction::Send(from.clone(), address, message));
        }
    }

    /// Reports that the departure of the upstream will be known to the next process.
    pub(super) fn report_recorded(&mut self, upstream: Option<&UpstreamRecord>) {
        let departed = upstream.filter(|upstream| upstream.state > UpstreamState::Ready);
        if let Some(upstream) = departed {
            self.actions.push(FleetAction::UpstreamRecorded(Box::new(upstream.clone())));
        }
    }
}
