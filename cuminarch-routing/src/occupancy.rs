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
use crate::service::Place;
use crate::typical_occupancy::TypicalOccupancy;

/// Occupancy of the own zone below which no call leaves it, in thousandths.
const ROOM_MILLI: f64 = 750.0;
/// Occupancy by which the own zone has to exceed the others before calls leave it, in
/// thousandths: a call there costs time and traffic.
const DISTANCE_MILLI: f64 = 100.0;
/// Occupancy that an endpoint which is still slow after its start seems to have on
/// top of its own, in thousandths.
const COLD_MILLI: u32 = 300;
/// The same for one that fails all calls. One that fails half of them counts as full:
/// failing is quick, so that it is never really full and would draw calls by that.
const FAULTY_MILLI: f64 = 2_000.0;

/// Part of the typical occupancy that an endpoint without a report is taken to have:
/// less than those with one, or it would never get the call that brings a report.
const UNKNOWN_PART: f64 = 0.5;
/// Endpoints that are compared, random ones, so that nodes which see the same do not all
/// choose the same (Mitzenmacher, 2001).
const COMPARED: usize = 2;
/// What is known of the occupancy of a service, in the own zone and in others, and
/// which part of the calls leaves the zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceOccupancy {
    near: TypicalOccupancy,
    far: TypicalOccupancy,
    /// Part of the calls that leaves the zone.
    spilled: f64,
}

impl ServiceOccupancy {
    /// Change of the part that leaves the zone, for each second and each thousandth of
    /// occupancy too much.
    const GAIN_PER_S: f64 = 0.003;
    /// Most by which the part changes in a second.
    const FASTEST_PER_S: f64 = 1.0;
    /// Most that leaves the zone, so that its recovery is seen.
    const MOST_SPILLED: f64 = 0.95;

    /// Takes in a report of an endpoint, in thousandths.
    pub fn note(&mut self, is_near: bool, milli: u32, now: MonoTime) {
        let side = if is_near { &mut self.near } else { &mut self.far };
        side.note(milli, now);
    }

    /// Adapts the part that leaves the zone to what was reported.
    pub fn adapt(&mut self, elapsed: Duration, now: MonoTime) {
        let far_milli = self.far.milli(now).unwrap_or_default();
        let bound_milli = ROOM_MILLI.max(far_milli + DISTANCE_MILLI);
        let excess_milli = self.near.milli(now).unwrap_or_default() - bound_milli;
        let speed = excess_milli * Self::GAIN_PER_S;
        let step = speed.clamp(-Self::FASTEST_PER_S, Self::FASTEST_PER_S) * elapsed.as_secs_f64();
        self.spilled = (self.spilled + step).clamp(0.0, Self::MOST_SPILLED);
    }

    /// The least full of a few random endpoints of the own zone, or of others for
    /// calls that spill over.
    pub fn choose<'a>(
        &self,
        endpoints: &[&'a Endpoint],
        place: &Place,
        now: MonoTime,
        rng: &mut ChaCha8Rng,
    ) -> Option<&'a Endpoint> {
        let is_near = |endpoint: &&&Endpoint| place.distance(&endpoint.member) == 0;
        let (near, far): (Vec<&Endpoint>, Vec<&Endpoint>) = endpoints.iter().partition(is_near);
        let spilled = if place.disabled.has(Mechanism::SpillOver) { 0.0 } else { self.spilled };
        if near.is_empty() || (!far.is_empty() && rng.random_bool(spilled)) {
            return least_full(&draw(&far, rng), self.far, place, now);
        }
        let chosen = least_full(&draw(&near, rng), self.near, place, now)?;
        let drawback_milli = drawback_milli(chosen, place, now);
        if drawback_milli == 0 {
            return Some(chosen);
        }
        let other = least_full(&draw(&far, rng), self.far, place, now);
        other
            .filter(|other| drawback_milli > drawback_milli_of_far(other, place, now))
            .or(Some(chosen))
    }
}

/// The least full of some endpoints, drawbacks counted in.
fn least_full<'a>(
    endpoints: &[&'a Endpoint],
    typical: TypicalOccupancy,
    place: &Place,
    now: MonoTime,
) -> Option<&'a Endpoint> {
    let typical_milli = (typical.milli(now).unwrap_or_default() * UNKNOWN_PART) as u32;
    endpoints.iter().copied().min_by_key(|endpoint| {
        let occupancy_milli = if place.disabled.has(Mechanism::OccupancyReports) {
            endpoint.own_occupancy_milli()
        } else {
            endpoint.occupancy_milli(typical_milli, now)
        };
        occupancy_milli + drawback_milli(endpoint, place, now)
    })
}

/// What speaks against an endpoint beside its occupancy, in thousandths.
fn drawback_milli(endpoint: &Endpoint, place: &Place, now: MonoTime) -> u32 {
    let is_cold = endpoint.is_cold(now) && !place.disabled.has(Mechanism::WarmUp);
    let cold_milli = if is_cold { COLD_MILLI } else { 0 };
    let has_cost = !place.disabled.has(Mechanism::FaultCost);
    let fault_part = if has_cost { endpoint.fault_part(now) } else { 0.0 };
    cold_milli + (fault_part * FAULTY_MILLI) as u32
}

/// The same for an endpoint of another zone.
fn drawback_milli_of_far(endpoint: &Endpoint, place: &Place, now: MonoTime) -> u32 {
    drawback_milli(endpoint, place, now) + DISTANCE_MILLI as u32
}

/// A few random ones, in random order.
fn draw<'a>(endpoints: &[&'a Endpoint], rng: &mut ChaCha8Rng) -> Vec<&'a Endpoint> {
    if endpoints.len() <= 1 {
        return endpoints.to_vec();
    }
    let count = endpoints.len().min(COMPARED);
    sample(rng, endpoints.len(), count).into_iter().map(|index| endpoints[index]).collect()
}
