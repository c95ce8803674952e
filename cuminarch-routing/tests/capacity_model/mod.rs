//! A service in virtual time, whose endpoints differ in speed and slow down before they are full.
//!
//! Entry nodes choose among the endpoints with routers of their own; the node of each endpoint
//! admits with slots. The oracle knows the speed, knee and running requests of every endpoint.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use cuminarch_admission::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, QueueEvent, SlotAdmission,
};
use cuminarch_protocol::CapacityReport;
use cuminarch_routing::{CallAttributes, CallResult, Router};
use cuminarch_types::{
    CallId, CapacityMode, ConcurrencyLimit, DisabledMechanisms, EndpointId, Mechanism, MonoTime,
    Rank, RouteName, ServiceName,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::support::ready_member;

pub const SLOTS: u32 = 60;
/// Mean run time at speed 1.
const RUN_TIME_S: f64 = 0.05;
const OBJECTIVE: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_millis(1_600);
const MAX_ATTEMPTS: usize = 3;
/// Time of a message between two nodes.
const HOP: Duration = Duration::from_micros(500);

/// How endpoints are chosen and limited.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Strategy {
    /// At random with fixed equal weights.
    FixedWeights,
    /// By stated slots and occupancy.
    Stated,
    /// By learned limits and expected finish.
    Learned,
    /// By true speeds, knees and running requests.
    Oracle,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct ModelEndpoint {
    /// Speed by time in seconds.
    pub speed: Vec<(f64, f64)>,
    /// Concurrency above which runs take `slowdown` times as long.
    pub knee: u32,
    pub slowdown: f64,
    /// Fraction of the calls that fail at once.
    pub failing_fraction: f64,
}

impl ModelEndpoint {
    pub fn new(speed: f64) -> Self {
        Self { speed: vec![(0.0, speed)], knee: SLOTS, slowdown: 1.0, failing_fraction: 0.0 }
    }

    pub fn speed_at(&self, at_s: f64) -> f64 {
        let started = self.speed.iter().rev().find(|(from_s, _)| *from_s <= at_s);
        started.map_or(1.0, |(_, speed)| *speed)
    }

    /// Returns the concurrency that gains most throughput.
    pub fn best_limit(&self) -> u32 {
        let at_all_slots = f64::from(SLOTS) / self.slowdown;
        if self.knee < SLOTS && f64::from(self.knee) > at_all_slots { self.knee } else { SLOTS }
    }

    /// Returns the requests per second that it can complete.
    pub fn room_per_s(&self, at_s: f64) -> f64 {
        let limit = self.best_limit();
        let slowdown = if limit > self.knee { self.slowdown } else { 1.0 };
        f64::from(limit) * self.speed_at(at_s) / RUN_TIME_S / slowdown
    }
}

/// A load on a service.
#[derive(Clone, Debug)]
pub struct Load {
    pub endpoints: Vec<ModelEndpoint>,
    pub entry_nodes: usize,
    pub offered_per_s: f64,
    pub duration_s: f64,
    /// Requests that arrive earlier are not counted.
    pub counted_from_s: f64,
    pub seed: u64,
}

/// What callers get, and samples of the state every 100 ms.
#[derive(Debug, Default)]
pub struct Outcome {
    pub offered: u32,
    pub in_objective: u32,
    pub latencies_ms: Vec<f64>,
    /// Calls that each endpoint got, by 100 ms.
    pub calls: Vec<Vec<u32>>,
    /// Learned limit of each endpoint, by 100 ms.
    pub limits: Vec<Vec<u32>>,
}

impl Outcome {
    pub fn goodput(&self) -> f64 {
        f64::from(self.in_objective) / f64::from(self.offered)
    }

    /// Returns the latency that 99 of 100 answers keep.
    pub fn p99_ms(&self) -> f64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() * 99 / 100]
    }

    /// Returns the share of the calls that one endpoint got in this time.
    pub fn share(&self, endpoint: usize, from_s: f64, to_s: f64) -> f64 {
        let windows = &self.calls[(from_s * 10.0) as usize..(to_s * 10.0) as usize];
        let own: u32 = windows.iter().map(|calls| calls[endpoint]).sum();
        f64::from(own) / f64::from(windows.iter().flatten().sum::<u32>().max(1))
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    Sent { call: u64, endpoint: usize },
    End { call: u64, endpoint: usize, is_failure: bool },
    Reply { call: u64, endpoint: usize, is_refusal: bool, is_failure: bool },
    Poll,
}

#[derive(Clone, Debug, Default)]
struct Call {
    entry: usize,
    arrived_at: MonoTime,
    sent_at: MonoTime,
    tried: Vec<usize>,
    report: Option<(u32, Option<CapacityReport>)>,
}

pub struct Model {
    load: Load,
    strategy: Strategy,
    routers: Vec<Router>,
    admissions: Vec<SlotAdmission>,
    running: Vec<u32>,
    calls: BTreeMap<u64, Call>,
    events: BinaryHeap<Reverse<(MonoTime, u64, Event)>>,
    event_number: u64,
    rng: ChaCha8Rng,
    outcome: Outcome,
    now: MonoTime,
    service: ServiceName,
    route: RouteName,
    ids: Vec<EndpointId>,
}

fn service() -> ServiceName {
    "katalog".parse().unwrap()
}

fn endpoint_id(index: usize) -> EndpointId {
    format!("katalog-{index:03}").parse().unwrap()
}

impl Model {
    pub fn run(load: &Load, strategy: Strategy) -> Outcome {
        let mode = capacity_mode(strategy);
        let count = load.endpoints.len();
        let mut model = Self {
            strategy,
            routers: (0..load.entry_nodes).map(|entry| router(load, mode, entry)).collect(),
            admissions: load.endpoints.iter().map(|truth| admission(truth, strategy)).collect(),
            running: vec![0; count],
            calls: BTreeMap::new(),
            events: BinaryHeap::new(),
            event_number: 0,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            outcome: Outcome::default(),
            now: MonoTime::from_millis(1),
            service: service(),
            route: "browse".parse().unwrap(),
            ids: (0..count).map(endpoint_id).collect(),
            load: load.clone(),
        };
        model.schedule(Duration::ZERO, Event::Arrive);
        model.schedule(Duration::ZERO, Event::Poll);
        while let Some(Reverse((at, _, event))) = model.events.pop() {
            model.now = at;
            model.handle(event);
        }
        model.outcome
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_number += 1;
        self.events.push(Reverse((self.now.after(delay), self.event_number, event)));
    }

    fn now_s(&self) -> f64 {
        self.now.as_micros() as f64 / 1e6
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Sent { call, endpoint } => self.offer(call, endpoint),
            Event::End { call, endpoint, is_failure } => self.end(call, endpoint, is_failure),
            Event::Reply { call, endpoint, is_refusal, is_failure } => {
                self.reply(call, endpoint, is_refusal, is_failure);
            }
            Event::Poll => self.poll(),
        }
    }

    fn arrive(&mut self) {
        if self.now_s() >= self.load.duration_s {
            return;
        }
        let interval_s = -self.rng.random_range(1e-9..1.0_f64).ln() / self.load.offered_per_s;
        self.schedule(Duration::from_secs_f64(interval_s), Event::Arrive);
        let number = self.event_number;
        let entry = self.rng.random_range(0..self.load.entry_nodes);
        let call = Call { entry, arrived_at: self.now, ..Call::default() };
        self.outcome.offered += u32::from(self.now_s() >= self.load.counted_from_s);
        self.calls.insert(number, call);
        self.send(number);
    }

    fn send(&mut self, number: u64) {
        let Some(mut call) = self.calls.remove(&number) else { return };
        let Some(endpoint) = self.choose(&call) else { return };
        let window = (self.now_s() * 10.0) as usize;
        let count = self.load.endpoints.len();
        if self.outcome.calls.len() <= window {
            self.outcome.calls.resize(window + 1, vec![0; count]);
        }
        self.outcome.calls[window][endpoint] += 1;
        call.tried.push(endpoint);
        call.sent_at = self.now;
        self.routers[call.entry].record_sent(&self.service, &self.ids[endpoint], self.now);
        self.calls.insert(number, call);
        self.schedule(HOP, Event::Sent { call: number, endpoint });
    }

    fn choose(&mut self, call: &Call) -> Option<usize> {
        match self.strategy {
            Strategy::FixedWeights => Some(self.rng.random_range(0..self.load.endpoints.len())),
            Strategy::Oracle => self.best_finish(&call.tried),
            Strategy::Stated | Strategy::Learned => {
                let tried: Vec<EndpointId> =
                    call.tried.iter().map(|index| self.ids[*index].clone()).collect();
                let router = &mut self.routers[call.entry];
                let target =
                    router.pick(&self.service, CallAttributes::default(), &tried, self.now)?;
                self.ids.binary_search(&target.endpoint).ok()
            }
        }
    }

    /// Returns the endpoint at which a request would finish first, if any finishes in time.
    fn best_finish(&self, tried: &[usize]) -> Option<usize> {
        let at_s = self.now_s();
        let finish_s = |index: &usize| {
            let endpoint = &self.load.endpoints[*index];
            let waiting = self.admissions[*index].waiting() as u32;
            let (limit, calls) = (endpoint.best_limit(), self.running[*index] + waiting);
            let ahead = calls.saturating_sub(limit - 1);
            let run_time_s = RUN_TIME_S / endpoint.speed_at(at_s);
            run_time_s + f64::from(ahead) / endpoint.room_per_s(at_s)
        };
        let candidates = (0..self.load.endpoints.len()).filter(|index| {
            !tried.contains(index) && self.load.endpoints[*index].failing_fraction == 0.0
        });
        candidates.min_by(|left, right| finish_s(left).total_cmp(&finish_s(right)))
    }

    fn offer(&mut self, number: u64, endpoint: usize) {
        let Some(call) = self.calls.get(&number) else { return };
        let request = AdmissionRequest {
            call: CallId::new(number),
            rank: Rank::MIN,
            more_urgent_classes: 0,
            deadline: call.arrived_at.after(DEADLINE),
            route: Some(self.route.clone()),
            is_nested: false,
            objective: OBJECTIVE,
        };
        let reply = self.admissions[endpoint].offer(&request, self.now);
        match reply.decision {
            AdmissionDecision::Run => self.start(number, endpoint),
            AdmissionDecision::Wait => {}
            AdmissionDecision::Refuse { .. } => self.answer(number, endpoint, true, false),
        }
    }

    fn start(&mut self, number: u64, endpoint: usize) {
        self.running[endpoint] += 1;
        let truth = &self.load.endpoints[endpoint];
        let is_failure = self.rng.random_bool(truth.failing_fraction);
        let slowdown = if self.running[endpoint] > truth.knee { truth.slowdown } else { 1.0 };
        let work_s = RUN_TIME_S * work_factor(&mut self.rng);
        let run_time_s =
            if is_failure { 0.001 } else { work_s * slowdown / truth.speed_at(self.now_s()) };
        let end = Event::End { call: number, endpoint, is_failure };
        self.schedule(Duration::from_secs_f64(run_time_s), end);
    }

    fn end(&mut self, number: u64, endpoint: usize, is_failure: bool) {
        self.running[endpoint] -= 1;
        let since = self.calls.get(&number).map_or(self.now, |call| call.sent_at);
        let run_time = self.now.since(since);
        let events =
            self.admissions[endpoint].finish(CallId::new(number), Some(run_time), self.now);
        self.answer(number, endpoint, false, is_failure);
        self.apply(events, endpoint);
    }

    fn apply(&mut self, events: Vec<QueueEvent>, endpoint: usize) {
        for event in events {
            match event {
                QueueEvent::Run(call) => self.start(call.get(), endpoint),
                QueueEvent::Refuse(call) => self.answer(call.get(), endpoint, true, false),
            }
        }
    }

    fn answer(&mut self, call: u64, endpoint: usize, is_refusal: bool, is_failure: bool) {
        let admission = &self.admissions[endpoint];
        let capacity = admission.learned_capacity().map(|learned| CapacityReport {
            limit: learned.limit.get(),
            run_time_us: admission.run_time(&self.route).map(|time| time.as_micros() as u32),
        });
        let report = (admission.occupancy_milli(), capacity);
        if let Some(call) = self.calls.get_mut(&call) {
            call.report = Some(report);
        }
        self.schedule(HOP, Event::Reply { call, endpoint, is_refusal, is_failure });
    }

    fn reply(&mut self, number: u64, endpoint: usize, is_refusal: bool, is_failure: bool) {
        let Some(call) = self.calls.get(&number) else { return };
        let (id, now) = (&self.ids[endpoint], self.now);
        let router = &mut self.routers[call.entry];
        if let Some((occupancy_milli, capacity)) = &call.report {
            router.record_occupancy(&self.service, id, *occupancy_milli, now);
            if let Some(capacity) = capacity {
                router.record_capacity(&self.service, id, &self.route, capacity, now);
            }
        }
        let result = match (is_refusal, is_failure) {
            (true, _) => CallResult::Refused,
            (_, true) => CallResult::UpstreamError,
            _ => CallResult::Answered(now.since(call.sent_at)),
        };
        router.record_result(&self.service, id, result, now);
        if is_refusal && call.tried.len() < MAX_ATTEMPTS {
            return self.send(number);
        }
        let Some(call) = self.calls.remove(&number) else { return };
        let is_counted = call.arrived_at.as_micros() as f64 / 1e6 >= self.load.counted_from_s;
        if is_counted && !is_refusal && !is_failure {
            let latency = now.since(call.arrived_at);
            self.outcome.in_objective += u32::from(latency <= OBJECTIVE);
            self.outcome.latencies_ms.push(latency.as_secs_f64() * 1_000.0);
        }
    }

    fn poll(&mut self) {
        for endpoint in 0..self.admissions.len() {
            let events = self.admissions[endpoint].poll(self.now);
            self.apply(events, endpoint);
        }
        if (self.now.as_micros() / 10_000).is_multiple_of(10) {
            let limits = self.admissions.iter().map(|admission| admission.limit().get());
            let limits = limits.collect();
            self.outcome.limits.push(limits);
        }
        if self.now_s() < self.load.duration_s {
            self.schedule(Duration::from_millis(10), Event::Poll);
        }
    }
}

/// Returns a random amount of work with mean 1, a few of them seven times as long.
fn work_factor(rng: &mut ChaCha8Rng) -> f64 {
    let uniform = |rng: &mut ChaCha8Rng| rng.random_range(1e-12..1.0_f64);
    let normal = (-2.0 * uniform(rng).ln()).sqrt() * (std::f64::consts::TAU * uniform(rng)).cos();
    let spread = 0.5;
    let tail = if rng.random_bool(0.03) { 7.0 } else { 1.0 };
    (spread * normal - spread * spread / 2.0).exp() * tail / 1.18
}

fn router(load: &Load, mode: CapacityMode, entry: usize) -> Router {
    let region = "ch-central".parse().unwrap();
    let seed = load.seed * 1_000 + entry as u64;
    let mut router = Router::new("zone-0".parse().unwrap(), region, seed).with_capacity_mode(mode);
    for index in 0..load.endpoints.len() {
        let id = endpoint_id(index);
        let address = [10, 0, 0, index as u8];
        let member = ready_member(id.as_str(), service().as_str(), "zone-0", SLOTS, address);
        router.update(member, MonoTime::ZERO);
    }
    router
}

fn admission(truth: &ModelEndpoint, strategy: Strategy) -> SlotAdmission {
    let mode = capacity_mode(strategy);
    let (disabled, slots) = match strategy {
        Strategy::Oracle => (Some(Mechanism::SlotReserve), truth.best_limit()),
        _ => (None, SLOTS),
    };
    let disabled = DisabledMechanisms::new(disabled);
    let mut admission = SlotAdmission::new().with_disabled(disabled).with_capacity_mode(mode);
    admission.set_capacity(ConcurrencyLimit::new(slots));
    admission
}

fn capacity_mode(strategy: Strategy) -> CapacityMode {
    match strategy {
        Strategy::Learned => CapacityMode::Learned,
        _ => CapacityMode::Stated,
    }
}
