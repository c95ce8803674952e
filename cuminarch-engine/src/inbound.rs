//! Calls to the upstream beside the node.

use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::format_compact;
use cuminarch_admission::{AdmissionDecision, AdmissionRequest, Origin, QueueEvent};
use cuminarch_attempts::{AttemptBudget, grant_for_send};
use cuminarch_config::Rule;
use cuminarch_once::KeyResult;
use cuminarch_protocol::Receipt;
use cuminarch_routing::LearnedLevel;
use cuminarch_types::{Attempts, CallId, MonoTime, Outcome, Rank};

use crate::call::{Call, DownstreamTime, Stage};
use crate::credential::Credential;
use crate::token::TokenState;
use crate::{Action, Arrival, Engine, LocalEnd, Refusal, RefusalReason};

impl Engine {
    pub(crate) fn arrive_inbound(
        &mut self,
        id: CallId,
        arrival: &Arrival,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let service = &self.settings.service;
        let rule = match &arrival.rule {
            Some(rule) => rule.clone(),
            None => self.policy.rule(service, &arrival.method, &arrival.target).clone(),
        };
        let call = self.new_call(arrival, rule, now);
        let rank = call.rank;
        let rule = call.rule.number;
        let is_entry_node = arrival.share.is_none();
        self.insert(id, call, now);
        if self.refuse_misdirected(id, now, actions) {
            return;
        }
        if let Some(routed) = &arrival.routed {
            let (zone, service) = (routed.caller_zone.clone(), routed.caller_service.clone());
            self.internal_route_detector.record_call(&routed.route, Origin { zone, service });
        }
        if !self.look_up_key(id, arrival, now, actions) {
            return;
        }
        if let Some(reason) = self.closed_reason(now) {
            let refusal = Refusal::not_run(reason);
            return self.refuse(id, refusal.with_retry_after(Duration::ZERO), now, actions);
        }
        if let Some(routed) = &arrival.routed
            && !self.admits_send(routed, rank, now)
        {
            let refusal = Refusal::not_run(RefusalReason::RetriesExhausted);
            let refusal = refusal.with_detail(format_compact!(
                "repeats_left={:.1} endpoints={} rank={}",
                self.retry_budget.remaining(),
                self.own_position.endpoint_count,
                self.own_position.index,
            ));
            return self.refuse(id, refusal.with_retry_after(Duration::ZERO), now, actions);
        }
        if is_entry_node && !self.spend_own_attempt(id) {
            let refusal = Refusal::not_run(RefusalReason::BudgetExhausted);
            return self.refuse(id, refusal, now, actions);
        }
        let downstream_level = self.downstream_levels.get(&rule).copied().unwrap_or_default();
        if rank < downstream_level.effective(now) {
            if let Some(call) = self.calls.get_mut(&id) {
                call.highest_level = downstream_level;
            }
            let refusal = Refusal::not_run(RefusalReason::OverloadedBehind);
            let refusal = refusal.with_retry_after(self.retry_after());
            return self.refuse(id, refusal, now, actions);
        }
        self.check_key(id, arrival.key.clone(), now, actions);
    }

    pub(crate) fn new_call(&self, arrival: &Arrival, rule: Rule, now: MonoTime) -> Call {
        let own_grant = grant_for_send(rule.grant, arrival.resend);
        let granted = arrival.share.unwrap_or(own_grant);
        let rank = arrival.rank.unwrap_or_else(|| Rank::of_request(rule.priority, arrival.root));
        let remaining = arrival.remaining.map_or(rule.deadline, |left| left.min(rule.deadline));
        Call {
            root: arrival.root,
            rank,
            idempotent: rule.idempotent && arrival.idempotent,
            deadline: now.after(remaining),
            parent: arrival.parent,
            children: BTreeSet::new(),
            downstream_time: DownstreamTime::default(),
            budget: AttemptBudget::new(granted),
            highest_level: LearnedLevel::default(),
            made_outbound_call: false,
            key: None,
            has_key: arrival.key.is_some(),
            fingerprint: arrival.fingerprint(),
            is_remote: arrival.share.is_some(),
            not_run_proven: arrival.is_first_send(),
            client_key: None,
            replayable: arrival.replayable,
            may_have_run: false,
            credential: Credential::of(arrival),
            identity: arrival.identity,
            routed: arrival.routed.clone(),
            allotted_account: self.allotted_account(arrival),
            token: TokenState::NotRequested,
            earlier_refusal: None,
            account: arrival.account.clone(),
            destination: arrival.destination.clone(),
            stated_deadline: arrival.remaining.map(|left| now.after(left)),
            stage: Stage::Waiting,
            rule,
        }
    }

    pub(crate) fn local_head(&mut self, id: CallId, now: MonoTime) {
        self.ended_at = None;
        self.trials.end(id);
        if let Some(call) = self.calls.get_mut(&id)
            && let Stage::Running { head_at, .. } = &mut call.stage
        {
            *head_at = Some(now);
            self.deadlines.remove(&(call.deadline, id));
        }
    }

    pub(crate) fn local_end(
        &mut self,
        id: CallId,
        end: LocalEnd,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        if !self.calls.contains_key(&id) {
            return;
        }
        let result = match end {
            LocalEnd::Complete(answer) => {
                self.record_answer(id, now, actions);
                KeyResult::Completed(answer)
            }
            LocalEnd::Broken => KeyResult::Unknown,
        };
        let receipt = self.end_run(id, result, now, actions);
        actions.push(Action::Close { call: id, receipt });
    }

    pub(crate) fn local_failed(
        &mut self,
        id: CallId,
        sent: bool,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        if !self.calls.contains_key(&id) {
            return;
        }
        if !sent && self.ended_at.is_some() {
            self.ended_at = Some(now);
        }
        let outcome = if sent { Outcome::Unknown } else { Outcome::NotRun };
        let reason = if sent && self.has_ended_recently(now) {
            RefusalReason::UpstreamEnded
        } else {
            RefusalReason::UpstreamFailed
        };
        let mut refusal = Refusal { outcome, ..Refusal::not_run(reason) };
        self.adjust_refusal(id, &mut refusal);
        let result = if sent { KeyResult::Unknown } else { KeyResult::NotRun };
        let receipt = self.end_run(id, result, now, actions);
        actions.push(Action::Refuse { call: id, refusal, receipt });
    }

    /// Ends a call that the local upstream reported as not run.
    pub(crate) fn local_turned_away(
        &mut self,
        id: CallId,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        if !self.calls.contains_key(&id) {
            return;
        }
        let refusal = Refusal::not_run(RefusalReason::TurnedAway);
        let receipt = self.end_run(id, KeyResult::NotRun, now, actions);
        actions.push(Action::Refuse { call: id, refusal, receipt });
    }

    /// Ends the run of an inbound call in any stage.
    pub(crate) fn end_run(
        &mut self,
        id: CallId,
        result: KeyResult,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) -> Receipt {
        let Some(call) = self.calls.get(&id) else { return Receipt::default() };
        let latency = match (&call.stage, &result) {
            (Stage::Running { since, head_at: Some(head_at) }, _) => Some(head_at.since(*since)),
            (Stage::Running { since, .. }, KeyResult::Unknown) => Some(now.since(*since)),
            _ => None,
        };
        let latency = latency.map(|latency| latency.saturating_sub(call.downstream_time.total()));
        let is_turned_away =
            matches!((&call.stage, &result), (Stage::Running { .. }, KeyResult::NotRun));
        self.run_ended(id, now);
        let Some(call) = self.calls.get(&id) else { return Receipt::default() };
        if let Some(key) = call.key.clone() {
            self.keys.finish(&key, id, result);
        }
        let receipt = self.remove(id, now, actions).unwrap_or_default();
        let events = if is_turned_away {
            self.admission.finish_turned_away(id, now)
        } else {
            self.admission.finish(id, latency, now)
        };
        self.apply_queue_events(events, now, actions);
        receipt
    }

    pub(crate) fn apply_queue_events(
        &mut self,
        events: Vec<QueueEvent>,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        for event in events {
            match event {
                QueueEvent::Run(call) => self.run_queued(call, now, actions),
                QueueEvent::Refuse(call) => self.refuse_waiting(call, now, actions),
            }
        }
    }

    /// Records the end of a run at the local upstream.
    pub(crate) fn run_ended(&mut self, id: CallId, now: MonoTime) {
        let Some(call) = self.calls.get(&id) else { return };
        if let (Stage::Running { .. }, Some(routed)) = (&call.stage, &call.routed) {
            self.fanout_estimator.record_end(&routed.route, now);
        }
    }

    fn spend_own_attempt(&mut self, id: CallId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        let attempt = cuminarch_types::AttemptId::new(0);
        let is_spent = call.budget.delegate(attempt, Attempts::ZERO).is_ok();
        call.budget.forfeit(attempt);
        is_spent
    }

    pub(crate) fn offer(&mut self, id: CallId, now: MonoTime, actions: &mut Vec<Action>) {
        if self.passes_quarantine(id, now, actions) {
            self.offer_admitted(id, now, actions);
        }
    }

    pub(crate) fn offer_admitted(&mut self, id: CallId, now: MonoTime, actions: &mut Vec<Action>) {
        if self.refuse_misdirected(id, now, actions) {
            return;
        }
        let Some(call) = self.calls.get(&id) else { return };
        let request = AdmissionRequest {
            call: id,
            rank: call.rank,
            more_urgent_classes: self.more_urgent_classes(call.rank),
            deadline: call.deadline,
            route: call.routed.as_ref().map(|routed| routed.route.clone()),
            is_nested: call.routed.as_ref().is_some_and(|routed| routed.is_nested),
            objective: call.objective(),
        };
        let reply = self.admission.offer(&request, now);
        if let Some(evicted) = reply.evicted {
            self.refuse_waiting(evicted, now, actions);
        }
        match reply.decision {
            AdmissionDecision::Run => self.run(id, now, actions),
            AdmissionDecision::Wait => {}
            AdmissionDecision::Refuse { .. } => self.refuse_waiting(id, now, actions),
        }
    }

    fn more_urgent_classes(&self, rank: Rank) -> u8 {
        self.policy.top_priority().get().saturating_sub(rank.priority().get())
    }

    /// Runs a call that waited, unless its request has crashed endpoints or the upstream has started
    /// again in the meantime.
    fn run_queued(&mut self, id: CallId, now: MonoTime, actions: &mut Vec<Action>) {
        if self.refuse_misdirected(id, now, actions) || self.refuse_quarantined(id, now, actions) {
            let events = self.admission.cancel(id, now);
            return self.apply_queue_events(events, now, actions);
        }
        self.run(id, now, actions);
    }

    fn run(&mut self, id: CallId, now: MonoTime, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.stage = Stage::Running { since: now, head_at: None };
        let remaining = call.deadline.since(now);
        let keep_answer = call.key.is_some();
        if let Some(routed) = &call.routed {
            self.fanout_estimator.record_start(&routed.route, now);
        }
        let instance = self.upstream.as_ref().and_then(|upstream| upstream.instance.clone());
        actions.push(Action::RunLocal { call: id, remaining, keep_answer, instance });
    }

    /// Refuses a call that was not run because of a lack of capacity.
    pub(crate) fn refuse_waiting(&mut self, id: CallId, now: MonoTime, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let is_late = call.deadline <= now;
        if let Some(key) = call.key.clone() {
            self.keys.finish(&key, id, KeyResult::NotRun);
        }
        let reason = match self.closed_reason(now) {
            _ if is_late => RefusalReason::DeadlineExceeded,
            Some(reason) => reason,
            None => RefusalReason::Overloaded,
        };
        let detail = format_compact!(
            "running={} waiting={} limit={} left_ms={}",
            self.admission.running(),
            self.admission.waiting(),
            self.admission.limit(),
            call.deadline.since(now).as_millis(),
        );
        let refusal = Refusal::not_run(reason).with_detail(detail);
        let refusal = refusal.with_retry_after(self.retry_after());
        self.refuse(id, refusal, now, actions);
    }
}
