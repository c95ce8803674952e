//! The simulation: virtual time, clients, and endpoints as servers with a limited number of slots.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{Cause, Scenario};
use super::system::{CLIENT_DELAY_US, CONNECT_US, SAME_ZONE_DELAY_US};

/// How long a client waits for the answer to one send.
pub const CLIENT_TIMEOUT_US: u64 = 2_000_000;
/// Sends of one request after which its client gives up.
const MAX_CLIENT_SENDS: u32 = 4;
const CLIENT_RETRY_DELAY_US: u64 = 100_000;
const COLD_START_SLOWDOWN: f64 = 5.0;
const WARM_UP_US: f64 = 5e6;
const FALSE_REPORT_SLOWDOWN: f64 = 20.0;
const STALL_SLOWDOWN: f64 = 50.0;

/// A client's request to the fleet, with all calls made on its behalf.
#[derive(Clone, Debug)]
pub struct RootRequest {
    pub kind: usize,
    pub arrived_us: u64,
    pub sends: u32,
    /// The send whose answer the client is waiting for.
    pub awaited_send: Option<u32>,
    pub completed_us: Option<u64>,
    pub attempts: u32,
    /// Work done for the request below the first service.
    pub downstream_work_us: u64,
}

impl RootRequest {
    const fn new(kind: usize, arrived_us: u64) -> Self {
        Self {
            kind,
            arrived_us,
            sends: 0,
            awaited_send: None,
            completed_us: None,
            attempts: 0,
            downstream_work_us: 0,
        }
    }
}

/// One call's work at an endpoint's upstream.
#[derive(Clone, Copy, Debug)]
struct Job {
    root: usize,
    depth: usize,
    started_us: Option<u64>,
    is_done: bool,
}

/// The upstream of an endpoint.
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
    slowdown: f64,
}

/// An event of the simulation.
#[derive(Clone, Debug)]
pub enum ScheduledEvent<E> {
    Arrive,
    Send(usize),
    Timeout { root: usize, send: u32 },
    WorkDone { endpoint: usize, job: u64 },
    CauseBegins,
    CauseReported,
    CauseEnds,
    Mesh(E),
}

/// The layer between clients and upstreams; the benchmark compares its implementations.
pub trait Mesh: Sized {
    type Event;
    /// Sends a client's request to an endpoint of the first service of its chain.
    fn client_send(&mut self, world: &mut World<Self::Event>, root: usize, endpoint: usize);
    /// Cancels a client's last send, whose timeout has expired.
    fn client_cancel(&mut self, world: &mut World<Self::Event>, root: usize);
    /// Continues a job whose own work is done at its upstream.
    fn work_done(&mut self, world: &mut World<Self::Event>, endpoint: usize, job: u64);
    /// Handles an event that the mesh scheduled.
    fn handle_event(&mut self, world: &mut World<Self::Event>, event: Self::Event);
    /// Applies a phase of the cause to the mesh.
    fn handle_cause(&mut self, world: &mut World<Self::Event>, phase: CausePhase);
}

/// A phase of the cause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CausePhase {
    Begins,
    /// Reports about it have reached all nodes.
    Reported,
    Ends,
}

struct QueuedEvent<E> {
    at_us: u64,
    serial: u64,
    due: ScheduledEvent<E>,
}

impl<E> PartialEq for QueuedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.serial == other.serial
    }
}

impl<E> Eq for QueuedEvent<E> {}

impl<E> PartialOrd for QueuedEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for QueuedEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.serial).cmp(&(other.at_us, other.serial))
    }
}

/// The state of the simulation, apart from the mesh.
pub struct World<E> {
    pub scenario: Scenario,
    pub now_us: u64,
    pub rng: ChaCha8Rng,
    pub roots: Vec<RootRequest>,
    pub servers: Vec<Server>,
    event_queue: BinaryHeap<Reverse<QueuedEvent<E>>>,
    serial: u64,
    arrival_rng: ChaCha8Rng,
}

impl<E> World<E> {
    /// Creates a simulation at time zero.
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
            arrival_rng: ChaCha8Rng::seed_from_u64(seed + 1),
            roots: Vec::new(),
            servers,
            event_queue: BinaryHeap::new(),
            serial: 0,
            scenario,
        }
    }

    /// Runs the scenario to its end.
    pub fn run<M: Mesh<Event = E>>(&mut self, mesh: &mut M) {
        let (begin_us, end_us) = self.scenario.cause_span_us;
        self.schedule_at(0, ScheduledEvent::Arrive);
        self.schedule_at(begin_us, ScheduledEvent::CauseBegins);
        self.schedule_at(begin_us + 2_000_000, ScheduledEvent::CauseReported);
        self.schedule_at(end_us, ScheduledEvent::CauseEnds);
        while let Some(Reverse(entry)) = self.event_queue.pop() {
            if entry.at_us > self.scenario.end_us {
                break;
            }
            self.now_us = entry.at_us;
            self.step(entry.due, mesh);
        }
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, delay_us: u64, due: ScheduledEvent<E>) {
        self.schedule_at(self.now_us + delay_us, due);
    }

    fn schedule_at(&mut self, at_us: u64, due: ScheduledEvent<E>) {
        self.serial += 1;
        self.event_queue.push(Reverse(QueuedEvent { at_us, serial: self.serial, due }));
    }

    fn step<M: Mesh<Event = E>>(&mut self, due: ScheduledEvent<E>, mesh: &mut M) {
        match due {
            ScheduledEvent::Arrive => self.arrive(),
            ScheduledEvent::Send(root) => self.client_send(root, mesh),
            ScheduledEvent::Timeout { root, send } => self.client_timeout(root, send, mesh),
            ScheduledEvent::WorkDone { endpoint, job } => {
                let Some(work) = self.servers[endpoint].jobs.get_mut(&job) else { return };
                work.is_done = true;
                let (root, started) = (work.root, work.started_us.unwrap_or(self.now_us));
                if work.depth > 0 {
                    self.roots[root].downstream_work_us += self.now_us - started;
                }
                mesh.work_done(self, endpoint, job);
            }
            ScheduledEvent::CauseBegins => {
                self.apply_cause(true);
                mesh.handle_cause(self, CausePhase::Begins);
            }
            ScheduledEvent::CauseReported => mesh.handle_cause(self, CausePhase::Reported),
            ScheduledEvent::CauseEnds => {
                self.apply_cause(false);
                mesh.handle_cause(self, CausePhase::Ends);
            }
            ScheduledEvent::Mesh(event) => mesh.handle_event(self, event),
        }
    }

    fn arrive(&mut self) {
        let kind = self.sample_kind();
        let root = RootRequest::new(kind, self.now_us);
        self.roots.push(root);
        self.schedule_after(0, ScheduledEvent::Send(self.roots.len() - 1));
        let rate = self.scenario.demand_per_s(self.now_us);
        let uniform: f64 = self.arrival_rng.random();
        let gap_us = -(1.0 - uniform).ln() / rate * 1e6;
        self.schedule_after(gap_us as u64, ScheduledEvent::Arrive);
    }

    fn sample_kind(&mut self) -> usize {
        let mut draw: f64 = self.arrival_rng.random();
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
        if self.roots[root].completed_us.is_some() {
            return;
        }
        self.roots[root].sends += 1;
        let send = self.roots[root].sends;
        self.roots[root].awaited_send = Some(send);
        let first = self.scenario.system.kinds[self.roots[root].kind].chain[0];
        let reachable: Vec<usize> = (0..self.servers.len())
            .filter(|index| self.servers[*index].service == first && !self.servers[*index].is_lost)
            .collect();
        let endpoint = reachable[self.rng.random_range(0..reachable.len())];
        self.schedule_after(CLIENT_TIMEOUT_US, ScheduledEvent::Timeout { root, send });
        mesh.client_send(self, root, endpoint);
    }

    fn client_timeout<M: Mesh<Event = E>>(&mut self, root: usize, send: u32, mesh: &mut M) {
        if self.roots[root].awaited_send == Some(send) {
            self.roots[root].awaited_send = None;
            mesh.client_cancel(self, root);
            self.client_retry(root);
        }
    }

    fn client_retry(&mut self, root: usize) {
        if self.roots[root].sends < MAX_CLIENT_SENDS {
            let is_storm = self.scenario.cause == Cause::RetryStorm;
            let jitter_us =
                if is_storm { 0 } else { self.rng.random_range(0..CLIENT_RETRY_DELAY_US) };
            self.schedule_after(CLIENT_RETRY_DELAY_US / 2 + jitter_us, ScheduledEvent::Send(root));
        }
    }

    /// Returns the one-way delay of a request or an answer between a client and a node.
    pub const fn client_delay_us() -> u64 {
        CLIENT_DELAY_US + CONNECT_US
    }

    /// Applies the final answer to a client's send.
    pub fn client_answer(&mut self, root: usize, send: u32, is_ok: bool) {
        let state = &mut self.roots[root];
        if state.awaited_send != Some(send) {
            return;
        }
        state.awaited_send = None;
        if is_ok {
            state.completed_us = Some(self.now_us);
        } else {
            self.client_retry(root);
        }
    }

    /// Returns the one-way delay between two endpoints.
    pub fn one_way_delay_us(&self, from: usize, to: usize) -> u64 {
        if self.servers[from].zone == self.servers[to].zone {
            SAME_ZONE_DELAY_US
        } else {
            self.scenario.system.cross_zone_delay_us
        }
    }

    /// Adds a job to an upstream, which runs it as soon as a slot is free.
    pub fn enqueue(&mut self, endpoint: usize, job: u64, root: usize, depth: usize) {
        let work = Job { root, depth, started_us: None, is_done: false };
        let server = &mut self.servers[endpoint];
        server.jobs.insert(job, work);
        if server.busy < server.slots {
            self.start_job(endpoint, job);
        } else {
            server.queue.push_back(job);
        }
    }

    /// Frees the slot of a job, or removes the job from the queue.
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
            self.roots[work.root].downstream_work_us += self.now_us - started_us;
        }
        if let Some(next) = next {
            self.start_job(endpoint, next);
        }
    }

    /// Returns the index of a job's request and the job's depth in the chain.
    pub fn job(&self, endpoint: usize, job: u64) -> Option<(usize, usize)> {
        self.servers[endpoint].jobs.get(&job).map(|job| (job.root, job.depth))
    }

    /// Returns the number of queued and running jobs at an upstream, which a true report states.
    pub fn load(&self, endpoint: usize) -> usize {
        self.servers[endpoint].jobs.len()
    }

    fn start_job(&mut self, endpoint: usize, job: u64) {
        let work_us = self.sample_work_us(endpoint);
        let now_us = self.now_us;
        let server = &mut self.servers[endpoint];
        server.busy += 1;
        if let Some(work) = server.jobs.get_mut(&job) {
            work.started_us = Some(now_us);
        }
        self.schedule_after(work_us, ScheduledEvent::WorkDone { endpoint, job });
    }

    /// Draws a service time: a fixed fraction of the mean plus an exponential part.
    fn sample_work_us(&mut self, endpoint: usize) -> u64 {
        const FIXED_FRACTION: f64 = 0.35;
        let uniform: f64 = self.rng.random();
        let spread = FIXED_FRACTION + (1.0 - FIXED_FRACTION) * -(1.0 - uniform).ln();
        let server = &self.servers[endpoint];
        let mean_us = self.scenario.system.services[server.service].work_us as f64;
        (mean_us * spread * server.slowdown_at(self.now_us)).max(1.0) as u64
    }

    fn apply_cause(&mut self, is_beginning: bool) {
        let system = &self.scenario.system;
        let (bottleneck, slowed) = (system.bottleneck, system.slowed_service);
        let first = self.servers.iter().position(|server| server.service == bottleneck);
        let first = first.expect("the bottleneck service has endpoints");
        match self.scenario.cause {
            Cause::Surge(_) => {}
            Cause::SlowService(factor) => {
                self.set_slowdown(slowed, if is_beginning { factor } else { 1.0 });
            }
            Cause::RetryStorm if is_beginning => self.set_slowdown(bottleneck, STALL_SLOWDOWN),
            Cause::RetryStorm => {
                self.set_slowdown(bottleneck, 1.0);
                self.resend_all();
            }
            Cause::LostZone => {
                for endpoint in 0..self.servers.len() {
                    if self.servers[endpoint].zone == 0 {
                        self.reset(endpoint, is_beginning);
                    }
                }
            }
            Cause::ColdEndpoint if is_beginning => {
                self.reset(first, false);
                self.servers[first].cold_since_us = Some(self.now_us);
            }
            Cause::ColdEndpoint => {}
            Cause::FalseReports => {
                self.servers[first].slowdown =
                    if is_beginning { FALSE_REPORT_SLOWDOWN } else { 1.0 };
            }
        }
    }

    fn set_slowdown(&mut self, service: usize, factor: f64) {
        for server in self.servers.iter_mut().filter(|server| server.service == service) {
            server.slowdown = factor;
        }
    }

    /// Drops all jobs of an endpoint and marks it as lost or available.
    fn reset(&mut self, endpoint: usize, is_lost: bool) {
        let server = &mut self.servers[endpoint];
        server.jobs.clear();
        server.queue.clear();
        server.busy = 0;
        server.is_lost = is_lost;
    }

    /// Resends all recent unfinished requests at once, with two seconds' worth of new ones.
    fn resend_all(&mut self) {
        const RECENT_US: u64 = 3_000_000;
        let since_us = self.now_us.saturating_sub(RECENT_US);
        let first = self.roots.partition_point(|root| root.arrived_us < since_us);
        for root in first..self.roots.len() {
            if self.roots[root].completed_us.is_none() {
                self.schedule_after(0, ScheduledEvent::Send(root));
            }
        }
        let copies = self.scenario.demand_per_s(self.now_us) * 2.0;
        for _ in 0..copies as usize {
            let kind = self.sample_kind();
            let root = RootRequest::new(kind, self.now_us);
            self.roots.push(root);
            self.schedule_after(0, ScheduledEvent::Send(self.roots.len() - 1));
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
            slowdown: 1.0,
        }
    }

    fn slowdown_at(&self, now_us: u64) -> f64 {
        let cold = self.cold_since_us.map_or(1.0, |since_us| {
            let warm_fraction = ((now_us - since_us) as f64 / WARM_UP_US).min(1.0);
            COLD_START_SLOWDOWN - (COLD_START_SLOWDOWN - 1.0) * warm_fraction
        });
        cold * self.slowdown
    }
}
