use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use cuminarch_allotment::{AllotmentOutput, AllotmentSettings, AllotmentTable, TokenDecision};
use cuminarch_protocol::{AllotmentDatagram, AllotmentMessage};
use cuminarch_types::{
    AccountName, Allotment, CallId, EndpointId, Incarnation, MonoTime, ZoneName,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Deliver(usize),
    Wake(usize),
}

pub struct Node {
    pub endpoint: EndpointId,
    pub zone: ZoneName,
    pub table: Option<AllotmentTable>,
    pub sent_messages: u64,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    /// Asks of entry nodes, asks of holders, and grants.
    pub sent_by_kind: [u64; 3],
    processes: u64,
    wake_at: Option<MonoTime>,
}

/// Nodes with links that delay and lose datagrams.
pub struct Fleet {
    pub now: MonoTime,
    pub nodes: Vec<Node>,
    pub accounts: BTreeMap<AccountName, Allotment>,
    /// Decisions with their times.
    pub decided: Vec<(MonoTime, CallId, TokenDecision)>,
    /// One datagram in so many is lost; 0 loses none.
    pub loss_one_in: u32,
    /// Zones whose datagrams to and from other zones are lost.
    pub cut: BTreeSet<ZoneName>,
    pub seed: u64,
    zones: BTreeSet<ZoneName>,
    index: BTreeMap<EndpointId, usize>,
    events: BinaryHeap<Reverse<(MonoTime, u64, Event)>>,
    in_transit: BTreeMap<usize, (usize, usize, AllotmentMessage)>,
    next_event: u64,
    random: ChaCha8Rng,
}

impl Fleet {
    pub fn new(node_count: usize, zone_count: usize, seed: u64) -> Self {
        let zones: Vec<ZoneName> =
            (0..zone_count).map(|zone| format!("zone-{zone}").parse().unwrap()).collect();
        let nodes: Vec<Node> = (0..node_count)
            .map(|node| Node {
                endpoint: format!("service-{}-{node}", node % 4).parse().unwrap(),
                zone: zones[node % zone_count].clone(),
                table: None,
                sent_messages: 0,
                sent_bytes: 0,
                received_bytes: 0,
                sent_by_kind: [0; 3],
                processes: 0,
                wake_at: None,
            })
            .collect();
        let index =
            nodes.iter().enumerate().map(|(at, node)| (node.endpoint.clone(), at)).collect();
        Self {
            now: MonoTime::ZERO,
            nodes,
            accounts: BTreeMap::new(),
            decided: Vec::new(),
            loss_one_in: 0,
            cut: BTreeSet::new(),
            seed,
            zones: zones.into_iter().collect(),
            index,
            events: BinaryHeap::new(),
            in_transit: BTreeMap::new(),
            next_event: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts a process on a node that knows the members and accounts.
    pub fn start(&mut self, node: usize) {
        let zones = self.zones.clone();
        self.nodes[node].processes += 1;
        let seed = self.seed * 1_000_003 + self.nodes[node].processes * 10_007 + node as u64;
        let settings = AllotmentSettings::new(
            self.nodes[node].endpoint.clone(),
            self.nodes[node].zone.clone(),
        );
        let mut table = AllotmentTable::new(settings.with_zones(zones).with_seed(seed));
        for member in &self.nodes {
            table.set_member(&member.endpoint, &member.zone, true, self.now);
        }
        table.set_accounts(self.accounts.clone(), self.now);
        self.nodes[node].table = Some(table);
        self.flush(node);
    }

    /// Starts a process on a node that has read the members from the store.
    pub fn rejoin(&mut self, node: usize) {
        self.start(node);
        if let Some(table) = &mut self.nodes[node].table {
            table.confirm_members(self.now);
        }
        self.flush(node);
    }

    pub fn stop(&mut self, node: usize) {
        self.nodes[node].table = None;
        self.nodes[node].wake_at = None;
    }

    pub fn request(&mut self, node: usize, account: &AccountName, call: CallId) {
        let now = self.now;
        let Some(table) = self.nodes[node].table.as_mut() else { return };
        let decision = table.request(account, call, now);
        if decision != TokenDecision::Waiting {
            self.decided.push((now, call, decision));
        }
        self.flush(node);
    }

    /// Handles events up to `until`.
    pub fn run_until(&mut self, until: MonoTime) {
        while let Some(Reverse((at, _, _))) = self.events.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else { return };
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    /// Returns whether no cut lies between two nodes.
    pub fn are_linked(&self, left: usize, right: usize) -> bool {
        let (near, far) = (&self.nodes[left].zone, &self.nodes[right].zone);
        near == far || !(self.cut.contains(near) || self.cut.contains(far))
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deliver(key) => {
                let Some((from, to, message)) = self.in_transit.remove(&key) else { return };
                let from = self.nodes[from].endpoint.clone();
                if let Some(table) = self.nodes[to].table.as_mut() {
                    table.receive(&from, message, now);
                    self.flush(to);
                }
            }
            Event::Wake(node) => {
                if self.nodes[node].wake_at != Some(now) {
                    return;
                }
                self.nodes[node].wake_at = None;
                if let Some(table) = self.nodes[node].table.as_mut() {
                    table.tick(now);
                    self.flush(node);
                }
            }
        }
    }

    fn flush(&mut self, node: usize) {
        let Some(table) = self.nodes[node].table.as_mut() else { return };
        let outputs = table.take_outputs();
        let wake_at = table.next_wake().map(|at| at.max(self.now));
        for output in outputs {
            match output {
                AllotmentOutput::Decided(call, decision) => {
                    self.decided.push((self.now, call, decision));
                }
                AllotmentOutput::Send(to, message) => self.send(node, &to, message),
            }
        }
        if let Some(at) = wake_at
            && self.nodes[node].wake_at != wake_at
        {
            self.nodes[node].wake_at = wake_at;
            self.push(at, Event::Wake(node));
        }
    }

    fn send(&mut self, from: usize, to: &EndpointId, message: AllotmentMessage) {
        let to = self.index[to];
        let datagram = AllotmentDatagram {
            from: self.nodes[from].endpoint.clone(),
            incarnation: Incarnation::new(1_764_870_000_000 + self.nodes[from].processes),
            message,
        };
        let len = datagram.encode().unwrap().len() as u64;
        let kind = match &datagram.message {
            AllotmentMessage::Ask(ask) => usize::from(ask.is_from_holder),
            AllotmentMessage::Grant(_) => 2,
        };
        self.nodes[from].sent_by_kind[kind] += 1;
        self.nodes[from].sent_messages += 1;
        self.nodes[from].sent_bytes += len;
        let (near, far) = (&self.nodes[from].zone, &self.nodes[to].zone);
        let is_cut = !self.are_linked(from, to);
        let is_lost = self.loss_one_in > 0 && self.random.random_range(0..self.loss_one_in) == 0;
        if is_cut || is_lost {
            return;
        }
        let delay_us = if near == far { 100 } else { 500 };
        self.nodes[to].received_bytes += len;
        let key = usize::try_from(self.next_event).unwrap();
        self.in_transit.insert(key, (from, to, datagram.message));
        self.push(self.now.after(Duration::from_micros(delay_us)), Event::Deliver(key));
    }

    fn push(&mut self, at: MonoTime, event: Event) {
        self.events.push(Reverse((at, self.next_event, event)));
        self.next_event += 1;
    }
}
