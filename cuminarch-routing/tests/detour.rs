//! A chain of two services over four zones, one of which is slow at its end, in virtual
//! time.
//!
//! Each request calls the upper service once, which calls the lower one four times in
//! turn. Nodes report occupancy and bytes behind with their answers, as the engine does.

mod support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use cuminarch_protocol::Member;
use cuminarch_routing::{CallKind, CallSample, Router};
use cuminarch_types::{EndpointId, MonoTime, RouteName, ServiceName};
use rstest::rstest;
use support::ready_member;

const ZONES: usize = 4;
/// Nodes of callers in each zone.
const CALLERS: usize = 3;
/// Calls that the upper service makes in turn.
const CALLS_BEHIND: u32 = 4;
const UPPER_SLOTS: u32 = 200;
const LOWER_SLOTS: u32 = 17;
const PLAYED: Duration = Duration::from_secs(16);
/// Time in which the routers come to know the endpoints; not counted.
const WARM_UP: Duration = Duration::from_secs(8);

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

fn route(name: &str) -> RouteName {
    name.parse().unwrap()
}

fn endpoint(service: &str, zone: usize) -> EndpointId {
    format!("{service}-{zone}").parse().unwrap()
}

fn zone_of(endpoint: &EndpointId) -> usize {
    endpoint.as_str().rsplit('-').next().unwrap().parse().unwrap()
}

fn member(name: &str, zone: usize, slots: u32) -> Member {
    let address = [10, 0, zone as u8, name.len() as u8];
    ready_member(endpoint(name, zone).as_str(), name, &format!("zone-{zone}"), slots, address)
}

fn router(zone: usize, seed: u64) -> Router {
    let name = format!("zone-{zone}").parse().unwrap();
    let mut router = Router::new(name, "ch-central".parse().unwrap(), seed);
    for zone in 0..ZONES {
        router.update(member("upper", zone, UPPER_SLOTS), MonoTime::ZERO);
        router.update(member("lower", zone, LOWER_SLOTS), MonoTime::ZERO);
    }
    router
}

/// What differs between the plays.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Requests a second in each zone.
    requests_per_s: u64,
    /// Bytes of a call of the upper service.
    upper_bytes: u64,
    /// Time that the lower service takes in the first zone.
    slow: Duration,
    /// Whether nodes know the routes of calls, and so of detours.
    has_routes: bool,
}

impl Load {
    const LOWER_BYTES: u64 = 1_100;
    /// Time that the lower service takes in the other zones.
    const FAST: Duration = Duration::from_millis(12);

    const fn new(requests_per_s: u64, upper_bytes: u64) -> Self {
        let slow = Duration::from_millis(25);
        Self { requests_per_s, upper_bytes, slow, has_routes: true }
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Step {
    /// A request arrives at a node of callers.
    Arrive { caller: usize },
    /// A call to the lower service ends.
    Lower { request: usize, zone: usize },
}

#[derive(Debug)]
struct Request {
    caller: usize,
    begun_at: MonoTime,
    upper: usize,
    left: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Bytes that crossed zones.
    crossed_bytes: u64,
    requests: u64,
    /// Sum of the times that requests took.
    taken: Duration,
}

impl Outcome {
    fn bytes_per_request(&self) -> f64 {
        self.crossed_bytes as f64 / self.requests as f64
    }

    fn mean_time(&self) -> Duration {
        self.taken / u32::try_from(self.requests).unwrap()
    }
}

struct World {
    load: Load,
    /// Nodes of callers, then those of the upper service.
    callers: Vec<Router>,
    uppers: Vec<Router>,
    requests: Vec<Request>,
    upper_running: [u32; ZONES],
    lower_running: [u32; ZONES],
    lower_waiting: [VecDeque<usize>; ZONES],
    due: BinaryHeap<Reverse<(MonoTime, Step)>>,
    sent_at: BTreeMap<(usize, u32), MonoTime>,
    outcome: Outcome,
    counted_from: MonoTime,
}

fn play(load: Load) -> Outcome {
    let begun = MonoTime::from_millis(1_000);
    let mut world = World {
        load,
        callers: (0..ZONES * CALLERS).map(|node| router(node % ZONES, node as u64)).collect(),
        uppers: (0..ZONES).map(|zone| router(zone, 100 + zone as u64)).collect(),
        requests: Vec::new(),
        upper_running: [0; ZONES],
        lower_running: [0; ZONES],
        lower_waiting: Default::default(),
        due: BinaryHeap::new(),
        sent_at: BTreeMap::new(),
        outcome: Outcome::default(),
        counted_from: begun.after(WARM_UP),
    };
    let each = Duration::from_secs(1) / u32::try_from(load.requests_per_s).unwrap();
    let arrivals = (PLAYED.as_micros() / each.as_micros()) as u32;
    for number in 0..arrivals {
        for zone in 0..ZONES {
            let caller = zone + ZONES * (number as usize % CALLERS);
            world.due.push(Reverse((begun.after(each * number), Step::Arrive { caller })));
        }
    }
    while let Some(Reverse((now, step))) = world.due.pop() {
        match step {
            Step::Arrive { caller } => world.arrive(caller, now),
            Step::Lower { request, zone } => world.lower_ended(request, zone, now),
        }
    }
    world.outcome
}

impl World {
    fn count(&mut self, is_crossing: bool, bytes: u64, now: MonoTime) {
        if is_crossing && now >= self.counted_from {
            self.outcome.crossed_bytes += bytes;
        }
    }

    fn pick(router: &mut Router, name: &str, has_routes: bool, now: MonoTime) -> usize {
        let (service, route, kind) = (service(name), route(name), CallKind::default());
        let target = if has_routes {
            router.pick_routed(&service, &route, kind, &[], now)
        } else {
            router.pick(&service, kind, &[], now)
        };
        let endpoint = target.unwrap().endpoint;
        router.started(&service, &endpoint, now);
        zone_of(&endpoint)
    }

    fn arrive(&mut self, caller: usize, now: MonoTime) {
        let upper = Self::pick(&mut self.callers[caller], "upper", self.load.has_routes, now);
        self.count(upper != caller % ZONES, self.load.upper_bytes, now);
        self.upper_running[upper] += 1;
        self.requests.push(Request { caller, begun_at: now, upper, left: CALLS_BEHIND });
        self.call_lower(self.requests.len() - 1, now);
    }

    fn call_lower(&mut self, request: usize, now: MonoTime) {
        let Request { upper, left, .. } = self.requests[request];
        let zone = Self::pick(&mut self.uppers[upper], "lower", self.load.has_routes, now);
        self.count(zone != upper, Load::LOWER_BYTES, now);
        self.sent_at.insert((request, left), now);
        if self.lower_running[zone] < LOWER_SLOTS {
            self.start_lower(request, zone, now);
        } else {
            self.lower_waiting[zone].push_back(request);
        }
    }

    fn start_lower(&mut self, request: usize, zone: usize, now: MonoTime) {
        self.lower_running[zone] += 1;
        let taken = if zone == 0 { self.load.slow } else { Load::FAST };
        self.due.push(Reverse((now.after(taken), Step::Lower { request, zone })));
    }

    fn lower_ended(&mut self, request: usize, zone: usize, now: MonoTime) {
        self.lower_running[zone] -= 1;
        if let Some(next) = self.lower_waiting[zone].pop_front() {
            self.start_lower(next, zone, now);
        }
        let Request { upper, left, .. } = self.requests[request];
        let taken = now.since(self.sent_at[&(request, left)]);
        let calls = self.lower_running[zone] + self.lower_waiting[zone].len() as u32;
        let occupancy_milli = calls * 1_000 / LOWER_SLOTS;
        answered(&mut self.uppers[upper], "lower", zone, (occupancy_milli, 0), taken, now);
        self.uppers[upper].note_call_bytes(&service("lower"), &route("lower"), Load::LOWER_BYTES);
        self.requests[request].left -= 1;
        if self.requests[request].left > 0 {
            self.call_lower(request, now);
        } else {
            self.end(request, now);
        }
    }

    fn end(&mut self, request: usize, now: MonoTime) {
        let Request { caller, begun_at, upper, .. } = self.requests[request];
        self.upper_running[upper] -= 1;
        let occupancy_milli = self.upper_running[upper] * 1_000 / UPPER_SLOTS;
        let cost_bytes = self.uppers[upper].cost_bytes(&route("lower"));
        let behind = (cost_bytes * f64::from(CALLS_BEHIND)) as u32;
        let taken = now.since(begun_at);
        let node = &mut self.callers[caller];
        answered(node, "upper", upper, (occupancy_milli, behind), taken, now);
        node.note_call_bytes(&service("upper"), &route("upper"), self.load.upper_bytes);
        if begun_at >= self.counted_from {
            self.outcome.requests += 1;
            self.outcome.taken += taken;
        }
    }
}

/// Takes in an answer, with the occupancy and the bytes behind that it reports.
fn answered(
    router: &mut Router,
    name: &str,
    zone: usize,
    (occupancy_milli, behind): (u32, u32),
    taken: Duration,
    now: MonoTime,
) {
    let (service, endpoint) = (service(name), endpoint(name, zone));
    router.note_occupancy(&service, &endpoint, occupancy_milli, now);
    router.note_bytes_behind(&service, &endpoint, &route(name), behind, now);
    router.finished(&service, &endpoint, CallSample::Answered(taken), now);
}

/// The slow zone lacks a third of what its requests need; instead of four calls each,
/// one crosses.
#[test]
fn a_call_that_makes_several_crosses_in_their_place() {
    let load = Load::new(255, 1_100);
    let with = play(load);
    let without = play(Load { has_routes: false, ..load });
    let (bytes, bytes_without) = (with.bytes_per_request(), without.bytes_per_request());
    println!("{bytes:.0} bytes a request between zones, {bytes_without:.0} without detours");
    assert!(bytes < bytes_without * 0.6, "{bytes} against {bytes_without}");
    let (time, time_without) = (with.mean_time(), without.mean_time());
    assert!(time < time_without.mul_f64(1.1), "{time:?} against {time_without:?}");
}

/// A call that is as large as all that it makes gains nothing by going itself.
#[test]
fn a_large_call_stays_where_it_is() {
    let load = Load::new(255, 5_500);
    let with = play(load);
    let without = play(Load { has_routes: false, ..load });
    let (bytes, bytes_without) = (with.bytes_per_request(), without.bytes_per_request());
    assert!(bytes < bytes_without * 1.1, "{bytes} against {bytes_without}");
}

/// While all zones have room, nothing leaves its own.
#[rstest]
#[case::light(60)]
#[case::medium(100)]
fn calls_stay_while_there_is_room_behind(#[case] requests_per_s: u64) {
    let outcome = play(Load::new(requests_per_s, 1_100));
    let bytes = outcome.bytes_per_request();
    assert!(bytes < 60.0, "{bytes}");
}

#[test]
fn zones_of_equal_speed_make_no_detours() {
    let load = Load { slow: Load::FAST, ..Load::new(255, 1_100) };
    let bytes = play(load).bytes_per_request();
    assert!(bytes < 60.0, "{bytes}");
}

/// A zone without any endpoint of a service: each call to it crosses.
#[test]
fn calls_to_a_service_that_the_zone_lacks_cost_their_bytes() {
    let mut router = Router::new("zone-9".parse().unwrap(), "ch-central".parse().unwrap(), 1);
    router.update(member("lower", 0, LOWER_SLOTS), MonoTime::ZERO);
    let now = MonoTime::from_millis(1_000);
    router.note_call_bytes(&service("lower"), &route("lower"), 1_100);
    router.note_bytes_behind(&service("lower"), &endpoint("lower", 0), &route("lower"), 0, now);
    assert!((router.cost_bytes(&route("lower")) - 1_100.0).abs() < f64::EPSILON);
}
