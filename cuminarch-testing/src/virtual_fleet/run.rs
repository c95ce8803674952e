use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cuminarch_config::ConfigDocument;
use cuminarch_membership::{
    Fleet, FleetAction, FleetEvent, FleetNotice, FleetSettings, PlatformCall, PlatformReply,
};
use cuminarch_protocol::{ControlMessage, Member};
use cuminarch_types::{EndpointId, MonoTime};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::platform::PendingWatch;
use super::{Network, TrafficCounters, VirtualNode, VirtualPlatform};

/// An event for one process of a node.
#[derive(Clone, Debug)]
enum VirtualEvent {
    Tick,
    Message(usize, ControlMessage, usize),
    Reply(PlatformCall, PlatformReply),
    WatchTimeout(PlatformCall),
}

#[derive(Debug)]
struct ScheduledEvent {
    at: MonoTime,
    sequence: u64,
    node: usize,
    process_number: u64,
    event: VirtualEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A simulated fleet in virtual time.
pub struct VirtualFleet {
    /// The simulated platform.
    pub platform: VirtualPlatform,
    /// The simulated network.
    pub network: Network,
    /// Violations of invariants.
    pub violations: Vec<String>,
    nodes: Vec<VirtualNode>,
    by_endpoint: BTreeMap<EndpointId, usize>,
    by_address: BTreeMap<SocketAddr, usize>,
    links: BTreeSet<(usize, usize)>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    now: MonoTime,
    rng: ChaCha8Rng,
    seeds: Vec<SocketAddr>,
}

impl VirtualFleet {
    /// One-way delay between a node and the platform.
    const PLATFORM_DELAY: Duration = Duration::from_millis(4);
    /// Size of the header of a masked WebSocket frame.
    const FRAME_HEADER_BYTES: usize = 6;

    /// Creates a fleet without nodes.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            platform: VirtualPlatform::default(),
            network: Network::default(),
            violations: Vec::new(),
            nodes: Vec::new(),
            by_endpoint: BTreeMap::new(),
            by_address: BTreeMap::new(),
            links: BTreeSet::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            now: MonoTime::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            seeds: Vec::new(),
        }
    }

    /// Sets the seed addresses of nodes that are started from now on.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Returns the current virtual time.
    #[must_use]
    pub const fn now(&self) -> MonoTime {
        self.now
    }

    /// Returns all nodes, in the order in which they were added.
    #[must_use]
    pub fn nodes(&self) -> &[VirtualNode] {
        &self.nodes
    }

    /// Returns the nodes whose process is running.
    pub fn running_nodes(&self) -> impl Iterator<Item = &VirtualNode> {
        self.nodes.iter().filter(|node| node.is_running)
    }

    /// Returns the traffic of each node so far.
    #[must_use]
    pub fn counters(&self) -> Vec<TrafficCounters> {
        self.nodes.iter().map(|node| node.counters).collect()
    }

    /// Adds and starts a node. Returns its index.
    pub fn add_node(&mut self, member: Member) -> usize {
        let index = self.nodes.len();
        self.by_endpoint.insert(member.endpoint.clone(), index);
        self.by_address.insert(member.control_address, index);
        let fleet = self.new_fleet(member);
        self.nodes.push(VirtualNode {
            fleet,
            is_running: true,
            process_number: 0,
            paused_until: MonoTime::ZERO,
            observed_members: BTreeMap::new(),
            in_force_at: BTreeMap::new(),
            revision: cuminarch_types::Revision::default(),
            notices: Vec::new(),
            counters: TrafficCounters::default(),
            processing_time: Duration::ZERO,
        });
        self.schedule_first_tick(index);
        index
    }

    fn new_fleet(&mut self, member: Member) -> Fleet {
        let settings = FleetSettings::new("virtual")
            .with_seed(self.rng.random())
            .with_seeds(self.seeds.clone());
        Fleet::new(settings, member, self.now)
    }

    fn schedule_first_tick(&mut self, index: usize) {
        let jitter = Fleet::TICK.mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(index, jitter, VirtualEvent::Tick);
    }

    /// Ends a process without notifying the other nodes.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].is_running = false;
        self.nodes[index].process_number += 1;
        self.links.retain(|(left, right)| *left != index && *right != index);
    }

    /// Starts a new process of a node, after a crash of the current one if it is running.
    pub fn restart(&mut self, index: usize) {
        self.crash(index);
        let mut member = self.nodes[index].member().clone();
        member.incarnation = member.incarnation.next();
        member.statement = 0;
        member.state = cuminarch_protocol::MemberState::Active;
        let fleet = self.new_fleet(member);
        let node = &mut self.nodes[index];
        node.fleet = fleet;
        node.is_running = true;
        node.observed_members.clear();
        node.in_force_at.clear();
        node.revision = cuminarch_types::Revision::default();
        self.schedule_first_tick(index);
    }

    /// Pauses a process; its events are delayed until the end of the pause.
    pub fn pause(&mut self, index: usize, span: Duration) {
        self.nodes[index].paused_until = self.now.after(span);
    }

    /// Makes a node announce its departure.
    pub fn leave(&mut self, index: usize) {
        self.handle(index, FleetEvent::Leave);
    }

    /// Stops a process gracefully.
    pub fn stop(&mut self, index: usize) {
        self.handle(index, FleetEvent::Stop);
        self.crash(index);
    }

    /// Writes a configuration to the platform and answers watches.
    pub fn publish_config(&mut self, document: ConfigDocument) {
        self.platform.publish_config(document);
        self.answer_watches();
    }

    /// Restores the platform from its backup and answers watches.
    pub fn restore_platform(&mut self) {
        self.platform.restore();
        self.answer_watches();
    }

    /// Runs the simulation for a time span.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now.after(span);
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            self.dispatch(next);
        }
        self.now = end;
    }

    /// Runs the simulation until a condition holds, checked every `step`. Returns `true` if
    /// it held within `timeout`.
    pub fn run_until(
        &mut self,
        timeout: Duration,
        step: Duration,
        is_done: impl Fn(&Self) -> bool,
    ) -> bool {
        let end = self.now.after(timeout);
        while self.now < end {
            if is_done(self) {
                return true;
            }
            self.run_for(step);
        }
        is_done(self)
    }

    fn schedule(&mut self, node: usize, delay: Duration, event: VirtualEvent) {
        self.sequence += 1;
        let process_number = self.nodes[node].process_number;
        let at = self.now.after(delay);
        self.queue.push(Reverse(ScheduledEvent {
            at,
            sequence: self.sequence,
            node,
            process_number,
            event,
        }));
    }

    fn dispatch(&mut self, next: ScheduledEvent) {
        let ScheduledEvent { node, process_number, event, .. } = next;
        if !self.nodes[node].is_running || self.nodes[node].process_number != process_number {
            return;
        }
        let paused_until = self.nodes[node].paused_until;
        if paused_until > self.now {
            let delay = paused_until.since(self.now);
            self.schedule(node, delay, event);
            return;
        }
        match event {
            VirtualEvent::Tick => {
                self.handle(node, FleetEvent::Tick);
                self.schedule(node, Fleet::TICK, VirtualEvent::Tick);
            }
            VirtualEvent::Message(from, message, len_bytes) => {
                let counters = &mut self.nodes[node].counters;
                counters.received += 1;
                counters.received_bytes += len_bytes as u64;
                let from = self.nodes[from].member().endpoint.clone();
                self.handle(node, FleetEvent::Received(from, message));
            }
            VirtualEvent::Reply(call, reply) => {
                self.handle(node, FleetEvent::Platform(call, reply));
            }
            VirtualEvent::WatchTimeout(call) => self.end_watch(node, process_number, call),
        }
    }

    fn handle(&mut self, index: usize, event: FleetEvent) {
        let now = self.now;
        let started_at = Instant::now();
        let actions = self.nodes[index].fleet.handle(event, now);
        self.nodes[index].processing_time += started_at.elapsed();
        for action in actions {
            match action {
                FleetAction::Send(to, address, message) => self.send(index, &to, address, message),
                FleetAction::Connect(address) => {
                    if let Some(other) = self.by_address.get(&address).copied() {
                        self.open_link(index, other);
                    }
                }
                FleetAction::Platform(call) => self.call_platform(index, call),
                FleetAction::View(member) => {
                    if !self.nodes[index].observe_member(&member, now) {
                        let own = &self.nodes[index].member().endpoint;
                        self.violations
                            .push(format!("{own} returned to an earlier incarnation: {member:?}"));
                    }
                }
                FleetAction::Policy(policy) => self.record_in_force(index, policy.revision()),
                FleetAction::Notice(notice) => self.nodes[index].notices.push((now, notice)),
                // No upstreams register with nodes of a fleet with relays.
                FleetAction::UpstreamHistory(_)
                | FleetAction::UpstreamHistoryComplete
                | FleetAction::UpstreamHistoryUnknown
                | FleetAction::UpstreamUnconfirmed
                | FleetAction::UpstreamRecorded(_) => {}
            }
        }
    }

    fn record_in_force(&mut self, index: usize, revision: cuminarch_types::Revision) {
        let node = &mut self.nodes[index];
        if revision <= node.revision {
            self.violations
                .push(format!("{} reverted to revision {revision}", node.fleet.own().endpoint));
        }
        node.revision = revision;
        node.in_force_at.insert(revision, self.now);
    }

    fn send(&mut self, from: usize, to: &EndpointId, address: SocketAddr, message: ControlMessage) {
        let by_address = self.by_address.get(&address).copied();
        let Some(to) = by_address.or_else(|| self.by_endpoint.get(to).copied()) else { return };
        self.open_link(from, to);
        let extra_delay = Duration::ZERO;
        self.transmit(from, to, message, extra_delay);
    }

    /// Opens a link unless there is one; both sides send a hello message.
    fn open_link(&mut self, from: usize, to: usize) {
        let pair = (from.min(to), from.max(to));
        if !self.nodes[to].is_running || !self.links.insert(pair) {
            return;
        }
        self.nodes[from].counters.links_opened += 1;
        let hello = self.nodes[from].fleet.hello();
        self.transmit(from, to, hello, Duration::ZERO);
        let hello = self.nodes[to].fleet.hello();
        self.transmit(to, from, hello, Duration::ZERO);
    }

    fn transmit(&mut self, from: usize, to: usize, message: ControlMessage, extra_delay: Duration) {
        let started_at = Instant::now();
        let len_bytes = message.encode().map_or(0, |bytes| bytes.len()) + Self::FRAME_HEADER_BYTES;
        self.nodes[from].processing_time += started_at.elapsed();
        let counters = &mut self.nodes[from].counters;
        counters.sent += 1;
        counters.sent_bytes += len_bytes as u64;
        let (sender, receiver) = (self.nodes[from].member(), self.nodes[to].member());
        for delay in self.network.delivery_delays(sender, receiver, &mut self.rng) {
            let event = VirtualEvent::Message(from, message.clone(), len_bytes);
            self.schedule(to, delay + extra_delay, event);
        }
    }

    fn call_platform(&mut self, node: usize, call: PlatformCall) {
        self.platform.record_call(&call, self.now);
        let zone = self.nodes[node].member().zone.clone();
        match self.platform.execute(&call, &zone) {
            Some(reply) => {
                self.schedule(node, 2 * Self::PLATFORM_DELAY, VirtualEvent::Reply(call, reply));
                self.answer_watches();
            }
            None => {
                let process_number = self.nodes[node].process_number;
                let ends_at = self.now.after(VirtualPlatform::WATCH_TIMEOUT);
                let end = VirtualEvent::WatchTimeout(call.clone());
                self.schedule(node, VirtualPlatform::WATCH_TIMEOUT, end);
                self.platform.pending_watches.push(PendingWatch {
                    node,
                    process_number,
                    call,
                    ends_at,
                });
            }
        }
    }

    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.platform.pending_watches) {
            let PendingWatch { node, process_number, ref call, .. } = watch;
            if self.nodes[node].process_number != process_number {
                continue;
            }
            let zone = self.nodes[node].member().zone.clone();
            match self.platform.execute(call, &zone) {
                Some(reply) => {
                    let event = VirtualEvent::Reply(call.clone(), reply);
                    self.schedule(node, Self::PLATFORM_DELAY, event);
                }
                None => self.platform.pending_watches.push(watch),
            }
        }
    }

    fn end_watch(&mut self, node: usize, process_number: u64, call: PlatformCall) {
        let now = self.now;
        let is_ended = |watch: &PendingWatch| {
            watch.node == node && watch.process_number == process_number && watch.ends_at <= now
        };
        let Some(position) = self.platform.pending_watches.iter().position(is_ended) else {
            return;
        };
        self.platform.pending_watches.swap_remove(position);
        let reply = self.platform.timeout_reply(&call);
        self.schedule(node, Self::PLATFORM_DELAY, VirtualEvent::Reply(call, reply));
    }

    /// Takes the platform down or up; waiting watches fail when it goes down.
    pub fn set_platform_down(&mut self, is_down: bool) {
        self.platform.is_down = is_down;
        self.answer_watches();
    }

    /// Returns the number of notices of all nodes that match.
    #[must_use]
    pub fn count_notices(&self, is_wanted: impl Fn(&FleetNotice) -> bool) -> usize {
        let notices = self.nodes.iter().flat_map(|node| &node.notices);
        notices.filter(|(_, notice)| is_wanted(notice)).count()
    }
}
