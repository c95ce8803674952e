//! Calls to other services through the nodes of their endpoints.

use cuminarch_protocol::{Receipt, RoutedCall};
use cuminarch_routing::{CallAttributes, CallResult, Target};
use cuminarch_types::{AttemptId, CallId, EndpointId, MonoTime, Outcome, ServiceName};
use rand::RngExt;

use crate::call::{Call, InFlightAttempt, Sending, Stage};
use crate::token::TokenState;
use crate::{Action, Arrival, Engine, Forward, Refusal, RefusalReason, RemoteRefusal, RequestKey};

impl Engine {
    /// Objective as a multiple of the run time from which a call has time to spare.
    const MIN_SPARE_TIME_RATIO: u32 = 8;

    pub(crate) fn arrive_outbound(
        &mut self,
        id: CallId,
        service: ServiceName,
        arrival: &Arrival,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let rule = match &arrival.rule {
            Some(rule) => rule.clone(),
            None => self.policy.rule(&service, &arrival.method, &arrival.target).clone(),
        };
        let retry_percent = rule.retry_percent;
        let mut call = self.new_call(arrival, rule, now);
        if let Some(parent_id) = arrival.parent {
            let Some(parent) = self.running_parent(parent_id, arrival) else {
                call.parent = None;
                self.insert(id, call, now);
                let refusal = Refusal::not_run(RefusalReason::ParentEnded);
                return self.refuse(id, refusal, now, actions);
            };
            call.rank = parent.rank;
            call.deadline = call.deadline.min(parent.deadline);
        }
        match &arrival.key {
            Some(RequestKey::Bound(key)) => call.key = Some(key.clone()),
            Some(RequestKey::Client(key)) => call.client_key = Some(key.clone()),
            None => {}
        }
        call.stage = Stage::Sending(Sending::new(service.clone()));
        let rank = call.rank;
        let level = self.router.level(&service, call.rule.number, now);
        call.highest_level = level;
        self.insert(id, call, now);
        if rank < level.effective(now) {
            let refusal = Refusal::not_run(RefusalReason::OverloadedBehind);
            let refusal = refusal.with_retry_after(self.retry_after());
            return self.refuse(id, refusal, now, actions);
        }
        if let Some(routed) = &arrival.routed {
            return self.arrive_routed(id, routed, now, actions);
        }
        self.retry_limiters.entry(service).or_default().record_first_attempt(retry_percent);
        self.send(id, now, actions);
    }

    pub(crate) fn remote_head(
        &mut self,
        id: CallId,
        attempt: AttemptId,
        is_failure: bool,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let Some(in_flight) =
            self.current_attempt(id, attempt).filter(|in_flight| !in_flight.delivering)
        else {
            return;
        };
        in_flight.delivering = true;
        in_flight.is_failure = is_failure;
        let endpoint = in_flight.target.endpoint.clone();
        let result = if is_failure {
            CallResult::UpstreamError
        } else {
            CallResult::Answered(now.since(in_flight.sent_at))
        };
        self.record_call_result(id, &endpoint, result, now);
        if let Some(call) = self.calls.get(&id) {
            self.deadlines.remove(&(call.deadline, id));
        }
        actions.push(Action::Deliver { call: id, attempt });
    }

    pub(crate) fn remote_end(
        &mut self,
        id: CallId,
        attempt: AttemptId,
        receipt: Option<Receipt>,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let Some(in_flight) = self.current_attempt(id, attempt) else { return };
        let share = in_flight.share;
        self.record_answered_end(id, now);
        if let Some(receipt) = &receipt {
            self.observe_demand(id, share, receipt);
        }
        self.settle(id, attempt, receipt.as_ref(), now);
        let receipt = self.remove(id, now, actions).unwrap_or_default();
        actions.push(Action::Close { call: id, receipt });
    }

    pub(crate) fn remote_refused(
        &mut self,
        id: CallId,
        attempt: AttemptId,
        refused: RemoteRefusal,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let Some(in_flight) =
            self.current_attempt(id, attempt).filter(|in_flight| !in_flight.delivering)
        else {
            return;
        };
        let endpoint = in_flight.target.endpoint.clone();
        self.record_call_result(id, &endpoint, result_of_refusal(&refused), now);
        let RemoteRefusal { refusal, reached_upstream, receipt, member } = refused;
        if refusal.reason == RefusalReason::Misdirected {
            self.learn_from_misdirected(id, &endpoint, member, now);
            self.refund_attempt(id, attempt);
        }
        self.settle(id, attempt, Some(&receipt), now);
        if refusal.outcome == Outcome::NotRun {
            self.return_token(id, now);
        }
        if refusal.reason == RefusalReason::Misdirected && self.can_redirect(id, now) {
            return self.send(id, now, actions);
        }
        if self.calls.get(&id).is_some_and(|call| call.routed.is_some()) {
            return self.routed_refused(id, refusal, reached_upstream, now, actions);
        }
        if refusal.reason == RefusalReason::KeyBoundElsewhere
            && let Some(key) = refusal.bound_to.clone()
            && self.send_to_key_holder(id, key, now, actions)
        {
            return;
        }
        let is_not_run = refusal.outcome == Outcome::NotRun;
        if is_not_run {
            self.record_not_run_proof(id, &refusal);
        }
        let is_running = refusal.reason == RefusalReason::KeyInProgress;
        let may_succeed =
            refusal.reason.may_retry() && self.may_succeed_on_retry(id, refusal.reason, now);
        let may_retry = is_running || (is_not_run && may_succeed);
        self.retry_or_refuse(id, may_retry, refusal, now, actions);
    }

    pub(crate) fn remote_lost(
        &mut self,
        id: CallId,
        attempt: AttemptId,
        sent: bool,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let Some(in_flight) = self.current_attempt(id, attempt) else { return };
        if in_flight.delivering {
            return self.remote_end(id, attempt, None, now, actions);
        }
        let endpoint = in_flight.target.endpoint.clone();
        let share = in_flight.share;
        let is_routed = self.calls.get(&id).is_some_and(|call| call.routed.is_some());
        let result =
            if is_routed && !sent { CallResult::Unreachable } else { CallResult::Unanswered };
        self.record_call_result(id, &endpoint, result, now);
        let receipt = (!sent).then_some(Receipt { unspent: share, ..Receipt::default() });
        self.settle(id, attempt, receipt.as_ref(), now);
        if !sent {
            self.return_token(id, now);
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.may_have_run |= sent;
        let is_retry_safe = call.idempotent || call.has_key;
        let refusal = if sent {
            Refusal::unknown(RefusalReason::UpstreamFailed)
        } else {
            Refusal::not_run(RefusalReason::UpstreamFailed)
        };
        if self.calls.get(&id).is_some_and(|call| call.routed.is_some()) {
            return self.routed_lost(id, sent, refusal, now, actions);
        }
        self.retry_or_refuse(id, !sent || is_retry_safe, refusal, now, actions);
    }

    /// Sends the next attempt of a call.
    pub(crate) fn send(&mut self, id: CallId, now: MonoTime, actions: &mut Vec<Action>) {
        self.cancel_planned_retry(id);
        if self.refuse_withdrawn(id, now, actions) || self.refuse_quarantined(id, now, actions) {
            return;
        }
        if !self.has_token(id, now, actions) {
            return;
        }
        let Some(target) = self.choose_target(id, now) else {
            let bound = self.calls.get(&id).is_some_and(|call| call.key.is_some());
            let refusal = if bound {
                Refusal::not_run(RefusalReason::KeyUnknown)
            } else if self.calls.get(&id).is_some_and(|call| call.routed.is_some()) {
                let refusal = Refusal::not_run(RefusalReason::NoEndpoint);
                return self.refuse_routed(id, refusal, now, actions);
            } else {
                Refusal::not_run(RefusalReason::NoEndpoint).with_retry_after(self.retry_after())
            };
            return self.refuse(id, refusal, now, actions);
        };
        if self.wait_for_share(id, now) {
            return;
        }
        let attempt = self.next_attempt();
        let Some(share) = self.delegate_share(id, attempt) else {
            let refusal = Refusal::not_run(RefusalReason::BudgetExhausted);
            return self.refuse(id, refusal, now, actions);
        };
        let key = self.request_key(id);
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.token = TokenState::Spent;
        let Stage::Sending(sending) = &mut call.stage else { return };
        let endpoint = target.endpoint.clone();
        sending.tried.push(endpoint.clone());
        sending.is_waiting_for_share = false;
        sending.current = Some(InFlightAttempt {
            attempt,
            target: Box::new(target.clone()),
            share,
            sent_at: now,
            delivering: false,
            is_failure: false,
        });
        let service = sending.service.clone();
        let send = Self::send_kind(sending);
        let forward = Forward {
            target,
            share,
            rank: call.rank,
            remaining: call.deadline.since(now),
            idempotent: call.idempotent,
            key,
            routed: call.routed.clone().map(|routed| RoutedCall { send, ..routed }),
        };
        self.router.record_sent(&service, &endpoint, now);
        actions.push(Action::Forward { call: id, attempt, forward: Box::new(forward) });
    }

    /// Returns the inbound call that caused `arrival`, if it is still running. The request is
    /// compared because the call ids of an earlier process may be in use again.
    fn running_parent(&self, parent: CallId, arrival: &Arrival) -> Option<&Call> {
        let parent = self.calls.get(&parent)?;
        let is_running = matches!(parent.stage, Stage::Running { .. });
        (is_running && parent.root == arrival.root).then_some(parent)
    }

    /// Records that the process of the call's key has proven that it did not run.
    fn record_not_run_proof(&mut self, id: CallId, refusal: &Refusal) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.not_run_proven |= call.key.is_some() || refusal.bound_to.is_some();
        if call.key.is_none() {
            call.key = refusal.bound_to.clone();
        }
    }

    /// Cancels the scheduled next attempt.
    fn cancel_planned_retry(&mut self, id: CallId) {
        let Some(sending) = self.sending_mut(id) else { return };
        if let Some(retry_at) = sending.retry_at.take() {
            self.retries.remove(&(retry_at, id));
        }
    }

    fn request_key(&self, id: CallId) -> Option<RequestKey> {
        let call = self.calls.get(&id)?;
        let client = || call.client_key.clone().map(RequestKey::Client);
        call.key.clone().map(RequestKey::Bound).or_else(client)
    }

    /// Cancels the attempt in flight, if there is one.
    pub(crate) fn cancel_attempt(
        &mut self,
        id: CallId,
        result: CallResult,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let Some(sending) = self.sending_mut(id) else { return };
        let Some(in_flight) = sending.current.take() else { return };
        let service = sending.service.clone();
        if !in_flight.delivering {
            self.router.record_result(&service, &in_flight.target.endpoint, result, now);
        }
        let owner = self.owner(id);
        self.changed_budgets.insert(owner);
        if let Some(owner) = self.calls.get_mut(&owner) {
            owner.budget.forfeit(in_flight.attempt);
        }
        actions.push(Action::CancelRemote { call: id, attempt: in_flight.attempt });
    }

    fn choose_target(&mut self, id: CallId, now: MonoTime) -> Option<Target> {
        let call = self.calls.get(&id)?;
        let Stage::Sending(sending) = &call.stage else { return None };
        if let Some(key) = &call.key {
            let target = self.router.target(&key.endpoint);
            let target = target.filter(|target| target.incarnation == key.incarnation);
            if target.is_some() || !call.idempotent {
                return target;
            }
        }
        let service = sending.service.clone();
        let tried = sending.tried.clone();
        let has_time_to_spare = self.has_time_to_spare(call, &service);
        let attributes = CallAttributes { has_time_to_spare, ..call.attributes() };
        if let Some(target) = self.trial_target(call.identity, &service, &tried, now) {
            return Some(target);
        }
        if call.routed.is_some() {
            return self.router.pick(&service, attributes, &tried, now);
        }
        self.router
            .pick(&service, attributes, &tried, now)
            .or_else(|| self.router.pick(&service, attributes, &[], now))
    }

    /// Returns `true` if the objective of a call is much longer than its run and no upstream waits
    /// for it.
    fn has_time_to_spare(&self, call: &Call, service: &ServiceName) -> bool {
        let Some(routed) = call.routed.as_ref().filter(|routed| !routed.is_nested) else {
            return false;
        };
        let run_time = self.router.run_time(service, &routed.route);
        run_time.is_some_and(|time| call.objective() > time * Self::MIN_SPARE_TIME_RATIO)
    }

    /// Returns `true` if another attempt may succeed. A key leaves only one endpoint, where only a
    /// failed connection to the upstream is likely to recover soon.
    fn may_succeed_on_retry(&self, id: CallId, reason: RefusalReason, now: MonoTime) -> bool {
        let is_pinned =
            self.calls.get(&id).is_some_and(|call| call.key.is_some() && !call.idempotent);
        if is_pinned {
            return reason == RefusalReason::UpstreamFailed;
        }
        self.has_alternative(id, now)
    }

    /// Returns `true` if an endpoint that has not been tried may admit the call.
    pub(crate) fn has_alternative(&self, id: CallId, now: MonoTime) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        let Stage::Sending(sending) = &call.stage else { return false };
        self.router.has_alternative(&sending.service, call.attributes(), &sending.tried, now)
    }

    pub(crate) fn current_attempt(
        &mut self,
        id: CallId,
        attempt: AttemptId,
    ) -> Option<&mut InFlightAttempt> {
        let sending = self.sending_mut(id)?;
        sending.current.as_mut().filter(|in_flight| in_flight.attempt == attempt)
    }

    fn record_call_result(
        &mut self,
        id: CallId,
        endpoint: &EndpointId,
        result: CallResult,
        now: MonoTime,
    ) {
        let Some(sending) = self.sending_mut(id) else { return };
        let service = sending.service.clone();
        self.router.record_result(&service, endpoint, result, now);
    }

    fn retry_or_refuse(
        &mut self,
        id: CallId,
        may_retry: bool,
        refusal: Refusal,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let random: u32 = self.rng.random();
        let Some(call) = self.calls.get(&id) else { return };
        let Stage::Sending(sending) = &call.stage else { return };
        let service = sending.service.clone();
        let retry_at = now.after(self.backoff.delay(sending.retries, random));
        let may_retry = may_retry && call.replayable && retry_at < call.deadline;
        if may_retry && self.retry_limiters.entry(service).or_default().try_retry() {
            self.keep_earlier_refusal(id, &refusal);
            if let Some(sending) = self.sending_mut(id) {
                sending.retries += 1;
                sending.retry_at = Some(retry_at);
            }
            self.retries.insert((retry_at, id));
        } else {
            self.refuse(id, refusal, now, actions);
        }
    }
}

/// Returns the call result that a refusal by another node implies for its endpoint.
const fn result_of_refusal(refused: &RemoteRefusal) -> CallResult {
    match refused.refusal.reason {
        _ if refused.reached_upstream => CallResult::UpstreamError,
        RefusalReason::UpstreamFailed | RefusalReason::UpstreamEnded => CallResult::UpstreamError,
        RefusalReason::Draining | RefusalReason::UpstreamAbsent => CallResult::NotAccepting,
        _ => CallResult::Refused,
    }
}
