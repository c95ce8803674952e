//! Nested calls that got no answer count as a shortage of the service that they were sent to.

use cuminarch_types::{CallId, CapacityMode, Mechanism, MonoTime};

use crate::call::Stage;
use crate::{Engine, RefusalReason};

impl Engine {
    fn counts_nested_failures(&self) -> bool {
        self.settings.capacity == CapacityMode::Learned
            && !self.settings.disabled.contains(Mechanism::NestedFailureShortage)
    }

    /// Records that a nested call was answered.
    pub(crate) fn record_nested_answer(&mut self, id: CallId, now: MonoTime) {
        let Some(call) = self.calls.get(&id).filter(|_| self.counts_nested_failures()) else {
            return;
        };
        let Some(routed) = call.routed.as_ref().filter(|routed| routed.is_nested) else { return };
        let Stage::Sending(sending) = &call.stage else { return };
        let Some(in_flight) = &sending.current else { return };
        let call_time = Some(now.since(in_flight.sent_at));
        self.nested_failures.record_end(&routed.route, &sending.service, call_time, now);
    }

    /// Records that a nested call ends without an answer, if for lack of room or endpoints.
    pub(crate) fn record_nested_refusal(
        &mut self,
        id: CallId,
        reason: RefusalReason,
        now: MonoTime,
    ) {
        let Some(call) = self.calls.get(&id).filter(|_| self.counts_nested_failures()) else {
            return;
        };
        let Some(routed) = call.routed.as_ref().filter(|routed| routed.is_nested) else { return };
        let Stage::Sending(sending) = &call.stage else { return };
        if is_lack_of_room(reason) {
            self.nested_failures.record_end(&routed.route, &sending.service, None, now);
        }
    }
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
