//! Engines of one service and its callers in virtual time, whose upstreams end when they run
//! certain requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::{Policy, Sheet};
use cuminarch_engine::{
    Action, Arrival, Engine, EngineSettings, Event, Forward, LocalEnd, Refusal, RefusalReason,
    RemoteRefusal,
};
use cuminarch_protocol::{
    Member, MemberState, Receipt, RoutedCall, SendKind, UpstreamRecord, UpstreamState,
};
use cuminarch_types::{
    AttemptId, CallId, Incarnation, MonoTime, Outcome, RequestDigest, RequestId, RequestIdentity,
    RequestVariant, Revision,
};

/// Request of a client, with its final answer.
#[derive(Clone, Debug)]
pub struct Asked {
    pub identity: RequestIdentity,
    pub asked_at: MonoTime,
    pub answered_at: Option<MonoTime>,
    /// `None` for an answer of the upstream.
    pub refusal: Option<Refusal>,
}

impl Asked {
    pub fn is_served(&self) -> bool {
        self.answered_at.is_some() && self.refusal.is_none()
    }

    pub fn is_refused(&self) -> bool {
        self.refusal.as_ref().is_some_and(|refusal| refusal.outcome == Outcome::NotRun)
    }
}

#[derive(Debug)]
struct Upstream {
    is_up: bool,
    starts: u64,
    /// Number of the run of each call.
    runs: BTreeMap<CallId, u64>,
}

#[derive(Debug)]
enum Step {
    Event(usize, Event),
    Arrive { door: usize, origin: (usize, CallId, AttemptId), arrival: Box<Arrival> },
    Finish { door: usize, call: CallId, number: u64 },
    Crash { door: usize, number: u64 },
    Kill(usize),
    Restart(usize),
}

/// Nodes of the service `katalog`, each in a zone of its own, whose clients and upstreams are the
/// test.
pub struct Mesh {
    pub engines: Vec<Engine>,
    pub now: MonoTime,
    /// Requests that end each upstream that runs them.
    pub deadly: BTreeSet<RequestDigest>,
    /// Time at which each upstream ended because of a request.
    pub crashes: Vec<(MonoTime, usize)>,
    /// Each run: its time, node and request.
    pub runs: Vec<(MonoTime, usize, RequestIdentity)>,
    pub asked: Vec<Asked>,
    /// Requests whose answers were lost.
    pub lost: Vec<RequestIdentity>,
    pub run_time: Duration,
    /// Nodes that cannot reach the others.
    pub cut: BTreeSet<usize>,
    upstreams: Vec<Upstream>,
    pending: BTreeMap<(MonoTime, u64), Step>,
    by_call: BTreeMap<(usize, CallId), usize>,
    arrivals: BTreeMap<(usize, CallId), RequestIdentity>,
    origins: BTreeMap<(usize, CallId), (usize, CallId, AttemptId)>,
    members: Vec<Member>,
    next_step: u64,
    next_run: u64,
}

impl Mesh {
    pub const DELAY: Duration = Duration::from_millis(1);
    pub const RESTART_TIME: Duration = Duration::from_secs(3);
    /// Time from the start of a run to the end of the upstream.
    pub const TIME_TO_CRASH: Duration = Duration::from_millis(60);
    const TICK: Duration = Duration::from_millis(10);

    pub fn new(nodes: usize) -> Self {
        let mut mesh = Self {
            engines: Vec::new(),
            now: MonoTime::from_millis(1),
            deadly: BTreeSet::new(),
            crashes: Vec::new(),
            runs: Vec::new(),
            asked: Vec::new(),
            lost: Vec::new(),
            run_time: Duration::from_millis(100),
            cut: BTreeSet::new(),
            upstreams: Vec::new(),
            pending: BTreeMap::new(),
            by_call: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            origins: BTreeMap::new(),
            members: (0..nodes).map(|node| member(node, 1)).collect(),
            next_step: 0,
            next_run: 0,
        };
        for node in 0..nodes {
            mesh.upstreams.push(Upstream { is_up: true, starts: 1, runs: BTreeMap::new() });
            mesh.engines.push(engine(node));
            mesh.introduce(node);
        }
        mesh
    }

    /// Replaces the process of a node; its upstream keeps running, without the calls of the node.
    pub fn restart_node(&mut self, node: usize) {
        self.engines[node] = engine(node);
        self.upstreams[node].runs.clear();
        self.introduce(node);
    }

    fn introduce(&mut self, node: usize) {
        self.handle(node, Event::Upstream(Box::new(record(self.upstreams[node].starts))));
        for member in self.members.clone() {
            self.handle(node, Event::Member(Box::new(member)));
        }
    }

    /// Sends a request of a client at a node.
    pub fn ask(&mut self, node: usize, identity: RequestIdentity) -> usize {
        let root = RequestId::new(self.asked.len() as u128 + 1);
        let arrival = Arrival::outbound("katalog".parse().unwrap(), root, "GET", "/")
            .with_routed(Some(routed()))
            .with_remaining(Some(Duration::from_secs(6)))
            .with_identity(Some(identity));
        let (asked_at, answered_at) = (self.now, None);
        self.asked.push(Asked { identity, asked_at, answered_at, refusal: None });
        let call = self.engines[node].next_call();
        self.by_call.insert((node, call), self.asked.len() - 1);
        self.arrivals.insert((node, call), identity);
        self.handle(node, Event::arrive(call, arrival));
        self.asked.len() - 1
    }

    /// Ends the process of an upstream for a reason that has nothing to do with its requests.
    pub fn kill_upstream(&mut self, node: usize) {
        self.at(Duration::ZERO, Step::Kill(node));
    }

    /// Lets an upstream announce that it leaves.
    pub fn drain_upstream(&mut self, node: usize) {
        let record = UpstreamRecord {
            state: UpstreamState::Draining,
            ..record(self.upstreams[node].starts)
        };
        self.handle(node, Event::Upstream(Box::new(record)));
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let until = self.now.after(time);
        while self.now < until {
            let tick_at = self.now.after(Self::TICK);
            while let Some((key, step)) = self.pending.pop_first() {
                if key.0 > tick_at {
                    self.pending.insert(key, step);
                    break;
                }
                self.now = self.now.max(key.0);
                self.perform(step);
            }
            self.now = tick_at;
            for node in 0..self.engines.len() {
                self.handle(node, Event::Tick);
            }
        }
    }

    fn at(&mut self, delay: Duration, step: Step) {
        self.next_step += 1;
        self.pending.insert((self.now.after(delay), self.next_step), step);
    }

    fn perform(&mut self, step: Step) {
        match step {
            Step::Event(node, event) => self.handle(node, event),
            Step::Arrive { door, origin, arrival } => {
                let call = self.engines[door].next_call();
                self.origins.insert((door, call), origin);
                self.arrivals.insert((door, call), arrival.identity.unwrap());
                self.handle(door, Event::Arrive(call, arrival));
            }
            Step::Finish { door, call, number } => {
                if self.upstreams[door].runs.get(&call) == Some(&number) {
                    self.upstreams[door].runs.remove(&call);
                    self.handle(door, Event::LocalHead(call));
                    self.handle(door, Event::LocalEnd(call, LocalEnd::Complete(None)));
                }
            }
            Step::Crash { door, number } => {
                if self.upstreams[door].runs.values().any(|run| *run == number) {
                    self.crashes.push((self.now, door));
                    self.end_upstream(door);
                }
            }
            Step::Kill(door) => self.end_upstream(door),
            Step::Restart(door) => {
                self.upstreams[door].is_up = true;
                self.upstreams[door].starts += 1;
                let record = record(self.upstreams[door].starts);
                self.handle(door, Event::Upstream(Box::new(record)));
            }
        }
    }

    fn end_upstream(&mut self, door: usize) {
        let runs = std::mem::take(&mut self.upstreams[door].runs);
        self.upstreams[door].is_up = false;
        self.at(Self::RESTART_TIME, Step::Restart(door));
        for call in runs.into_keys() {
            self.handle(door, Event::UpstreamEnded);
            self.handle(door, Event::LocalFailed { call, sent: true });
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        for action in self.engines[node].handle(event, self.now) {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: usize, action: Action) {
        match action {
            Action::RunLocal { call, .. } => self.run_local(node, call),
            Action::Forward { call, attempt, forward } => {
                self.forward((node, call, attempt), &forward);
            }
            Action::Refuse { call, refusal, receipt } => self.refused(node, call, refusal, receipt),
            Action::Close { call, receipt } => self.closed(node, call, receipt),
            Action::SendSuspicions { to, datagram } => {
                let door = usize::from(to.port()) - usize::from(FIRST_PORT);
                if !self.is_cut(node, door) {
                    let event = Event::Suspicions(address(node), datagram);
                    self.at(Self::DELAY, Step::Event(door, event));
                }
            }
            Action::CancelLocal { call } => {
                self.upstreams[node].runs.remove(&call);
            }
            _ => {}
        }
    }

    fn run_local(&mut self, door: usize, call: CallId) {
        let identity = self.arrivals[&(door, call)];
        self.next_run += 1;
        let number = self.next_run;
        if !self.upstreams[door].is_up {
            let event = Event::LocalFailed { call, sent: false };
            return self.at(Duration::from_micros(100), Step::Event(door, event));
        }
        self.runs.push((self.now, door, identity));
        self.upstreams[door].runs.insert(call, number);
        if self.deadly.contains(&identity.request) {
            self.at(Self::TIME_TO_CRASH, Step::Crash { door, number });
        } else {
            self.at(self.run_time, Step::Finish { door, call, number });
        }
    }

    fn forward(&mut self, origin: (usize, CallId, AttemptId), forward: &Forward) {
        let (node, call, attempt) = origin;
        let door = self.node_of(&forward.target.endpoint);
        if self.is_cut(node, door) {
            let event = Event::RemoteLost { call, attempt, sent: false };
            return self.at(Duration::from_millis(500), Step::Event(node, event));
        }
        let root = RequestId::new(u128::from(call.get()));
        let arrival = Arrival::inbound(root, "GET", "/")
            .with_share(forward.share, forward.rank)
            .with_remaining(Some(forward.remaining))
            .with_routed(forward.routed.clone())
            .with_identity(Some(self.arrivals[&(node, call)]));
        self.at(Self::DELAY, Step::Arrive { door, origin, arrival: Box::new(arrival) });
    }

    fn refused(&mut self, node: usize, call: CallId, refusal: Refusal, receipt: Receipt) {
        let Some((origin, call, attempt)) = self.origins.remove(&(node, call)) else {
            return self.answered(node, call, Some(refusal));
        };
        let reached_upstream = refusal.reason == RefusalReason::TurnedAway;
        let refused = RemoteRefusal { refusal, reached_upstream, receipt, member: None };
        let event = Event::RemoteRefused(call, attempt, Box::new(refused));
        self.at(Self::DELAY, Step::Event(origin, event));
    }

    fn closed(&mut self, node: usize, call: CallId, receipt: Receipt) {
        let Some((origin, call, attempt)) = self.origins.remove(&(node, call)) else {
            return self.answered(node, call, None);
        };
        let head = Event::RemoteHead { call, attempt, is_failure: false };
        self.at(Self::DELAY, Step::Event(origin, head));
        let end = Event::RemoteEnd { call, attempt, receipt: Some(receipt) };
        self.at(Self::DELAY, Step::Event(origin, end));
    }

    fn answered(&mut self, node: usize, call: CallId, refusal: Option<Refusal>) {
        if let Some(index) = self.by_call.remove(&(node, call)) {
            if refusal.as_ref().is_some_and(|refusal| refusal.outcome == Outcome::Unknown) {
                self.lost.push(self.asked[index].identity);
            }
            self.asked[index].answered_at = Some(self.now);
            self.asked[index].refusal = refusal;
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        one != other && (self.cut.contains(&one) || self.cut.contains(&other))
    }

    fn node_of(&self, endpoint: &cuminarch_types::EndpointId) -> usize {
        self.members.iter().position(|member| member.endpoint == *endpoint).unwrap()
    }

    /// Returns the number of runs of a request later than `grace` after it crashed the third
    /// upstream.
    pub fn runs_after_third_crash(&self, request: RequestDigest, grace: Duration) -> usize {
        let Some((third, _)) = self.crashes.get(2) else { return 0 };
        let from = third.after(grace);
        self.runs.iter().filter(|run| run.0 > from && run.2.request == request).count()
    }
}

/// Returns the identity of a request with this number, with the usual header fields.
pub fn request(number: u128) -> RequestIdentity {
    RequestIdentity { request: RequestDigest::new(number), variant: RequestVariant::new(1) }
}

fn routed() -> RoutedCall {
    RoutedCall {
        route: "browse".parse().unwrap(),
        caller_service: "katalog".parse().unwrap(),
        caller_zone: "zrh-a".parse().unwrap(),
        is_nested: false,
        objective_ms: 1_500,
        send: SendKind::First,
    }
}

const FIRST_PORT: u16 = 9_000;

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + u16::try_from(node).unwrap()))
}

fn record(starts: u64) -> UpstreamRecord {
    UpstreamRecord {
        instance: Some(format!("i-{starts}").parse().unwrap()),
        started_at_ms: starts,
        state: UpstreamState::Ready,
        slots: 100,
        warm_up_ms: 0,
    }
}

fn member(node: usize, starts: u64) -> Member {
    Member {
        endpoint: format!("katalog-{node}").parse().unwrap(),
        service: "katalog".parse().unwrap(),
        zone: "zrh-a".parse().unwrap(),
        region: "ch-central".parse().unwrap(),
        incarnation: Incarnation::new(1),
        statement: 0,
        data_address: address(node),
        control_address: address(node),
        state: MemberState::Active,
        upstream: Some(record(starts)),
    }
}

fn engine(node: usize) -> Engine {
    let settings = EngineSettings::new(
        format!("katalog-{node}").parse().unwrap(),
        "katalog".parse().unwrap(),
        "zrh-a".parse().unwrap(),
        "ch-central".parse().unwrap(),
    )
    .with_seed(node as u64 + 1)
    .with_slot_admission();
    let sheet = Sheet::parse(SHEET).unwrap();
    Engine::new(settings, Arc::new(Policy::from_sheet(Revision::new(1), &sheet).unwrap()))
}

const SHEET: &str = "classes:
  - name: browse
    grant_attempts: 16
    deadline_ms: 6000
    retry_percent: 50
    protected: true
rules:
  - class: browse
    methods: [GET]
    path: /**
    idempotent: true
default_class: browse
";
