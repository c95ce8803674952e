//! How calls to other services end, as evidence of the room there: nested calls that got no answer
//! count as a shortage, and callers' requests that were served widen the ramp after a start.

use cuminarch_types::{CallId, CapacityMode, Mechanism, MonoTime, RouteName};

use crate::call::{Call, Sending, Stage};
use crate::{Engine, Refusal, RefusalReason};

impl Engine {
    fn is_learned(&self, mechanism: Mechanism) -> bool {
        self.settings.capacity == CapacityMode::Learned
            && !self.settings.disabled.contains(mechanism)
    }

    /// Refuses a caller's request if too many are in flight so soon after the start.
    pub(crate) fn refuse_by_ramp(&mut self, route: &RouteName, now: MonoTime) -> Option<Refusal> {
        if !self.is_learned(Mechanism::StartRamp) || self.start_ramp.admit(route, now) {
            return None;
        }
        let refusal = Refusal::not_run(RefusalReason::OverloadedBehind);
        Some(refusal.with_detail("start_ramp=full".into()))
    }

    /// Records the end of a routed call that an upstream answered.
    pub(crate) fn record_answered_end(&mut self, id: CallId, now: MonoTime) {
        let learns_failures = self.is_learned(Mechanism::NestedFailureShortage);
        let Some((is_nested, route, sending)) = self.calls.get(&id).and_then(sent_call) else {
            return;
        };
        let Some(in_flight) = &sending.current else { return };
        if !is_nested {
            self.start_ramp.record_end(route, !in_flight.is_failure);
        } else if learns_failures {
            let call_time = Some(now.since(in_flight.sent_at));
            self.nested_failures.record_end(route, &sending.service, call_time, now);
        }
    }

    /// Records the end of a routed call that got no answer.
    pub(crate) fn record_refused_end(&mut self, id: CallId, reason: RefusalReason, now: MonoTime) {
        let learns_failures = self.is_learned(Mechanism::NestedFailureShortage);
        let Some((is_nested, route, sending)) = self.calls.get(&id).and_then(sent_call) else {
            return;
        };
        if !is_nested {
            let is_shed_here =
                reason == RefusalReason::OverloadedBehind && sending.tried.is_empty();
            if !is_shed_here {
                self.start_ramp.record_end(route, false);
            }
        } else if is_lack_of_room(reason) && learns_failures {
            self.nested_failures.record_end(route, &sending.service, None, now);
        }
    }
}

/// Returns the route and the attempts of a call to another service that took a route, and whether
/// it is nested.
fn sent_call(call: &Call) -> Option<(bool, &RouteName, &Sending)> {
    let Stage::Sending(sending) = &call.stage else { return None };
    let routed = call.routed.as_ref()?;
    Some((routed.is_nested, &routed.route, sending))
}

const fn is_lack_of_room(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::DeadlineExceeded
            | RefusalReason::NoEndpoint
            | RefusalReason::Overloaded
            | RefusalReason::OverloadedBehind
            | RefusalReason::RetriesExhausted
            | RefusalReason::TurnedAway
            | RefusalReason::UpstreamFailed
    )
}
