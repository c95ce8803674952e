//! Choice among endpoints whose nodes report how full they are.
//!
//! Answers the load of uneven zones and of endpoints that differ in speed: a
//! fast endpoint is less full under the same share, and so gets more. Also that of
//! endpoints that fail calls at once behind a good health check.

use cuminarch_types::MonoTime;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::endpoint::Endpoint;
use crate::service::Place;

/// Occupancy that an endpoint of another zone seems to have on top of its own, in
/// thousandths for each step of distance: a call there costs time and traffic.
const DISTANCE_MILLI: u32 = 150;
/// The same for an endpoint that is still slow after its start.
const COLD_MILLI: u32 = 300;
/// The same for one that fails all calls. One that fails half of them counts as full:
/// failing is quick, so that it is never really full and would draw calls by that.
const FAULTY_MILLI: f64 = 2_000.0;

/// Endpoints that are compared. All of a small service are, and a few random ones
/// of a large one (Mitzenmacher, 2001), so that nodes do not all choose the same.
const COMPARED: usize = 4;

/// The least full of a few random endpoints.
pub fn choose_by_occupancy<'a>(
    endpoints: &[&'a Endpoint],
    place: &Place,
    now: MonoTime,
    rng: &mut ChaCha8Rng,
) -> Option<&'a Endpoint> {
    let count = endpoints.len();
    if count == 0 {
        return None;
    }
    let from = rng.random_range(0..count);
    let compared = (from..from + count.min(COMPARED)).map(|index| endpoints[index % count]);
    let cost = |endpoint: &Endpoint| {
        let distance = u32::from(place.distance(&endpoint.member));
        let cold_milli = if endpoint.is_cold(now) { COLD_MILLI } else { 0 };
        let faulty_milli = (endpoint.fault_part(now) * FAULTY_MILLI) as u32;
        endpoint.occupancy_milli(now) + distance * DISTANCE_MILLI + cold_milli + faulty_milli
    };
    compared.min_by_key(|endpoint| cost(endpoint))
}
