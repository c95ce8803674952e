//! Choice among endpoints whose nodes report how full they are.
//!
//! Answers the load of uneven zones and of endpoints that differ in speed: a
//! fast endpoint is less full under the same share, and so gets more. Also that of
//! endpoints that fail calls at once behind a good health check.
//!
//! Calls stay in the caller's zone while its endpoints have room. What they lack
//! spills over to other zones; the part that does moves in small steps, as all nodes
//! of the zone see the same and would turn elsewhere and back together.

use std::time::Duration;

use cuminarch_types::{Mechanism, MonoTime};
use rand::RngExt;
use rand::seq::index::sample;
use rand_chacha::ChaCha8Rng;

use crate::endpoint::Endpoint;
use crate::service::RoutingContext;
use crate::typical_occupancy::MeanOccupancy;

/// Occupancy of the own zone below which no call leaves it, in thousandths.
const SPILL_THRESHOLD_MILLI: f64 = 750.0;
/// Occupancy by which the own zone has to exceed the others before calls leave it, in
/// thousandths: a call there costs time and traffic.
const REMOTE_ZONE_PENALTY_MILLI: f64 = 100.0;
/// Occupancy that an endpoint which is still slow after its start seems to have on
/// top of its own, in thousandths.
const WARM_UP_PENALTY_MILLI: u32 = 300;
/// The same for one that fails all calls. One that fails half of them counts as full:
/// failing is quick, so that it is never really full and would draw calls by that.
const ERROR_PENALTY_MILLI: f64 = 2_000.0;

/// Part of the typical occupancy that an endpoint without a report is taken to have:
/// less than those with one, or it would never get the call that brings a report.
const UNREPORTED_OCCUPANCY_RATIO: f64 = 0.5;
/// Endpoints that are compared, random ones, so that nodes which see the same do not all
/// choose the same (Mitzenmacher, 2001).
const COMPARED_ENDPOINTS: usize = 2;
/// What is known of the occupancy of a service, in the own zone and in others, and
/// which part of the calls leaves the zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceOccupancy {
    own_zone: MeanOccupancy,
    other_zones: MeanOccupancy,
    /// Part of the calls that leaves the zone.
    spill_ratio: f64,
}

impl ServiceOccupancy {
    /// Change of the part that leaves the zone, for each second and each thousandth of
    /// occupancy too much.
    const GAIN_PER_S: f64 = 0.003;
    /// Most by which the part changes in a second.
    const MAX_RATE_PER_S: f64 = 1.0;
    /// Most that leaves the zone, so that its recovery is seen.
    const MAX_SPILL_RATIO: f64 = 0.95;

    /// Takes in a report of an endpoint, in thousandths.
    pub fn record(&mut self, is_near: bool, milli: u32, now: MonoTime) {
        let side = if is_near { &mut self.own_zone } else { &mut self.other_zones };
        side.record(milli, now);
    }

    /// Adapts the part that leaves the zone to what was reported.
    pub fn adapt(&mut self, elapsed: Duration, now: MonoTime) {
        let far_milli = self.other_zones.milli(now).unwrap_or_default();
        let bound_milli = SPILL_THRESHOLD_MILLI.max(far_milli + REMOTE_ZONE_PENALTY_MILLI);
        let excess_milli = self.own_zone.milli(now).unwrap_or_default() - bound_milli;
        let speed = excess_milli * Self::GAIN_PER_S;
        let step = speed.clamp(-Self::MAX_RATE_PER_S, Self::MAX_RATE_PER_S) * elapsed.as_secs_f64();
        self.spill_ratio = (self.spill_ratio + step).clamp(0.0, Self::MAX_SPILL_RATIO);
    }

    /// The least full of a few random endpoints of the own zone, or of others for
    /// calls that spill over.
    pub fn choose<'a>(
        &self,
        endpoints: &[&'a Endpoint],
        place: &RoutingContext,
        now: MonoTime,
        rng: &mut ChaCha8Rng,
    ) -> Option<&'a Endpoint> {
        let is_near = |endpoint: &&&Endpoint| place.distance(&endpoint.member) == 0;
        let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) = endpoints.iter().partition(is_near);
        let spilled =
            if place.disabled.contains(Mechanism::SpillOver) { 0.0 } else { self.spill_ratio };
        if near.is_empty() || (!far.is_empty() && rng.random_bool(spilled)) {
            return least_full(&sample_endpoints(&far, rng), self.other_zones, place, now);
        }
        let chosen = least_full(&sample_endpoints(&near, rng), self.own_zone, place, now)?;
        let drawback_milli = penalty_milli(chosen, place, now);
        if drawback_milli == 0 {
            return Some(chosen);
        }
        let other = least_full(&sample_endpoints(&far, rng), self.other_zones, place, now);
        other
            .filter(|other| drawback_milli > remote_penalty_milli(other, place, now))
            .or(Some(chosen))
    }
}

/// The least full of some endpoints, drawbacks counted in.
fn least_full<'a>(
    endpoints: &[&'a Endpoint],
    typical: MeanOccupancy,
    place: &RoutingContext,
    now: MonoTime,
) -> Option<&'a Endpoint> {
    let typical_milli =
        (typical.milli(now).unwrap_or_default() * UNREPORTED_OCCUPANCY_RATIO) as u32;
    endpoints.iter().copied().min_by_key(|endpoint| {
        let occupancy_milli = if place.disabled.contains(Mechanism::OccupancyReports) {
            endpoint.in_flight_occupancy_milli()
        } else {
            endpoint.occupancy_milli(typical_milli, now)
        };
        occupancy_milli + penalty_milli(endpoint, place, now)
    })
}

/// What speaks against an endpoint beside its occupancy, in thousandths.
fn penalty_milli(endpoint: &Endpoint, place: &RoutingContext, now: MonoTime) -> u32 {
    let is_cold = endpoint.is_warming_up(now) && !place.disabled.contains(Mechanism::WarmUp);
    let cold_milli = if is_cold { WARM_UP_PENALTY_MILLI } else { 0 };
    let has_cost = !place.disabled.contains(Mechanism::FaultCost);
    let fault_part = if has_cost { endpoint.error_ratio(now) } else { 0.0 };
    cold_milli + (fault_part * ERROR_PENALTY_MILLI) as u32
}

/// The same for an endpoint of another zone.
fn remote_penalty_milli(endpoint: &Endpoint, place: &RoutingContext, now: MonoTime) -> u32 {
    penalty_milli(endpoint, place, now) + REMOTE_ZONE_PENALTY_MILLI as u32
}

/// A few random ones, in random order.
fn sample_endpoints<'a>(endpoints: &[&'a Endpoint], rng: &mut ChaCha8Rng) -> Vec<&'a Endpoint> {
    if endpoints.len() <= 1 {
        return endpoints.to_vec();
    }
    let count = endpoints.len().min(COMPARED_ENDPOINTS);
    sample(rng, endpoints.len(), count).into_iter().map(|index| endpoints[index]).collect()
}
