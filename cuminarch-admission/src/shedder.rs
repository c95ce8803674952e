use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{MonoTime, Priority, Rank, RouteName, ServiceName};

use crate::class_shares::ClassShares;
use crate::{AccountDemand, RefusedRequest, ShedDecision};

/// Shortage of capacity of a service, and the cost of one call of a route to it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShortage {
    /// The service.
    pub service: ServiceName,
    /// Fraction of its load to shed, in thousandths.
    pub shed_milli: f64,
    /// Time of the report.
    pub noted_at: MonoTime,
    /// Time for which one call of the route occupies slots of the service.
    pub call_cost: Duration,
}

impl ServiceShortage {
    /// A report has full weight for this time.
    const FULL_WEIGHT_DURATION: Duration = Duration::from_millis(500);
    /// After that time, an unconfirmed report decays to zero within this time.
    const DECAY_DURATION: Duration = Duration::from_millis(1_000);

    /// Returns the decayed fraction to shed, in thousandths.
    #[must_use]
    pub fn shed_milli_at(&self, now: MonoTime) -> f64 {
        let excess_age = now.since(self.noted_at).saturating_sub(Self::FULL_WEIGHT_DURATION);
        let weight = 1.0 - excess_age.as_secs_f64() / Self::DECAY_DURATION.as_secs_f64();
        self.shed_milli * weight.clamp(0.0, 1.0)
    }
}

#[derive(Clone, Debug, Default)]
struct RouteLoad {
    priority: Priority,
    /// Decayed count of callers' requests.
    offered: f64,
    shortage: Option<ServiceShortage>,
    /// Time of the last answer on this route, with or without a report.
    reported_at: MonoTime,
    /// Fraction of the requests to refuse.
    refused_fraction: f64,
}

impl RouteLoad {
    /// Returns `true` if the route loads the short `service`.
    fn depends_on(&self, service: &ServiceName) -> bool {
        self.shortage.as_ref().is_some_and(|current| current.service == *service)
    }

    /// Returns the time for which the offered requests occupy slots of the short service, in
    /// seconds.
    fn offered_load_s(&self) -> f64 {
        self.offered * self.shortage.as_ref().map_or(0.0, |current| current.call_cost.as_secs_f64())
    }
}

/// Refuses requests at the entry node, before any work is done for them, to the extent that a
/// service further down is short of capacity.
///
/// During a surge on a chain of services, every answer carries back which service behind it is
/// shortest of capacity and what a request of the route costs that service. All routes that load
/// the service are planned together: the least urgent are refused first, and routes of one class in
/// equal proportion. Once there are client accounts, the room of a class is divided among them.
#[derive(Clone, Debug, Default)]
pub struct Shedder {
    routes: BTreeMap<RouteName, RouteLoad>,
    planned_at: MonoTime,
    shares: Option<ClassShares>,
}

impl Shedder {
    /// Time between two recomputations of the refused fractions.
    const PLAN_INTERVAL: Duration = Duration::from_millis(50);
    /// Fraction of the request counts retained per plan.
    const RETAINED_FRACTION: f64 = 0.95;
    /// Minimum weight of a new report; smooths over endpoints whose shortages differ.
    const MIN_REPORT_WEIGHT: f64 = 0.2;
    /// A report that arrives this long after the previous one replaces it. Half of the time for
    /// which a report has full weight, so that a route with a few answers a second receives the end
    /// of a shortage within a second.
    const REPORT_SMOOTHING_INTERVAL: Duration = Duration::from_millis(250);
    /// Nothing is refused below this fraction to shed, in thousandths.
    const MIN_SHED_MILLI: f64 = 10.0;
    /// Maximum refused fraction of a route, so that none starves.
    const MAX_REFUSED_FRACTION: f64 = 0.9;

    /// Creates a shedder that refuses nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Divides the room of a class among accounts and returning callers from the start, instead of
    /// from the first request that has an account.
    #[must_use]
    pub fn with_shares(mut self) -> Self {
        self.shares = Some(ClassShares::default());
        self
    }

    /// Decides on a caller's request. The rank has to be evenly distributed within a priority.
    pub fn decide(
        &mut self,
        request: &RefusedRequest,
        rank: Rank,
        demand: &AccountDemand<'_>,
        now: MonoTime,
    ) -> ShedDecision {
        if demand.account.is_some() {
            self.shares.get_or_insert_default();
        }
        if self.shares.is_some() {
            self.plan_if_due(now);
        }
        if let Some(shares) = &mut self.shares {
            return shares.decide(request, rank, demand, now);
        }
        let is_refused = self.should_refuse(&request.route, rank, now);
        let refused_fraction = self.refused_fraction(&request.route);
        ShedDecision { is_refused, refused_fraction, share: None }
    }

    /// Promises room to a refused request at a time between the bounds of `window`, the search
    /// starting at its middle element. `random` is evenly distributed from 0 to 1. Returns `None`
    /// if there will be no room, or if callers are told times without regard to room.
    pub fn promise_return(
        &mut self,
        request: RefusedRequest,
        demand: &AccountDemand<'_>,
        window: (MonoTime, MonoTime, MonoTime),
        random: f64,
        now: MonoTime,
    ) -> Option<MonoTime> {
        self.shares.as_mut()?.promise_return(request, demand, window, random, now)
    }

    /// Returns `true` if callers are told to return only when there will be room.
    #[must_use]
    pub const fn promises_returns(&self) -> bool {
        self.shares.is_some()
    }

    /// Returns the number of accounts and of promised returns that are kept.
    #[must_use]
    pub fn share_sizes(&self) -> (usize, usize) {
        self.shares.as_ref().map_or((0, 0), ClassShares::sizes)
    }

    /// Returns `true` if a caller's request is to be refused. `rank` has to be evenly distributed
    /// within a priority.
    pub fn should_refuse(&mut self, route: &RouteName, rank: Rank, now: MonoTime) -> bool {
        self.plan_if_due(now);
        let load = self.routes.entry(route.clone()).or_default();
        load.priority = rank.priority();
        load.offered += 1.0;
        let bucket = f64::from(rank.get() % Rank::BUCKETS) + 0.5;
        bucket < load.refused_fraction * f64::from(Rank::BUCKETS)
    }

    /// Records the report of an answer on a route; `None` means that no service behind it is short
    /// of capacity.
    pub fn record_report(
        &mut self,
        route: &RouteName,
        report: Option<ServiceShortage>,
        now: MonoTime,
    ) {
        let load = self.routes.entry(route.clone()).or_default();
        let gap = now.since(load.reported_at);
        load.reported_at = now;
        let weight = (gap.as_secs_f64() / Self::REPORT_SMOOTHING_INTERVAL.as_secs_f64())
            .clamp(Self::MIN_REPORT_WEIGHT, 1.0);
        match (&mut load.shortage, report) {
            (Some(current), Some(report)) if current.service == report.service => {
                let shed_milli = current.shed_milli_at(now);
                current.shed_milli = shed_milli + (report.shed_milli - shed_milli) * weight;
                current.noted_at = current.noted_at.max(report.noted_at);
                current.call_cost =
                    current.call_cost.mul_f64(1.0 - weight) + report.call_cost.mul_f64(weight);
            }
            (Some(current), Some(report)) if report.shed_milli > current.shed_milli_at(now) => {
                *current = ServiceShortage {
                    shed_milli: report.shed_milli * Self::MIN_REPORT_WEIGHT,
                    ..report
                };
            }
            (Some(current), _) => {
                current.shed_milli = current.shed_milli_at(now) * (1.0 - weight);
                current.noted_at = now;
            }
            (current @ None, Some(report)) => {
                let shed_milli = report.shed_milli * Self::MIN_REPORT_WEIGHT;
                *current = Some(ServiceShortage { shed_milli, ..report });
            }
            (None, None) => {}
        }
    }

    /// Returns the known shortage behind a route.
    #[must_use]
    pub fn shortage(&self, route: &RouteName) -> Option<&ServiceShortage> {
        self.routes.get(route)?.shortage.as_ref()
    }

    /// Returns the fraction of the route's requests that is refused now.
    #[must_use]
    pub fn refused_fraction(&self, route: &RouteName) -> f64 {
        self.routes.get(route).map_or(0.0, |load| load.refused_fraction)
    }

    fn plan_if_due(&mut self, now: MonoTime) {
        if now.since(self.planned_at) >= Self::PLAN_INTERVAL {
            self.planned_at = now;
            self.plan(now);
        }
    }

    fn plan(&mut self, now: MonoTime) {
        let mut services: BTreeMap<ServiceName, f64> = BTreeMap::new();
        for load in self.routes.values_mut() {
            load.offered *= Self::RETAINED_FRACTION;
            load.refused_fraction = 0.0;
            if let Some(shortage) = &load.shortage {
                let shed_milli = shortage.shed_milli_at(now);
                let max_milli = services.entry(shortage.service.clone()).or_default();
                *max_milli = max_milli.max(shed_milli);
            }
        }
        if let Some(shares) = &mut self.shares {
            shares.reset(Self::RETAINED_FRACTION);
        }
        for (service, shed_milli) in services {
            if shed_milli < Self::MIN_SHED_MILLI {
                continue;
            }
            let fraction = shed_milli / 1_000.0;
            if let Some(shares) = &mut self.shares {
                let loads = self.routes.iter().filter_map(|(route, load)| {
                    let shortage = load.shortage.as_ref()?;
                    (shortage.service == service).then_some((route, shortage.call_cost))
                });
                shares.plan(&loads.collect(), fraction, Self::MAX_REFUSED_FRACTION);
            } else {
                self.shed(&service, fraction);
            }
        }
    }

    /// Distributes the fraction to shed over the routes that load a service: class by class, the
    /// least urgent first, and in equal proportion within a class.
    fn shed(&mut self, service: &ServiceName, fraction: f64) {
        let mut classes: BTreeMap<Priority, Vec<&mut RouteLoad>> = BTreeMap::new();
        for load in self.routes.values_mut().filter(|load| load.depends_on(service)) {
            classes.entry(load.priority).or_default().push(load);
        }
        let class_load_s =
            |class: &[&mut RouteLoad]| class.iter().map(|load| load.offered_load_s()).sum();
        let loads_s: Vec<f64> = classes.values().map(|class| class_load_s(class)).collect();
        let mut remaining = fraction * loads_s.iter().sum::<f64>();
        for (class, load_s) in classes.into_values().zip(loads_s) {
            if remaining <= 0.0 || load_s <= 0.0 {
                continue;
            }
            let refused = (remaining / load_s).min(Self::MAX_REFUSED_FRACTION);
            remaining -= refused * load_s;
            class.into_iter().for_each(|load| load.refused_fraction = refused);
        }
    }
}
