//! Load of the local upstream and of downstream services, as reported to callers.

use std::time::Duration;

use cuminarch_admission::ServiceShortage;
use cuminarch_protocol::{CapacityReport, LoadReport, PressureReport, Receipt};
use cuminarch_types::{EndpointId, MonoTime, RouteName, ServiceName};

use crate::Engine;

impl Engine {
    /// Smallest shortage that is reported, in thousandths.
    const MIN_REPORTED_SHORTAGE_MILLI: f64 = 5.0;

    /// Returns the load of this node and downstream, for the answer to a call on `route`.
    pub(crate) fn load_report(&self, route: &RouteName, now: MonoTime) -> LoadReport {
        LoadReport {
            occupancy_milli: self.admission.occupancy_milli(),
            pressure: self
                .worst_pressure(route, now)
                .map(|shortage| to_pressure_report(&shortage, now)),
            fan_out_milli: self.fan_out_milli(route),
            is_internal: self.internal_route_detector.is_internal(route),
            capacity: self.capacity_report(route),
        }
    }

    /// Returns what the local upstream takes well, if that is learned.
    fn capacity_report(&self, route: &RouteName) -> Option<CapacityReport> {
        let learned = self.admission.learned_capacity()?;
        let run_time = self.admission.run_time(route);
        let run_time_us = run_time.and_then(|time| u32::try_from(time.as_micros()).ok());
        Some(CapacityReport { limit: learned.limit.get(), run_time_us })
    }

    /// Returns the largest shortage among the local service and those downstream.
    fn worst_pressure(&self, route: &RouteName, now: MonoTime) -> Option<ServiceShortage> {
        let own = ServiceShortage {
            service: self.settings.service.clone(),
            shed_milli: f64::from(self.admission.shortage_milli()),
            noted_at: now,
            call_cost: self.admission.holding_time(route),
        };
        let downstream = self.fanout_estimator.fanouts(route).filter_map(|(child, calls)| {
            let shortage = self.downstream_shortage(child, now)?;
            Some(ServiceShortage { call_cost: shortage.call_cost.mul_f64(calls), ..shortage })
        });
        let all = std::iter::once(own).chain(downstream);
        let is_short = |shortage: &ServiceShortage| {
            shortage.shed_milli_at(now) >= Self::MIN_REPORTED_SHORTAGE_MILLI
        };
        all.filter(is_short)
            .max_by(|left, right| left.shed_milli_at(now).total_cmp(&right.shed_milli_at(now)))
    }

    /// Returns the shortage behind a downstream route: the larger one of what answers report and
    /// what failed calls show.
    fn downstream_shortage(&self, route: &RouteName, now: MonoTime) -> Option<ServiceShortage> {
        let reported = self.shedder.shortage(route).cloned();
        let Some(seen) = self.nested_failures.shortage(route, now) else { return reported };
        match reported {
            Some(reported) if reported.shed_milli_at(now) >= seen.shed_milli => Some(reported),
            _ => Some(seen),
        }
    }

    /// Returns the calls that one call of `route` causes at the downstream service called most, in
    /// thousandths.
    fn fan_out_milli(&self, route: &RouteName) -> u32 {
        let of_child = |(child, calls): (&RouteName, f64)| {
            let downstream_milli = self.fan_outs_milli.get(child).copied().unwrap_or(0);
            (calls * f64::from(downstream_milli.max(1_000))) as u32
        };
        self.fanout_estimator.fanouts(route).map(of_child).max().unwrap_or(0)
    }

    /// Applies the load that an answer reports for its endpoint.
    pub(crate) fn apply_load_report(
        &mut self,
        service: &ServiceName,
        endpoint: &EndpointId,
        route: &RouteName,
        receipt: &Receipt,
        now: MonoTime,
    ) {
        let Some(load) = &receipt.load else { return };
        self.router.record_occupancy(service, endpoint, load.occupancy_milli, now);
        if let Some(capacity) = &load.capacity {
            let change = self.router.record_capacity(service, endpoint, route, capacity, now);
            self.note_speed(endpoint, change);
        }
        self.fan_outs_milli.insert(route.clone(), load.fan_out_milli);
        if load.is_internal {
            self.internal_routes.insert(route.clone());
        } else {
            self.internal_routes.remove(route);
        }
        // The excess of an endpoint with a rate limit goes elsewhere before any of it is shed.
        let moves_elsewhere = |report: &&PressureReport| {
            report.service == *service
                && self.router.has_room_beside_limited(service, endpoint, now)
        };
        let pressure = load.pressure.as_ref().filter(|report| !moves_elsewhere(report));
        let shortage = pressure.map(|report| from_pressure_report(report, now));
        self.shedder.record_report(route, shortage, now);
    }
}

fn to_pressure_report(shortage: &ServiceShortage, now: MonoTime) -> PressureReport {
    PressureReport {
        service: shortage.service.clone(),
        shed_milli: shortage.shed_milli as u16,
        age_ms: u32::try_from(now.since(shortage.noted_at).as_millis()).unwrap_or(u32::MAX),
        load_us: u32::try_from(shortage.call_cost.as_micros()).unwrap_or(u32::MAX),
    }
}

fn from_pressure_report(report: &PressureReport, now: MonoTime) -> ServiceShortage {
    let age_us = u64::from(report.age_ms) * 1_000;
    ServiceShortage {
        service: report.service.clone(),
        shed_milli: f64::from(report.shed_milli),
        noted_at: MonoTime::from_micros(now.as_micros().saturating_sub(age_us)),
        call_cost: Duration::from_micros(u64::from(report.load_us)),
    }
}
