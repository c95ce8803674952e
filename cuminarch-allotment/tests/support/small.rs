use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use cuminarch_allotment::{AllotmentOutput, AllotmentSettings, AllotmentTable, TokenDecision};
use cuminarch_protocol::AllotmentMessage;
use cuminarch_types::{
    AccountName, Allotment, CallId, EndpointId, MonoTime, RatePerSecond, ZoneName,
};

use super::bound::OneBucket;

/// Time by which a node in touch learns of a change of members, or a node that was suspended does.
const SPREAD: Duration = Duration::from_millis(1_900);
/// Time for which tokens of before a lowered limit may be used.
const LIFETIME: Duration = Duration::from_millis(101);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    Request(usize, usize),
    /// The newest or the oldest request that a node started did not start after all.
    GiveBack(usize, usize, bool),
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    Advance(u64),
    Cut(usize),
    Restart(usize),
    /// A node restarts and reads the members from the store.
    Rejoin(usize),
    Suspend(usize),
    /// A node applies the other limits.
    Limit(usize),
    /// The last node leaves or joins.
    Change,
    /// A node learns whether the last one is a member.
    Learn(usize),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Entry {
    Started(usize, u64, CallId),
    Limit(Allotment),
}

#[derive(Clone, Debug)]
struct SmallNode {
    endpoint: EndpointId,
    zone: ZoneName,
    table: AllotmentTable,
    processes: u64,
    is_cut: bool,
    is_suspended: bool,
    limits: usize,
    /// Whether it knows the last node as a member, and by when it learns of a change.
    knows_last: bool,
    learns_by: Option<MonoTime>,
}

/// A few nodes of which everything is decided by actions, with the bound checked at each grant.
#[derive(Clone, Debug)]
pub struct Small {
    pub now: MonoTime,
    nodes: Vec<SmallNode>,
    zones: Vec<ZoneName>,
    pub limits: [BTreeMap<AccountName, Allotment>; 2],
    names: Vec<AccountName>,
    bounds: Vec<OneBucket>,
    /// What happened to each account: requests that started, and changed limits.
    logs: Vec<Vec<(MonoTime, Entry)>>,
    /// Limits by which the bounds go, and when lower ones bind.
    bound_limits: usize,
    lowered_at: Option<MonoTime>,
    last_is_member: bool,
    pub messages: Vec<(usize, usize, AllotmentMessage)>,
    calls: u64,
    owners: BTreeMap<CallId, usize>,
    pub granted: u64,
    pub violation: Option<String>,
}

pub fn limit(rate: f64, burst_requests: u32) -> Allotment {
    Allotment { rate: RatePerSecond::new(rate), burst_requests }
}

impl Small {
    /// Starts nodes with full buckets. The second limits are the lower ones.
    pub fn new(node_count: usize, zone_count: usize, limits: [Vec<Allotment>; 2]) -> Self {
        let zones: Vec<ZoneName> =
            (0..zone_count).map(|zone| format!("zone-{zone}").parse().unwrap()).collect();
        let names: Vec<AccountName> =
            (0..limits[0].len()).map(|at| format!("account-{at}").parse().unwrap()).collect();
        let bounds = limits[0].iter().map(|limit| OneBucket::full(*limit)).collect();
        let logs = vec![Vec::new(); limits[0].len()];
        let limits =
            limits.map(|limits| names.iter().cloned().zip(limits).collect::<BTreeMap<_, _>>());
        let nodes = (0..node_count)
            .map(|node| {
                let endpoint: EndpointId = format!("e-{}", node + 20).parse().unwrap();
                let zone = zones[node % zone_count].clone();
                let settings = AllotmentSettings::new(endpoint.clone(), zone.clone());
                SmallNode {
                    endpoint,
                    zone,
                    table: AllotmentTable::new(settings),
                    processes: 0,
                    is_cut: false,
                    is_suspended: false,
                    limits: 0,
                    knows_last: true,
                    learns_by: None,
                }
            })
            .collect();
        let mut small = Self {
            now: MonoTime::ZERO,
            nodes,
            zones,
            limits,
            names,
            bounds,
            logs,
            bound_limits: 0,
            lowered_at: None,
            last_is_member: true,
            messages: Vec::new(),
            calls: 0,
            owners: BTreeMap::new(),
            granted: 0,
            violation: None,
        };
        for node in 0..node_count {
            small.start(node);
        }
        for _ in 0..10 {
            small.apply(Action::Advance(500));
        }
        small
    }

    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether a node holds a part of an account.
    pub fn holds_part(&self, node: usize, account: usize) -> bool {
        let summary = self.nodes[node].table.summary(self.now);
        summary.iter().any(|known| known.account == self.names[account] && !known.held.is_empty())
    }

    pub fn account_count(&self) -> usize {
        self.names.len()
    }

    /// Applies an action; one that makes no sense now changes nothing.
    pub fn apply(&mut self, action: Action) {
        match action {
            Action::Request(node, account) => self.request(node, account),
            Action::GiveBack(node, account, is_newest) => self.give_back(node, account, is_newest),
            Action::Deliver(at) if at < self.messages.len() => {
                let message = self.messages.remove(at);
                self.deliver(message);
            }
            Action::Lose(at) if at < self.messages.len() => {
                self.messages.remove(at);
            }
            Action::Duplicate(at) if at < self.messages.len() => {
                let message = self.messages[at].clone();
                self.messages.push(message);
            }
            Action::Deliver(_) | Action::Lose(_) | Action::Duplicate(_) => {}
            Action::Advance(millis) => self.advance(millis),
            Action::Cut(node) => self.nodes[node].is_cut ^= true,
            Action::Restart(node) => {
                self.nodes[node].is_suspended = false;
                self.start(node);
            }
            Action::Rejoin(node) => self.rejoin(node),
            Action::Suspend(node) => self.suspend(node),
            Action::Limit(node) => self.set_limits(node),
            Action::Change => self.change(),
            Action::Learn(node) => self.learn(node),
        }
    }

    /// Lets all nodes spend what they can get now, on a copy.
    pub fn probe(&self) -> Option<String> {
        let mut copy = self.clone();
        let mut granted = None;
        while granted != Some(copy.granted) && copy.violation.is_none() {
            granted = Some(copy.granted);
            copy.deliver_all();
            for account in 0..copy.names.len() {
                for node in 0..copy.nodes.len() {
                    copy.request(node, account);
                    copy.deliver_all();
                }
            }
        }
        copy.violation
    }

    /// Identifies a state; equal ones behave alike.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let text = format!("{:?} {:?} {:?}", self.nodes, self.messages, self.logs);
        (text, self.now, self.lowered_at, self.last_is_member).hash(&mut hasher);
        hasher.finish()
    }

    fn start(&mut self, node: usize) {
        let now = self.now;
        let last = self.nodes.len() - 1;
        let members: Vec<(EndpointId, ZoneName)> =
            self.nodes.iter().map(|node| (node.endpoint.clone(), node.zone.clone())).collect();
        let state = &mut self.nodes[node];
        state.processes += 1;
        let settings = AllotmentSettings::new(state.endpoint.clone(), state.zone.clone())
            .with_zones(self.zones.iter().cloned().collect())
            .with_seed(state.processes * 1_000 + node as u64);
        state.table = AllotmentTable::new(settings);
        state.table.set_accounts(self.limits[state.limits].clone(), now);
        for (at, (endpoint, zone)) in members.iter().enumerate() {
            if at != last || state.knows_last {
                state.table.set_member(endpoint, zone, true, now);
            }
        }
        self.flush(node);
    }

    /// A node that leaves ends before the others hear of it, so the store never names fewer members
    /// than act.
    fn rejoin(&mut self, node: usize) {
        let last = self.nodes.len() - 1;
        let is_ending = !self.last_is_member && self.nodes[last].learns_by.is_some();
        if is_ending || (node == last && !self.last_is_member) {
            return;
        }
        let state = &mut self.nodes[node];
        state.is_suspended = false;
        state.learns_by = None;
        state.knows_last = self.last_is_member;
        self.start(node);
        let now = self.now;
        self.nodes[node].table.confirm_members(now);
        self.flush(node);
    }

    fn request(&mut self, node: usize, account: usize) {
        let (now, name) = (self.now, self.names[account].clone());
        let state = &mut self.nodes[node];
        if state.is_suspended {
            return;
        }
        self.calls += 1;
        let call = CallId::new(self.calls);
        self.owners.insert(call, account);
        let decision = state.table.request(&name, call, now);
        self.decided(node, call, decision);
        self.flush(node);
    }

    /// Returns the token of a request, which thus did not start. The table does not learn
    /// which one that was.
    fn give_back(&mut self, node: usize, account: usize, is_newest: bool) {
        // A process gives back what it was granted itself, within 10 s.
        let (now, process) = (self.now, self.nodes[node].processes);
        let is_own = |(at, entry): &(MonoTime, Entry)| {
            now.since(*at) <= Duration::from_secs(10)
                && matches!(entry, Entry::Started(by, of, _) if (*by, *of) == (node, process))
        };
        let log = &mut self.logs[account];
        let place =
            if is_newest { log.iter().rposition(is_own) } else { log.iter().position(is_own) };
        let Some(place) = place else { return };
        if self.nodes[node].is_suspended {
            return;
        }
        log.remove(place);
        let mut bound = OneBucket::full(self.limits[0][&self.names[account]]);
        for (at, entry) in log.iter() {
            match entry {
                Entry::Started(..) => {
                    bound.spend(*at);
                }
                Entry::Limit(limit) => bound.set_limit(*limit, *at),
            }
        }
        self.bounds[account] = bound;
        self.nodes[node].table.give_back(&self.names[account], self.now);
    }

    fn decided(&mut self, node: usize, call: CallId, decision: TokenDecision) {
        if decision == TokenDecision::Waiting {
            return;
        }
        let Some(account) = self.owners.remove(&call) else {
            self.violation = Some(format!("{call} decided twice"));
            return;
        };
        if decision == TokenDecision::Granted {
            self.granted += 1;
            self.logs[account]
                .push((self.now, Entry::Started(node, self.nodes[node].processes, call)));
            if !self.bounds[account].spend(self.now) && self.violation.is_none() {
                self.violation = Some(format!("{} above its bound at {}", account, self.now));
            }
        }
    }

    fn deliver(&mut self, (from, to, message): (usize, usize, AllotmentMessage)) {
        let now = self.now;
        if self.nodes[from].is_cut || self.nodes[to].is_cut || self.nodes[to].is_suspended {
            return;
        }
        let from = self.nodes[from].endpoint.clone();
        self.nodes[to].table.receive(&from, message, now);
        self.flush(to);
    }

    fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            let message = self.messages.remove(0);
            self.deliver(message);
        }
    }

    fn flush(&mut self, node: usize) {
        for output in self.nodes[node].table.take_outputs() {
            match output {
                AllotmentOutput::Decided(call, decision) => self.decided(node, call, decision),
                AllotmentOutput::Send(to, message) => {
                    let to = self.nodes.iter().position(|node| node.endpoint == to).unwrap();
                    self.messages.push((node, to, message));
                }
            }
        }
    }

    fn advance(&mut self, millis: u64) {
        let until = self.now.after(Duration::from_millis(millis));
        while self.now < until {
            self.now = self.now.after(Duration::from_millis(25)).min(until);
            for node in 0..self.nodes.len() {
                if self.nodes[node].is_suspended {
                    continue;
                }
                if self.nodes[node].learns_by.is_some_and(|at| at <= self.now) {
                    self.learn(node);
                }
                let now = self.now;
                let table = &mut self.nodes[node].table;
                if table.next_wake().is_some_and(|at| at <= now) {
                    table.tick(now);
                    self.flush(node);
                }
            }
            self.lower_bounds();
        }
    }

    fn suspend(&mut self, node: usize) {
        let now = self.now;
        let state = &mut self.nodes[node];
        state.is_suspended ^= true;
        if !state.is_suspended {
            if state.learns_by.is_some() {
                state.learns_by = Some(now.after(SPREAD));
            }
            state.table.tick(now);
            self.flush(node);
        }
    }

    fn set_limits(&mut self, node: usize) {
        let now = self.now;
        let state = &mut self.nodes[node];
        if state.is_suspended {
            return;
        }
        state.limits ^= 1;
        state.table.set_accounts(self.limits[state.limits].clone(), now);
        self.flush(node);
        let is_lower = self.nodes.iter().all(|node| node.limits == 1);
        self.lowered_at = is_lower.then(|| now.after(LIFETIME));
        if !is_lower && self.bound_limits == 1 {
            self.set_bounds(0);
        }
    }

    fn lower_bounds(&mut self) {
        if self.bound_limits == 0 && self.lowered_at.is_some_and(|at| at <= self.now) {
            self.set_bounds(1);
        }
    }

    fn set_bounds(&mut self, limits: usize) {
        self.bound_limits = limits;
        for (account, limit) in self.limits[limits].values().enumerate() {
            self.bounds[account].set_limit(*limit, self.now);
            self.logs[account].push((self.now, Entry::Limit(*limit)));
        }
    }

    /// The next change comes after the last one has spread.
    fn change(&mut self) {
        if self.nodes.iter().any(|node| node.learns_by.is_some()) {
            return;
        }
        self.last_is_member ^= true;
        let by = self.now.after(SPREAD);
        for node in &mut self.nodes {
            node.learns_by = Some(by);
        }
    }

    fn learn(&mut self, node: usize) {
        let (now, last) = (self.now, self.nodes.len() - 1);
        let (endpoint, zone) = (self.nodes[last].endpoint.clone(), self.nodes[last].zone.clone());
        let is_member = self.last_is_member;
        let state = &mut self.nodes[node];
        if state.is_suspended || state.learns_by.is_none() {
            return;
        }
        state.learns_by = None;
        state.knows_last = is_member;
        state.table.set_member(&endpoint, &zone, is_member, now);
        self.flush(node);
    }
}
