//! Chooses among endpoints whose nodes report their occupancy.
//!
//! Handles uneven zones, endpoints of different speed (a fast endpoint is less occupied under the
//! same share and so gets more calls) and endpoints that fail calls immediately while their health
//! check passes.
//!
//! Calls stay in the caller's zone while its endpoints have free capacity; the excess spills over
//! to other zones. The spill ratio moves in small steps, because all nodes of the zone see the same
//! and would otherwise switch back and forth together.

use std::time::Duration;

use cuminarch_types::{Mechanism, MonoTime};
use rand::RngExt;
use rand::seq::index::sample;
use rand_chacha::ChaCha8Rng;

use crate::endpoint::Endpoint;
use crate::expected_finish::Group;
use crate::mean_occupancy::MeanOccupancy;
use crate::service::RoutingContext;
use crate::{CallAttributes, expected_finish};

/// Occupancy of the own zone below which no call spills over, in thousandths.
const SPILL_THRESHOLD_MILLI: f64 = 750.0;
/// Occupancy by which the own zone has to exceed the others before calls spill over, in
/// thousandths: a call to another zone costs latency and traffic.
const REMOTE_ZONE_PENALTY_MILLI: f64 = 100.0;
/// Occupancy added for an endpoint that is warming up, in thousandths.
const WARM_UP_PENALTY_MILLI: u32 = 300;
/// Occupancy added for an endpoint that fails all calls, in thousandths; at half of them it counts
/// as full. Failing is fast, so that its real occupancy stays low and would attract calls.
const ERROR_PENALTY_MILLI: f64 = 2_000.0;

/// Fraction of the mean occupancy assumed for an endpoint without a report: below 1, or it would
/// never get the call that brings a report.
pub const UNREPORTED_OCCUPANCY_RATIO: f64 = 0.5;
/// Random endpoints that are compared, so that nodes with the same view do not all choose the same
/// one (Mitzenmacher, 2001).
const COMPARED_ENDPOINTS: usize = 2;
/// Occupancy of a service in the own zone and in others, and the spill ratio that follows from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceOccupancy {
    own_zone: MeanOccupancy,
    other_zones: MeanOccupancy,
    /// Fraction of the calls that leaves the zone.
    spill_ratio: f64,
}

impl ServiceOccupancy {
    /// Change of the spill ratio per second, for each thousandth of excess occupancy.
    const GAIN_PER_S: f64 = 0.003;
    /// Largest change of the spill ratio per second.
    const MAX_RATE_PER_S: f64 = 1.0;
    /// Below 1, to notice the recovery of the zone.
    const MAX_SPILL_RATIO: f64 = 0.95;

    /// Records the occupancy that an endpoint reports, in thousandths.
    pub fn record(&mut self, is_local: bool, milli: u32, now: MonoTime) {
        let mean = if is_local { &mut self.own_zone } else { &mut self.other_zones };
        mean.record(milli, now);
    }

    /// Adapts the spill ratio to the reported occupancies.
    pub fn adapt(&mut self, elapsed: Duration, now: MonoTime) {
        let remote_milli = self.other_zones.milli(now).unwrap_or_default();
        let limit_milli = SPILL_THRESHOLD_MILLI.max(remote_milli + REMOTE_ZONE_PENALTY_MILLI);
        let excess_milli = self.own_zone.milli(now).unwrap_or_default() - limit_milli;
        let rate_per_s = excess_milli * Self::GAIN_PER_S;
        let step =
            rate_per_s.clamp(-Self::MAX_RATE_PER_S, Self::MAX_RATE_PER_S) * elapsed.as_secs_f64();
        self.spill_ratio = (self.spill_ratio + step).clamp(0.0, Self::MAX_SPILL_RATIO);
    }

    /// Returns the least occupied of a few random endpoints of the own zone, or of other zones for
    /// calls that spill over.
    pub fn choose<'a>(
        &self,
        endpoints: &[&'a Endpoint],
        context: &RoutingContext,
        now: MonoTime,
        rng: &mut ChaCha8Rng,
    ) -> Option<&'a Endpoint> {
        let (local, remote) = split_by_zone(endpoints, context);
        if self.leaves_zone(&local, &remote, context, rng) {
            return least_occupied(&sample_endpoints(&remote, rng), self.other_zones, context, now);
        }
        let chosen = least_occupied(&sample_endpoints(&local, rng), self.own_zone, context, now)?;
        let local_penalty_milli = penalty_milli(chosen, context, now);
        if local_penalty_milli == 0 {
            return Some(chosen);
        }
        let other = least_occupied(&sample_endpoints(&remote, rng), self.other_zones, context, now);
        other
            .filter(|other| local_penalty_milli > remote_penalty_milli(other, context, now))
            .or(Some(chosen))
    }

    /// Returns the one of a few random endpoints at which a call is expected to finish first.
    pub fn choose_by_finish<'a>(
        &self,
        endpoints: &[&'a Endpoint],
        attributes: CallAttributes,
        context: &RoutingContext,
        now: MonoTime,
        rng: &mut ChaCha8Rng,
    ) -> Option<&'a Endpoint> {
        let (local, remote) = split_by_zone(endpoints, context);
        let group = |endpoints, mean: MeanOccupancy, is_local| {
            let mean_milli = mean.milli(now).unwrap_or_default();
            Group { endpoints, mean_milli, is_local }
        };
        let own = group(&local, self.own_zone, true);
        let others = group(&remote, self.other_zones, false);
        if self.leaves_zone(&local, &remote, context, rng) {
            return expected_finish::choose(&[others], attributes, context, now, rng);
        }
        let chosen = expected_finish::choose(&[own], attributes, context, now, rng)?;
        if penalty_milli(chosen, context, now) == 0 {
            return Some(chosen);
        }
        expected_finish::choose(&[own, others], attributes, context, now, rng)
    }

    /// Returns `true` if the next call goes to another zone.
    fn leaves_zone(
        &self,
        local: &[&Endpoint],
        remote: &[&Endpoint],
        context: &RoutingContext,
        rng: &mut ChaCha8Rng,
    ) -> bool {
        let spill_ratio =
            if context.disabled.contains(Mechanism::SpillOver) { 0.0 } else { self.spill_ratio };
        local.is_empty() || (!remote.is_empty() && rng.random_bool(spill_ratio))
    }
}

/// Returns the endpoints of the own zone and those of others.
fn split_by_zone<'a>(
    endpoints: &[&'a Endpoint],
    context: &RoutingContext,
) -> (Vec<&'a Endpoint>, Vec<&'a Endpoint>) {
    endpoints.iter().partition(|endpoint| context.distance(&endpoint.member) == 0)
}

/// Returns the endpoint with the lowest occupancy plus penalty.
fn least_occupied<'a>(
    endpoints: &[&'a Endpoint],
    mean: MeanOccupancy,
    context: &RoutingContext,
    now: MonoTime,
) -> Option<&'a Endpoint> {
    let assumed_milli = (mean.milli(now).unwrap_or_default() * UNREPORTED_OCCUPANCY_RATIO) as u32;
    endpoints.iter().copied().min_by_key(|endpoint| {
        let occupancy_milli = if context.disabled.contains(Mechanism::OccupancyReports) {
            endpoint.in_flight_occupancy_milli()
        } else {
            endpoint.occupancy_milli(assumed_milli, now)
        };
        occupancy_milli + penalty_milli(endpoint, context, now)
    })
}

/// Returns the penalty for warm-up and errors, in thousandths of occupancy.
pub fn penalty_milli(endpoint: &Endpoint, context: &RoutingContext, now: MonoTime) -> u32 {
    let is_warming_up =
        endpoint.is_warming_up(now) && !context.disabled.contains(Mechanism::WarmUp);
    let warm_up_milli = if is_warming_up { WARM_UP_PENALTY_MILLI } else { 0 };
    let counts_errors = !context.disabled.contains(Mechanism::FaultCost);
    let error_ratio = if counts_errors { endpoint.error_ratio(now) } else { 0.0 };
    warm_up_milli + (error_ratio * ERROR_PENALTY_MILLI) as u32
}

/// Returns the penalty of an endpoint of another zone.
fn remote_penalty_milli(endpoint: &Endpoint, context: &RoutingContext, now: MonoTime) -> u32 {
    penalty_milli(endpoint, context, now) + REMOTE_ZONE_PENALTY_MILLI as u32
}

/// Returns up to [`COMPARED_ENDPOINTS`] random endpoints, in random order.
fn sample_endpoints<'a>(endpoints: &[&'a Endpoint], rng: &mut ChaCha8Rng) -> Vec<&'a Endpoint> {
    if endpoints.len() <= 1 {
        return endpoints.to_vec();
    }
    let count = endpoints.len().min(COMPARED_ENDPOINTS);
    sample(rng, endpoints.len(), count).into_iter().map(|index| endpoints[index]).collect()
}
