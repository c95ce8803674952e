//! A surge on an upstream that states a rate limit, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminarch_admission::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, QueueEvent, SlotAdmission, StartPacer,
};
use cuminarch_types::{
    CallId, ConcurrencyLimit, MonoTime, Priority, Rank, RatePerSecond, RequestId,
};
use rstest::rstest;

const SLOTS: u32 = 100;
const HOLDING: Duration = Duration::from_millis(150);
const TICK: Duration = Duration::from_millis(20);
const BROWSE: u8 = 0;
const APPROVE: u8 = 2;
const STATED_AT: MonoTime = MonoTime::from_millis(6_000);
const ENDS_AT: MonoTime = MonoTime::from_millis(20_000);

fn request(call: u64, priority: u8, now: MonoTime) -> AdmissionRequest {
    AdmissionRequest {
        call: CallId::new(call),
        rank: Rank::of_request(Priority::new(priority), RequestId::new(u128::from(call))),
        more_urgent_classes: APPROVE - priority,
        deadline: now.after(Duration::from_secs(6)),
        route: None,
        is_nested: false,
        objective: Duration::from_millis(1_500),
    }
}

/// Requests of two classes arrive at a steady rate; one in four is an approval.
struct Surge {
    admission: SlotAdmission,
    arrivals: BTreeMap<CallId, u8>,
    ends: BTreeSet<(MonoTime, CallId)>,
    starts: Vec<(MonoTime, u8)>,
    refused: Vec<(MonoTime, u8)>,
}

impl Surge {
    fn new() -> Self {
        let mut admission = SlotAdmission::new();
        admission.set_capacity(ConcurrencyLimit::new(SLOTS));
        Self {
            admission,
            arrivals: BTreeMap::new(),
            ends: BTreeSet::new(),
            starts: Vec::new(),
            refused: Vec::new(),
        }
    }

    fn play(mut self, arrivals_per_s: u64, limit: RatePerSecond) -> Self {
        let interval = Duration::from_micros(1_000_000 / arrivals_per_s);
        let (mut now, mut polled_at) = (MonoTime::ZERO, MonoTime::ZERO);
        for call in 0.. {
            now = now.after(interval);
            if now >= ENDS_AT {
                break;
            }
            self.end_runs(now, limit);
            while polled_at.after(TICK) <= now {
                polled_at = polled_at.after(TICK);
                let events = self.admission.poll(polled_at);
                self.apply(events, polled_at);
            }
            let priority = if call % 4 == 0 { APPROVE } else { BROWSE };
            self.arrivals.insert(CallId::new(call), priority);
            match self.admission.offer(&request(call, priority, now), now).decision {
                AdmissionDecision::Run => self.apply(vec![QueueEvent::Run(CallId::new(call))], now),
                AdmissionDecision::Wait => {}
                AdmissionDecision::Refuse { .. } => self.refused.push((now, priority)),
            }
        }
        self
    }

    fn end_runs(&mut self, now: MonoTime, limit: RatePerSecond) {
        while let Some((at, call)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, call));
            let stated = (at >= STATED_AT).then_some(limit);
            self.admission.pacer_mut().record_limit(stated, at);
            let events = self.admission.finish(call, Some(HOLDING), at);
            self.apply(events, at);
        }
    }

    fn apply(&mut self, events: Vec<QueueEvent>, now: MonoTime) {
        for event in events {
            match event {
                QueueEvent::Run(call) => {
                    self.ends.insert((now.after(HOLDING), call));
                    self.starts.push((now, self.arrivals[&call]));
                }
                QueueEvent::Refuse(call) => self.refused.push((now, self.arrivals[&call])),
            }
        }
    }

    /// Returns the most starts in any window that ends when the limit has settled, or later.
    fn max_starts(&self, window: Duration, settling_time: Duration) -> usize {
        let settled_at = STATED_AT.after(settling_time);
        let ends = self.starts.iter().map(|(at, _)| *at).filter(|at| *at >= settled_at);
        let within = |end: MonoTime| {
            self.starts.iter().filter(|(at, _)| *at <= end && end.since(*at) < window).count()
        };
        ends.map(within).max().unwrap_or(0)
    }

    fn starts_after(&self, from: MonoTime, priority: u8) -> usize {
        self.starts.iter().filter(|(at, class)| *at >= from && *class == priority).count()
    }
}

/// The upstream tolerates half more than its limit and five requests, in any four seconds from
/// three seconds after its statement on.
#[rstest]
#[case::slightly_less(0.8)]
#[case::half(0.5)]
#[case::a_third(0.33)]
#[case::a_fifth(0.2)]
fn upstream_gets_no_more_than_the_limit_that_it_states(#[case] share: f64) {
    let limit = RatePerSecond::new(100.0 * share);
    let surge = Surge::new().play(100, limit);
    let most = surge.max_starts(Duration::from_secs(4), Duration::from_secs(3));
    let allowed = limit.get() * 4.0 * 1.5 + 5.0;
    assert!(most as f64 <= allowed, "{most} starts, {allowed} allowed");
}

#[test]
fn the_limit_is_used_and_the_less_urgent_class_is_refused_first() {
    let limit = RatePerSecond::new(40.0);
    let surge = Surge::new().play(100, limit);
    let settled_at = STATED_AT.after(Duration::from_secs(4));
    let seconds = ENDS_AT.since(settled_at).as_secs_f64();
    let approvals = surge.starts_after(settled_at, APPROVE) as f64 / seconds;
    let browsing = surge.starts_after(settled_at, BROWSE) as f64 / seconds;
    assert!((38.0..=42.0).contains(&(approvals + browsing)), "{approvals} + {browsing}");
    // 25 approvals a second arrive and fit.
    assert!(approvals >= 24.0, "{approvals}");
    let refused = |priority| {
        surge.refused.iter().filter(|(at, class)| *at >= settled_at && *class == priority).count()
    };
    assert_eq!(refused(APPROVE), 0, "browsing: {}", refused(BROWSE));
}

#[test]
fn callers_see_the_endpoint_as_full_at_its_limit() {
    let surge = Surge::new().play(100, RatePerSecond::new(40.0));
    let occupancy_milli = surge.admission.occupancy_milli();
    assert!(occupancy_milli >= 950, "{occupancy_milli}");
    assert!(surge.admission.shortage_milli() >= 400, "{}", surge.admission.shortage_milli());
}

/// Only answers show the end of a limit, so even a limit of zero lets a few requests through.
#[test]
fn a_limit_of_zero_still_allows_occasional_requests() {
    let surge = Surge::new().play(100, RatePerSecond::new(0.0));
    let settled_at = STATED_AT.after(Duration::from_secs(4));
    let started = surge.starts_after(settled_at, BROWSE) + surge.starts_after(settled_at, APPROVE);
    assert!((1..=5).contains(&started), "{started}");
}

#[rstest]
#[case::answer_read_out_of_order(100, true)]
#[case::end_of_the_limit(600, false)]
fn a_limit_ends_with_a_later_answer_that_states_none(#[case] gap_ms: u64, #[case] holds: bool) {
    let mut pacer = StartPacer::new();
    let now = MonoTime::from_millis(1_000);
    pacer.record_limit(Some(RatePerSecond::new(2.0)), now);
    pacer.record_limit(None, now.after(Duration::from_millis(gap_ms)));
    assert_eq!(pacer.limit().is_some(), holds);
}

/// The limit of an upstream that adapts it varies with each answer.
#[test]
fn a_limit_that_varies_does_not_postpone_the_next_start() {
    let mut pacer = StartPacer::new();
    let now = MonoTime::from_millis(1_000);
    for step in 0..8 {
        let limit = RatePerSecond::new(1.0 + 0.01 * f64::from(step));
        pacer.record_limit(Some(limit), now.after(Duration::from_millis(100) * step));
    }
    assert!(pacer.may_start(now.after(Duration::from_millis(800))));
}

/// What another node knows counts only until the upstream itself has answered.
#[test]
fn limit_of_a_peer_is_replaced_by_the_first_answer() {
    let mut pacer = StartPacer::new();
    let now = MonoTime::from_millis(1_000);
    let limit = RatePerSecond::new(2.0);
    assert!(pacer.adopt_limit(limit, now).is_some());
    assert!(!pacer.may_start(now));
    assert!(pacer.record_limit(None, now).is_some());
    assert_eq!(pacer.limit(), None);
    assert!(pacer.adopt_limit(limit, now).is_none());
    assert!(pacer.may_start(now));
}
