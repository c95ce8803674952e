//! Calls that took a route: refused where they enter if a service behind is short
//! of capacity, and repeated within a budget that all nodes share.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use cuminarch_attempts::RetryBudget;
use cuminarch_protocol::RoutedCall;
use cuminarch_types::{CallId, MonoTime, RouteName, ServiceName};
use rand::RngExt;

use crate::{Action, Engine, Refusal, RefusalReason};

impl Engine {
    /// Nodes that may refuse one call before it is given up.
    const MOST_REFUSALS: u32 = 3;
    /// Shortest time left for which another attempt makes sense.
    const LEAST_TIME: Duration = Duration::from_millis(10);
    /// Part of the time left after which a refused caller is told to come back:
    /// shortest and longest. Callers wait for a third of it at most.
    const RETURN_PART: (f64, f64) = (0.1, 0.3);
    /// Calls behind a call from which on a repeat of it is too dear, in thousandths:
    /// all of them are made again.
    const MOST_REPEATED_MILLI: u32 = 100;

    pub(crate) fn arrive_routed(
        &mut self,
        id: CallId,
        service: ServiceName,
        routed: &RoutedCall,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let is_nested = routed.is_nested || self.internal.contains(&routed.route);
        if let Some(routed) = self.calls.get_mut(&id).and_then(|call| call.routed.as_mut()) {
            routed.is_nested = is_nested;
        }
        if is_nested {
            self.weights.called(&routed.route, now);
            return self.send(id, now, actions);
        }
        let (settings, nodes) = (self.settings.retry_budget, self.nodes);
        let budget = self.budgets.entry(service);
        let budget = budget.or_insert_with(|| RetryBudget::new(&settings, nodes));
        budget.on_request(&settings, nodes);
        let Some(rank) = self.calls.get(&id).map(|call| call.rank) else { return };
        if self.shedder.refuses(&routed.route, rank, now) {
            let detail = self.shed_detail(&routed.route, now);
            let refusal = Refusal::not_run(RefusalReason::OverloadedBehind).with_detail(detail);
            return self.refuse_routed(id, refusal, now, actions);
        }
        self.send(id, now, actions);
    }

    /// What a request is refused by at its entry.
    fn shed_detail(&self, route: &RouteName, now: MonoTime) -> CompactString {
        let part = self.shedder.refused_part(route);
        match self.shedder.pressure(route) {
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
        let Some(sending) = self.sending_mut(id) else { return };
        sending.retries += 1;
        sending.reached += u32::from(reached_upstream);
        let is_free = !reached_upstream && sending.retries < Self::MOST_REFUSALS;
        let may_repeat = match refusal.outcome {
            cuminarch_types::Outcome::NotRun => is_free || self.takes_retry(id, false, now),
            _ => self.is_repeatable(id) && self.takes_retry(id, true, now),
        };
        if refusal.outcome != cuminarch_types::Outcome::NotRun
            && let Some(call) = self.calls.get_mut(&id)
        {
            call.maybe_ran = true;
        }
        self.repeat_or_refuse(id, may_repeat, refusal, now, actions);
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
        sending.reached += u32::from(sent);
        let is_free = !sent && sending.retries < Self::MOST_REFUSALS;
        let may_repeat = is_free || (self.is_repeatable(id) && self.takes_retry(id, true, now));
        self.repeat_or_refuse(id, may_repeat, refusal, now, actions);
    }

    fn is_repeatable(&self, id: CallId) -> bool {
        self.calls.get(&id).is_some_and(|call| call.idempotent)
    }

    /// Whether there is an endpoint to repeat a call at, and the time for it.
    fn can_repeat(&self, id: CallId, now: MonoTime) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        let has_time = call.deadline.since(now) > Self::LEAST_TIME;
        has_time && call.replayable && self.has_alternative(id, now)
    }

    /// Takes a repeat that an upstream will see from the budget. What may have run
    /// already has made its own calls, which a repeat makes again.
    fn takes_retry(&mut self, id: CallId, may_have_run: bool, now: MonoTime) -> bool {
        if !self.can_repeat(id, now) {
            return false;
        }
        let Some(call) = self.calls.get(&id) else { return false };
        let Some(routed) = call.routed.clone() else { return false };
        let most = call.rule.max_endpoints;
        let Some(sending) = self.sending_mut(id) else { return false };
        let (service, reached) = (sending.service.clone(), sending.reached);
        let fan_out_milli = self.fan_outs.get(&routed.route).copied().unwrap_or(0);
        let is_dear = may_have_run && fan_out_milli > Self::MOST_REPEATED_MILLI;
        if reached >= most || is_dear {
            return false;
        }
        let (settings, nodes) = (self.settings.retry_budget, self.nodes);
        let budget = self.budgets.entry(service);
        budget.or_insert_with(|| RetryBudget::new(&settings, nodes)).try_retry()
    }

    fn repeat_or_refuse(
        &mut self,
        id: CallId,
        may_repeat: bool,
        refusal: Refusal,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        if may_repeat && self.can_repeat(id, now) {
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
        let (shortest, longest) = Self::RETURN_PART;
        let left = call.deadline.since(now);
        let retry_after = left.mul_f64(self.rng.random_range(shortest..longest));
        self.refuse(id, refusal.with_retry_after(retry_after), now, actions);
    }
}
