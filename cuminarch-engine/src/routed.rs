//! Calls that took a route: shed at the entry node if a downstream service is short of capacity,
//! and retried within the budget of the serving nodes.

use std::time::Duration;

use cuminarch_protocol::{RoutedCall, SendKind};
use cuminarch_types::{CallId, Mechanism, MonoTime, Outcome, Rank};

use crate::call::{Sending, Stage};
use crate::{Action, Engine, Refusal, RefusalReason};

impl Engine {
    /// Nodes that may refuse one call before the limits for retries apply to it.
    const MAX_REFUSALS: u32 = 3;
    /// Shortest time to the deadline for which another attempt makes sense.
    const MIN_RETRY_TIME_LEFT: Duration = Duration::from_millis(10);
    /// Time without retries to a service after a serving node has denied one: the time in which a
    /// serving node accrues one retry when they are scarce.
    const RETRY_DENIAL_PAUSE: Duration = Duration::from_millis(100);
    /// Fan-out above which a call that may have run is not retried, in thousandths, because a retry
    /// makes all its downstream calls again.
    const MAX_RETRIED_FAN_OUT_MILLI: u32 = 100;

    pub(crate) fn arrive_routed(
        &mut self,
        id: CallId,
        routed: &RoutedCall,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let is_nested = routed.is_nested || self.internal_routes.contains(&routed.route);
        if let Some(routed) = self.calls.get_mut(&id).and_then(|call| call.routed.as_mut()) {
            routed.is_nested = is_nested;
        }
        if is_nested {
            self.fanout_estimator.record_call(&routed.route, now);
            return self.send(id, now, actions);
        }
        if let Some(refusal) = self.shed_call(id, now) {
            return self.refuse_routed(id, refusal, now, actions);
        }
        self.send(id, now, actions);
    }

    /// Handles the refusal of a routed call by another node.
    pub(crate) fn routed_refused(
        &mut self,
        id: CallId,
        refusal: Refusal,
        reached_upstream: bool,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        if refusal.reason == RefusalReason::RetriesExhausted {
            return self.retry_denied(id, refusal, now, actions);
        }
        if self.is_left_to_caller(id, refusal.reason) {
            return self.refuse(id, refusal, now, actions);
        }
        let may_have_reached = reached_upstream || refusal.outcome != Outcome::NotRun;
        let Some(sending) = self.sending_mut(id) else { return };
        sending.retries += 1;
        sending.attempts_reaching_upstream += u32::from(may_have_reached);
        let is_redirect = !may_have_reached && sending.retries < Self::MAX_REFUSALS;
        let may_retry = match refusal.outcome {
            Outcome::NotRun => is_redirect || self.may_retry(id, false, now),
            _ => self.is_idempotent(id) && self.may_retry(id, true, now),
        };
        if refusal.outcome != Outcome::NotRun
            && let Some(call) = self.calls.get_mut(&id)
        {
            call.may_have_run = true;
        }
        self.retry_or_refuse_routed(id, may_retry, refusal, now, actions);
    }

    /// Returns `true` if only the caller may repeat a call that was refused for this reason. A call
    /// that an endpoint was running when it ended may crash the next one; an upstream that makes
    /// a nested call does not repeat it, so the node does.
    fn is_left_to_caller(&self, id: CallId, reason: RefusalReason) -> bool {
        let routed = self.calls.get(&id).and_then(|call| call.routed.as_ref());
        let is_nested = routed.is_some_and(|routed| routed.is_nested);
        match reason {
            RefusalReason::Quarantined => true,
            RefusalReason::UpstreamEnded => !is_nested,
            _ => false,
        }
    }

    /// Handles a retry that a serving node denied. Other serving nodes are likely to deny it too,
    /// and trying them costs most when many calls fail.
    fn retry_denied(
        &mut self,
        id: CallId,
        refusal: Refusal,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let Some(sending) = self.sending_mut(id) else { return };
        let service = sending.service.clone();
        self.retries_denied_until.insert(service, now.after(Self::RETRY_DENIAL_PAUSE));
        self.refuse_routed(id, refusal, now, actions);
    }

    /// Handles an attempt that got no answer from another node.
    pub(crate) fn routed_lost(
        &mut self,
        id: CallId,
        sent: bool,
        refusal: Refusal,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let Some(sending) = self.sending_mut(id) else { return };
        sending.retries += 1;
        sending.attempts_reaching_upstream += u32::from(sent);
        let is_redirect = !sent && sending.retries < Self::MAX_REFUSALS;
        let may_retry = is_redirect || (self.is_idempotent(id) && self.may_retry(id, true, now));
        self.retry_or_refuse_routed(id, may_retry, refusal, now, actions);
    }

    fn is_idempotent(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|call| call.idempotent)
    }

    /// Returns `true` if a call has time for a retry and another endpoint for it.
    fn can_retry(&self, id: CallId, now: MonoTime) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        let has_time = call.deadline.since(now) > Self::MIN_RETRY_TIME_LEFT;
        has_time && call.replayable && self.has_alternative(id, now)
    }

    /// Returns `true` if this node permits a retry of a call that an upstream has received; the
    /// serving node decides whether to admit it. A call that may have run may have made downstream
    /// calls, which a retry makes again.
    fn may_retry(&mut self, id: CallId, may_have_run: bool, now: MonoTime) -> bool {
        let disabled = &self.settings.disabled;
        if !self.can_retry(id, now) || disabled.contains(Mechanism::Repeats) {
            return false;
        }
        let Some(call) = self.calls.get(&id) else { return false };
        let Some(routed) = &call.routed else { return false };
        let Stage::Sending(sending) = &call.stage else { return false };
        let fan_out_milli = self.fan_outs_milli.get(&routed.route).copied().unwrap_or(0);
        let is_too_expensive = may_have_run && fan_out_milli > Self::MAX_RETRIED_FAN_OUT_MILLI;
        let is_pause_enabled = !disabled.contains(Mechanism::RepeatPause);
        let is_denied = is_pause_enabled
            && self.retries_denied_until.get(&sending.service).is_some_and(|until| now < *until);
        sending.attempts_reaching_upstream < call.rule.max_endpoints
            && !is_too_expensive
            && !is_denied
    }

    /// Returns how the next send of a call is marked for the called service.
    pub(crate) fn send_kind(sending: &Sending) -> SendKind {
        match (sending.attempts_reaching_upstream, sending.retries) {
            (0, 0) => SendKind::First,
            (0, _) => SendKind::Elsewhere,
            _ => SendKind::Retry,
        }
    }

    /// Returns `true` if a call from another node fits the retry budget. Nested calls are urgent,
    /// because the work of their callers is lost with them.
    pub(crate) fn admits_send(&mut self, routed: &RoutedCall, rank: Rank, now: MonoTime) -> bool {
        let settings = self.settings.retry_budget;
        self.retry_budget.advance(&settings, self.own_position, now);
        let is_nested = routed.is_nested || self.internal_route_detector.is_internal(&routed.route);
        match routed.send {
            SendKind::First if !is_nested => self.retry_budget.record_first_arrival(&settings),
            SendKind::First | SendKind::Elsewhere => {}
            SendKind::Retry => {
                let is_urgent = is_nested || rank.priority() >= self.policy.top_priority();
                return self.retry_budget.try_retry(&settings, is_urgent);
            }
        }
        true
    }

    fn retry_or_refuse_routed(
        &mut self,
        id: CallId,
        may_retry: bool,
        refusal: Refusal,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        if may_retry && self.can_retry(id, now) {
            self.keep_earlier_refusal(id, &refusal);
            return self.send(id, now, actions);
        }
        self.refuse_routed(id, refusal, now, actions);
    }

    /// Ends a call with a final answer that contains a retry delay, in case it did not run.
    pub(crate) fn refuse_routed(
        &mut self,
        id: CallId,
        refusal: Refusal,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let Some(retry_after) = self.routed_retry_after(id, now) else { return };
        self.refuse(id, refusal.with_retry_after(retry_after), now, actions);
    }
}
