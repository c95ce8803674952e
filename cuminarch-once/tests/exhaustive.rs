//! Every interleaving of up to three sends of one client key over two nodes, one restart and a
//! faulty platform, by breadth-first search.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeSet, VecDeque};

use cuminarch_once::{
    BoundKey, Claim, ClaimOutcome, ClaimReply, ClaimSettings, ClaimShard, ClaimStep, KeyDecision,
    KeyResult, KeyTable, KeyTableSettings, RequestFingerprint, ShardState,
};
use cuminarch_types::{CallId, Incarnation, MonoTime, Outcome};
use rstest::rstest;

/// How the nodes handle claims; all but the first variant are broken on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Unmodified,
    /// A write with a lost answer counts as done.
    TrustLostWrite,
    /// A key bound to a process that no longer exists is run by the claimant.
    RunKeysOfDeadProcesses,
    /// An interrupted run counts as not run.
    ForgetInterruptedRuns,
}

type Process = (usize, u64);

#[derive(Clone, Debug)]
enum Phase {
    Unsent,
    Platform(ClaimStep<u64>),
    Sent(Process, BoundKey),
    Running(Process, BoundKey, bool),
    Ended,
}

#[derive(Clone, Debug)]
struct Call {
    origin: Process,
    claim: Option<(Claim, BoundKey)>,
    phase: Phase,
    runs_before: u8,
    has_run: bool,
    reported: Option<Outcome>,
}

#[derive(Clone, Debug)]
struct Node {
    incarnation: u64,
    table: KeyTable,
}

#[derive(Clone, Debug)]
struct World {
    stored: ShardState<u64>,
    late_writes: Vec<ShardState<u64>>,
    nodes: Vec<Node>,
    calls: Vec<Call>,
    restarts_left: u8,
    faults_left: u8,
    runs: u8,
}

fn node(index: usize, incarnation: u64) -> Node {
    let endpoint = format!("kasse-{index}").parse().unwrap();
    let incarnation_id = Incarnation::new(incarnation);
    Node { incarnation, table: KeyTable::new(KeyTableSettings::new(), endpoint, incarnation_id) }
}

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint::new("POST", "/orders", None)
}

fn process_of(key: &BoundKey) -> Process {
    (usize::from(key.endpoint.as_str() == "kasse-1"), key.incarnation.get())
}

impl World {
    fn new(sends: usize, faults_left: u8) -> Self {
        let call = Call {
            origin: (0, 0),
            claim: None,
            phase: Phase::Unsent,
            runs_before: 0,
            has_run: false,
            reported: None,
        };
        Self {
            stored: ShardState { version: None, shard: ClaimShard::default() },
            late_writes: Vec::new(),
            nodes: vec![node(0, 1), node(1, 1)],
            calls: vec![call; sends],
            restarts_left: 1,
            faults_left,
            runs: 0,
        }
    }

    fn is_alive(&self, process: Process) -> bool {
        self.nodes[process.0].incarnation == process.1
    }

    fn successors(&self, variant: Variant) -> Vec<Self> {
        let mut next = Vec::new();
        for call in 0..self.calls.len() {
            self.call_steps(call, variant, &mut next);
        }
        for late in 0..self.late_writes.len() {
            let mut world = self.clone();
            let write = world.late_writes.remove(late);
            world.apply(write);
            next.push(world);
        }
        if self.restarts_left > 0 {
            for index in 0..self.nodes.len() {
                let mut world = self.clone();
                world.restarts_left -= 1;
                world.nodes[index] = node(index, self.nodes[index].incarnation + 1);
                next.push(world);
            }
        }
        next
    }

    fn call_steps(&self, call: usize, variant: Variant, next: &mut Vec<Self>) {
        match self.calls[call].phase.clone() {
            Phase::Unsent => {
                let earlier_are_sent =
                    self.calls[..call].iter().all(|call| !matches!(call.phase, Phase::Unsent));
                if earlier_are_sent {
                    next.extend((0..self.nodes.len()).map(|at| self.send(call, at)));
                }
            }
            Phase::Platform(_) if !self.is_alive(self.calls[call].origin) => {
                next.push(self.end(call, None));
            }
            Phase::Platform(step) => {
                for (world, reply) in self.platform(step) {
                    next.push(world.replied(call, reply, variant));
                }
            }
            Phase::Sent(process, key) => next.push(self.begin(call, process, &key)),
            Phase::Running(process, key, false) => {
                let mut ran = self.clone();
                ran.runs += 1;
                ran.calls[call].has_run = true;
                ran.calls[call].phase = Phase::Running(process, key.clone(), true);
                next.push(ran);
                next.push(self.finish(call, process, &key, KeyResult::NotRun, variant));
            }
            Phase::Running(process, key, true) => {
                let completed = KeyResult::Completed(None);
                next.push(self.finish(call, process, &key, completed, variant));
                next.push(self.finish(call, process, &key, KeyResult::Unknown, variant));
            }
            Phase::Ended => {}
        }
    }

    fn send(&self, call: usize, at: usize) -> Self {
        let mut world = self.clone();
        let node = &mut world.nodes[at];
        let bound = node.table.mint(MonoTime::ZERO);
        let origin = (at, node.incarnation);
        let key = "order-7".parse().unwrap();
        let mut claim = Claim::new(ClaimSettings::new(), key, bound.clone(), 0);
        let phase = Phase::Platform(claim.start());
        let runs_before = world.runs;
        let claim = Some((claim, bound));
        world.calls[call] = Call { origin, claim, phase, runs_before, ..world.calls[call].clone() };
        world
    }

    /// Returns every result that the platform may give for one operation.
    fn platform(&self, step: ClaimStep<u64>) -> Vec<(Self, ClaimReply<u64>)> {
        let mut faulty = self.clone();
        let has_fault = self.faults_left > 0;
        faulty.faults_left = faulty.faults_left.saturating_sub(1);
        let mut outcomes = Vec::new();
        match step {
            ClaimStep::Read => outcomes.push((self.clone(), ClaimReply::Read(self.stored.clone()))),
            ClaimStep::Write(write) => {
                let mut written = self.clone();
                let reply = if written.apply(write.clone()) {
                    ClaimReply::Written
                } else {
                    ClaimReply::Conflict(Some(self.stored.clone()))
                };
                outcomes.push((written, reply));
                if has_fault {
                    let mut lost = faulty.clone();
                    lost.apply(write.clone());
                    let mut late = faulty.clone();
                    late.late_writes.push(write);
                    outcomes.push((lost, ClaimReply::Ambiguous));
                    outcomes.push((late, ClaimReply::Ambiguous));
                    outcomes.push((faulty.clone(), ClaimReply::Ambiguous));
                }
            }
            ClaimStep::Done(_) => return outcomes,
        }
        if has_fault {
            outcomes.push((faulty, ClaimReply::Unavailable));
        }
        outcomes
    }

    fn apply(&mut self, write: ShardState<u64>) -> bool {
        let is_current = write.version == self.stored.version;
        if is_current {
            let version = Some(write.version.unwrap_or(0) + 1);
            self.stored = ShardState { version, shard: write.shard };
        }
        is_current
    }

    fn replied(mut self, call: usize, reply: ClaimReply<u64>, variant: Variant) -> Self {
        let origin = self.calls[call].origin;
        let (claim, bound) = self.calls[call].claim.as_mut().unwrap();
        let step = if reply == ClaimReply::Ambiguous && variant == Variant::TrustLostWrite {
            ClaimStep::Done(ClaimOutcome::Granted)
        } else {
            claim.next(reply)
        };
        let bound = bound.clone();
        let phase = match step {
            ClaimStep::Done(ClaimOutcome::Granted) => Phase::Sent(origin, bound),
            ClaimStep::Done(ClaimOutcome::HeldBy(key)) => {
                let holder = process_of(&key);
                if variant == Variant::RunKeysOfDeadProcesses && !self.is_alive(holder) {
                    Phase::Sent(origin, bound)
                } else {
                    Phase::Sent(holder, key)
                }
            }
            ClaimStep::Done(ClaimOutcome::Unavailable) => {
                let is_first = call == 0;
                return self
                    .end(call, Some(if is_first { Outcome::NotRun } else { Outcome::Unknown }));
            }
            step => Phase::Platform(step),
        };
        self.calls[call].phase = phase;
        self
    }

    fn begin(&self, call: usize, process: Process, key: &BoundKey) -> Self {
        if !self.is_alive(process) {
            return self.end(call, Some(Outcome::Unknown));
        }
        let mut world = self.clone();
        let id = CallId::new(call as u64);
        let table = &mut world.nodes[process.0].table;
        match table.begin(key, fingerprint(), id, MonoTime::ZERO) {
            KeyDecision::Run => {
                world.calls[call].phase = Phase::Running(process, key.clone(), false);
                world
            }
            KeyDecision::Replay(_) | KeyDecision::AlreadyRun => {
                world.end(call, Some(Outcome::Completed))
            }
            _ => world.end(call, Some(Outcome::Unknown)),
        }
    }

    fn finish(
        &self,
        call: usize,
        process: Process,
        key: &BoundKey,
        result: KeyResult,
        variant: Variant,
    ) -> Self {
        let mut world = self.clone();
        let is_alive = self.is_alive(process);
        let reported = match result {
            _ if !is_alive => Outcome::Unknown,
            KeyResult::Completed(_) => Outcome::Completed,
            KeyResult::NotRun => Outcome::NotRun,
            KeyResult::Unknown => Outcome::Unknown,
        };
        let forgets = variant == Variant::ForgetInterruptedRuns && result == KeyResult::Unknown;
        let recorded = if forgets { KeyResult::NotRun } else { result };
        if is_alive {
            world.nodes[process.0].table.finish(key, CallId::new(call as u64), recorded);
        }
        world.end(call, Some(reported))
    }

    fn end(&self, call: usize, reported: Option<Outcome>) -> Self {
        let mut world = self.clone();
        world.calls[call].phase = Phase::Ended;
        world.calls[call].claim = None;
        world.calls[call].reported = reported;
        world
    }

    fn violation(&self) -> Option<String> {
        if self.runs > 1 {
            return Some(format!("{} runs", self.runs));
        }
        let is_false_report = |call: &&Call| {
            call.reported == Some(Outcome::NotRun) && (call.has_run || call.runs_before > 0)
        };
        self.calls.iter().find(is_false_report).map(|call| format!("reported not-run: {call:?}"))
    }
}

/// Visits every state. Returns their number, or the first violation.
fn explore(start: World, variant: Variant) -> Result<usize, String> {
    let mut seen = BTreeSet::new();
    let mut queue = VecDeque::from([start]);
    while let Some(world) = queue.pop_front() {
        if let Some(violation) = world.violation() {
            return Err(violation);
        }
        for next in world.successors(variant) {
            if seen.insert(xxhash_rust::xxh3::xxh3_128(format!("{next:?}").as_bytes())) {
                queue.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

#[rstest]
#[case::two_sends_and_three_platform_faults(2, 3, 10_000)]
#[case::three_sends_and_no_platform_fault(3, 0, 10_000)]
fn no_interleaving_runs_a_key_twice_or_reports_a_false_outcome(
    #[case] sends: usize,
    #[case] faults: u8,
    #[case] at_least: usize,
) {
    let states = explore(World::new(sends, faults), Variant::Unmodified).unwrap();
    assert!(states > at_least, "only {states} states");
}

#[rstest]
#[case::trust_lost_write(Variant::TrustLostWrite)]
#[case::run_keys_of_dead_processes(Variant::RunKeysOfDeadProcesses)]
#[case::forget_interrupted_runs(Variant::ForgetInterruptedRuns)]
fn the_search_detects_a_broken_variant(#[case] variant: Variant) {
    assert!(explore(World::new(2, 1), variant).unwrap_err().contains("runs"));
}
