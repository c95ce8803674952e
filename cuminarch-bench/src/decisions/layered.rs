//! The real engine, one for each endpoint, driven in virtual time.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminarch_config::Policy;
use cuminarch_engine::{
    Action, Arrival, Engine, EngineSettings, Event, Forward, LocalEnd, RefusalReason, RemoteRefusal,
};
use cuminarch_protocol::{Member, MemberState, Receipt};
use cuminarch_types::{AttemptId, CallId, EndpointId, Incarnation, ResendNumber, ServiceName};

use super::scenario::{Cause, Mechanism};
use super::system::System;
use super::view::{endpoint_id, now, path, request_id, told, zone_name};
use super::world::{CausePhase, Due, Mesh, World};

const TICK_US: u64 = 20_000;

/// An attempt as its sender names it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Sent {
    from: usize,
    call: CallId,
    attempt: AttemptId,
}

/// Events between clients and nodes and among nodes.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    ClientRequest { endpoint: usize, root: usize, send: u32 },
    ClientCancel { endpoint: usize, root: usize },
    ClientAnswer { root: usize, send: u32, is_ok: bool },
    Request { to: usize, root: usize, depth: usize, sent: Sent, forward: Box<Forward> },
    Cancel { to: usize, sent: Sent },
    Answer { sent: Sent, is_ok: bool, receipt: Receipt },
    Refused { sent: Sent, refused: Box<RemoteRefusal> },
    Tick { endpoint: usize, at_us: u64 },
}

#[derive(Clone, Copy, Debug)]
enum Origin {
    Client {
        send: u32,
    },
    Peer(Sent),
    /// The own upstream, on behalf of this inbound call.
    Upstream(CallId),
}

#[derive(Clone, Copy, Debug)]
struct CallState {
    root: usize,
    depth: usize,
    origin: Origin,
    is_ok: bool,
}

struct Node {
    engine: Engine,
    calls: BTreeMap<CallId, CallState>,
    peers: BTreeMap<Sent, CallId>,
    clients: BTreeMap<usize, CallId>,
    tick_us: Option<u64>,
    incarnation: u64,
}

/// All nodes.
pub struct Layered {
    nodes: Vec<Node>,
    index: BTreeMap<EndpointId, usize>,
    services: Vec<ServiceName>,
    policy: Arc<Policy>,
    targets: BTreeMap<Sent, usize>,
    last_send: BTreeMap<usize, usize>,
}

type NodeWorld = World<NodeEvent>;

impl Layered {
    /// Nodes that all know each other.
    pub fn new(world: &NodeWorld) -> Self {
        let system = &world.scenario.system;
        let retry_percent =
            if world.scenario.has(Mechanism::Retries) { System::RETRY_PERCENT } else { 0 };
        let policy = Arc::new(system.policy(retry_percent));
        let name = |service: &super::system::Service| ServiceName::new(&service.name);
        let services: Vec<ServiceName> =
            system.services.iter().map(|service| name(service).expect("a valid name")).collect();
        let mut all = Self {
            nodes: Vec::new(),
            index: BTreeMap::new(),
            services,
            policy,
            targets: BTreeMap::new(),
            last_send: BTreeMap::new(),
        };
        for endpoint in 0..world.servers.len() {
            let node = all.node(world, endpoint, 1);
            all.nodes.push(node);
            all.index.insert(endpoint_id(endpoint), endpoint);
        }
        for endpoint in 0..world.servers.len() {
            all.announce(world, endpoint, MemberState::Active);
        }
        all
    }

    fn node(&self, world: &NodeWorld, endpoint: usize, incarnation: u64) -> Node {
        let server = &world.servers[endpoint];
        let settings = EngineSettings::new(
            endpoint_id(endpoint),
            self.services[server.service].clone(),
            zone_name(world, server.zone),
            "region".parse().expect("a valid name"),
        )
        .with_incarnation(Incarnation::new(incarnation))
        .with_seed(world.scenario.seed + endpoint as u64);
        Node {
            engine: Engine::new(settings, Arc::clone(&self.policy)),
            calls: BTreeMap::new(),
            peers: BTreeMap::new(),
            clients: BTreeMap::new(),
            tick_us: None,
            incarnation,
        }
    }

    /// Tells all nodes what is believed about one.
    fn announce(&mut self, world: &NodeWorld, endpoint: usize, state: MemberState) {
        let member = self.member(world, endpoint, state);
        for node in &mut self.nodes {
            let event = Event::Member(Box::new(member.clone()));
            node.engine.handle(event, now(world));
        }
    }

    fn member(&self, world: &NodeWorld, endpoint: usize, state: MemberState) -> Member {
        let server = &world.servers[endpoint];
        let port = 10_000 + endpoint as u16;
        Member {
            endpoint: endpoint_id(endpoint),
            service: self.services[server.service].clone(),
            zone: zone_name(world, server.zone),
            region: "region".parse().expect("a valid name"),
            incarnation: Incarnation::new(self.nodes[endpoint].incarnation),
            statement: 0,
            data_address: ([127, 0, 0, 1], port).into(),
            control_address: ([127, 0, 0, 1], port).into(),
            state,
            upstream: None,
        }
    }

    /// Replaces a node by a new process, which learns all members.
    fn replace(&mut self, world: &NodeWorld, endpoint: usize) {
        let incarnation = self.nodes[endpoint].incarnation + 1;
        self.nodes[endpoint] = self.node(world, endpoint, incarnation);
        for other in 0..self.nodes.len() {
            let member = self.member(world, other, MemberState::Active);
            let event = Event::Member(Box::new(member));
            self.nodes[endpoint].engine.handle(event, now(world));
        }
        self.announce(world, endpoint, MemberState::Active);
    }

    fn post(&mut self, world: &mut NodeWorld, endpoint: usize, event: Event) {
        let actions = self.nodes[endpoint].engine.handle(event, now(world));
        for action in actions {
            self.act(world, endpoint, action);
        }
        self.schedule_tick(world, endpoint);
    }

    fn schedule_tick(&mut self, world: &mut NodeWorld, endpoint: usize) {
        let node = &mut self.nodes[endpoint];
        if node.calls.is_empty() {
            return;
        }
        let latest_us = world.now_us + TICK_US;
        let wake_us = node.engine.next_wake().map_or(latest_us, |wake| wake.as_micros());
        let at_us = wake_us.clamp(world.now_us, latest_us);
        if node.tick_us.is_none_or(|tick_us| tick_us > at_us || tick_us < world.now_us) {
            node.tick_us = Some(at_us);
            let tick = NodeEvent::Tick { endpoint, at_us };
            world.after(at_us - world.now_us, Due::Mesh(tick));
        }
    }

    fn act(&mut self, world: &mut NodeWorld, endpoint: usize, action: Action) {
        let call = action.call();
        let Some(state) = self.nodes[endpoint].calls.get(&call).copied() else { return };
        match action {
            Action::RunLocal { .. } => {
                world.enqueue(endpoint, call.get(), state.root, state.depth);
            }
            Action::Forward { attempt, forward, .. } => {
                let sent = Sent { from: endpoint, call, attempt };
                self.forward(world, state, sent, forward);
            }
            Action::Refuse { refusal, receipt, .. } => {
                self.forget(endpoint, call, state);
                let refused = RemoteRefusal { refusal, reached_upstream: false, receipt };
                self.refused(world, endpoint, call, state, refused);
            }
            Action::Close { receipt, .. } => {
                self.forget(endpoint, call, state);
                self.closed(world, endpoint, call, state, receipt);
            }
            Action::CancelLocal { .. } => {
                world.release(endpoint, call.get());
            }
            Action::CancelRemote { attempt, .. } => {
                let sent = Sent { from: endpoint, call, attempt };
                if let Some(to) = self.targets.remove(&sent) {
                    let delay_us = world.between_us(endpoint, to);
                    world.after(delay_us, Due::Mesh(NodeEvent::Cancel { to, sent }));
                }
            }
            Action::Claim { .. } | Action::Deliver { .. } | Action::Replay { .. } => {}
        }
    }

    fn forward(
        &mut self,
        world: &mut NodeWorld,
        state: CallState,
        sent: Sent,
        forward: Box<Forward>,
    ) {
        let Some(to) = self.index.get(&forward.target.endpoint).copied() else { return };
        world.roots[state.root].attempts += 1;
        self.targets.insert(sent, to);
        let delay_us = world.between_us(sent.from, to);
        let (root, depth) = (state.root, state.depth);
        world.after(delay_us, Due::Mesh(NodeEvent::Request { to, root, depth, sent, forward }));
    }

    fn forget(&mut self, endpoint: usize, call: CallId, state: CallState) {
        let node = &mut self.nodes[endpoint];
        node.calls.remove(&call);
        match state.origin {
            Origin::Client { .. } => {
                node.clients.remove(&state.root);
            }
            Origin::Peer(sent) => {
                node.peers.remove(&sent);
            }
            Origin::Upstream(_) => {}
        }
    }

    fn refused(
        &mut self,
        world: &mut NodeWorld,
        endpoint: usize,
        call: CallId,
        state: CallState,
        refused: RemoteRefusal,
    ) {
        world.release(endpoint, call.get());
        match state.origin {
            Origin::Client { send } => {
                if refused.refusal.reason == RefusalReason::BudgetExhausted {
                    world.roots[state.root].attempts -= 1;
                }
                self.answer_client(world, state.root, send, false);
            }
            Origin::Peer(sent) => {
                let delay_us = world.between_us(endpoint, sent.from);
                let refused = Box::new(refused);
                world.after(delay_us, Due::Mesh(NodeEvent::Refused { sent, refused }));
            }
            Origin::Upstream(parent) => self.finish_job(world, endpoint, parent, false),
        }
    }

    fn closed(
        &mut self,
        world: &mut NodeWorld,
        endpoint: usize,
        call: CallId,
        state: CallState,
        receipt: Receipt,
    ) {
        world.release(endpoint, call.get());
        match state.origin {
            Origin::Client { send } => self.answer_client(world, state.root, send, state.is_ok),
            Origin::Peer(sent) => {
                let delay_us = world.between_us(endpoint, sent.from);
                let event = NodeEvent::Answer { sent, is_ok: state.is_ok, receipt };
                world.after(delay_us, Due::Mesh(event));
            }
            Origin::Upstream(parent) => self.finish_job(world, endpoint, parent, state.is_ok),
        }
    }

    fn answer_client(&self, world: &mut NodeWorld, root: usize, send: u32, is_ok: bool) {
        let event = NodeEvent::ClientAnswer { root, send, is_ok };
        world.after(NodeWorld::client_delay_us(), Due::Mesh(event));
    }

    /// The upstream answers a call, as an error if a deeper call had none.
    fn finish_job(&mut self, world: &mut NodeWorld, endpoint: usize, call: CallId, is_ok: bool) {
        let Some(state) = self.nodes[endpoint].calls.get_mut(&call) else { return };
        state.is_ok = is_ok;
        self.post(world, endpoint, Event::LocalHead(call));
        self.post(world, endpoint, Event::LocalEnd(call, LocalEnd::Complete(None)));
    }

    fn begin(
        &mut self,
        world: &mut NodeWorld,
        endpoint: usize,
        state: CallState,
        arrival: Arrival,
    ) {
        let node = &mut self.nodes[endpoint];
        let call = node.engine.next_call();
        node.calls.insert(call, state);
        match state.origin {
            Origin::Client { .. } => {
                node.clients.insert(state.root, call);
            }
            Origin::Peer(sent) => {
                node.peers.insert(sent, call);
            }
            Origin::Upstream(_) => {}
        }
        self.post(world, endpoint, Event::arrive(call, arrival));
    }

    fn cancel(&mut self, world: &mut NodeWorld, endpoint: usize, call: Option<CallId>) {
        if !world.scenario.has(Mechanism::Cancellation) {
            return;
        }
        let Some(call) = call else { return };
        self.post(world, endpoint, Event::Cancel(call));
        if let Some(state) = self.nodes[endpoint].calls.get(&call).copied() {
            self.forget(endpoint, call, state);
        }
    }

    fn request(&mut self, world: &mut NodeWorld, to: usize, state: CallState, forward: &Forward) {
        if world.servers[to].is_lost {
            return;
        }
        let remaining = world.scenario.has(Mechanism::Deadlines).then_some(forward.remaining);
        let arrival = Arrival::inbound(request_id(state.root), "GET", &path(world, state.root))
            .with_share(forward.share, forward.rank)
            .with_remaining(remaining)
            .with_idempotent(forward.idempotent);
        self.begin(world, to, state, arrival);
    }

    fn client_request(&mut self, world: &mut NodeWorld, endpoint: usize, root: usize, send: u32) {
        if world.servers[endpoint].is_lost {
            return;
        }
        world.roots[root].attempts += 1;
        let arrival = Arrival::inbound(request_id(root), "GET", &path(world, root))
            .with_resend(ResendNumber::new(send));
        let state = CallState { root, depth: 0, origin: Origin::Client { send }, is_ok: false };
        self.begin(world, endpoint, state, arrival);
    }
}

impl Mesh for Layered {
    type Event = NodeEvent;

    fn client_send(&mut self, world: &mut NodeWorld, root: usize, endpoint: usize) {
        self.last_send.insert(root, endpoint);
        let send = world.roots[root].sends;
        let event = NodeEvent::ClientRequest { endpoint, root, send };
        world.after(NodeWorld::client_delay_us(), Due::Mesh(event));
    }

    fn client_cancel(&mut self, world: &mut NodeWorld, root: usize) {
        if let Some(endpoint) = self.last_send.remove(&root) {
            let event = NodeEvent::ClientCancel { endpoint, root };
            world.after(NodeWorld::client_delay_us(), Due::Mesh(event));
        }
    }

    fn work_done(&mut self, world: &mut NodeWorld, endpoint: usize, job: u64) {
        let Some((root, depth)) = world.job(endpoint, job) else { return };
        let parent = CallId::new(job);
        let chain = &world.scenario.system.kinds[world.roots[root].kind].chain;
        let Some(service) = chain.get(depth + 1) else {
            return self.finish_job(world, endpoint, parent, true);
        };
        let service = self.services[*service].clone();
        let arrival = Arrival::outbound(service, request_id(root), "GET", &path(world, root))
            .with_parent(Some(parent));
        let origin = Origin::Upstream(parent);
        let state = CallState { root, depth: depth + 1, origin, is_ok: false };
        self.begin(world, endpoint, state, arrival);
    }

    fn event(&mut self, world: &mut NodeWorld, event: NodeEvent) {
        match event {
            NodeEvent::ClientRequest { endpoint, root, send } => {
                self.client_request(world, endpoint, root, send);
            }
            NodeEvent::ClientCancel { endpoint, root } => {
                let call = self.nodes[endpoint].clients.get(&root).copied();
                self.cancel(world, endpoint, call);
            }
            NodeEvent::ClientAnswer { root, send, is_ok } => {
                world.client_answer(root, send, is_ok);
            }
            NodeEvent::Request { to, root, depth, sent, forward } => {
                let state = CallState { root, depth, origin: Origin::Peer(sent), is_ok: false };
                self.request(world, to, state, &forward);
            }
            NodeEvent::Cancel { to, sent } => {
                let call = self.nodes[to].peers.get(&sent).copied();
                self.cancel(world, to, call);
            }
            NodeEvent::Answer { sent, is_ok, receipt } => {
                let receipt = told(world, receipt);
                let Sent { from, call, attempt } = sent;
                self.targets.remove(&sent);
                let Some(state) = self.nodes[from].calls.get_mut(&call) else { return };
                state.is_ok = is_ok;
                self.post(world, from, Event::RemoteHead { call, attempt, is_failure: false });
                let end = Event::RemoteEnd { call, attempt, receipt: Some(receipt) };
                self.post(world, from, end);
            }
            NodeEvent::Refused { sent, mut refused } => {
                refused.receipt = told(world, refused.receipt);
                self.targets.remove(&sent);
                let Sent { from, call, attempt } = sent;
                self.post(world, from, Event::RemoteRefused(call, attempt, refused));
            }
            NodeEvent::Tick { endpoint, at_us } => {
                if self.nodes[endpoint].tick_us == Some(at_us) {
                    self.nodes[endpoint].tick_us = None;
                    self.post(world, endpoint, Event::Tick);
                }
            }
        }
    }

    fn cause(&mut self, world: &mut NodeWorld, phase: CausePhase) {
        let bottleneck = world.scenario.system.bottleneck;
        let first = world.servers.iter().position(|server| server.service == bottleneck);
        let first = first.expect("a service has endpoints");
        match (world.scenario.cause, phase) {
            (Cause::LostZone, CausePhase::Begins) => {
                for endpoint in 0..self.nodes.len() {
                    if world.servers[endpoint].zone == 0 {
                        self.nodes[endpoint].calls.clear();
                    }
                }
            }
            (Cause::LostZone, phase) => {
                for endpoint in 0..self.nodes.len() {
                    if world.servers[endpoint].zone != 0 {
                        continue;
                    }
                    if phase == CausePhase::Ends {
                        self.replace(world, endpoint);
                    } else {
                        self.announce(world, endpoint, MemberState::Suspect);
                    }
                }
            }
            (Cause::Cold, CausePhase::Begins) => self.replace(world, first),
            (Cause::LyingReports, CausePhase::Begins) => {
                self.announce(world, first + 1, MemberState::Suspect);
            }
            _ => {}
        }
    }
}
