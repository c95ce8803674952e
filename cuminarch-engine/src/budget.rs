//! Attempt budgets of calls: shares delegated to attempts, and calls that wait for the return of a
//! share.
//!
//! Calls that an upstream makes concurrently for one request share its budget. Until their demand
//! is known, the first call takes almost all of it; the others wait for its unspent attempts, for a
//! short time or while none are available.

use std::time::Duration;

use cuminarch_attempts::DemandEstimator;
use cuminarch_protocol::Receipt;
use cuminarch_routing::LearnedLevel;
use cuminarch_types::{AttemptId, Attempts, CallId, MonoTime};

use crate::call::{Sending, Stage};
use crate::{Action, Engine};

impl Engine {
    /// Attempts reserved for a retry of a call that has its own budget.
    const RETRY_RESERVE: Attempts = Attempts::new(2);
    /// A call waits for a larger share, although a smaller one is available, for at most the time
    /// to its deadline divided by this.
    const SHARE_WAIT_DIVISOR: u32 = 4;

    /// Returns the call whose budget `id` draws on: its parent, or itself.
    pub(crate) fn owner(&self, id: CallId) -> CallId {
        self.calls.get(&id).and_then(|call| call.parent).unwrap_or(id)
    }

    /// Spends one attempt and delegates a share to it.
    pub(crate) fn delegate_share(&mut self, id: CallId, attempt: AttemptId) -> Option<Attempts> {
        let available = self.delegable_attempts(id)?;
        let share = self.demand_estimator(id)?.share(available);
        let owner = self.owner(id);
        let max_share =
            if owner == id { share.min(Self::without_reserve(available)) } else { share };
        self.calls.get_mut(&owner)?.budget.delegate(attempt, max_share).ok()
    }

    /// Settles the share of an ended attempt; without a receipt, the share is forfeited.
    pub(crate) fn settle(
        &mut self,
        id: CallId,
        attempt: AttemptId,
        receipt: Option<&Receipt>,
        now: MonoTime,
    ) {
        let Some(sending) = self.sending_mut(id) else { return };
        let Some(in_flight) = sending.current.take() else { return };
        let service = sending.service.clone();
        let owner_id = self.owner(id);
        self.changed_budgets.insert(owner_id);
        let Some(owner) = self.calls.get_mut(&owner_id) else { return };
        let Some(receipt) = receipt else { return owner.budget.forfeit(attempt) };
        owner.budget.settle(attempt, receipt.unspent);
        let Some(call) = self.calls.get(&id) else { return };
        if let Some(routed) = &call.routed {
            let route = routed.route.clone();
            return self.apply_load_report(
                &service,
                &in_flight.target.endpoint,
                &route,
                receipt,
                now,
            );
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        let rule = call.rule.number;
        let level = LearnedLevel::from_age(receipt.level, receipt.level_age_ms, now);
        self.router.record_level(&service, &in_flight.target.endpoint, rule, level);
        call.highest_level = self.router.level(&service, rule, now);
    }

    /// Takes back the attempt of a call that no endpoint of its service has seen.
    pub(crate) fn refund_attempt(&mut self, id: CallId, attempt: AttemptId) {
        let owner_id = self.owner(id);
        self.changed_budgets.insert(owner_id);
        if let Some(owner) = self.calls.get_mut(&owner_id) {
            owner.budget.refund(attempt);
        }
    }

    /// Records how much of its share an answered attempt spent.
    pub(crate) fn observe_demand(&mut self, id: CallId, share: Attempts, receipt: &Receipt) {
        if let Some(estimator) = self.demand_estimator(id) {
            estimator.observe(share.saturating_sub(receipt.unspent));
        }
    }

    /// Makes a call wait if its siblings hold attempts that it is likely to need. Returns `true` if
    /// it waits.
    pub(crate) fn wait_for_share(&mut self, id: CallId, now: MonoTime) -> bool {
        let owner = self.owner(id);
        let Some(budget) = self.calls.get(&owner).map(|owner| &owner.budget) else { return false };
        if owner == id || !budget.has_attempt_in_flight() {
            return false;
        }
        let is_exhausted = budget.available() == Attempts::ZERO;
        let available = self.delegable_attempts(id).unwrap_or(Attempts::ZERO);
        if !is_exhausted
            && self.demand_estimator(id).is_some_and(|estimator| estimator.is_covered_by(available))
        {
            return false;
        }
        let max_wait_until = now.after(self.time_left(id, now) / Self::SHARE_WAIT_DIVISOR);
        let Some(sending) = self.sending_mut(id) else { return false };
        let until = *sending.share_wait_until.get_or_insert(max_wait_until);
        if !is_exhausted && until <= now {
            return false;
        }
        sending.is_waiting_for_share = true;
        if until > now {
            sending.retry_at = Some(until);
            self.retries.insert((until, id));
        }
        true
    }

    /// Sends calls that waited for attempts which have been returned.
    pub(crate) fn resume_waiting_for_share(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        while let Some(owner) = self.changed_budgets.pop_first() {
            let Some(call) = self.calls.get(&owner) else { continue };
            for child in call.children.clone() {
                let is_waiting =
                    self.sending_mut(child).is_some_and(|sending| sending.is_waiting_for_share);
                if is_waiting {
                    self.send(child, now, actions);
                }
            }
        }
    }

    fn time_left(&self, id: CallId, now: MonoTime) -> Duration {
        self.calls.get(&id).map_or(Duration::ZERO, |call| call.deadline.since(now))
    }

    /// Returns the largest share that a call with its own budget delegates, so that a lost answer
    /// does not cost the whole budget.
    fn without_reserve(available: Attempts) -> Attempts {
        let reserve = Self::RETRY_RESERVE.get().min(available.get() / 4);
        available.saturating_sub(Attempts::new(reserve))
    }

    /// Returns the attempts that the call may delegate after spending one itself.
    fn delegable_attempts(&self, id: CallId) -> Option<Attempts> {
        let owner = self.calls.get(&self.owner(id))?;
        Some(owner.budget.available().saturating_sub(Attempts::new(1)))
    }

    fn demand_estimator(&mut self, id: CallId) -> Option<&mut DemandEstimator> {
        let call = self.calls.get(&id)?;
        let Stage::Sending(sending) = &call.stage else { return None };
        let target = (sending.service.clone(), call.rule.class.clone());
        Some(self.demand_estimators.entry(target).or_default())
    }

    /// Returns the state of an outbound call's attempts.
    pub(crate) fn sending_mut(&mut self, id: CallId) -> Option<&mut Sending> {
        match &mut self.calls.get_mut(&id)?.stage {
            Stage::Sending(sending) => Some(sending),
            _ => None,
        }
    }
}
