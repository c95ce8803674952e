//! Simulates nodes with a store and gossip, in virtual time.
#![allow(dead_code)]

mod store;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cuminarch_config::ConfigDocument;
use cuminarch_membership::{
    FleetAction, FleetEvent, FleetNotice, FleetSettings, PlatformCall, PlatformReply, Roster,
};
use cuminarch_protocol::{ControlMessage, Member, MemberState, UpstreamRecord, UpstreamState};
use cuminarch_types::{EndpointId, Incarnation, MonoTime, Revision, ZoneName};

pub use store::StoreModel;

pub const STEP: Duration = Duration::from_millis(50);
/// Time after which a call without an answer fails, and the same for a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const SILENT_WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after which a late write is executed.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(2_500);

/// How a process that started ended to ask what earlier ones had acknowledged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HistoryEnd {
    Complete,
    Unknown,
}

/// Simulated nodes and their store, which some of them may be unable to reach.
pub struct World {
    pub now: MonoTime,
    pub nodes: BTreeMap<EndpointId, Roster>,
    pub store: StoreModel,
    /// Nodes that cannot reach the store.
    pub cut: BTreeSet<EndpointId>,
    /// Nodes whose calls to the store get no answer and fail at their timeouts.
    pub silent: BTreeSet<EndpointId>,
    /// Nodes that stand still; nothing reaches them.
    pub frozen: BTreeSet<EndpointId>,
    /// Zones that are cut off from the others.
    pub islands: BTreeSet<ZoneName>,
    timeouts: Vec<(MonoTime, EndpointId, PlatformCall)>,
    /// When each node put each revision into force.
    pub in_force_at: BTreeMap<(EndpointId, Revision), MonoTime>,
    /// Whether writes are executed late and their answers are lost.
    pub delays_writes: bool,
    late_writes: Vec<(MonoTime, PlatformCall)>,
    watches: Vec<(EndpointId, PlatformCall, MonoTime)>,
    pub in_force: BTreeMap<EndpointId, Revision>,
    /// Every revision that the current process of a node has had in force.
    pub ever_in_force: BTreeSet<(EndpointId, Revision)>,
    pub views: BTreeMap<(EndpointId, EndpointId), Member>,
    pub calls: u64,
    /// Cost of all calls, in tenths of a full call; a stale read costs one tenth.
    pub cost_tenths: u64,
    /// Events to be delivered to nodes.
    pub due: VecDeque<(EndpointId, FleetEvent)>,
    /// Pairs of nodes of which the first has sent its hello to the second.
    pub linked: BTreeSet<(EndpointId, EndpointId)>,
    /// Nodes that reported that an earlier process of theirs was known.
    pub rejoined: Vec<EndpointId>,
    pub history_ends: BTreeMap<EndpointId, HistoryEnd>,
}

pub fn name(index: usize) -> EndpointId {
    format!("node-{index}").parse().unwrap()
}

pub fn member(index: usize, incarnation: u64) -> Member {
    let port = 7_000 + u16::try_from(index).unwrap() * 2;
    Member {
        endpoint: name(index),
        service: "katalog".parse().unwrap(),
        zone: format!("zone-{}", index % 3).parse().unwrap(),
        region: "central".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        statement: 0,
        data_address: ([127, 0, 0, 1], port).into(),
        control_address: ([127, 0, 0, 1], port + 1).into(),
        state: MemberState::Active,
        upstream: Some(UpstreamRecord::absent()),
    }
}

pub fn record(state: UpstreamState) -> UpstreamRecord {
    let instance = Some("i-1".parse().unwrap());
    UpstreamRecord { instance, started_at_ms: 5, state, slots: 40, warm_up_ms: 0 }
}

pub fn document(revision: u64) -> ConfigDocument {
    ConfigDocument {
        revision: Revision::new(revision),
        change: format!("change-{revision}").parse().unwrap(),
        sheet: "classes: [{name: browse, grant_attempts: 16, deadline_ms: 1000}]\n\
                default_class: browse\n"
            .to_owned(),
    }
}

impl World {
    pub fn new(nodes: usize) -> Self {
        let mut world = Self {
            now: MonoTime::from_millis(1_000),
            nodes: BTreeMap::new(),
            store: StoreModel::new(),
            cut: BTreeSet::new(),
            silent: BTreeSet::new(),
            frozen: BTreeSet::new(),
            islands: BTreeSet::new(),
            timeouts: Vec::new(),
            in_force_at: BTreeMap::new(),
            delays_writes: false,
            late_writes: Vec::new(),
            watches: Vec::new(),
            in_force: BTreeMap::new(),
            ever_in_force: BTreeSet::new(),
            views: BTreeMap::new(),
            calls: 0,
            cost_tenths: 0,
            due: VecDeque::new(),
            linked: BTreeSet::new(),
            rejoined: Vec::new(),
            history_ends: BTreeMap::new(),
        };
        (0..nodes).for_each(|index| world.start(index, 1));
        world
    }

    pub fn start(&mut self, index: usize, incarnation: u64) {
        let seed = incarnation * 100 + index as u64;
        let settings = FleetSettings::new("tests").with_seed(seed);
        let roster = Roster::new(settings, member(index, incarnation), self.now);
        self.nodes.insert(name(index), roster);
        self.in_force.remove(&name(index));
        self.history_ends.remove(&name(index));
        self.ever_in_force.retain(|(node, _)| *node != name(index));
        self.linked.retain(|(from, to)| *from != name(index) && *to != name(index));
        self.watches.retain(|(node, ..)| *node != name(index));
    }

    pub fn publish(&mut self, revision: u64) {
        self.store.publish(document(revision));
    }

    /// Delivers an event to a node and executes all resulting actions.
    pub fn feed(&mut self, node: &EndpointId, event: FleetEvent) {
        self.due.push_back((node.clone(), event));
        self.drain();
    }

    fn drain(&mut self) {
        while let Some((node, event)) = self.due.pop_front() {
            self.handle(&node, event);
        }
    }

    /// Returns `true` if messages pass between two nodes.
    fn is_connected(&self, from: &EndpointId, to: &EndpointId) -> bool {
        let zone = |node| self.nodes.get(node).map(zone_of);
        let (from, to) = (zone(from), zone(to));
        from == to || [from, to].iter().flatten().all(|zone| !self.islands.contains(zone))
    }

    pub fn handle(&mut self, node: &EndpointId, event: FleetEvent) {
        if self.frozen.contains(node) {
            return;
        }
        let Some(roster) = self.nodes.get_mut(node) else { return };
        for action in roster.handle(event, self.now) {
            match action {
                FleetAction::Send(to, _, message) => {
                    if self.frozen.contains(&to) || !self.is_connected(node, &to) {
                        continue;
                    }
                    let hello = self.nodes[node].hello();
                    if self.linked.insert((node.clone(), to.clone())) {
                        let hello_received = FleetEvent::Received(node.clone(), hello);
                        self.due.push_back((to.clone(), hello_received));
                    }
                    self.due.push_back((to, FleetEvent::Received(node.clone(), message)));
                }
                FleetAction::Platform(call) => self.call(node, call),
                FleetAction::Policy(policy) => {
                    let held = self.in_force.insert(node.clone(), policy.revision());
                    self.ever_in_force.insert((node.clone(), policy.revision()));
                    self.in_force_at.insert((node.clone(), policy.revision()), self.now);
                    assert!(
                        held.unwrap_or_default() < policy.revision(),
                        "{node} returned to an earlier revision"
                    );
                }
                FleetAction::View(member) => {
                    self.views.insert((node.clone(), member.endpoint.clone()), *member);
                }
                FleetAction::Notice(FleetNotice::Rejoined) => self.rejoined.push(node.clone()),
                FleetAction::UpstreamHistoryComplete => {
                    self.history_ends.insert(node.clone(), HistoryEnd::Complete);
                }
                FleetAction::UpstreamHistoryUnknown => {
                    self.history_ends.insert(node.clone(), HistoryEnd::Unknown);
                }
                FleetAction::Connect(_)
                | FleetAction::Notice(_)
                | FleetAction::UpstreamHistory(_)
                | FleetAction::UpstreamUnconfirmed
                | FleetAction::UpstreamRecorded(_) => {}
            }
        }
    }

    pub fn call(&mut self, node: &EndpointId, call: PlatformCall) {
        self.calls += 1;
        let is_stale_read =
            matches!(call, PlatformCall::ListMembersLagging | PlatformCall::ListConfigLagging);
        self.cost_tenths += if is_stale_read { 1 } else { 10 };
        let reply = match &call {
            _ if self.silent.contains(node) => {
                let is_watch = matches!(call, PlatformCall::WatchConfigFor(..));
                let timeout = if is_watch { SILENT_WATCH_TIMEOUT } else { CALL_TIMEOUT };
                return self.timeouts.push((self.now.after(timeout), node.clone(), call));
            }
            _ if self.cut.contains(node) => {
                let failed = FleetEvent::Platform(call, PlatformReply::Failed);
                return self.due.push_back((node.clone(), failed));
            }
            PlatformCall::WatchConfigFor(_, wait) => {
                let until = self.now.after(*wait);
                return self.watches.push((node.clone(), call, until));
            }
            PlatformCall::PutMember(..) if self.delays_writes => {
                self.late_writes.push((self.now.after(LATE_WRITE_DELAY), call.clone()));
                PlatformReply::Failed
            }
            _ => self.store.call(&call, self.now),
        };
        self.answer(node, call, reply);
    }

    /// Delivers an answer of the store to a node, after the era that the answer reports.
    fn answer(&mut self, node: &EndpointId, call: PlatformCall, reply: PlatformReply) {
        self.due.push_back((node.clone(), FleetEvent::StoreEra(self.store.era())));
        self.due.push_back((node.clone(), FleetEvent::Platform(call, reply)));
    }

    fn end_watches(&mut self) {
        for (node, call, until) in std::mem::take(&mut self.watches) {
            let PlatformCall::WatchConfigFor(after, _) = call else { continue };
            if self.silent.contains(&node) {
                let until = self.now.after(SILENT_WATCH_TIMEOUT);
                self.timeouts.push((until, node, call));
            } else if self.cut.contains(&node) {
                self.feed(&node, FleetEvent::Platform(call, PlatformReply::Failed));
            } else if let Some(reply) = self.store.watch(after, until <= self.now) {
                self.answer(&node, call, reply);
                self.drain();
            } else {
                self.watches.push((node, call, until));
            }
        }
    }

    fn end_timed_out_calls(&mut self) {
        let now = self.now;
        let (due, left) = self.timeouts.drain(..).partition(|(at, ..)| *at <= now);
        self.timeouts = left;
        for (_, node, call) in due {
            self.feed(&node, FleetEvent::Platform(call, PlatformReply::Failed));
        }
    }

    fn execute_late_writes(&mut self) {
        let now = self.now;
        let (due, left) = self.late_writes.drain(..).partition(|(at, _)| *at <= now);
        self.late_writes = left;
        for (_, call) in due {
            self.store.call(&call, now);
        }
    }

    /// Restores the store from a backup of this age. Lost configurations have to be published
    /// again, as the operator would.
    pub fn restore_store(&mut self, age: Duration) {
        self.store.restore(age, self.now);
    }

    /// Returns `true` if the stored object of a node has this upstream state.
    pub fn is_stored(&self, index: usize, state: UpstreamState) -> bool {
        let object = self.store.object(&name(index));
        let upstream = object.and_then(|member| member.upstream.as_ref());
        upstream.is_some_and(|held| held.state == state)
    }

    pub fn run(&mut self, span: Duration) {
        let until = self.now.after(span);
        while self.now < until {
            self.now = self.now.after(STEP);
            self.store.take_backup(self.now);
            self.execute_late_writes();
            self.end_watches();
            self.end_timed_out_calls();
            if self.now.as_micros().is_multiple_of(Roster::TICK.as_micros() as u64) {
                for node in self.nodes.keys().cloned().collect::<Vec<_>>() {
                    self.feed(&node, FleetEvent::Tick);
                }
            }
        }
    }

    pub fn register_all(&mut self) {
        for node in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.feed(&node, FleetEvent::Upstream(record(UpstreamState::Ready)));
        }
    }

    pub fn all_know(&self, state: UpstreamState, of: usize) -> bool {
        self.nodes.keys().all(|node| {
            let view = self.views.get(&(node.clone(), name(of)));
            view.and_then(|view| view.upstream.as_ref()).is_some_and(|held| held.state == state)
        })
    }

    /// Returns the nodes of a zone that hold a watch on the configuration.
    pub fn watchers(&self, zone: &str) -> Vec<EndpointId> {
        let is_watcher = |(_, roster): &(&EndpointId, &Roster)| {
            roster.summary(self.now).is_reporter && zone_of(roster).as_str() == zone
        };
        self.nodes.iter().filter(is_watcher).map(|(node, _)| node.clone()).collect()
    }

    pub fn all_have(&self, revision: u64) -> bool {
        self.nodes.keys().all(|node| self.in_force.get(node) == Some(&Revision::new(revision)))
    }
}

fn zone_of(roster: &Roster) -> ZoneName {
    let ControlMessage::Hello(hello) = roster.hello() else { panic!("no hello") };
    hello.member.zone
}

pub fn settled(nodes: usize) -> World {
    let mut world = World::new(nodes);
    world.publish(1);
    world.run(Duration::from_millis(500));
    world.register_all();
    world.run(Duration::from_secs(3));
    world
}
