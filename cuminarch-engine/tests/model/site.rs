use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::{Policy, Sheet};
use cuminarch_engine::{Arrival, Engine, EngineSettings, Event, Refusal};
use cuminarch_once::KeyTableSettings;
use cuminarch_protocol::{Member, MemberState, Receipt};
use cuminarch_types::{
    AttemptId, CallId, EndpointId, Incarnation, MonoTime, Revision, ServiceName,
};

use super::Scenario;

const SMALL_TABLE: KeyTableSettings = KeyTableSettings {
    key_ttl: Duration::from_secs(3),
    max_keys: 3,
    max_answer_bytes: 0,
    first_serial: 1,
};

/// A process of a node: its site and its incarnation there.
pub type Process = (usize, u64);

/// Receiver of the answer to a call.
#[derive(Clone, Copy, Debug)]
pub enum Origin {
    Client { request: usize },
    Upstream { work: usize, child: usize, retries: u32 },
    Link(usize),
}

#[derive(Clone, Copy, Debug)]
pub struct Tag {
    pub tracked: usize,
    pub origin: Origin,
    pub final_answers: u32,
    pub is_cancelled: bool,
}

/// One host: a node and the upstream beside it.
pub struct Site {
    pub service: usize,
    pub engine: Engine,
    pub incarnation: u64,
    pub started_at: MonoTime,
    pub paused_until: MonoTime,
    pub tags: BTreeMap<CallId, Tag>,
    pub next_tick: Option<MonoTime>,
}

/// One attempt between two nodes.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    pub from: Process,
    pub call: CallId,
    pub attempt: AttemptId,
    pub to: Process,
    pub to_call: Option<CallId>,
    pub tracked: usize,
    pub is_cut: bool,
    pub has_head: bool,
}

/// A request that an upstream runs.
#[derive(Clone, Debug)]
pub struct Work {
    pub process: Process,
    pub call: CallId,
    pub tracked: usize,
    pub open_children: usize,
    pub keep_answer: bool,
    pub is_stopped: bool,
}

/// A scheduled step of the simulation.
#[derive(Debug)]
pub enum Step {
    Send { request: usize, send: u32 },
    Engine(Process, Event),
    Arrive(Process, Box<Arrival>, Tag),
    LinkArrive(usize, Box<Arrival>),
    LinkLost(usize),
    LinkAbort(usize),
    LinkHead(usize),
    LinkEnd(usize, Option<Receipt>),
    LinkRefused(usize, Box<Refusal>, Receipt),
    Children(usize),
    Finish(usize),
    GiveUp(Process, CallId, Tag),
    Tick(Process),
    Incident(usize),
}

pub fn service(index: usize) -> ServiceName {
    ServiceName::new(format!("service-{index}")).unwrap()
}

pub fn endpoint(site: usize) -> EndpointId {
    EndpointId::new(format!("endpoint-{site}")).unwrap()
}

/// Returns the zone of a site; the two endpoints of a service are in different zones.
pub fn zone(site: usize) -> usize {
    site % 2
}

pub fn member(site: usize, incarnation: u64, state: MemberState) -> Member {
    Member {
        endpoint: endpoint(site),
        service: service(site / 2),
        zone: format!("zone-{}", zone(site)).parse().unwrap(),
        region: "region".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        statement: 0,
        data_address: format!("127.0.0.1:{}", 10_000 + site).parse().unwrap(),
        control_address: "127.0.0.1:1".parse().unwrap(),
        state,
        upstream: None,
    }
}

fn policy(scenario: &Scenario) -> Arc<Policy> {
    let text = format!(
        "classes:
  - name: work
    grant_attempts: {0}
    deadline_ms: 4000
    retry_percent: 100
  - name: once
    grant_attempts: {0}
    deadline_ms: 4000
    retry_percent: 50
    protected: true
rules:
  - class: once
    methods: [POST]
    path: /once
    idempotent: false
default_class: work
",
        scenario.grant
    );
    let sheet = Sheet::parse(&text).unwrap();
    Arc::new(Policy::from_sheet(Revision::new(1), &sheet).unwrap())
}

impl Site {
    pub fn new(site: usize, incarnation: u64, scenario: &Scenario, now: MonoTime) -> Self {
        let own = member(site, incarnation, MemberState::Active);
        let settings = EngineSettings::new(own.endpoint, own.service, own.zone, own.region)
            .with_incarnation(own.incarnation)
            .with_seed(scenario.seed ^ (site as u64) << 8 ^ incarnation);
        let settings =
            if scenario.small_tables { settings.with_keys(SMALL_TABLE) } else { settings };
        let mut engine = Engine::new(settings, policy(scenario));
        for other in 0..scenario.endpoints() {
            let other = Box::new(member(other, 1, MemberState::Active));
            engine.handle(Event::Member(other), MonoTime::ZERO);
        }
        Self {
            service: site / 2,
            engine,
            incarnation,
            started_at: now,
            paused_until: now,
            tags: BTreeMap::new(),
            next_tick: None,
        }
    }

    /// Returns the time on the clock of the process.
    pub fn clock(&self, now: MonoTime) -> MonoTime {
        MonoTime::ZERO.after(now.since(self.started_at))
    }
}
