//! Virtual time, clients, and endpoints as servers with a limited number of slots.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{Cause, Scenario};
use super::system::{CLIENT_US, CONNECT_US, SAME_ZONE_US};

/// Time that a client waits for the answer to one send.
pub const CLIENT_TIMEOUT_US: u64 = 2_000_000;
/// Sends of one request before its client gives up.
const CLIENT_SENDS: u32 = 4;
const CLIENT_RETRY_US: u64 = 100_000;
const COLD_FACTOR: f64 = 5.0;
const COLD_SPAN_US: f64 = 5e6;
const LYING_FACTOR: f64 = 20.0;
const STALL_FACTOR: f64 = 50.0;

/// One member's request.
#[derive(Clone, Debug)]
pub struct Root {
    pub kind: usize,
    pub arrived_us: u64,
    pub sends: u32,
    /// The send whose answer the client waits for.
    pub waiting_for: Option<u32>,
    pub done_us: Option<u64>,
    pub attempts: u32,
    /// Work done for it below the first service.
    pub deep_us: u64,
}

impl Root {
    const fn new(kind: usize, arrived_us: u64) -> Self {
        Self {
            kind,
            arrived_us,
            sends: 0,
            waiting_for: None,
            done_us: None,
            attempts: 0,
            deep_us: 0,
        }
    }
}

/// A piece of work at one endpoint.
#[derive(Clone, Copy, Debug)]
struct Job {
    root: usize,
    depth: usize,
    started_us: Option<u64>,
    is_done: bool,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Server {
    pub service: usize,
    pub zone: usize,
    slots: usize,
    busy: usize,
    queue: VecDeque<u64>,
    jobs: BTreeMap<u64, Job>,
    pub is_lost: bool,
    cold_since_us: Option<u64>,
    slow_factor: f64,
}

/// Something that is due.
#[derive(Clone, Debug)]
pub enum Due<E> {
    Arrive,
    Send(usize),
    Timeout { root: usize, send: u32 },
    WorkDone { endpoint: usize, job: u64 },
    CauseBegins,
    CauseSpreads,
    CauseEnds,
    Mesh(E),
}

/// The way from clients to upstreams: what is compared.
pub trait Mesh: Sized {
    type Event;
    /// A client sends a request to an endpoint of the first service of its chain.
    fn client_send(&mut self, world: &mut World<Self::Event>, root: usize, endpoint: usize);
    /// A client no longer waits for its last send.
    fn client_cancel(&mut self, world: &mut World<Self::Event>, root: usize);
    /// An upstream has done its own work on a job.
    fn work_done(&mut self, world: &mut World<Self::Event>, endpoint: usize, job: u64);
    /// One of its own events is due.
    fn event(&mut self, world: &mut World<Self::Event>, event: Self::Event);
    /// The cause begins, is known everywhere, or ends.
    fn cause(&mut self, world: &mut World<Self::Event>, phase: CausePhase);
}

/// How far the cause has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CausePhase {
    Begins,
    /// Reports about it have reached everyone.
    Reported,
    Ends,
}

struct Entry<E> {
    at_us: u64,
    serial: u64,
    due: Due<E>,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.serial == other.serial
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.serial).cmp(&(other.at_us, other.serial))
    }
}

/// Everything but the mesh.
pub struct World<E> {
    pub scenario: Scenario,
    pub now_us: u64,
    pub rng: ChaCha8Rng,
    pub roots: Vec<Root>,
    pub servers: Vec<Server>,
    heap: BinaryHeap<Reverse<Entry<E>>>,
    serial: u64,
    arrivals: ChaCha8Rng,
}

impl<E> World<E> {
    /// A world at time zero.
    pub fn new(scenario: Scenario) -> Self {
        let mut servers = Vec::new();
        for (index, service) in scenario.system.services.iter().enumerate() {
            for number in 0..service.endpoints {
                servers.push(Server::new(index, number % scenario.system.zones, service.slots));
            }
        }
        let seed = scenario.seed;
        Self {
            now_us: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            arrivals: ChaCha8Rng::seed_from_u64(seed + 1),
            roots: Vec::new(),
            servers,
            heap: BinaryHeap::new(),
            serial: 0,
            scenario,
        }
    }

    /// Runs the scenario to its end.
    pub fn run<M: Mesh<Event = E>>(&mut self, mesh: &mut M) {
        let (begin_us, end_us) = self.scenario.cause_us;
        self.at(0, Due::Arrive);
        self.at(begin_us, Due::CauseBegins);
        self.at(begin_us + 2_000_000, Due::CauseSpreads);
        self.at(end_us, Due::CauseEnds);
        while let Some(Reverse(entry)) = self.heap.pop() {
            if entry.at_us > self.scenario.end_us {
                break;
            }
            self.now_us = entry.at_us;
            self.step(entry.due, mesh);
        }
    }

    /// Schedules something after a delay.
    pub fn after(&mut self, delay_us: u64, due: Due<E>) {
        self.at(self.now_us + delay_us, due);
    }

    fn at(&mut self, at_us: u64, due: Due<E>) {
        self.serial += 1;
        self.heap.push(Reverse(Entry { at_us, serial: self.serial, due }));
    }

    fn step<M: Mesh<Event = E>>(&mut self, due: Due<E>, mesh: &mut M) {
        match due {
            Due::Arrive => self.arrive(),
            Due::Send(root) => self.client_send(root, mesh),
            Due::Timeout { root, send } => self.client_timeout(root, send, mesh),
            Due::WorkDone { endpoint, job } => {
                let Some(found) = self.servers[endpoint].jobs.get_mut(&job) else { return };
                found.is_done = true;
                let (root, started) = (found.root, found.started_us.unwrap_or(self.now_us));
                if found.depth > 0 {
                    self.roots[root].deep_us += self.now_us - started;
                }
                mesh.work_done(self, endpoint, job);
            }
            Due::CauseBegins => {
                self.apply_cause(true);
                mesh.cause(self, CausePhase::Begins);
            }
            Due::CauseSpreads => mesh.cause(self, CausePhase::Reported),
            Due::CauseEnds => {
                self.apply_cause(false);
                mesh.cause(self, CausePhase::Ends);
            }
            Due::Mesh(event) => mesh.event(self, event),
        }
    }

    fn arrive(&mut self) {
        let kind = self.draw_kind();
        let root = Root::new(kind, self.now_us);
        self.roots.push(root);
        self.after(0, Due::Send(self.roots.len() - 1));
        let rate = self.scenario.demand_per_s(self.now_us);
        let uniform: f64 = self.arrivals.random();
        let gap_us = -(1.0 - uniform).ln() / rate * 1e6;
        self.after(gap_us as u64, Due::Arrive);
    }

    fn draw_kind(&mut self) -> usize {
        let mut draw: f64 = self.arrivals.random();
        let kinds = &self.scenario.system.kinds;
        for (index, kind) in kinds.iter().enumerate() {
            draw -= kind.weight;
            if draw < 0.0 {
                return index;
            }
        }
        kinds.len() - 1
    }

    fn client_send<M: Mesh<Event = E>>(&mut self, root: usize, mesh: &mut M) {
        if self.roots[root].done_us.is_some() {
            return;
        }
        self.roots[root].sends += 1;
        let send = self.roots[root].sends;
        self.roots[root].waiting_for = Some(send);
        let first = self.scenario.system.kinds[self.roots[root].kind].chain[0];
        let reachable: Vec<usize> = (0..self.servers.len())
            .filter(|index| self.servers[*index].service == first && !self.servers[*index].is_lost)
            .collect();
        let endpoint = reachable[self.rng.random_range(0..reachable.len())];
        self.after(CLIENT_TIMEOUT_US, Due::Timeout { root, send });
        mesh.client_send(self, root, endpoint);
    }

    fn client_timeout<M: Mesh<Event = E>>(&mut self, root: usize, send: u32, mesh: &mut M) {
        if self.roots[root].waiting_for == Some(send) {
            self.roots[root].waiting_for = None;
            mesh.client_cancel(self, root);
            self.client_retry(root);
        }
    }

    fn client_retry(&mut self, root: usize) {
        if self.roots[root].sends < CLIENT_SENDS {
            let is_storm = self.scenario.cause == Cause::RetryStorm;
            let jitter_us = if is_storm { 0 } else { self.rng.random_range(0..CLIENT_RETRY_US) };
            self.after(CLIENT_RETRY_US / 2 + jitter_us, Due::Send(root));
        }
    }

    /// Time that an answer or a request needs between a client and a node.
    pub const fn client_delay_us() -> u64 {
        CLIENT_US + CONNECT_US
    }

    /// A client gets the final answer to a send.
    pub fn client_answer(&mut self, root: usize, send: u32, is_ok: bool) {
        let state = &mut self.roots[root];
        if state.waiting_for != Some(send) {
            return;
        }
        state.waiting_for = None;
        if is_ok {
            state.done_us = Some(self.now_us);
        } else {
            self.client_retry(root);
        }
    }

    /// Time between two endpoints, one way.
    pub fn between_us(&self, from: usize, to: usize) -> u64 {
        if self.servers[from].zone == self.servers[to].zone {
            SAME_ZONE_US
        } else {
            self.scenario.system.between_zones_us
        }
    }

    /// Hands a job to an upstream, which runs it when it has a slot.
    pub fn enqueue(&mut self, endpoint: usize, job: u64, root: usize, depth: usize) {
        let work = Job { root, depth, started_us: None, is_done: false };
        let server = &mut self.servers[endpoint];
        server.jobs.insert(job, work);
        if server.busy < server.slots {
            self.begin(endpoint, job);
        } else {
            server.queue.push_back(job);
        }
    }

    /// Frees the slot of a job, or takes it out of the queue.
    pub fn release(&mut self, endpoint: usize, job: u64) {
        let server = &mut self.servers[endpoint];
        let Some(work) = server.jobs.remove(&job) else { return };
        let Some(started_us) = work.started_us else {
            server.queue.retain(|queued| *queued != job);
            return;
        };
        server.busy -= 1;
        let next = server.queue.pop_front();
        if work.depth > 0 && !work.is_done {
            self.roots[work.root].deep_us += self.now_us - started_us;
        }
        if let Some(next) = next {
            self.begin(endpoint, next);
        }
    }

    /// The request that a job belongs to, and its depth in the chain.
    pub fn job(&self, endpoint: usize, job: u64) -> Option<(usize, usize)> {
        self.servers[endpoint].jobs.get(&job).map(|job| (job.root, job.depth))
    }

    /// Requests that an upstream holds; what an honest load report says.
    pub fn load(&self, endpoint: usize) -> usize {
        self.servers[endpoint].jobs.len()
    }

    fn begin(&mut self, endpoint: usize, job: u64) {
        let work_us = self.draw_work_us(endpoint);
        let now_us = self.now_us;
        let server = &mut self.servers[endpoint];
        server.busy += 1;
        if let Some(work) = server.jobs.get_mut(&job) {
            work.started_us = Some(now_us);
        }
        self.after(work_us, Due::WorkDone { endpoint, job });
    }

    /// Service time: a third of the mean, and an exponential part.
    fn draw_work_us(&mut self, endpoint: usize) -> u64 {
        const FIXED: f64 = 0.35;
        let uniform: f64 = self.rng.random();
        let spread = FIXED + (1.0 - FIXED) * -(1.0 - uniform).ln();
        let server = &self.servers[endpoint];
        let mean_us = self.scenario.system.services[server.service].work_us as f64;
        (mean_us * spread * server.factor(self.now_us)).max(1.0) as u64
    }

    fn apply_cause(&mut self, begins: bool) {
        let system = &self.scenario.system;
        let (bottleneck, deep) = (system.bottleneck, system.deep);
        let first = self.servers.iter().position(|server| server.service == bottleneck);
        let first = first.expect("a service has endpoints");
        match self.scenario.cause {
            Cause::Surge(_) => {}
            Cause::Slow(factor) => self.set_slow(deep, if begins { factor } else { 1.0 }),
            Cause::RetryStorm if begins => self.set_slow(bottleneck, STALL_FACTOR),
            Cause::RetryStorm => {
                self.set_slow(bottleneck, 1.0);
                self.resend_all();
            }
            Cause::LostZone => {
                for endpoint in 0..self.servers.len() {
                    if self.servers[endpoint].zone == 0 {
                        self.reset(endpoint, begins);
                    }
                }
            }
            Cause::Cold if begins => {
                self.reset(first, false);
                self.servers[first].cold_since_us = Some(self.now_us);
            }
            Cause::Cold => {}
            Cause::LyingReports => {
                self.servers[first].slow_factor = if begins { LYING_FACTOR } else { 1.0 };
            }
        }
    }

    fn set_slow(&mut self, service: usize, factor: f64) {
        for server in self.servers.iter_mut().filter(|server| server.service == service) {
            server.slow_factor = factor;
        }
    }

    /// Replaces an endpoint by an empty one.
    fn reset(&mut self, endpoint: usize, is_lost: bool) {
        let server = &mut self.servers[endpoint];
        server.jobs.clear();
        server.queue.clear();
        server.busy = 0;
        server.is_lost = is_lost;
    }

    /// Every request that came in the last seconds and is not done is sent again at once.
    fn resend_all(&mut self) {
        const RECENT_US: u64 = 3_000_000;
        let since_us = self.now_us.saturating_sub(RECENT_US);
        let first = self.roots.partition_point(|root| root.arrived_us < since_us);
        for root in first..self.roots.len() {
            if self.roots[root].done_us.is_none() {
                self.after(0, Due::Send(root));
            }
        }
        let copies = self.scenario.demand_per_s(self.now_us) * 2.0;
        for _ in 0..copies as usize {
            let kind = self.draw_kind();
            let root = Root::new(kind, self.now_us);
            self.roots.push(root);
            self.after(0, Due::Send(self.roots.len() - 1));
        }
    }
}

impl Server {
    const fn new(service: usize, zone: usize, slots: usize) -> Self {
        Self {
            service,
            zone,
            slots,
            busy: 0,
            queue: VecDeque::new(),
            jobs: BTreeMap::new(),
            is_lost: false,
            cold_since_us: None,
            slow_factor: 1.0,
        }
    }

    fn factor(&self, now_us: u64) -> f64 {
        let cold = self.cold_since_us.map_or(1.0, |since_us| {
            let warmth = ((now_us - since_us) as f64 / COLD_SPAN_US).min(1.0);
            COLD_FACTOR - (COLD_FACTOR - 1.0) * warmth
        });
        cold * self.slow_factor
    }
}
