//! Several engines joined by a loop that delivers their datagrams in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::{Policy, Sheet};
use cuminarch_engine::{
    Action, AllotmentNotice, Arrival, Engine, EngineSettings, Event, Refusal, RefusalReason,
    RemoteRefusal,
};
use cuminarch_protocol::{
    AllotmentDatagram, Member, MemberState, Receipt, RoutedCall, SendKind, UpstreamRecord,
    UpstreamState,
};
use cuminarch_types::{AttemptId, Attempts, CallId, Incarnation, MonoTime, RequestId, Revision};

pub const ZONES: [&str; 3] = ["zrh-a", "zrh-b", "gva-a"];

/// What the endpoint does with an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Serving {
    /// Runs and answers it.
    Run,
    /// Refuses it without running it.
    Refuse,
    /// Runs it, but the answer is lost.
    RunAndLose,
    /// Runs it and does not answer.
    Hold,
}

/// A final answer of a node.
#[derive(Clone, Debug)]
pub struct Refused {
    pub reason: RefusalReason,
    pub retry_after: Option<Duration>,
    pub detail: String,
}

/// Nodes whose callers and upstreams are the test.
pub struct Mesh {
    pub engines: Vec<Engine>,
    pub now: MonoTime,
    pub serving: Serving,
    /// Sent with each answer.
    pub receipt: Receipt,
    /// Times at which requests ran.
    pub runs: Vec<MonoTime>,
    /// Calls that ran at least once.
    pub ran: BTreeSet<(usize, CallId)>,
    pub refused: BTreeMap<(usize, CallId), Refused>,
    /// Nodes that neither send nor receive datagrams.
    pub cut: BTreeSet<usize>,
    pub datagrams: usize,
    pub notices: Vec<(usize, AllotmentNotice)>,
    in_transit: Vec<(MonoTime, usize, usize, AllotmentDatagram)>,
    next_request: u128,
}

impl Mesh {
    const STEP: Duration = Duration::from_millis(1);
    const DELAY: Duration = Duration::from_millis(1);

    /// Creates a node in each zone for each of `per_zone`, which know each other.
    pub fn new(per_zone: usize, rate: f64, burst: u32) -> Self {
        let names: Vec<(String, &str)> = ZONES
            .iter()
            .flat_map(|zone| (0..per_zone).map(move |node| (format!("{zone}-{node}"), *zone)))
            .collect();
        let members = names.iter().enumerate();
        let members: Vec<Member> =
            members.map(|(index, (name, zone))| member(index, name, zone)).collect();
        let engines = names.iter().map(|(name, zone)| engine(name, zone)).collect();
        let mut mesh = Self {
            engines,
            now: MonoTime::from_millis(1),
            serving: Serving::Run,
            receipt: Receipt::default(),
            runs: Vec::new(),
            ran: BTreeSet::new(),
            refused: BTreeMap::new(),
            cut: BTreeSet::new(),
            datagrams: 0,
            notices: Vec::new(),
            in_transit: Vec::new(),
            next_request: 1,
        };
        for index in 0..mesh.engines.len() {
            for member in &members {
                mesh.handle(index, Event::Member(Box::new(member.clone())));
            }
        }
        mesh.set_limit(1, rate, burst);
        mesh
    }

    /// Puts a configuration into force on all nodes.
    pub fn set_limit(&mut self, revision: u64, rate: f64, burst: u32) {
        let account = format!(
            "accounts:\n  - name: quilts\n    keys: [0123456789abcdef0123456789abcdef]\n    \
             rate_per_s: {rate}\n    burst_requests: {burst}\n"
        );
        self.apply(revision, &account);
    }

    /// Puts a configuration without accounts into force on all nodes.
    pub fn remove_accounts(&mut self, revision: u64) {
        self.apply(revision, "");
    }

    fn apply(&mut self, revision: u64, accounts: &str) {
        let sheet = Sheet::parse(&format!("{SHEET}{accounts}")).unwrap();
        let policy = Policy::from_sheet(Revision::new(revision), &sheet).unwrap();
        let policy = Arc::new(policy);
        for index in 0..self.engines.len() {
            self.engines[index].set_policy(Arc::clone(&policy));
            self.handle(index, Event::Tick);
        }
    }

    /// Makes a request of the account at a node.
    pub fn call(&mut self, node: usize) -> CallId {
        self.call_within(node, Duration::from_secs(2))
    }

    /// Makes a request with a time limit.
    pub fn call_within(&mut self, node: usize, limit: Duration) -> CallId {
        let routed = RoutedCall {
            route: "lookup".parse().unwrap(),
            caller_service: "auftrag".parse().unwrap(),
            caller_zone: "zrh-a".parse().unwrap(),
            is_nested: false,
            objective_ms: 500,
            send: SendKind::First,
        };
        let root = RequestId::new(self.next_request);
        self.next_request += 1;
        let arrival = Arrival::outbound("auftrag".parse().unwrap(), root, "GET", "/lookup/1")
            .with_routed(Some(routed))
            .with_remaining(Some(limit))
            .with_account(Some("quilts".parse().unwrap()));
        let call = self.engines[node].next_call();
        self.handle(node, Event::arrive(call, arrival));
        call
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        self.run_with(time, |_| {});
    }

    /// Lets time pass and calls `each_step` every millisecond.
    pub fn run_with(&mut self, time: Duration, mut each_step: impl FnMut(&mut Self)) {
        let until = self.now.after(time);
        while self.now < until {
            self.now = self.now.after(Self::STEP);
            let now = self.now;
            let (due, later) =
                std::mem::take(&mut self.in_transit).into_iter().partition(|sent| sent.0 <= now);
            self.in_transit = later;
            for (_, from, to, datagram) in due {
                if !self.cut.contains(&from) && !self.cut.contains(&to) {
                    self.handle(to, Event::Allotment(address(from), Box::new(datagram)));
                }
            }
            for node in 0..self.engines.len() {
                if self.engines[node].next_wake().is_some_and(|wake| wake <= now) {
                    self.handle(node, Event::Tick);
                }
            }
            each_step(self);
        }
    }

    /// Passes an event to a node and executes what it asks for.
    pub fn handle(&mut self, node: usize, event: Event) {
        for action in self.engines[node].handle(event, self.now) {
            match action {
                Action::Forward { call, attempt, forward } => {
                    self.serve(node, (call, attempt), forward.share);
                }
                Action::Refuse { call, refusal, .. } => {
                    let refused = Refused {
                        reason: refusal.reason,
                        retry_after: refusal.retry_after,
                        detail: refusal.detail.to_string(),
                    };
                    self.refused.insert((node, call), refused);
                }
                Action::SendAllotment { to, datagram } => {
                    self.datagrams += 1;
                    let to = usize::from(to.port()) - usize::from(FIRST_PORT);
                    self.in_transit.push((self.now.after(Self::DELAY), node, to, *datagram));
                }
                Action::Report(notice) => self.notices.push((node, notice)),
                _ => {}
            }
        }
    }

    fn serve(&mut self, node: usize, (call, attempt): (CallId, AttemptId), unspent: Attempts) {
        if self.serving != Serving::Refuse {
            self.runs.push(self.now);
            self.ran.insert((node, call));
        }
        match self.serving {
            Serving::Run => self.answer(node, call, attempt),
            Serving::Hold => {}
            Serving::RunAndLose => {
                let refusal = Refusal::unknown(RefusalReason::UpstreamFailed);
                self.refuse(node, (call, attempt), refusal, unspent);
            }
            Serving::Refuse => {
                let refusal = Refusal::not_run(RefusalReason::Overloaded);
                self.refuse(node, (call, attempt), refusal, unspent);
            }
        }
    }

    fn refuse(
        &mut self,
        node: usize,
        (call, attempt): (CallId, AttemptId),
        refusal: Refusal,
        unspent: Attempts,
    ) {
        let receipt = Receipt { unspent, ..Receipt::default() };
        let reached_upstream = refusal.reason == RefusalReason::UpstreamFailed;
        let refused = RemoteRefusal { refusal, reached_upstream, receipt, member: None };
        self.handle(node, Event::RemoteRefused(call, attempt, Box::new(refused)));
    }

    fn answer(&mut self, node: usize, call: CallId, attempt: AttemptId) {
        self.handle(node, Event::RemoteHead { call, attempt, is_failure: false });
        let receipt = Some(self.receipt.clone());
        self.handle(node, Event::RemoteEnd { call, attempt, receipt });
    }

    /// Returns the first window in which more requests ran than the allotment lets start, with the
    /// number of them.
    pub fn overrun(&self, rate: f64, burst: u32) -> Option<(Duration, usize)> {
        for (first, start) in self.runs.iter().enumerate() {
            for (last, end) in self.runs.iter().enumerate().skip(first) {
                let window = end.since(*start);
                let bound = window.as_secs_f64().mul_add(rate, f64::from(burst));
                if (last - first + 1) as f64 > bound + 1e-6 {
                    return Some((window, last - first + 1));
                }
            }
        }
        None
    }

    /// Returns the number of requests that got this final answer.
    pub fn refusals(&self, reason: RefusalReason) -> usize {
        self.refused.values().filter(|refused| refused.reason == reason).count()
    }

    /// Returns the tokens that nodes gave back.
    pub fn given_back(&self) -> u64 {
        let summaries =
            self.engines.iter().map(|engine| engine.summary(self.now).allotments.total());
        summaries.map(|total| total.given_back).sum()
    }
}

const FIRST_PORT: u16 = 9_000;

const SHEET: &str = "classes:
  - name: lookup
    grant_attempts: 16
    deadline_ms: 2000
    retry_percent: 50
    protected: true
rules:
  - class: lookup
    methods: [GET]
    path: /**
    idempotent: true
default_class: lookup
";

pub fn address(node: usize) -> std::net::SocketAddr {
    let port = FIRST_PORT + u16::try_from(node).unwrap();
    std::net::SocketAddr::from(([127, 0, 0, 1], port))
}

fn engine(name: &str, zone: &str) -> Engine {
    let settings = EngineSettings::new(
        name.parse().unwrap(),
        "auftrag".parse().unwrap(),
        zone.parse().unwrap(),
        "ch-central".parse().unwrap(),
    )
    .with_zones(ZONES.iter().map(|zone| zone.parse().unwrap()).collect());
    Engine::new(settings, Arc::new(Policy::safe_default()))
}

/// Returns what the node announces.
pub fn member(node: usize, name: &str, zone: &str) -> Member {
    let upstream =
        UpstreamRecord { slots: 64, state: UpstreamState::Ready, ..UpstreamRecord::absent() };
    Member {
        endpoint: name.parse().unwrap(),
        service: "auftrag".parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: "ch-central".parse().unwrap(),
        incarnation: Incarnation::new(1),
        statement: 0,
        data_address: "127.0.0.1:1".parse().unwrap(),
        control_address: address(node),
        state: MemberState::Active,
        upstream: Some(upstream),
    }
}
