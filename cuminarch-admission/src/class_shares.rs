use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{MonoTime, Priority, Rank, RouteName};

use crate::AccountDemand;
use crate::return_times::{RefusedRequest, ReturnTimes};
use crate::sender_model::decay_factor;
use crate::share_plan::SharePlan;
use crate::shed_decision::{AccountShare, ShedDecision};
use crate::usage_estimator::UsageEstimator;
use crate::usage_histogram::UsageHistogram;

/// Requests of one class on one route.
#[derive(Clone, Debug)]
struct RouteClass {
    /// Decayed counts of all requests, and of those that return after a refusal.
    offered: f64,
    returning: f64,
    /// Decayed numbers of the requests that the plans meant to serve, and that they served. They
    /// differ while the mix of accounts changes.
    meant_served: f64,
    served: f64,
    /// Usages of the accounts of the requests that do not return.
    usages: UsageHistogram,
    plan: SharePlan,
}

impl Default for RouteClass {
    fn default() -> Self {
        Self {
            offered: 0.0,
            returning: 0.0,
            meant_served: 0.0,
            served: 0.0,
            usages: UsageHistogram::new(),
            plan: SharePlan::ALL,
        }
    }
}

/// Decayed count of events, as a rate.
#[derive(Clone, Copy, Debug, Default)]
struct EventRate {
    count: f64,
    decayed_at: MonoTime,
}

impl EventRate {
    const DECAY_TIME: Duration = Duration::from_secs(3);

    fn record(&mut self, now: MonoTime) {
        self.count *= decay_factor(now.since(self.decayed_at), Self::DECAY_TIME);
        self.decayed_at = now;
        self.count += 1.0;
    }

    fn per_s(&self, now: MonoTime) -> f64 {
        let factor = decay_factor(now.since(self.decayed_at), Self::DECAY_TIME);
        self.count * factor / Self::DECAY_TIME.as_secs_f64()
    }
}

/// Divides the room of each class among the accounts of its requests, and among those that are new
/// and those that return after a refusal.
///
/// The load it answers: room is short, and one account asks several times its usual rate. The
/// requests of an account count on all routes of its class that load the short service.
#[derive(Clone, Debug, Default)]
pub struct ClassShares {
    estimator: UsageEstimator,
    routes: BTreeMap<RouteName, BTreeMap<Priority, RouteClass>>,
    return_times: ReturnTimes,
    admitted: BTreeMap<Priority, EventRate>,
    /// Decayed number of refused requests that were to be told a time, and of those that returned.
    /// Fewer return if callers give up or no time is free.
    expected_returns: f64,
    returns: f64,
}

impl ClassShares {
    /// Part of the served requests that may be returning ones. New requests are refused to make
    /// room for them, so it costs others time; without it, whoever is refused once is likely to be
    /// refused again.
    const RETURN_ROOM_RATIO: f64 = 0.4;
    /// Distance of the times promised while no service is short.
    const MIN_SPACING: Duration = Duration::from_millis(1);
    /// Bound of the correction of a plan by what the last plans served.
    const MAX_CORRECTION: f64 = 1.25;
    /// Fraction of the counts of returns retained per plan.
    const RETAINED_RETURNS: f64 = 0.99;
    /// Bound of the fraction of the room that is left after the returning requests.
    const MAX_REFUSED_FRACTION: f64 = 0.98;

    /// Decays the counts, and serves everything until the next [`ClassShares::plan`].
    pub fn reset(&mut self, retained_fraction: f64) {
        self.expected_returns *= Self::RETAINED_RETURNS;
        self.returns *= Self::RETAINED_RETURNS;
        for class in self.routes.values_mut().flat_map(BTreeMap::values_mut) {
            class.offered *= retained_fraction;
            class.returning *= retained_fraction;
            class.meant_served *= retained_fraction;
            class.served *= retained_fraction;
            class.plan = SharePlan::ALL;
        }
    }

    /// Distributes the fraction to shed over the routes that load a service, given with the time
    /// that one of their requests occupies it: class by class, the least urgent first.
    pub fn plan(
        &mut self,
        costs: &BTreeMap<&RouteName, Duration>,
        fraction: f64,
        max_refused_fraction: f64,
    ) {
        let mut classes: BTreeMap<Priority, Vec<(f64, &mut RouteClass)>> = BTreeMap::new();
        for (route, route_classes) in &mut self.routes {
            let Some(cost) = costs.get(route) else { continue };
            for (priority, class) in route_classes {
                classes.entry(*priority).or_default().push((cost.as_secs_f64(), class));
            }
        }
        let load_s = |class: &[(f64, &mut RouteClass)]| {
            class.iter().map(|(cost_s, route)| cost_s * route.offered).sum::<f64>()
        };
        let loads_s: Vec<f64> = classes.values().map(|class| load_s(class)).collect();
        let mut remaining_s = fraction * loads_s.iter().sum::<f64>();
        for (mut class, load_s) in classes.into_values().zip(loads_s) {
            if remaining_s <= 0.0 || load_s <= 0.0 {
                continue;
            }
            let refused = (remaining_s / load_s).min(max_refused_fraction);
            remaining_s -= refused * load_s;
            Self::share(&mut class, (1.0 - refused) * load_s);
        }
    }

    /// Divides the room of a class, of which the returning requests are a part.
    fn share(class: &mut [(f64, &mut RouteClass)], room_s: f64) {
        let mut usages = UsageHistogram::new();
        let (mut new_load_s, mut meant_served_s, mut served_s) = (0.0, 0.0, 0.0);
        for (cost_s, route) in class.iter() {
            meant_served_s += cost_s * route.meant_served;
            served_s += cost_s * route.served;
            usages.add_scaled(&route.usages, *cost_s);
            new_load_s += cost_s * (route.offered - route.returning);
        }
        if new_load_s <= 0.0 {
            return;
        }
        let meant_fraction = (room_s / new_load_s).max(1.0 - Self::MAX_REFUSED_FRACTION);
        let correction = if served_s > 0.0 { meant_served_s / served_s } else { 1.0 };
        let correction = correction.clamp(1.0 / Self::MAX_CORRECTION, Self::MAX_CORRECTION);
        let plan = SharePlan::new(&usages, meant_fraction, correction);
        class.iter_mut().for_each(|(_, route)| route.plan = plan);
    }

    /// Decides on a request.
    pub fn decide(
        &mut self,
        request: &RefusedRequest,
        rank: Rank,
        demand: &AccountDemand<'_>,
        now: MonoTime,
    ) -> ShedDecision {
        let usage = self.estimator.usage(demand, now);
        self.estimator.record(demand, now);
        let is_returning = self.return_times.redeem(request, now);
        let return_ratio = self.return_ratio();
        let classes = self.routes.entry(request.route.clone()).or_default();
        let class = classes.entry(request.priority).or_default();
        class.offered += 1.0;
        let served = class.plan.served_fraction_of(usage);
        let refused_fraction = if is_returning {
            class.returning += 1.0;
            self.returns += 1.0;
            0.0
        } else {
            class.usages.record(usage, now);
            class.meant_served += class.plan.meant_fraction();
            class.served += served;
            1.0 - Self::served_at_first(served, return_ratio)
        };
        let bucket = f64::from(rank.get() % Rank::BUCKETS) + 0.5;
        let is_refused = bucket < refused_fraction * f64::from(Rank::BUCKETS);
        if !is_refused {
            self.admitted.entry(request.priority).or_default().record(now);
        }
        let report_age = demand.usage.map(|report| now.since(report.reported_at));
        let level = class.plan.level();
        let share = Some(AccountShare { usage, report_age, level, is_returning });
        ShedDecision { is_refused, refused_fraction, share }
    }

    /// Promises room to a refused request at a time between the bounds of `window`, the search
    /// starting at its middle element. `random` is evenly distributed from 0 to 1.
    pub fn promise_return(
        &mut self,
        request: RefusedRequest,
        demand: &AccountDemand<'_>,
        window: (MonoTime, MonoTime, MonoTime),
        random: f64,
        now: MonoTime,
    ) -> Option<MonoTime> {
        let usage = self.estimator.usage(demand, now);
        let class = self.routes.get(&request.route)?.get(&request.priority)?;
        let served = class.plan.served_fraction_of(usage);
        let returning_fraction = Self::returning_fraction(served);
        self.expected_returns += returning_fraction;
        if random >= returning_fraction {
            return None;
        }
        let spacing = if served < 1.0 {
            let admitted_per_s = self.admitted.get(&request.priority)?.per_s(now);
            let room_per_s = admitted_per_s * Self::RETURN_ROOM_RATIO;
            Duration::try_from_secs_f64(1.0 / room_per_s).unwrap_or(Duration::MAX)
        } else {
            Self::MIN_SPACING
        };
        self.return_times.promise(request, window, spacing)
    }

    /// Returns the number of accounts counted, and that of outstanding promises.
    pub fn sizes(&self) -> (usize, usize) {
        (self.estimator.len(), self.return_times.len())
    }

    /// Returns the fraction of an account's refused requests that may return, if `served` of its
    /// requests are served.
    fn returning_fraction(served: f64) -> f64 {
        if served >= 1.0 { 1.0 } else { served * Self::RETURN_ROOM_RATIO }
    }

    /// Returns how many of the expected returns took place, from 0 to 1.
    fn return_ratio(&self) -> f64 {
        if self.expected_returns > 0.0 {
            (self.returns / self.expected_returns).min(1.0)
        } else {
            0.0
        }
    }

    /// Returns the fraction of new requests to serve when they arrive, so that with those that
    /// return `served` of all are served.
    fn served_at_first(served: f64, return_ratio: f64) -> f64 {
        if served >= 1.0 {
            return 1.0;
        }
        let returning = Self::returning_fraction(served) * return_ratio;
        (served - returning) / (1.0 - returning)
    }
}
