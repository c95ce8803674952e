//! Requests that crash the endpoints that run them.
//!
//! A request that was running when an endpoint ended is suspected: entry nodes send it to the one
//! endpoint that all agree on, and that endpoint runs one suspected request at a time. A request
//! that has crashed a second endpoint that way is refused.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::format_compact;
use cuminarch_once::KeyResult;
use cuminarch_protocol::{SuspicionDatagram, UpstreamState};
use cuminarch_quarantine::{Quarantine, Verdict};
use cuminarch_routing::Target;
use cuminarch_types::{CallId, EndpointId, MonoTime, RequestIdentity, ServiceName};

use crate::call::{Call, Stage};
use crate::trials::Trials;
use crate::{Action, Engine, QuarantineNotice, Refusal, RefusalReason};

impl Engine {
    /// Shortest time from the end of a process of the upstream to the end of the next one, unless
    /// the upstream answered a call in between.
    const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

    /// Suspects the requests that the local upstream was running when its process ended, unless it
    /// had announced that.
    ///
    /// The calls of a process that ended report its end one after the other; the first report counts.
    pub(crate) fn upstream_ended(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let state = self.upstream.as_ref().map(|upstream| upstream.state);
        if state.is_some_and(|state| state != UpstreamState::Ready) {
            return;
        }
        let is_known = self.has_ended_recently(now);
        self.ended_at = Some(now);
        if is_known {
            return;
        }
        let runs = self.runs(now);
        let identities: Vec<RequestIdentity> = runs.iter().map(|(identity, _)| *identity).collect();
        let finding = self.quarantine.record_crash(&identities, now);
        self.trials.set_changed();
        let instance = self.upstream.as_ref().and_then(|upstream| upstream.instance.clone());
        let runs = runs.into_iter().map(|(identity, age)| (identity.request, age)).collect();
        let notice = QuarantineNotice::UpstreamEnded { instance, runs };
        actions.push(Action::ReportQuarantine(notice));
        let events = self.admission.refuse_waiting();
        self.apply_queue_events(events, now, actions);
        if let Some(request) = finding.convicted {
            let crashes = finding.crashes;
            let notice = QuarantineNotice::Convicted { request, crashes };
            actions.push(Action::ReportQuarantine(notice));
        }
    }

    /// Returns `true` if the process of the local upstream has ended and has answered no call since.
    pub(crate) fn has_ended_recently(&self, now: MonoTime) -> bool {
        self.ended_at.is_some_and(|at| now.since(at) < Self::MIN_RESTART_TIME)
    }

    /// Returns the requests that the local upstream runs and the age of their runs, the latest
    /// first.
    fn runs(&self, now: MonoTime) -> Vec<(RequestIdentity, Duration)> {
        let mut runs: Vec<(RequestIdentity, Duration)> = self
            .calls
            .values()
            .filter_map(|call| match call.stage {
                Stage::Running { since, .. } => Some((call.identity?, now.since(since))),
                _ => None,
            })
            .collect();
        runs.sort_by_key(|(_, age)| *age);
        runs
    }

    /// Clears a request that the local upstream has answered.
    pub(crate) fn record_answer(&mut self, id: CallId, now: MonoTime, actions: &mut Vec<Action>) {
        let Some(identity) = self.calls.get(&id).and_then(|call| call.identity) else { return };
        if self.quarantine.record_answer(identity, now) {
            self.trials.set_changed();
            let notice = QuarantineNotice::Cleared { request: identity.request };
            actions.push(Action::ReportQuarantine(notice));
        }
    }

    /// Handles a datagram. One that was not sent from the control address of the member that it
    /// names, or by an earlier process of it, is dropped.
    pub(crate) fn receive_suspicions(
        &mut self,
        source: SocketAddr,
        datagram: SuspicionDatagram,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let SuspicionDatagram { from, incarnation, message } = datagram;
        if !self.allotments.peers.is_sender(&from, incarnation, source) {
            return;
        }
        let newer = self.quarantine.receive(&from, message, now);
        if newer > 0 {
            self.trials.set_changed();
            let (suspected, convicted) = self.suspicion_counts();
            let notice = QuarantineNotice::Received { from, newer, suspected, convicted };
            actions.push(Action::ReportQuarantine(notice));
        }
    }

    /// Returns the number of suspected requests and of convictions.
    pub(crate) fn suspicion_counts(&self) -> (usize, usize) {
        let table = self.quarantine.table();
        (table.suspected(), table.convicted())
    }

    /// Sends what other nodes have to know.
    pub(crate) fn send_suspicions(&mut self, actions: &mut Vec<Action>) {
        for (endpoint, message) in self.quarantine.take_outputs() {
            let Some(to) = self.allotments.address(&endpoint) else { continue };
            let from = self.settings.endpoint.clone();
            let incarnation = self.allotments.incarnation;
            let datagram = Box::new(SuspicionDatagram { from, incarnation, message });
            actions.push(Action::SendSuspicions { to, datagram });
        }
    }

    /// Refuses a call whose request has crashed endpoints. Returns `true` if it did.
    pub(crate) fn refuse_quarantined(
        &mut self,
        id: CallId,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        let verdict = self.quarantine.verdict(call.identity, now);
        let Verdict::Refused { retry_after, crashes, age, source } = verdict else { return false };
        if let (Stage::Waiting, Some(key)) = (&call.stage, call.key.clone()) {
            self.keys.finish(&key, id, KeyResult::NotRun);
        }
        let source = source.as_ref().map_or("self", EndpointId::as_str);
        let detail =
            format_compact!("crashes={crashes} age_ms={} source={source}", age.as_millis());
        let refusal = Refusal::not_run(RefusalReason::Quarantined).with_detail(detail);
        self.refuse(id, refusal.with_retry_after(retry_after), now, actions);
        true
    }

    /// Returns the endpoint that runs a suspected request, or `None` if the request is not
    /// suspected.
    pub(crate) fn trial_target(
        &self,
        identity: Option<RequestIdentity>,
        service: &ServiceName,
        tried: &[EndpointId],
        now: MonoTime,
    ) -> Option<Target> {
        if self.quarantine.verdict(identity, now) != Verdict::Suspected {
            return None;
        }
        let request = identity?.request;
        let order = |endpoint: &EndpointId| Quarantine::trial_order(request, endpoint);
        self.router.pick_by_order(service, tried, now, order)
    }

    /// Returns `true` if a call may be offered to the local upstream now. Otherwise it was refused,
    /// or it waits for its turn.
    pub(crate) fn passes_quarantine(
        &mut self,
        id: CallId,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.refuse_quarantined(id, now, actions) {
            return false;
        }
        let Some(call) = self.calls.get(&id) else { return false };
        if self.quarantine.verdict(call.identity, now) != Verdict::Suspected {
            return true;
        }
        let wait_until = now.after(call.objective());
        self.begins_trial(id, now) || !self.trials.wait(id, wait_until)
    }

    /// Returns `true` if it is the turn of a suspected call. A call that was running when its request
    /// became suspected has its turn, too.
    fn begins_trial(&mut self, id: CallId, now: MonoTime) -> bool {
        let is_on_trial = |(other, call): (&CallId, &Call)| {
            let Stage::Running { since, head_at: None } = call.stage else { return false };
            *other != id
                && now.since(since) < Trials::MAX_TURN
                && self.quarantine.verdict(call.identity, now) == Verdict::Suspected
        };
        !self.calls.iter().any(is_on_trial) && self.trials.begin(id, now)
    }

    /// Offers waiting calls to the local upstream: those whose turn it is, those that are no longer
    /// suspected and those that have waited for their whole objective.
    pub(crate) fn resume_trials(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        for (id, wait_until) in self.trials.take_waiting() {
            let is_waiting =
                self.calls.get(&id).is_some_and(|call| matches!(call.stage, Stage::Waiting));
            if !is_waiting || self.refuse_quarantined(id, now, actions) {
                continue;
            }
            if self.closed_reason(now).is_some() {
                self.refuse_waiting(id, now, actions);
                continue;
            }
            let identity = self.calls.get(&id).and_then(|call| call.identity);
            let is_suspected = self.quarantine.verdict(identity, now) == Verdict::Suspected;
            if is_suspected && now < wait_until && !self.begins_trial(id, now) {
                self.trials.wait(id, wait_until);
            } else {
                self.offer_admitted(id, now, actions);
            }
        }
    }
}
