//! Chooses the endpoint at which a request is expected to finish first.
//!
//! Handles endpoints of one service that differ in speed or turn slow. The expected time is the run
//! time at the endpoint, which its node reports, extended by the wait that grows with its
//! occupancy. Because nearly full endpoints cost much more than others, all of them become equally
//! occupied under saturation, and get calls in proportion to what they take.

use cuminarch_types::{Mechanism, MonoTime};
use rand::RngExt;
use rand::seq::index::sample;
use rand_chacha::ChaCha8Rng;

use crate::CallAttributes;
use crate::endpoint::Endpoint;
use crate::occupancy::{UNREPORTED_OCCUPANCY_RATIO, penalty_milli};
use crate::service::RoutingContext;

/// Random endpoints that are compared. More would find the fastest ones more often, but all nodes
/// would choose the same ones between two reports.
const COMPARED_ENDPOINTS: usize = 3;
/// Extension of the run time by the wait at a full endpoint, as a multiple.
const FULL_WAIT_RATIO: f64 = 3.0;
/// Power of the occupancy to which the wait grows.
const WAIT_EXPONENT: i32 = 8;
/// Extension of the time by a penalty for warm-up or errors of as many slots as there are. A failed
/// call is lost or runs again, so it counts also while all endpoints are nearly empty.
const PENALTY_RATIO: f64 = 4.0;
/// Weight of the run time for requests with time to spare, which leave fast endpoints to others.
const PATIENT_SPEED_WEIGHT: f64 = 0.5;
/// Extension of the time by a zone boundary, for its latency and traffic.
const ZONE_COST_RATIO: f64 = 1.25;
/// Part by which the estimates of two nodes differ at random, so that nodes with the same view do
/// not choose alike.
const RANDOM_PART: f64 = 0.1;

/// Endpoints of the own zone or of others.
#[derive(Clone, Copy, Debug)]
pub struct Group<'a, 'b> {
    pub endpoints: &'b [&'a Endpoint],
    /// Their mean occupancy, in thousandths.
    pub mean_milli: f64,
    pub is_local: bool,
}

/// Returns the one of a few random endpoints of each group at which a call is expected to finish
/// first.
pub fn choose<'a>(
    groups: &[Group<'a, '_>],
    attributes: CallAttributes,
    context: &RoutingContext,
    now: MonoTime,
    rng: &mut ChaCha8Rng,
) -> Option<&'a Endpoint> {
    let mut best: Option<(f64, &Endpoint)> = None;
    for group in groups {
        let endpoints = group.endpoints;
        let assumed_milli = (group.mean_milli * UNREPORTED_OCCUPANCY_RATIO) as u32;
        let zone_cost = if group.is_local { 1.0 } else { ZONE_COST_RATIO };
        for index in sample(rng, endpoints.len(), endpoints.len().min(COMPARED_ENDPOINTS)) {
            let endpoint = endpoints[index];
            let cost = cost(endpoint, assumed_milli, attributes, context, now)
                * zone_cost
                * rng.random_range(1.0 - RANDOM_PART..1.0 + RANDOM_PART);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, endpoint));
            }
        }
    }
    best.map(|(_, endpoint)| endpoint)
}

/// Returns the expected time of a request, relative to the mean run time of its service.
fn cost(
    endpoint: &Endpoint,
    assumed_milli: u32,
    attributes: CallAttributes,
    context: &RoutingContext,
    now: MonoTime,
) -> f64 {
    let occupancy_milli = if context.disabled.contains(Mechanism::OccupancyReports) {
        endpoint.in_flight_occupancy_milli()
    } else {
        endpoint.occupancy_milli(assumed_milli, now)
    };
    let penalty = f64::from(penalty_milli(endpoint, context, now)) / 1_000.0;
    let occupancy = f64::from(occupancy_milli) / 1_000.0 + penalty;
    let slowness_ln = endpoint.speed.slowness_ln(now);
    let slowness_ln = if endpoint.is_failing(now) { slowness_ln.max(0.0) } else { slowness_ln };
    let speed_weight = if attributes.has_time_to_spare { PATIENT_SPEED_WEIGHT } else { 1.0 };
    (slowness_ln * speed_weight).exp()
        * (1.0 + FULL_WAIT_RATIO * occupancy.powi(WAIT_EXPONENT))
        * (1.0 + PENALTY_RATIO * penalty)
}
