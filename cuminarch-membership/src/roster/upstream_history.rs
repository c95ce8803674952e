//! What earlier processes of this node have acknowledged about the upstream.
//!
//! A node keeps nothing on its host, so a process that starts doesn't know whether its upstream has
//! announced its departure, and a late registration looks like a new one. It takes the upstream for
//! ready on the first of these grounds:
//!
//! - A member had a link to the earlier process and tells what that one stated. Members are told of
//!   a departure before it is acknowledged. If the store answers, the new process then writes its
//!   own object under the condition that the object is still the one whose record it has adopted;
//!   that costs no call beside the one that a start takes anyway.
//! - The store answers and knows of no earlier process, with the same write.
//! - The store answers, no member can tell, and the upstream has registered once more, with the same
//!   write. An earlier process may have acknowledged a departure that it could not store before it
//!   ended. A registration that was sent before such a departure may still arrive, but a further one
//!   follows only from an upstream that stays.
//! - Nobody can tell, as after a loss of all processes while the store is silent. Then only
//!   registrations count that arrive so long after the start that they were sent after it: an
//!   upstream that had left before sends none.
//!
//! Departures are believed from anyone at any time. What remains: several registrations that were
//! sent before the departure arrive late, in order and one by one, after all processes have ended.

use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{
    ControlMessage, Member, MemberState, UpstreamLifetime, UpstreamRecord, UpstreamState,
};
use cuminarch_types::{EndpointId, MonoTime};

use super::Roster;
use crate::{FleetAction, PendingUpstream, PlatformCall};

/// What is known of earlier processes, until the registrations of the upstream can be judged.
#[derive(Clone, Debug, Default)]
pub struct UpstreamHistory {
    /// Registration that waits.
    pending: Option<WaitingRegistration>,
    /// Whether there was an earlier process of the node.
    has_predecessor: bool,
    /// Whether a member that had a link to the earlier process has told what it knows.
    has_witness: bool,
    /// Latest lifetime that is known to have left.
    departed: Option<UpstreamLifetime>,
    /// Whether the upstream was asked to register once more.
    is_repeat_requested: bool,
    /// First answer of the store.
    store_answered_at: Option<MonoTime>,
    is_settled: bool,
}

/// The first registration of a lifetime, and whether another has followed.
#[derive(Clone, Debug)]
struct WaitingRegistration {
    record: UpstreamRecord,
    sequence: Option<u64>,
    received_at: MonoTime,
    is_confirmed: bool,
}

impl WaitingRegistration {
    /// Shortest time between a registration and the next one. Those that arrive sooner may have been
    /// held up together.
    const MIN_INTERVAL: Duration = Duration::from_millis(300);

    fn new(pending: PendingUpstream, now: MonoTime) -> Self {
        let PendingUpstream { record, sequence } = pending;
        Self { record, sequence, received_at: now, is_confirmed: false }
    }

    /// Takes note of a further registration of the same lifetime.
    fn update(&mut self, further: PendingUpstream, now: MonoTime) {
        let is_later = further.sequence.is_some() && further.sequence > self.sequence;
        self.is_confirmed |= is_later && now.since(self.received_at) >= Self::MIN_INTERVAL;
        self.sequence = self.sequence.max(further.sequence);
        self.record = further.record;
    }
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
    /// Time for a member to tell what it knows before the upstream has to register once more.
    const WITNESS_TIME: Duration = Duration::from_millis(150);
    /// Longest time that a registration takes to arrive.
    const MAX_REGISTRATION_DELAY: Duration = Duration::from_secs(5);

    /// Finds out whether the upstream of a registration may be taken for ready.
    pub(super) fn upstream_pending(&mut self, pending: PendingUpstream, now: MonoTime) {
        match &mut self.history.pending {
            Some(waiting) if waiting.record.lifetime() == pending.record.lifetime() => {
                waiting.update(pending, now);
            }
            Some(waiting) if waiting.record.started_at_ms > pending.record.started_at_ms => {}
            waiting => *waiting = Some(WaitingRegistration::new(pending, now)),
        }
        self.complete_if_departed();
        self.drive_store(now);
    }

    /// Judges the registration that waits.
    pub(super) fn verify_history(&mut self, now: MonoTime) {
        if self.history.is_settled {
            return;
        }
        let history = &self.history;
        let is_confirmed = history.pending.as_ref().is_some_and(|pending| pending.is_confirmed);
        let is_vouched = history.has_witness || !history.has_predecessor || is_confirmed;
        let may_write = self.trusts_store() && history.pending.is_some() && is_vouched;
        if now.since(self.started_at) >= Self::MAX_REGISTRATION_DELAY && !may_write {
            return self.forgo_history();
        }
        let Some(pending) = &history.pending else { return };
        let has_waited = now.since(pending.received_at) >= Self::HISTORY_TIMEOUT;
        if has_waited && history.has_witness {
            self.complete_history();
        } else if may_write && self.store.is_listed {
            self.write_pending(&pending.record.clone(), now);
        } else if self.trusts_store() && now.since(pending.received_at) >= Self::WITNESS_TIME {
            self.request_repeat();
        }
    }

    /// Has the upstream register once more without waiting for its next turn.
    fn request_repeat(&mut self) {
        let has_predecessor = self.history.has_predecessor && !self.history.has_witness;
        if has_predecessor && !std::mem::replace(&mut self.history.is_repeat_requested, true) {
            self.actions.push(FleetAction::UpstreamUnconfirmed);
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
        let pending = self.history.pending.as_ref().map(|pending| &pending.record);
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
        self.history.has_predecessor |= self.is_of_earlier_process(member);
        let Some(upstream) = self.earlier_upstream(member).cloned() else { return };
        if upstream.state > UpstreamState::Ready {
            self.history.departed = upstream.lifetime();
        }
        self.actions.push(FleetAction::UpstreamHistory(Box::new(upstream)));
        self.complete_if_departed();
    }

    /// Ends the wait of a registration whose lifetime is known to have left.
    fn complete_if_departed(&mut self) {
        let pending = self.history.pending.as_ref().and_then(|pending| pending.record.lifetime());
        if pending.is_some() && pending == self.history.departed {
            self.complete_history();
        }
    }

    /// Returns what a statement of an earlier process of this node says of its upstream.
    fn earlier_upstream<'a>(&self, member: &'a Member) -> Option<&'a UpstreamRecord> {
        let upstream = member.upstream.as_ref().filter(|_| self.is_of_earlier_process(member))?;
        upstream.instance.is_some().then_some(upstream)
    }

    /// Returns `true` if a statement is of an earlier process of this node.
    fn is_of_earlier_process(&self, statement: &Member) -> bool {
        statement.endpoint == self.own.endpoint
            && statement.service == self.own.service
            && statement.incarnation != self.own.incarnation
    }

    /// Notes that a member had a link to the earlier process: only then does it know that the process
    /// has gone. Others may know no more than the store.
    pub(super) fn note_witness(&mut self, statement: &Member, now: MonoTime) {
        let is_witness =
            self.is_of_earlier_process(statement) && statement.state == MemberState::Gone;
        if is_witness && !std::mem::replace(&mut self.history.has_witness, true) {
            self.adopt_history(statement);
            self.verify_history(now);
        }
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
