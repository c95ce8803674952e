//! Attempt budgets of calls: shares lent to attempts, and calls that wait for
//! a share to come back.
//!
//! The calls that one upstream makes at once draw on one budget. Until it is
//! known what each needs, the first takes almost all of it; the others wait
//! for what it leaves, for a short time or while nothing is held.

use std::time::Duration;

use cuminarch_attempts::DemandEstimator;
use cuminarch_protocol::Receipt;
use cuminarch_routing::LearnedLevel;
use cuminarch_types::{AttemptId, Attempts, CallId, MonoTime};

use crate::call::{Sending, Stage};
use crate::{Action, Engine};

impl Engine {
    /// Attempts kept back for a retry of a call that no other call belongs to.
    const RETRY_RESERVE: Attempts = Attempts::new(2);
    /// Part of the time left for which a call waits for a larger share while a
    /// smaller one could be had.
    const SHARE_WAIT_DIVISOR: u32 = 4;

    /// The call whose budget pays for `id`: its parent's, or its own.
    pub(crate) fn owner(&self, id: CallId) -> CallId {
        self.calls.get(&id).and_then(|call| call.parent).unwrap_or(id)
    }

    /// Spends one attempt and lends a share to it.
    pub(crate) fn delegate_share(&mut self, id: CallId, attempt: AttemptId) -> Option<Attempts> {
        let left = self.delegable_attempts(id)?;
        let share = self.demand_estimator(id)?.share(left);
        let owner = self.owner(id);
        let want = if owner == id { share.min(Self::without_reserve(left)) } else { share };
        self.calls.get_mut(&owner)?.budget.delegate(attempt, want).ok()
    }

    /// Closes the account of an attempt; without a receipt its share is forfeited.
    pub(crate) fn settle(
        &mut self,
        id: CallId,
        attempt: AttemptId,
        receipt: Option<&Receipt>,
        now: MonoTime,
    ) {
        let Some(sending) = self.sending_mut(id) else { return };
        let Some(flight) = sending.current.take() else { return };
        let service = sending.service.clone();
        let owner_id = self.owner(id);
        self.changed_budgets.insert(owner_id);
        let Some(owner) = self.calls.get_mut(&owner_id) else { return };
        let Some(receipt) = receipt else { return owner.budget.forfeit(attempt) };
        owner.budget.settle(attempt, receipt.unspent);
        let Some(call) = self.calls.get(&id) else { return };
        if let Some(routed) = &call.routed {
            let route = routed.route.clone();
            return self.apply_load_report(&service, &flight.endpoint, &route, receipt, now);
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        let rule = call.rule.number;
        let level = LearnedLevel::from_age(receipt.level, receipt.level_age_ms, now);
        self.router.record_level(&service, &flight.endpoint, rule, level);
        call.highest_level = self.router.level(&service, rule, now);
    }

    /// Learns what an answered attempt spent of its share.
    pub(crate) fn observe_demand(&mut self, id: CallId, share: Attempts, receipt: &Receipt) {
        if let Some(need) = self.demand_estimator(id) {
            need.observe(share.saturating_sub(receipt.unspent));
        }
    }

    /// Makes a call wait if its siblings hold what it is likely to need.
    /// Returns whether it waits.
    pub(crate) fn wait_for_share(&mut self, id: CallId, now: MonoTime) -> bool {
        let owner = self.owner(id);
        let Some(budget) = self.calls.get(&owner).map(|owner| &owner.budget) else { return false };
        if owner == id || !budget.has_attempt_in_flight() {
            return false;
        }
        let is_empty = budget.available() == Attempts::ZERO;
        let left = self.delegable_attempts(id).unwrap_or(Attempts::ZERO);
        if !is_empty && self.demand_estimator(id).is_some_and(|need| need.is_covered_by(left)) {
            return false;
        }
        let latest = now.after(self.time_left(id, now) / Self::SHARE_WAIT_DIVISOR);
        let Some(sending) = self.sending_mut(id) else { return false };
        let until = *sending.share_wait_until.get_or_insert(latest);
        if !is_empty && until <= now {
            return false;
        }
        sending.is_waiting_for_share = true;
        if until > now {
            sending.retry_at = Some(until);
            self.retries.insert((until, id));
        }
        true
    }

    /// Sends calls that waited for what has come back meanwhile.
    pub(crate) fn resume_waiting_for_share(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        while let Some(owner) = self.changed_budgets.pop_first() {
            let Some(call) = self.calls.get(&owner) else { continue };
            for child in call.children.clone() {
                let is_short =
                    self.sending_mut(child).is_some_and(|sending| sending.is_waiting_for_share);
                if is_short {
                    self.send(child, now, actions);
                }
            }
        }
    }

    fn time_left(&self, id: CallId, now: MonoTime) -> Duration {
        self.calls.get(&id).map_or(Duration::ZERO, |call| call.deadline.since(now))
    }

    /// What a call of its own budget lends at most, so that a lost answer does
    /// not cost it all that it holds.
    fn without_reserve(left: Attempts) -> Attempts {
        let reserve = Self::RETRY_RESERVE.get().min(left.get() / 4);
        left.saturating_sub(Attempts::new(reserve))
    }

    /// What the call may lend once it has spent an attempt of its own.
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

    /// The attempts of an outbound call.
    pub(crate) fn sending_mut(&mut self, id: CallId) -> Option<&mut Sending> {
        match &mut self.calls.get_mut(&id)?.stage {
            Stage::Sending(sending) => Some(sending),
            _ => None,
        }
    }
}
