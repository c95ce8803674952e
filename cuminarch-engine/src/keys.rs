//! Idempotency keys of calls: lookups, claims, and forwarding to the process that a key is bound
//! to.

use cuminarch_once::{BoundKey, KeyDecision};
use cuminarch_types::{CallId, MonoTime, Outcome};

use crate::call::{Call, Sending, Stage};
use crate::{Action, Arrival, ClaimResult, Engine, Refusal, RefusalReason, RequestKey};

impl Engine {
    /// Checks the key of an inbound call before anything else may refuse it, because a request that
    /// has run is never reported as not run. Returns `true` if the call continues here.
    pub(crate) fn look_up_key(
        &mut self,
        id: CallId,
        arrival: &Arrival,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.idempotent) else {
            return true;
        };
        let Some(RequestKey::Bound(key)) = &arrival.key else { return true };
        if !self.keys.is_own(key) && !call.is_remote {
            self.forward_to_key_holder(id, key.clone(), now, actions);
            return false;
        }
        match self.keys.peek(key, call.fingerprint, now) {
            KeyDecision::Run | KeyDecision::Full => {
                call.key = Some(key.clone());
                call.not_run_proven = true;
                true
            }
            decision => {
                self.answer_key(id, decision, now, actions);
                false
            }
        }
    }

    pub(crate) fn check_key(
        &mut self,
        id: CallId,
        key: Option<RequestKey>,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let is_idempotent = self.calls.get(&id).is_some_and(|call| call.idempotent);
        match key {
            None => self.offer(id, now, actions),
            Some(_) if is_idempotent => self.offer(id, now, actions),
            Some(RequestKey::Bound(key)) => self.begin_key(id, key, now, actions),
            Some(RequestKey::Client(key)) => {
                let bound = self.keys.mint(now);
                if let Some(call) = self.calls.get_mut(&id) {
                    call.stage = Stage::Claiming;
                    call.key = Some(bound.clone());
                }
                actions.push(Action::Claim { call: id, key, bound });
            }
        }
    }

    pub(crate) fn claimed(
        &mut self,
        id: CallId,
        result: ClaimResult,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if !matches!(call.stage, Stage::Claiming) {
            return;
        }
        call.stage = Stage::Waiting;
        let is_remote = call.is_remote;
        let claimed = call.key.take();
        match (result, claimed) {
            (ClaimResult::Granted, Some(key)) => self.begin_key(id, key, now, actions),
            (ClaimResult::HeldBy(key), _) if self.keys.is_own(&key) => {
                self.begin_key(id, key, now, actions);
            }
            (ClaimResult::HeldBy(key), _) if is_remote => {
                let refusal = Refusal::unknown(RefusalReason::KeyBoundElsewhere);
                self.refuse(id, refusal.with_bound_to(key), now, actions);
            }
            (ClaimResult::HeldBy(key), _) => self.forward_to_key_holder(id, key, now, actions),
            (ClaimResult::Granted | ClaimResult::Unavailable, _) => {
                let refusal = Refusal::not_run(RefusalReason::ClaimUnavailable);
                let refusal = refusal.with_retry_after(self.retry_after());
                self.refuse(id, refusal, now, actions);
            }
        }
    }

    /// Sends a call to the process that its key is bound to. Returns `false` if the call already
    /// follows a key.
    pub(crate) fn send_to_key_holder(
        &mut self,
        id: CallId,
        key: BoundKey,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return false };
        if call.key.is_some() {
            return false;
        }
        call.key = Some(key);
        self.send(id, now, actions);
        true
    }

    /// Turns an inbound call into one that is sent to the process of its key.
    fn forward_to_key_holder(
        &mut self,
        id: CallId,
        key: BoundKey,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let service = self.settings.service.clone();
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.stage = Stage::Sending(Sending::new(service));
        call.key = Some(key);
        self.send(id, now, actions);
    }

    fn begin_key(&mut self, id: CallId, key: BoundKey, now: MonoTime, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        match self.keys.begin(&key, call.fingerprint, id, now) {
            KeyDecision::Run => {
                call.key = Some(key);
                call.not_run_proven = true;
                self.offer(id, now, actions);
            }
            decision => self.answer_key(id, decision, now, actions),
        }
    }

    /// Answers a call whose key prevents it from running.
    fn answer_key(
        &mut self,
        id: CallId,
        decision: KeyDecision,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let refusal = match decision {
            KeyDecision::Replay(answer) => {
                let receipt = self.remove(id, now, actions).unwrap_or_default();
                return actions.push(Action::Replay { call: id, answer, receipt });
            }
            KeyDecision::AlreadyRun => Refusal {
                outcome: Outcome::Completed,
                ..Refusal::unknown(RefusalReason::KeyAlreadyRun)
            },
            KeyDecision::InProgress => {
                Refusal::unknown(RefusalReason::KeyInProgress).with_retry_after(self.retry_after())
            }
            KeyDecision::Run | KeyDecision::Unknown => Refusal::unknown(RefusalReason::KeyUnknown),
            KeyDecision::Conflict => Refusal::unknown(RefusalReason::KeyConflict),
            KeyDecision::Full => {
                self.mark_not_run_proven(id);
                Refusal::not_run(RefusalReason::KeysExhausted).with_retry_after(self.retry_after())
            }
        };
        self.refuse(id, refusal, now, actions);
    }

    pub(crate) fn mark_not_run_proven(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.not_run_proven = true;
        }
    }

    /// Adds the process that holds the key, so that the next attempt goes there, and replaces an
    /// unproven outcome "not run" by "unknown".
    pub(crate) fn adjust_refusal(&self, id: CallId, refusal: &mut Refusal) {
        let Some(call) = self.calls.get(&id) else { return };
        if refusal.outcome != Outcome::NotRun {
            return;
        }
        if call.may_have_run || !call.may_say_not_run() {
            refusal.outcome = Outcome::Unknown;
        }
        if matches!(call.stage, Stage::Waiting | Stage::Running { .. }) {
            refusal.bound_to = refusal.bound_to.take().or_else(|| call.key.clone());
        }
    }
}

impl Call {
    /// Returns `true` if the final answer may report that the request did not run. An earlier send
    /// with the same key may have run it, unless the process of the key or the client states
    /// otherwise. Between nodes, the outcome is that of one attempt.
    const fn may_say_not_run(&self) -> bool {
        self.idempotent || !self.has_key || self.is_remote || self.not_run_proven
    }
}
