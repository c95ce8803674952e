use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{MonoTime, Priority, Rank, RouteName, ServiceName};

/// How short of capacity a service is, and what one call of a route costs it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShortage {
    /// The service.
    pub service: ServiceName,
    /// Part of its load that has to be shed, in thousandths.
    pub shed_milli: f64,
    /// When this was so.
    pub noted_at: MonoTime,
    /// Time for which one call of the route holds slots of the service.
    pub call_cost: Duration,
}

impl ServiceShortage {
    /// Time for which a report counts in full.
    const FULL_WEIGHT_DURATION: Duration = Duration::from_millis(500);
    /// Time after that in which it fades to nothing, as nobody confirms it.
    const DECAY_DURATION: Duration = Duration::from_millis(1_000);

    /// What is left of the part to shed, in thousandths.
    #[must_use]
    pub fn shed_milli_at(&self, now: MonoTime) -> f64 {
        let beyond = now.since(self.noted_at).saturating_sub(Self::FULL_WEIGHT_DURATION);
        let left = 1.0 - beyond.as_secs_f64() / Self::DECAY_DURATION.as_secs_f64();
        self.shed_milli * left.clamp(0.0, 1.0)
    }
}

#[derive(Clone, Debug, Default)]
struct RouteLoad {
    priority: Priority,
    /// Requests of callers, fading with time.
    offered: f64,
    shortage: Option<ServiceShortage>,
    /// When an answer last said how short the services behind are.
    reported_at: MonoTime,
    /// Part of the requests that is refused.
    refused_fraction: f64,
}

impl RouteLoad {
    /// Whether the route loads a service that is short.
    fn depends_on(&self, service: &ServiceName) -> bool {
        self.shortage.as_ref().is_some_and(|held| held.service == *service)
    }

    /// Time for which the requests offered hold slots of the service that is short, in
    /// seconds.
    fn offered_load_s(&self) -> f64 {
        self.offered * self.shortage.as_ref().map_or(0.0, |held| held.call_cost.as_secs_f64())
    }
}

/// Refuses requests where they enter, before any work was done for them, as far
/// as a service deeper down is short of capacity.
///
/// Answers the load of a surge on a chain of services: every answer carries back
/// which service behind it is shortest of capacity and what a request of the
/// route costs that service. All routes that load it are looked at together: the
/// least urgent are refused first, and routes of one class in equal parts.
#[derive(Clone, Debug, Default)]
pub struct Shedder {
    routes: BTreeMap<RouteName, RouteLoad>,
    planned_at: MonoTime,
}

impl Shedder {
    /// Time between two plans.
    const PLAN_INTERVAL: Duration = Duration::from_millis(50);
    /// Part of the counted requests that one plan leaves to the next.
    const RETAINED_FRACTION: f64 = 0.95;
    /// Least weight of a new report; evens out endpoints that are short to
    /// different degrees.
    const MIN_REPORT_WEIGHT: f64 = 0.2;
    /// Time after which a new report replaces what was held before: half of what
    /// a report counts in full, so that a route with a few answers a second hears
    /// of the end of a shortage within a second.
    const REPORT_SMOOTHING_INTERVAL: Duration = Duration::from_millis(250);
    /// Part to shed below which nothing is refused, in thousandths.
    const MIN_SHED_MILLI: f64 = 10.0;
    /// Most of a route that is refused, so that none starves.
    const MAX_REFUSED_FRACTION: f64 = 0.9;

    /// Nothing is refused.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides whether a caller's request is refused; `rank` scatters evenly
    /// within a priority.
    pub fn should_refuse(&mut self, route: &RouteName, rank: Rank, now: MonoTime) -> bool {
        if now.since(self.planned_at) >= Self::PLAN_INTERVAL {
            self.planned_at = now;
            self.plan(now);
        }
        let load = self.routes.entry(route.clone()).or_default();
        load.priority = rank.priority();
        load.offered += 1.0;
        let bucket = f64::from(rank.get() % Rank::BUCKETS) + 0.5;
        bucket < load.refused_fraction * f64::from(Rank::BUCKETS)
    }

    /// Takes in what an answer on a route carried back; nothing means that no
    /// service behind it is short of capacity.
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
            (Some(held), Some(report)) if held.service == report.service => {
                let shed_milli = held.shed_milli_at(now);
                held.shed_milli = shed_milli + (report.shed_milli - shed_milli) * weight;
                held.noted_at = held.noted_at.max(report.noted_at);
                held.call_cost =
                    held.call_cost.mul_f64(1.0 - weight) + report.call_cost.mul_f64(weight);
            }
            (Some(held), Some(report)) if report.shed_milli > held.shed_milli_at(now) => {
                *held = ServiceShortage {
                    shed_milli: report.shed_milli * Self::MIN_REPORT_WEIGHT,
                    ..report
                };
            }
            (Some(held), _) => {
                held.shed_milli = held.shed_milli_at(now) * (1.0 - weight);
                held.noted_at = now;
            }
            (held @ None, Some(report)) => {
                let shed_milli = report.shed_milli * Self::MIN_REPORT_WEIGHT;
                *held = Some(ServiceShortage { shed_milli, ..report });
            }
            (None, None) => {}
        }
    }

    /// What is known of the services behind a route.
    #[must_use]
    pub fn shortage(&self, route: &RouteName) -> Option<&ServiceShortage> {
        self.routes.get(route)?.shortage.as_ref()
    }

    /// Part of a route's requests that is refused now.
    #[must_use]
    pub fn refused_fraction(&self, route: &RouteName) -> f64 {
        self.routes.get(route).map_or(0.0, |load| load.refused_fraction)
    }

    fn plan(&mut self, now: MonoTime) {
        let mut services: BTreeMap<ServiceName, f64> = BTreeMap::new();
        for load in self.routes.values_mut() {
            load.offered *= Self::RETAINED_FRACTION;
            load.refused_fraction = 0.0;
            if let Some(pressure) = &load.shortage {
                let shed_milli = pressure.shed_milli_at(now);
                let most = services.entry(pressure.service.clone()).or_default();
                *most = most.max(shed_milli);
            }
        }
        for (service, shed_milli) in services {
            if shed_milli >= Self::MIN_SHED_MILLI {
                self.shed(&service, shed_milli / 1_000.0);
            }
        }
    }

    /// Spreads the part to shed over the routes that load a service: class by class, the
    /// least urgent first, and in equal parts within a class.
    fn shed(&mut self, service: &ServiceName, part: f64) {
        let mut classes: BTreeMap<Priority, Vec<&mut RouteLoad>> = BTreeMap::new();
        for load in self.routes.values_mut().filter(|load| load.depends_on(service)) {
            classes.entry(load.priority).or_default().push(load);
        }
        let amount_of =
            |class: &[&mut RouteLoad]| class.iter().map(|load| load.offered_load_s()).sum();
        let amounts: Vec<f64> = classes.values().map(|class| amount_of(class)).collect();
        let mut left = part * amounts.iter().sum::<f64>();
        for (class, amount) in classes.into_values().zip(amounts) {
            if left <= 0.0 || amount <= 0.0 {
                continue;
            }
            let refused = (left / amount).min(Self::MAX_REFUSED_FRACTION);
            left -= refused * amount;
            class.into_iter().for_each(|load| load.refused_fraction = refused);
        }
    }
}
