//! Calls that took a route: refused where they enter if a service behind is short
//! of capacity, and repeated within the budget of the doors that are asked.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use cuminarch_protocol::{RoutedCall, SendKind};
use cuminarch_types::{CallId, Mechanism, MonoTime, Outcome, Rank, RouteName};
use rand::RngExt;

use crate::call::{Sending, Stage};
use crate::{Action, Engine, Refusal, RefusalReason};

impl Engine {
    /// Nodes that may refuse one call before it is given up.
    const MAX_REFUSALS: u32 = 3;
    /// Shortest time left for which another attempt makes sense.
    const MIN_RETRY_TIME_LEFT: Duration = Duration::from_millis(10);
    /// Part of its objective after which a refused caller is told to come back: shortest
    /// and longest. The rest is for the run, so that an answer then is still of full use.
    const RETRY_AFTER_OBJECTIVE_RATIOS: (f64, f64) = (0.1, 0.5);
    /// Part of the time left that callers wait at most.
    const MAX_RETRY_AFTER_RATIO: f64 = 0.3;
    /// Time in which no repeat is sent to a service of which a door has denied one: that
    /// in which a door earns a repeat, where they are short.
    const RETRY_DENIAL_PAUSE: Duration = Duration::from_millis(100);
    /// Calls behind a call from which on a repeat of it is too dear, in thousandths:
    /// all of them are made again.
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
        let Some(rank) = self.calls.get(&id).map(|call| call.rank) else { return };
        let has_shedding = !self.settings.disabled.contains(Mechanism::Shedding);
        if self.shedder.should_refuse(&routed.route, rank, now) && has_shedding {
            let detail = self.shed_detail(&routed.route, now);
            let refusal = Refusal::not_run(RefusalReason::OverloadedBehind).with_detail(detail);
            return self.refuse_routed(id, refusal, now, actions);
        }
        self.send(id, now, actions);
    }

    /// What a request is refused by at its entry.
    fn shed_detail(&self, route: &RouteName, now: MonoTime) -> CompactString {
        let part = self.shedder.refused_fraction(route);
        match self.shedder.shortage(route) {
            Some(pressure) => format_compact!(
                "short={} shed_milli={:.0} age_ms={} refused_part={part:.2}",
                pressure.service,
                pressure.shed_milli,
                now.since(pressure.noted_at).as_millis(),
            ),
            None => format_compact!("refused_part={part:.2}"),
        }
    }

    /// Another node has refused a call, which did not run.
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
        let may_have_reached = reached_upstream || refusal.outcome != Outcome::NotRun;
        let Some(sending) = self.sending_mut(id) else { return };
        sending.retries += 1;
        sending.attempts_reaching_upstream += u32::from(may_have_reached);
        let is_free = !may_have_reached && sending.retries < Self::MAX_REFUSALS;
        let may_repeat = match refusal.outcome {
            Outcome::NotRun => is_free || self.may_retry(id, false, now),
            _ => self.is_idempotent(id) && self.may_retry(id, true, now),
        };
        if refusal.outcome != Outcome::NotRun
            && let Some(call) = self.calls.get_mut(&id)
        {
            call.may_have_run = true;
        }
        self.retry_or_refuse_routed(id, may_repeat, refusal, now, actions);
    }

    /// A door lets no more repeats through. Others hardly do either, and asking them
    /// costs most when many calls fail.
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

    /// The way to another node broke.
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
        let is_free = !sent && sending.retries < Self::MAX_REFUSALS;
        let may_repeat = is_free || (self.is_idempotent(id) && self.may_retry(id, true, now));
        self.retry_or_refuse_routed(id, may_repeat, refusal, now, actions);
    }

    fn is_idempotent(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|call| call.idempotent)
    }

    /// Whether there is an endpoint to repeat a call at, and the time for it.
    fn can_retry(&self, id: CallId, now: MonoTime) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        let has_time = call.deadline.since(now) > Self::MIN_RETRY_TIME_LEFT;
        has_time && call.replayable && self.has_alternative(id, now)
    }

    /// Whether a call may be sent again that an upstream has seen, as far as this node
    /// can tell; the door that is asked decides whether its upstream sees it. What may
    /// have run already has made its own calls, which a repeat makes again.
    fn may_retry(&mut self, id: CallId, may_have_run: bool, now: MonoTime) -> bool {
        let disabled = &self.settings.disabled;
        if !self.can_retry(id, now) || disabled.contains(Mechanism::Repeats) {
            return false;
        }
        let Some(call) = self.calls.get(&id) else { return false };
        let Some(routed) = &call.routed else { return false };
        let Stage::Sending(sending) = &call.stage else { return false };
        let fan_out_milli = self.fan_outs_milli.get(&routed.route).copied().unwrap_or(0);
        let is_dear = may_have_run && fan_out_milli > Self::MAX_RETRIED_FAN_OUT_MILLI;
        let has_pause = !disabled.contains(Mechanism::RepeatPause);
        let is_denied = has_pause
            && self.retries_denied_until.get(&sending.service).is_some_and(|until| now < *until);
        sending.attempts_reaching_upstream < call.rule.max_endpoints && !is_dear && !is_denied
    }

    /// What the next send of a call is to the service that is called.
    pub(crate) fn send_kind(sending: &Sending) -> SendKind {
        match (sending.attempts_reaching_upstream, sending.retries) {
            (0, 0) => SendKind::First,
            (0, _) => SendKind::Elsewhere,
            _ => SendKind::Retry,
        }
    }

    /// Whether a call that another node sends here fits the budget of repeats. Calls of
    /// requests under way are urgent: all the work above them is lost with them.
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
        may_repeat: bool,
        refusal: Refusal,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        if may_repeat && self.can_retry(id, now) {
            return self.send(id, now, actions);
        }
        self.refuse_routed(id, refusal, now, actions);
    }

    /// Ends a call with a final answer that says when to come back, if it did not run.
    pub(crate) fn refuse_routed(
        &mut self,
        id: CallId,
        refusal: Refusal,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get(&id) else { return };
        let (shortest, longest) = Self::RETRY_AFTER_OBJECTIVE_RATIOS;
        let longest_wait = call.deadline.since(now).mul_f64(Self::MAX_RETRY_AFTER_RATIO);
        let wait = call.objective().mul_f64(self.rng.random_range(shortest..longest));
        let retry_after = wait.min(longest_wait);
        self.refuse(id, refusal.with_retry_after(retry_after), now, actions);
    }
}
