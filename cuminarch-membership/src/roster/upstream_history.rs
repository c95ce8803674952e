//! What earlier processes of this node have acknowledged about the upstream.
//!
//! A node keeps nothing on its host, so a process that starts doesn't know whether its upstream has
//! announced its departure, and a late registration looks like a new one. It takes the upstream for
//! ready on the first of these grounds:
//!
//! - The store answered from the start, so that an earlier process had recorded a departure there
//!   before it acknowledged it. The new process writes its own object under the condition that the
//!   object is still the one whose record it has adopted; that costs no call beside the one that a
//!   start takes anyway.
//! - The store did not answer, but a member had a link to the earlier process and tells what that
//!   one stated. Members are told of a departure before it is acknowledged.
//! - Nobody can tell, as after a loss of all processes while the store is silent. Then only
//!   registrations count that arrive so long after the start that they were sent after it: an
//!   upstream that had left before sends none.
//!
//! Departures are believed from anyone at any time.

use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{ControlMessage, Member, MemberState, UpstreamRecord, UpstreamState};
use cuminarch_types::{EndpointId, MonoTime};

use super::Roster;
use crate::{FleetAction, PlatformCall};

/// What is known of earlier processes, until the registrations of the upstream can be judged.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHistory {
    /// Record of the upstream that waits, and since when.
    pending: Option<(UpstreamRecord, MonoTime)>,
    /// Whether a member that had a link to the earlier process has told what it knows.
    has_witness: bool,
    /// First answer of the store.
    store_answered_at: Option<MonoTime>,
    is_settled: bool,
}

impl UpstreamHistory {
    /// Notes that the store has answered.
    pub(super) fn store_answered(&mut self, now: MonoTime) {
        self.store_answered_at.get_or_insert(now);
    }
}

impl Roster {
    /// Time for the store to answer a process that starts, and for the members to turn up.
    const HISTORY_TIMEOUT: Duration = Duration::from_millis(1_000);
    /// Longest time that a registration takes to arrive.
    const MAX_REGISTRATION_DELAY: Duration = Duration::from_secs(5);

    /// Finds out whether the upstream of a registration may be taken for ready.
    pub(super) fn upstream_pending(&mut self, record: UpstreamRecord, now: MonoTime) {
        let pending = self.history.pending.as_ref();
        let since = pending.map_or(now, |(_, since)| *since);
        if pending.is_none_or(|(pending, _)| pending.started_at_ms <= record.started_at_ms) {
            self.history.pending = Some((record, since));
        }
        self.drive_store(now);
    }

    /// Judges the registration that waits.
    pub(super) fn verify_history(&mut self, now: MonoTime) {
        if self.history.is_settled {
            return;
        }
        let waits_for_store = self.trusts_store() && self.history.pending.is_some();
        if now.since(self.started_at) >= Self::MAX_REGISTRATION_DELAY && !waits_for_store {
            return self.forgo_history();
        }
        let Some((pending, since)) = &self.history.pending else { return };
        let has_waited = now.since(*since) >= Self::HISTORY_TIMEOUT;
        if has_waited && self.history.has_witness {
            self.complete_history();
        } else if waits_for_store && self.store.is_listed {
            self.write_pending(&pending.clone(), now);
        }
    }

    /// Returns `true` if the store has answered since the start of this process.
    fn trusts_store(&self) -> bool {
        let answered_at = self.history.store_answered_at;
        answered_at.is_some_and(|at| at.since(self.started_at) <= Self::HISTORY_TIMEOUT)
            && !self.store.is_unavailable
    }

    /// Writes the own object with the record that waits, once an earlier one would have been listed.
    fn write_pending(&mut self, pending: &UpstreamRecord, now: MonoTime) {
        let statement = self.own.statement.saturating_add(1);
        let upstream = Some(pending.clone());
        let member = Member { statement, upstream, ..Member::clone(&self.own) };
        let version = self.store.own_version;
        self.call(PlatformCall::PutMember(Arc::new(member), version), now);
    }

    /// Notes that the own object was written.
    pub(super) fn confirm_history(&mut self) {
        let pending = self.history.pending.as_ref().map(|(record, _)| record);
        if pending.is_some() && pending == self.store.written_upstream.as_ref() {
            self.complete_history();
        }
    }

    /// Lets the registrations count that have arrived.
    fn complete_history(&mut self) {
        self.history.pending = None;
        self.history.is_settled = true;
        self.actions.push(FleetAction::UpstreamHistoryComplete);
    }

    /// Lets the registrations count that arrive from now on.
    fn forgo_history(&mut self) {
        self.history.pending = None;
        self.history.is_settled = true;
        self.actions.push(FleetAction::UpstreamHistoryUnknown);
    }

    /// Adopts what a statement about this node says of its upstream. A host that had the same name
    /// and another service says nothing about this one.
    pub(super) fn adopt_history(&mut self, member: &Member) {
        let Some(upstream) = self.earlier_upstream(member).cloned() else { return };
        let has_departed = upstream.state > UpstreamState::Ready;
        let pending = self.history.pending.as_ref().map(|(record, _)| record.lifetime());
        let is_pending = pending == Some(upstream.lifetime());
        self.actions.push(FleetAction::UpstreamHistory(Box::new(upstream)));
        if has_departed && is_pending {
            self.complete_history();
        }
    }

    /// Returns what a statement of an earlier process of this node says of its upstream.
    fn earlier_upstream<'a>(&self, member: &'a Member) -> Option<&'a UpstreamRecord> {
        let is_earlier = member.endpoint == self.own.endpoint
            && member.service == self.own.service
            && member.incarnation != self.own.incarnation;
        let upstream = member.upstream.as_ref().filter(|_| is_earlier)?;
        upstream.instance.is_some().then_some(upstream)
    }

    /// Notes that a member had a link to the earlier process: only then does it know that the process
    /// has gone. Others may know no more than the store.
    pub(super) fn note_witness(&mut self, statement: &Member) {
        self.history.has_witness |= statement.endpoint == self.own.endpoint
            && statement.service == self.own.service
            && statement.incarnation != self.own.incarnation
            && statement.state == MemberState::Gone;
    }

    /// Tells a new process of a member what an earlier one has stated about its upstream, before the
    /// new statement replaces that.
    pub(super) fn tell_history(&mut self, from: &EndpointId, statement: &Member) {
        let Some(held) = self.table.get(from) else { return };
        if statement.endpoint != *from || statement.incarnation <= held.incarnation {
            return;
        }
        let met = self.peers.get(from).and_then(|peer| peer.met_incarnation);
        let mut told = Member::clone(held);
        if met == Some(held.incarnation) {
            told.state = MemberState::Gone;
        }
        let message = ControlMessage::Members(vec![Arc::new(told)]);
        self.actions.push(FleetAction::Send(from.clone(), statement.control_address, message));
    }

    /// Returns the statement with the departure that an earlier process of its node has stated: a
    /// lifetime of an upstream never returns, whatever a process says that has not heard of that.
    pub(super) fn with_known_departure(&self, member: &Arc<Member>) -> Arc<Member> {
        let held = self.table.get(&member.endpoint);
        match held.filter(|held| takes_back_departure(held, member)) {
            Some(held) if member.supersedes(held) => {
                let upstream = held.upstream.clone();
                Arc::new(Member { upstream, ..Member::clone(member) })
            }
            _ => Arc::clone(member),
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

/// Returns `true` if a statement of a new process lacks the departure that another one holds.
fn takes_back_departure(held: &Member, statement: &Member) -> bool {
    let (Some(known), Some(stated)) = (&held.upstream, &statement.upstream) else { return false };
    let is_departure = known.instance.is_some() && known.state > UpstreamState::Ready;
    let is_taken_back = known.lifetime() == stated.lifetime() && known.state > stated.state;
    held.service == statement.service
        && held.incarnation != statement.incarnation
        && is_departure
        && (is_taken_back || stated.instance.is_none())
}
