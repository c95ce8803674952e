//! Requests refused at their entry node because a downstream service is short of capacity, and the
//! times at which refused callers are told to return.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use cuminarch_admission::{AccountDemand, RefusedRequest, ReportedUsage, ShedDecision, Shedder};
use cuminarch_types::{AccountName, CallId, CapacityMode, Mechanism, MonoTime, RouteName};
use rand::RngExt;

use crate::call::Call;
use crate::{Engine, EngineSettings, Refusal, RefusalReason};

impl Engine {
    /// Shortest and longest retry delay of a refused caller, as fractions of the call's objective.
    /// The rest of the objective is left for the run, so that its answer is still fully useful.
    const RETRY_AFTER_OBJECTIVE_RATIOS: (f64, f64) = (0.1, 0.5);
    /// Longest retry delay of a refused caller, as a fraction of the time to the deadline.
    const MAX_RETRY_AFTER_RATIO: f64 = 0.3;

    pub(crate) fn new_shedder(settings: &EngineSettings) -> Shedder {
        let is_learned = settings.capacity == CapacityMode::Learned;
        if is_learned && !settings.disabled.contains(Mechanism::ReturnTimes) {
            Shedder::new().with_shares()
        } else {
            Shedder::new()
        }
    }

    /// Records a report of an account's usage over all nodes. Reports of accounts without an
    /// allotment are ignored.
    pub fn record_account_usage(&mut self, account: &AccountName, usage: ReportedUsage) {
        let allotments = self.policy.allotments();
        if allotments.contains_key(account) {
            self.account_usages.retain(|account, _| allotments.contains_key(account));
            self.account_usages.insert(account.clone(), usage);
        }
    }

    /// Decides whether to refuse a caller's request because a downstream service is short, and
    /// returns the refusal.
    pub(crate) fn shed_call(&mut self, id: CallId, now: MonoTime) -> Option<Refusal> {
        let call = self.calls.get(&id)?;
        let request = refused_request(call)?;
        let demand = self.account_demand(&request);
        let decision = self.shedder.decide(&request, call.rank, &demand, now);
        if !decision.is_refused || self.settings.disabled.contains(Mechanism::Shedding) {
            return self.refuse_by_ramp(&request.route, now);
        }
        let detail = self.shed_detail(&request, &decision, now);
        Some(Refusal::not_run(RefusalReason::OverloadedBehind).with_detail(detail))
    }

    /// Returns what is known of the account of a request.
    fn account_demand<'a>(&self, request: &'a RefusedRequest) -> AccountDemand<'a> {
        let account = request.account.as_ref();
        let account =
            account.filter(|_| !self.settings.disabled.contains(Mechanism::AccountShares));
        let Some(account) = account else { return AccountDemand::anonymous() };
        let allotment = self.policy.allotments().get(account);
        AccountDemand::of_account(account)
            .with_allotted_rate(allotment.map(|allotment| allotment.rate))
            .with_usage(self.account_usages.get(account).copied())
    }

    /// Returns the log detail of a request that is shed at its entry node.
    fn shed_detail(
        &self,
        request: &RefusedRequest,
        decision: &ShedDecision,
        now: MonoTime,
    ) -> CompactString {
        let mut detail = self.shortage_detail(&request.route, decision.refused_fraction, now);
        if let (Some(account), Some(share)) = (&request.account, &decision.share) {
            let (usage, level) = (share.usage, share.level);
            let share = format_compact!(" account={account} usage={usage:.2} level={level:.2}");
            detail.push_str(&share);
            let age_ms =
                decision.share.and_then(|share| share.report_age).map(|age| age.as_millis());
            match age_ms {
                Some(age_ms) => detail.push_str(&format_compact!(" usage_age_ms={age_ms}")),
                None => detail.push_str(" usage_age_ms=none"),
            }
        }
        detail
    }

    fn shortage_detail(&self, route: &RouteName, part: f64, now: MonoTime) -> CompactString {
        match self.shedder.shortage(route) {
            Some(shortage) => format_compact!(
                "short={} shed_milli={:.0} age_ms={} refused_part={part:.2}",
                shortage.service,
                shortage.shed_milli,
                now.since(shortage.noted_at).as_millis(),
            ),
            None => format_compact!("refused_part={part:.2}"),
        }
    }

    /// Returns the delay after which a refused call makes sense again.
    pub(crate) fn routed_retry_after(&mut self, id: CallId, now: MonoTime) -> Option<Duration> {
        let call = self.calls.get(&id)?;
        let (min_ratio, max_ratio) = Self::RETRY_AFTER_OBJECTIVE_RATIOS;
        let max_wait = call.deadline.since(now).mul_f64(Self::MAX_RETRY_AFTER_RATIO);
        let objective = call.objective();
        let wait = objective.mul_f64(self.rng.random_range(min_ratio..max_ratio)).min(max_wait);
        let is_nested = call.routed.as_ref().is_some_and(|routed| routed.is_nested);
        let is_random = is_nested
            || !self.shedder.promises_returns()
            || self.settings.disabled.contains(Mechanism::ReturnTimes);
        if is_random {
            return Some(wait);
        }
        let time_left = call.deadline.since(now);
        let earliest = objective.mul_f64(min_ratio).min(max_wait);
        let latest = objective.mul_f64(max_ratio).min(max_wait);
        let window = (now.after(earliest), now.after(wait), now.after(latest));
        let request = refused_request(call)?;
        let demand = self.account_demand(&request);
        let draw = self.rng.random();
        let promised = self.shedder.promise_return(request.clone(), &demand, window, draw, now);
        // Without room before its deadline, the caller is told to come after it.
        Some(promised.map_or(time_left, |time| time.since(now)))
    }
}

/// Returns what identifies a call when its caller returns after a refusal.
fn refused_request(call: &Call) -> Option<RefusedRequest> {
    let routed = call.routed.as_ref()?;
    Some(RefusedRequest {
        account: call.account.clone(),
        route: routed.route.clone(),
        priority: call.rank.priority(),
        stated_deadline: call.stated_deadline,
    })
}
