//! A surge at a serving node whose entry node receives the shortage late, in virtual time.
//!
//! Answers carry the shortage up a chain while requests admitted earlier still travel down it. The
//! delay between the two ranges from some milliseconds to some seconds.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use cuminarch_admission::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, QueueEvent, SlotAdmission,
};
use cuminarch_types::{CallId, ConcurrencyLimit, MonoTime, Rank};
use rstest::rstest;

/// Slots that the serving node uses, of the 42 that its upstream states.
const SLOTS: u64 = 39;
const STATED_SLOTS: u32 = 42;
const HOLDING: Duration = Duration::from_millis(20);
/// Calls per second that the serving node can run.
const CAPACITY_PER_S: f64 = SLOTS as f64 * 50.0;
/// Usable fraction of that, because calls arrive unevenly.
const USABLE_FRACTION: f64 = 0.96;
/// Load before and after the surge, relative to the capacity.
const BASE_LOAD: f64 = 0.8;

const SURGE_FROM_MS: u64 = 2_000;
/// Start of the steady part of the surge.
const STEADY_FROM_MS: u64 = 10_000;
const SURGE_UNTIL_MS: u64 = 16_000;
/// Time allowed for recovery after the surge.
const RECOVERY_MS: u64 = 2_000;
const SIMULATED_MS: u64 = 20_000;

/// A surge with separate channels for reports and requests, each with half of the delay.
struct Surge {
    delay: Duration,
    /// Offered load relative to the capacity of the serving node.
    load: f64,
    admission: SlotAdmission,
    ends: BTreeSet<(MonoTime, CallId)>,
    reports: VecDeque<(MonoTime, u16)>,
    in_flight: VecDeque<(MonoTime, u64)>,
    /// Shortage known at the entry node, in thousandths.
    known_milli: u16,
    number: u64,
    due: f64,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Calls completed in the steady part of the surge, relative to the usable capacity.
    goodput: f64,
    /// The same over the whole surge.
    whole_goodput: f64,
    /// Requests refused at the entry node after the recovery time.
    refused_after_recovery: u64,
}

impl Surge {
    fn new(delay_ms: u64, load: f64) -> Self {
        let mut admission = SlotAdmission::new();
        admission.set_capacity(ConcurrencyLimit::new(STATED_SLOTS));
        Self {
            delay: Duration::from_millis(delay_ms),
            load,
            admission,
            ends: BTreeSet::new(),
            reports: VecDeque::new(),
            in_flight: VecDeque::new(),
            known_milli: 0,
            number: 0,
            due: 0.0,
        }
    }

    fn run(mut self) -> Outcome {
        let (mut steady, mut whole, mut refused_after_recovery) = (0, 0, 0);
        for ms in 0..SIMULATED_MS {
            let now = MonoTime::from_millis(1_000 + ms);
            let is_surge = (SURGE_FROM_MS..SURGE_UNTIL_MS).contains(&ms);
            let refused = self.offer(if is_surge { self.load } else { BASE_LOAD }, now);
            let ended = self.run_node(now);
            whole += if is_surge { ended } else { 0 };
            steady += if is_surge && ms >= STEADY_FROM_MS { ended } else { 0 };
            refused_after_recovery += if ms >= SURGE_UNTIL_MS + RECOVERY_MS { refused } else { 0 };
        }
        let usable = |ms: u64| USABLE_FRACTION * CAPACITY_PER_S * ms as f64 / 1_000.0;
        Outcome {
            goodput: steady as f64 / usable(SURGE_UNTIL_MS - STEADY_FROM_MS),
            whole_goodput: whole as f64 / usable(SURGE_UNTIL_MS - SURGE_FROM_MS),
            refused_after_recovery,
        }
    }

    /// Offers the requests of one millisecond at the entry node. Returns the number refused.
    fn offer(&mut self, load: f64, now: MonoTime) -> u64 {
        while let Some((_, milli)) = self.reports.pop_front_if(|(at, _)| *at <= now) {
            self.known_milli = milli;
        }
        let mut refused = 0;
        self.due += load * CAPACITY_PER_S / 1_000.0;
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.number += 1;
            if self.number * 7_919 % 1_000 < u64::from(self.known_milli) {
                refused += 1;
            } else {
                self.in_flight.push_back((now.after(self.delay / 2), self.number));
            }
        }
        refused
    }

    /// Runs the serving node for one millisecond. Returns the number of calls that end.
    fn run_node(&mut self, now: MonoTime) -> u64 {
        let mut ended = 0;
        while let Some((at, call)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, call));
            ended += 1;
            let events = self.admission.finish(call, Some(HOLDING), now);
            self.start(&events, now);
        }
        while let Some((_, number)) = self.in_flight.pop_front_if(|(at, _)| *at <= now) {
            let request = AdmissionRequest {
                call: CallId::new(number),
                rank: Rank::MAX,
                more_urgent_classes: 0,
                deadline: now.after(Duration::from_millis(700)),
                route: None,
                is_nested: true,
                objective: Duration::from_millis(300),
            };
            if self.admission.offer(&request, now).decision == AdmissionDecision::Run {
                self.ends.insert((now.after(HOLDING), request.call));
            }
        }
        self.reports.push_back((now.after(self.delay / 2), self.admission.shortage_milli()));
        ended
    }

    fn start(&mut self, events: &[QueueEvent], now: MonoTime) {
        for event in events {
            if let QueueEvent::Run(call) = event {
                self.ends.insert((now.after(HOLDING), *call));
            }
        }
    }
}

/// Regardless of the report delay, goodput is at least 95 % of the usable capacity, and two seconds
/// after the surge at least 99 % of requests are admitted. Guards against a control loop that sheds
/// the same excess repeatedly and then oscillates or idles.
#[rstest]
fn a_delayed_report_causes_neither_oscillation_nor_idling(
    #[values(20, 300, 600, 1_000)] delay_ms: u64,
    #[values(1.1, 1.25, 1.7)] load: f64,
) {
    let outcome = Surge::new(delay_ms, load).run();
    assert!(outcome.goodput >= 0.95, "{outcome:?}");
    assert!(outcome.whole_goodput >= 0.95, "{outcome:?}");
    let offered_after =
        BASE_LOAD * CAPACITY_PER_S * (SIMULATED_MS - SURGE_UNTIL_MS - RECOVERY_MS) as f64 / 1_000.0;
    assert!(outcome.refused_after_recovery as f64 <= 0.01 * offered_after, "{outcome:?}");
}
