//! A mesh of real engines, one for each endpoint, driven in virtual time.

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
use super::view::{endpoint_id, now, path, receipt_for_sender, request_id, zone_name};
use super::world::{CausePhase, Mesh, ScheduledEvent, World};

const TICK_US: u64 = 20_000;

/// Identifies an attempt by its sender's endpoint, call and attempt ids.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SentAttempt {
    from: usize,
    call: CallId,
    attempt: AttemptId,
}

/// Events between clients and nodes, and between nodes.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    ClientRequest { endpoint: usize, root: usize, send: u32 },
    ClientCancel { endpoint: usize, root: usize },
    ClientAnswer { root: usize, send: u32, is_ok: bool },
    Request { to: usize, root: usize, depth: usize, sent: SentAttempt, forward: Box<Forward> },
    Cancel { to: usize, sent: SentAttempt },
    Answer { sent: SentAttempt, is_ok: bool, receipt: Receipt },
    Refused { sent: SentAttempt, refused: Box<RemoteRefusal> },
    Tick { endpoint: usize, at_us: u64 },
}

#[derive(Clone, Copy, Debug)]
enum Origin {
    Client {
        send: u32,
    },
    Peer(SentAttempt),
    /// The node's own upstream, while it runs this inbound call.
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
    calls_by_attempt: BTreeMap<SentAttempt, CallId>,
    calls_by_root: BTreeMap<usize, CallId>,
    next_tick_us: Option<u64>,
    incarnation: u64,
}

/// The nodes of all endpoints.
pub struct EngineMesh {
    nodes: Vec<Node>,
    index: BTreeMap<EndpointId, usize>,
    services: Vec<ServiceName>,
    policy: Arc<Policy>,
    targets: BTreeMap<SentAttempt, usize>,
    last_endpoint: BTreeMap<usize, usize>,
}

type NodeWorld = World<NodeEvent>;

impl EngineMesh {
    /// Creates the nodes, each of which knows all others.
    pub fn new(world: &NodeWorld) -> Self {
        let system = &world.scenario.system;
        let retry_percent =
            if world.scenario.is_enabled(Mechanism::Retries) { System::RETRY_PERCENT } else { 0 };
        let policy = Arc::new(system.policy(retry_percent));
        let name = |service: &super::system::Service| ServiceName::new(&service.name);
        let services: Vec<ServiceName> = system
            .services
            .iter()
            .map(|service| name(service).expect("valid service name"))
            .collect();
        let mut all = Self {
            nodes: Vec::new(),
            index: BTreeMap::new(),
            services,
            policy,
            targets: BTreeMap::new(),
            last_endpoint: BTreeMap::new(),
        };
        for endpoint in 0..world.servers.len() {
            let node = all.new_node(world, endpoint, 1);
            all.nodes.push(node);
            all.index.insert(endpoint_id(endpoint), endpoint);
        }
        for endpoint in 0..world.servers.len() {
            all.announce(world, endpoint, MemberState::Active);
        }
        all
    }

    fn new_node(&self, world: &NodeWorld, endpoint: usize, incarnation: u64) -> Node {
        let server = &world.servers[endpoint];
        let settings = EngineSettings::new(
            endpoint_id(endpoint),
            self.services[server.service].clone(),
            zone_name(world, server.zone),
            "region".parse().expect("valid region name"),
        )
        .with_incarnation(Incarnation::new(incarnation))
        .with_seed(world.scenario.seed + endpoint as u64);
        Node {
            engine: Engine::new(settings, Arc::clone(&self.policy)),
            calls: BTreeMap::new(),
            calls_by_attempt: BTreeMap::new(),
            calls_by_root: BTreeMap::new(),
            next_tick_us: None,
            incarnation,
        }
    }

    /// Reports the state of one endpoint to all nodes.
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
            region: "region".parse().expect("valid region name"),
            incarnation: Incarnation::new(self.nodes[endpoint].incarnation),
            statement: 0,
            data_address: ([127, 0, 0, 1], port).into(),
            control_address: ([127, 0, 0, 1], port).into(),
            state,
            upstream: None,
        }
    }

    /// Replaces a node by a new incarnation that knows all members.
    fn restart_node(&mut self, world: &NodeWorld, endpoint: usize) {
        let incarnation = self.nodes[endpoint].incarnation + 1;
        self.nodes[endpoint] = self.new_node(world, endpoint, incarnation);
        for other in 0..self.nodes.len() {
            let member = self.member(world, other, MemberState::Active);
            let event = Event::Member(Box::new(member));
            self.nodes[endpoint].engine.handle(event, now(world));
        }
        self.announce(world, endpoint, MemberState::Active);
    }

    fn dispatch(&mut self, world: &mut NodeWorld, endpoint: usize, event: Event) {
        let actions = self.nodes[endpoint].engine.handle(event, now(world));
        for action in actions {
            self.execute_action(world, endpoint, action);
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
        if node.next_tick_us.is_none_or(|tick_us| tick_us > at_us || tick_us < world.now_us) {
            node.next_tick_us = Some(at_us);
            let tick = NodeEvent::Tick { endpoint, at_us };
            world.schedule_after(at_us - world.now_us, ScheduledEvent::Mesh(tick));
        }
    }

    fn execute_action(&mut self, world: &mut NodeWorld, endpoint: usize, action: Action) {
        let Some(call) = action.call() else { return };
        let Some(state) = self.nodes[endpoint].calls.get(&call).copied() else { return };
        match action {
            Action::RunLocal { .. } => {
                world.enqueue(endpoint, call.get(), state.root, state.depth);
            }
            Action::Forward { attempt, forward, .. } => {
                let sent = SentAttempt { from: endpoint, call, attempt };
                self.forward(world, state, sent, forward);
            }
            Action::Refuse { refusal, receipt, .. } => {
                self.remove_call(endpoint, call, state);
                let refused =
                    RemoteRefusal { refusal, reached_upstream: false, receipt, member: None };
                self.handle_refusal(world, endpoint, call, state, refused);
            }
            Action::Close { receipt, .. } => {
                self.remove_call(endpoint, call, state);
                self.handle_close(world, endpoint, call, state, receipt);
            }
            Action::CancelLocal { .. } => {
                world.release(endpoint, call.get());
            }
            Action::CancelRemote { attempt, .. } => {
                let sent = SentAttempt { from: endpoint, call, attempt };
                if let Some(to) = self.targets.remove(&sent) {
                    let delay_us = world.one_way_delay_us(endpoint, to);
                    world.schedule_after(
                        delay_us,
                        ScheduledEvent::Mesh(NodeEvent::Cancel { to, sent }),
                    );
                }
            }
            // No request has a key or a client account, and no upstream ends.
            _ => {}
        }
    }

    fn forward(
        &mut self,
        world: &mut NodeWorld,
        state: CallState,
        sent: SentAttempt,
        forward: Box<Forward>,
    ) {
        let Some(to) = self.index.get(&forward.target.endpoint).copied() else { return };
        world.roots[state.root].attempts += 1;
        self.targets.insert(sent, to);
        let delay_us = world.one_way_delay_us(sent.from, to);
        let (root, depth) = (state.root, state.depth);
        world.schedule_after(
            delay_us,
            ScheduledEvent::Mesh(NodeEvent::Request { to, root, depth, sent, forward }),
        );
    }

    fn remove_call(&mut self, endpoint: usize, call: CallId, state: CallState) {
        let node = &mut self.nodes[endpoint];
        node.calls.remove(&call);
        match state.origin {
            Origin::Client { .. } => {
                node.calls_by_root.remove(&state.root);
            }
            Origin::Peer(sent) => {
                node.calls_by_attempt.remove(&sent);
            }
            Origin::Upstream(_) => {}
        }
    }

    fn handle_refusal(
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
                let delay_us = world.one_way_delay_us(endpoint, sent.from);
                let refused = Box::new(refused);
                world.schedule_after(
                    delay_us,
                    ScheduledEvent::Mesh(NodeEvent::Refused { sent, refused }),
                );
            }
            Origin::Upstream(parent) => self.finish_job(world, endpoint, parent, false),
        }
    }

    fn handle_close(
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
                let delay_us = world.one_way_delay_us(endpoint, sent.from);
                let event = NodeEvent::Answer { sent, is_ok: state.is_ok, receipt };
                world.schedule_after(delay_us, ScheduledEvent::Mesh(event));
            }
            Origin::Upstream(parent) => self.finish_job(world, endpoint, parent, state.is_ok),
        }
    }

    fn answer_client(&self, world: &mut NodeWorld, root: usize, send: u32, is_ok: bool) {
        let event = NodeEvent::ClientAnswer { root, send, is_ok };
        world.schedule_after(NodeWorld::client_delay_us(), ScheduledEvent::Mesh(event));
    }

    /// Ends the upstream's work on a call; `is_ok` is false if its downstream call failed.
    fn finish_job(&mut self, world: &mut NodeWorld, endpoint: usize, call: CallId, is_ok: bool) {
        let Some(state) = self.nodes[endpoint].calls.get_mut(&call) else { return };
        state.is_ok = is_ok;
        self.dispatch(world, endpoint, Event::LocalHead(call));
        self.dispatch(world, endpoint, Event::LocalEnd(call, LocalEnd::Complete(None)));
    }

    fn start_call(
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
                node.calls_by_root.insert(state.root, call);
            }
            Origin::Peer(sent) => {
                node.calls_by_attempt.insert(sent, call);
            }
            Origin::Upstream(_) => {}
        }
        self.dispatch(world, endpoint, Event::arrive(call, arrival));
    }

    fn handle_cancel(&mut self, world: &mut NodeWorld, endpoint: usize, call: Option<CallId>) {
        if !world.scenario.is_enabled(Mechanism::Cancellation) {
            return;
        }
        let Some(call) = call else { return };
        self.dispatch(world, endpoint, Event::Cancel(call));
        if let Some(state) = self.nodes[endpoint].calls.get(&call).copied() {
            self.remove_call(endpoint, call, state);
        }
    }

    fn handle_request(
        &mut self,
        world: &mut NodeWorld,
        to: usize,
        state: CallState,
        forward: &Forward,
    ) {
        if world.servers[to].is_lost {
            return;
        }
        let remaining =
            world.scenario.is_enabled(Mechanism::Deadlines).then_some(forward.remaining);
        let arrival = Arrival::inbound(request_id(state.root), "GET", &path(world, state.root))
            .with_share(forward.share, forward.rank)
            .with_remaining(remaining)
            .with_idempotent(forward.idempotent);
        self.start_call(world, to, state, arrival);
    }

    fn handle_client_request(&mut self, world: &mut NodeWorld, to: usize, root: usize, send: u32) {
        if world.servers[to].is_lost {
            return;
        }
        world.roots[root].attempts += 1;
        let arrival = Arrival::inbound(request_id(root), "GET", &path(world, root))
            .with_resend(ResendNumber::new(send));
        let state = CallState { root, depth: 0, origin: Origin::Client { send }, is_ok: false };
        self.start_call(world, to, state, arrival);
    }
}

impl Mesh for EngineMesh {
    type Event = NodeEvent;

    fn client_send(&mut self, world: &mut NodeWorld, root: usize, endpoint: usize) {
        self.last_endpoint.insert(root, endpoint);
        let send = world.roots[root].sends;
        let event = NodeEvent::ClientRequest { endpoint, root, send };
        world.schedule_after(NodeWorld::client_delay_us(), ScheduledEvent::Mesh(event));
    }

    fn client_cancel(&mut self, world: &mut NodeWorld, root: usize) {
        if let Some(endpoint) = self.last_endpoint.remove(&root) {
            let event = NodeEvent::ClientCancel { endpoint, root };
            world.schedule_after(NodeWorld::client_delay_us(), ScheduledEvent::Mesh(event));
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
        self.start_call(world, endpoint, state, arrival);
    }

    fn handle_event(&mut self, world: &mut NodeWorld, event: NodeEvent) {
        match event {
            NodeEvent::ClientRequest { endpoint, root, send } => {
                self.handle_client_request(world, endpoint, root, send);
            }
            NodeEvent::ClientCancel { endpoint, root } => {
                let call = self.nodes[endpoint].calls_by_root.get(&root).copied();
                self.handle_cancel(world, endpoint, call);
            }
            NodeEvent::ClientAnswer { root, send, is_ok } => {
                world.client_answer(root, send, is_ok);
            }
            NodeEvent::Request { to, root, depth, sent, forward } => {
                let state = CallState { root, depth, origin: Origin::Peer(sent), is_ok: false };
                self.handle_request(world, to, state, &forward);
            }
            NodeEvent::Cancel { to, sent } => {
                let call = self.nodes[to].calls_by_attempt.get(&sent).copied();
                self.handle_cancel(world, to, call);
            }
            NodeEvent::Answer { sent, is_ok, receipt } => {
                let receipt = receipt_for_sender(world, receipt);
                let SentAttempt { from, call, attempt } = sent;
                self.targets.remove(&sent);
                let Some(state) = self.nodes[from].calls.get_mut(&call) else { return };
                state.is_ok = is_ok;
                self.dispatch(world, from, Event::RemoteHead { call, attempt, is_failure: false });
                let end = Event::RemoteEnd { call, attempt, receipt: Some(receipt) };
                self.dispatch(world, from, end);
            }
            NodeEvent::Refused { sent, mut refused } => {
                refused.receipt = receipt_for_sender(world, refused.receipt);
                self.targets.remove(&sent);
                let SentAttempt { from, call, attempt } = sent;
                self.dispatch(world, from, Event::RemoteRefused(call, attempt, refused));
            }
            NodeEvent::Tick { endpoint, at_us } => {
                if self.nodes[endpoint].next_tick_us == Some(at_us) {
                    self.nodes[endpoint].next_tick_us = None;
                    self.dispatch(world, endpoint, Event::Tick);
                }
            }
        }
    }

    fn handle_cause(&mut self, world: &mut NodeWorld, phase: CausePhase) {
        let bottleneck = world.scenario.system.bottleneck;
        let first = world.servers.iter().position(|server| server.service == bottleneck);
        let first = first.expect("the bottleneck service has endpoints");
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
                        self.restart_node(world, endpoint);
                    } else {
                        self.announce(world, endpoint, MemberState::Suspect);
                    }
                }
            }
            (Cause::ColdEndpoint, CausePhase::Begins) => self.restart_node(world, first),
            (Cause::FalseReports, CausePhase::Begins) => {
                self.announce(world, first + 1, MemberState::Suspect);
            }
            _ => {}
        }
    }
}
