//! A surge at a door whose entry hears of the shortage late, in virtual time.
//!
//! Answers carry the door's shortage up a chain, and requests that were let in before
//! still come down it: between the two lies from some milliseconds to some seconds.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use cuminarch_admission::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, QueueEvent, SlotAdmission,
};
use cuminarch_types::{CallId, ConcurrencyLimit, MonoTime, Rank};
use rstest::rstest;

/// Slots that the door fills, of the 42 that its upstream states.
const SLOTS: u64 = 39;
const STATED_SLOTS: u32 = 42;
const HOLDING: Duration = Duration::from_millis(20);
/// Calls that the door can do in a second.
const ABLE_PER_S: f64 = SLOTS as f64 * 50.0;
/// Part of that which counts as usable, as calls come unevenly.
const USABLE: f64 = 0.96;
/// Load before and after the surge, as part of what the door can do.
const CALM: f64 = 0.8;

const SURGE_FROM_MS: u64 = 2_000;
/// From when on the surge is old enough to be settled.
const SETTLED_FROM_MS: u64 = 10_000;
const SURGE_UNTIL_MS: u64 = 16_000;
/// Time after the surge within which nothing may be refused any more.
const RECOVERY_MS: u64 = 2_000;
const PLAYED_MS: u64 = 20_000;

/// A surge with one way for reports and one for requests, each half of the delay long.
struct Surge {
    delay: Duration,
    /// Offered load as part of what the door can do.
    load: f64,
    door: SlotAdmission,
    ends: BTreeSet<(MonoTime, CallId)>,
    reports: VecDeque<(MonoTime, u16)>,
    under_way: VecDeque<(MonoTime, u64)>,
    /// Shortage that the entry knows, in thousandths.
    known_milli: u16,
    number: u64,
    due: f64,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Calls that ended in the settled part of the surge, over what is usable.
    goodput: f64,
    /// The same over the whole surge.
    whole_goodput: f64,
    /// Refused at the entry after the time for recovery.
    refused_after: u64,
}

impl Surge {
    fn new(delay_ms: u64, load: f64) -> Self {
        let mut door = SlotAdmission::new();
        door.set_capacity(ConcurrencyLimit::new(STATED_SLOTS));
        Self {
            delay: Duration::from_millis(delay_ms),
            load,
            door,
            ends: BTreeSet::new(),
            reports: VecDeque::new(),
            under_way: VecDeque::new(),
            known_milli: 0,
            number: 0,
            due: 0.0,
        }
    }

    fn play(mut self) -> Outcome {
        let (mut settled, mut whole, mut refused_after) = (0, 0, 0);
        for ms in 0..PLAYED_MS {
            let now = MonoTime::from_millis(1_000 + ms);
            let is_surge = (SURGE_FROM_MS..SURGE_UNTIL_MS).contains(&ms);
            let refused = self.enter(if is_surge { self.load } else { CALM }, now);
            let ended = self.run_door(now);
            whole += if is_surge { ended } else { 0 };
            settled += if is_surge && ms >= SETTLED_FROM_MS { ended } else { 0 };
            refused_after += if ms >= SURGE_UNTIL_MS + RECOVERY_MS { refused } else { 0 };
        }
        let usable = |ms: u64| USABLE * ABLE_PER_S * ms as f64 / 1_000.0;
        Outcome {
            goodput: settled as f64 / usable(SURGE_UNTIL_MS - SETTLED_FROM_MS),
            whole_goodput: whole as f64 / usable(SURGE_UNTIL_MS - SURGE_FROM_MS),
            refused_after,
        }
    }

    /// Offers the requests of one millisecond at the entry. Returns how many it refuses.
    fn enter(&mut self, load: f64, now: MonoTime) -> u64 {
        while let Some((_, milli)) = self.reports.pop_front_if(|(at, _)| *at <= now) {
            self.known_milli = milli;
        }
        let mut refused = 0;
        self.due += load * ABLE_PER_S / 1_000.0;
        while self.due >= 1.0 {
            self.due -= 1.0;
            self.number += 1;
            if self.number * 7_919 % 1_000 < u64::from(self.known_milli) {
                refused += 1;
            } else {
                self.under_way.push_back((now.after(self.delay / 2), self.number));
            }
        }
        refused
    }

    /// Lets the door do the work of one millisecond. Returns how many calls end.
    fn run_door(&mut self, now: MonoTime) -> u64 {
        let mut ended = 0;
        while let Some((at, call)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, call));
            ended += 1;
            let events = self.door.finish(call, Some(HOLDING), now);
            self.start(&events, now);
        }
        while let Some((_, number)) = self.under_way.pop_front_if(|(at, _)| *at <= now) {
            let request = AdmissionRequest {
                call: CallId::new(number),
                rank: Rank::MAX,
                more_urgent_classes: 0,
                deadline: now.after(Duration::from_millis(700)),
                route: None,
                is_nested: true,
                objective: Duration::from_millis(300),
            };
            if self.door.offer(&request, now).decision == AdmissionDecision::Run {
                self.ends.insert((now.after(HOLDING), request.call));
            }
        }
        self.reports.push_back((now.after(self.delay / 2), self.door.shortage_milli()));
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

/// However late the entry hears, at least 95 of 100 of what the door can do gets done, and
/// two seconds after the surge 99 of 100 requests are let in.
#[rstest]
fn a_late_report_neither_swings_nor_idles(
    #[values(20, 300, 600, 1_000)] delay_ms: u64,
    #[values(1.1, 1.25, 1.7)] load: f64,
) {
    let outcome = Surge::new(delay_ms, load).play();
    assert!(outcome.goodput >= 0.95, "{outcome:?}");
    assert!(outcome.whole_goodput >= 0.95, "{outcome:?}");
    let offered_after =
        CALM * ABLE_PER_S * (PLAYED_MS - SURGE_UNTIL_MS - RECOVERY_MS) as f64 / 1_000.0;
    assert!(outcome.refused_after as f64 <= 0.01 * offered_after, "{outcome:?}");
}
