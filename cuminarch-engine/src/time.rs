//! Deadlines, due retries, and cancellation.

use cuminarch_once::KeyResult;
use cuminarch_routing::CallResult;
use cuminarch_types::{CallId, MonoTime};

use crate::call::{Sending, Stage};
use crate::{Action, Engine, Refusal, RefusalReason};

impl Engine {
    /// Returns when the engine needs the next [`Event::Tick`](crate::Event::Tick) at the latest.
    #[must_use]
    pub fn next_wake(&self) -> Option<MonoTime> {
        let retry = self.retries.first().map(|(at, _)| *at);
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let wakes = [self.allotments.table.next_wake(), self.quarantine.next_wake()];
        [retry, deadline].into_iter().chain(wakes).flatten().min()
    }

    pub(crate) fn tick(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        while let Some((at, call)) = self.deadlines.first().copied() {
            if at > now {
                break;
            }
            self.deadlines.remove(&(at, call));
            self.expire(call, now, actions);
        }
        while let Some((at, call)) = self.retries.first().copied() {
            if at > now {
                break;
            }
            self.retries.remove(&(at, call));
            self.send(call, now, actions);
        }
        let events = self.admission.poll(now);
        self.apply_queue_events(events, now, actions);
        self.allotments.tick(now);
        self.quarantine.tick(now);
        self.trials.set_changed();
    }

    /// Ends a call that its caller cancelled.
    pub(crate) fn cancel(&mut self, id: CallId, now: MonoTime, actions: &mut Vec<Action>) {
        if self.stop(id, CallResult::Cancelled, now, actions).is_some() {
            self.remove(id, now, actions);
        }
    }

    /// Ends a call whose parent has ended, with an answer for a caller that still waits.
    pub(crate) fn abandon(&mut self, id: CallId, now: MonoTime, actions: &mut Vec<Action>) {
        let is_delivering = self.is_delivering(id);
        let Some(may_have_run) = self.stop(id, CallResult::Cancelled, now, actions) else { return };
        if is_delivering {
            let receipt = self.remove(id, now, actions).unwrap_or_default();
            return actions.push(Action::Close { call: id, receipt });
        }
        let reason = RefusalReason::ParentEnded;
        let refusal =
            if may_have_run { Refusal::unknown(reason) } else { Refusal::not_run(reason) };
        self.refuse(id, refusal, now, actions);
    }

    fn is_delivering(&self, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else { return false };
        match &call.stage {
            Stage::Sending(Sending { current: Some(in_flight), .. }) => in_flight.delivering,
            _ => false,
        }
    }

    fn expire(&mut self, id: CallId, now: MonoTime, actions: &mut Vec<Action>) {
        let Some(may_have_run) = self.stop(id, CallResult::Unanswered, now, actions) else {
            return;
        };
        let reason = RefusalReason::DeadlineExceeded;
        let refusal =
            if may_have_run { Refusal::unknown(reason) } else { Refusal::not_run(reason) };
        self.refuse(id, refusal, now, actions);
    }

    /// Stops all work on a call. Returns whether it may have run, or `None` if there is no such
    /// call.
    fn stop(
        &mut self,
        id: CallId,
        result: CallResult,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) -> Option<bool> {
        let call = self.calls.get(&id)?;
        let key = call.key.clone();
        let may_have_run = match &call.stage {
            Stage::Claiming | Stage::Waiting => false,
            Stage::Running { .. } => true,
            Stage::Sending(sending) => sending.current.is_some(),
        };
        let is_inbound = !matches!(call.stage, Stage::Sending(_));
        if is_inbound {
            if may_have_run {
                actions.push(Action::CancelLocal { call: id });
            }
            let key_result = if may_have_run { KeyResult::Unknown } else { KeyResult::NotRun };
            if let Some(key) = key {
                self.keys.finish(&key, id, key_result);
            }
            self.run_ended(id, now);
            let events = self.admission.cancel(id, now);
            self.apply_queue_events(events, now, actions);
        } else {
            self.cancel_attempt(id, result, now, actions);
        }
        Some(may_have_run)
    }
}
