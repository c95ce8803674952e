//! Invariants of `Admission`, with its queue checked against a naive one.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_admission::{Admission, AdmissionDecision, AdmissionSettings, QueueEvent};
use cuminarch_types::{CallId, ConcurrencyLimit, MonoTime, Rank};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MAX_QUEUE: usize = 6;

#[derive(Clone, Copy, Debug)]
enum Step {
    Offer { rank: u16, timeout_ms: u64 },
    Finish { index: usize, latency_ms: u64 },
    Cancel { index: usize },
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..500_u16, 1..400_u64)
            .prop_map(|(rank, timeout_ms)| Step::Offer { rank, timeout_ms }),
        3 => (any::<usize>(), 1..60_u64)
            .prop_map(|(index, latency_ms)| Step::Finish { index, latency_ms }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        1 => (0..60_u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn settings() -> AdmissionSettings {
    let mut settings = AdmissionSettings::new().with_max_limit(ConcurrencyLimit::new(12));
    settings.initial_limit = ConcurrencyLimit::new(4);
    settings.min_limit = ConcurrencyLimit::new(2);
    settings.max_queue = MAX_QUEUE;
    settings
}

/// Drives the admission and keeps a naive queue that is searched linearly.
struct Harness {
    admission: Admission,
    now: MonoTime,
    next: u64,
    running: Vec<CallId>,
    waiting: BTreeMap<CallId, Rank>,
}

impl Harness {
    fn new() -> Self {
        Self {
            admission: Admission::new(settings()),
            now: MonoTime::ZERO,
            next: 1,
            running: Vec::new(),
            waiting: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Offer { rank, timeout_ms } => self.offer(Rank::new(rank), timeout_ms),
            Step::Finish { index, latency_ms } if !self.running.is_empty() => {
                let call = self.running.remove(index % self.running.len());
                let latency = Some(Duration::from_millis(latency_ms));
                let events = self.admission.finish(call, latency, self.now);
                self.apply(events);
            }
            Step::Cancel { index } if !self.waiting.is_empty() => {
                let position = index % self.waiting.len();
                let call = self.waiting.keys().nth(position).copied().unwrap();
                self.waiting.remove(&call);
                let events = self.admission.cancel(call, self.now);
                self.apply(events);
            }
            Step::Wait { millis } => {
                self.now = self.now.after(Duration::from_millis(millis));
                let events = self.admission.poll(self.now);
                self.apply(events);
            }
            Step::Finish { .. } | Step::Cancel { .. } => {}
        }
        assert_eq!(self.admission.running(), self.running.len());
        assert_eq!(self.admission.waiting(), self.waiting.len());
        assert!(self.waiting.len() <= MAX_QUEUE);
    }

    fn offer(&mut self, rank: Rank, timeout_ms: u64) {
        let call = CallId::new(self.next);
        self.next += 1;
        let deadline = self.now.after(Duration::from_millis(timeout_ms));
        let lowest = self.waiting.values().min().copied();
        let reply = self.admission.offer(call, rank, deadline, self.now);
        if let Some(evicted) = reply.evicted {
            let evicted_rank =
                self.waiting.remove(&evicted).expect("only queued calls are evicted");
            assert!(evicted_rank < rank);
            assert_eq!(Some(evicted_rank), lowest);
        }
        match reply.decision {
            AdmissionDecision::Run => {
                assert!(self.waiting.is_empty(), "a queued call was overtaken");
                self.start(call);
            }
            AdmissionDecision::Wait => {
                self.waiting.insert(call, rank);
            }
            AdmissionDecision::Refuse { .. } => {
                assert!(
                    lowest.is_none_or(|lowest| lowest >= rank),
                    "a queued call of lower rank was not evicted"
                );
            }
        }
    }

    fn start(&mut self, call: CallId) {
        self.running.push(call);
        assert!(self.running.len() <= self.admission.limit().get() as usize);
    }

    fn apply(&mut self, events: Vec<QueueEvent>) {
        for event in events {
            match event {
                QueueEvent::Refuse(call) => {
                    assert!(self.waiting.remove(&call).is_some(), "more than one event for a call");
                }
                QueueEvent::Run(call) => {
                    let naive = self.waiting.iter().max_by_key(|(call, rank)| (**rank, **call));
                    assert_eq!(naive.map(|(call, _)| *call), Some(call));
                    self.waiting.remove(&call);
                    self.start(call);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn keeps_its_invariants(steps in prop::collection::vec(step(), 1..300)) {
        let mut harness = Harness::new();
        for step in steps {
            harness.step(step);
        }
        harness.step(Step::Wait { millis: 60_000 });
        prop_assert!(harness.waiting.is_empty(), "a call stayed queued");
    }
}

#[test]
fn refuses_calls_that_cannot_end_before_their_deadline() {
    let mut admission = Admission::new(settings());
    let mut now = MonoTime::ZERO;
    for call in 1..200 {
        let call = CallId::new(call);
        admission.offer(call, Rank::MAX, now.after(Duration::from_secs(9)), now);
        now = now.after(Duration::from_millis(30));
        admission.finish(call, Some(Duration::from_millis(30)), now);
    }
    let far = now.after(Duration::from_secs(9));
    let mut call = 1_000;
    while admission.offer(CallId::new(call), Rank::MAX, far, now).decision == AdmissionDecision::Run
    {
        call += 1;
    }
    let late = CallId::new(5_000);
    let deadline = now.after(Duration::from_millis(20));
    assert_eq!(admission.offer(late, Rank::MAX, deadline, now).decision, AdmissionDecision::Wait);
    assert!(admission.poll(now).contains(&QueueEvent::Refuse(late)));
}

#[test]
fn the_level_falls_to_the_minimum_after_an_overload() {
    let mut admission = Admission::new(settings());
    let mut now = MonoTime::ZERO;
    for call in 0..2_000_u64 {
        let rank = Rank::new((call % 400) as u16);
        admission.offer(CallId::new(call), rank, now.after(Duration::from_secs(1)), now);
        now = now.after(Duration::from_millis(1));
        admission.poll(now);
    }
    assert!(admission.level() > Rank::MIN);
    for call in 0..2_000 {
        admission.cancel(CallId::new(call), now);
    }
    now = now.after(Duration::from_secs(2));
    admission.poll(now);
    assert_eq!(admission.level(), Rank::MIN);
}
