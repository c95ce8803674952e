//! The learned limit of one endpoint under excess load: who may start during tries, and what it
//! does without excess load, when switched off, or when the slots change.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_admission::SlotAdmission;
use cuminarch_admission::{AdmissionControl, AdmissionDecision, AdmissionRequest, QueueEvent};
use cuminarch_types::{
    CallId, CapacityMode, ConcurrencyLimit, DisabledMechanisms, Mechanism, MonoTime, Rank,
    RouteName,
};
use rstest::rstest;

const SLOTS: u32 = 40;
const STATED_LIMIT: u32 = 38;
/// Requests above this take twice as long.
const KNEE: usize = 32;
const RUN_TIME: Duration = Duration::from_millis(20);

struct Endpoint {
    admission: SlotAdmission,
    ends: BTreeMap<(MonoTime, CallId), ()>,
    most_running: usize,
    knee: usize,
}

impl Endpoint {
    fn new(knee: usize, disabled: Option<Mechanism>) -> Self {
        let mut admission = SlotAdmission::new()
            .with_disabled(DisabledMechanisms::new(disabled))
            .with_capacity_mode(CapacityMode::Learned);
        admission.set_capacity(ConcurrencyLimit::new(SLOTS));
        Self { admission, ends: BTreeMap::new(), most_running: 0, knee }
    }

    /// Offers requests at a multiple of what the stated limit completes.
    fn play(&mut self, load: f64, is_nested: bool, duration: Duration) {
        let interval = RUN_TIME.div_f64(f64::from(STATED_LIMIT) * load);
        let count = (duration.as_secs_f64() / interval.as_secs_f64()) as u64;
        let mut now = MonoTime::from_millis(1);
        for number in 0..count {
            now = now.after(interval);
            self.end_runs(now);
            let request = request(number, is_nested, now);
            if self.admission.offer(&request, now).decision == AdmissionDecision::Run {
                self.start(request.call, now);
            }
        }
    }

    fn end_runs(&mut self, now: MonoTime) {
        while let Some(((end, call), ())) = self.ends.first_key_value() {
            let (end, call) = (*end, *call);
            if end > now {
                break;
            }
            self.ends.remove(&(end, call));
            for event in self.admission.finish(call, Some(RUN_TIME), end) {
                if let QueueEvent::Run(call) = event {
                    self.start(call, end);
                }
            }
        }
    }

    fn start(&mut self, call: CallId, now: MonoTime) {
        let running = self.ends.len() + 1;
        self.most_running = self.most_running.max(running);
        let run_time = if running > self.knee { RUN_TIME * 2 } else { RUN_TIME };
        // Run times differ by up to a half.
        let factor = 0.75 + (call.get() * 37 % 100) as f64 / 200.0;
        self.ends.insert((now.after(run_time.mul_f64(factor)), call), ());
    }
}

fn route() -> RouteName {
    "browse".parse().unwrap()
}

fn request(number: u64, is_nested: bool, now: MonoTime) -> AdmissionRequest {
    AdmissionRequest {
        call: CallId::new(number),
        rank: Rank::MIN,
        more_urgent_classes: 0,
        deadline: now.after(Duration::from_millis(400)),
        route: Some(route()),
        is_nested,
        objective: Duration::from_millis(200),
    }
}

#[rstest]
#[case::learned(None, KNEE as u32)]
#[case::off(Some(Mechanism::LearnedLimit), STATED_LIMIT)]
fn limit_falls_to_a_knee_unless_it_is_switched_off(
    #[case] disabled: Option<Mechanism>,
    #[case] limit: u32,
) {
    let mut endpoint = Endpoint::new(KNEE, disabled);
    endpoint.play(1.5, false, Duration::from_secs(8));
    assert_eq!(endpoint.admission.limit(), ConcurrencyLimit::new(limit));
}

#[test]
fn limit_rises_to_all_slots_without_a_knee() {
    let mut endpoint = Endpoint::new(SLOTS as usize, None);
    endpoint.play(1.5, false, Duration::from_secs(8));
    assert_eq!(endpoint.admission.limit(), ConcurrencyLimit::new(SLOTS));
    assert!(endpoint.most_running <= SLOTS as usize, "{}", endpoint.most_running);
}

/// Higher limits are tried with callers' requests only: the callers of nested calls hold slots
/// elsewhere.
#[test]
fn nested_calls_never_run_above_the_learned_limit() {
    let mut endpoint = Endpoint::new(SLOTS as usize, None);
    endpoint.play(1.5, true, Duration::from_secs(8));
    assert!(endpoint.most_running <= STATED_LIMIT as usize, "{}", endpoint.most_running);
}

/// Below the limit, the concurrency says nothing about it.
#[test]
fn limit_stays_without_excess_load() {
    let mut endpoint = Endpoint::new(10, None);
    endpoint.play(0.3, false, Duration::from_secs(8));
    assert_eq!(endpoint.admission.limit(), ConcurrencyLimit::new(STATED_LIMIT));
}

#[test]
fn other_slots_start_from_the_beginning_and_the_same_ones_do_not() {
    let mut endpoint = Endpoint::new(KNEE, None);
    endpoint.play(1.5, false, Duration::from_secs(8));
    endpoint.admission.set_capacity(ConcurrencyLimit::new(SLOTS));
    assert_eq!(endpoint.admission.limit(), ConcurrencyLimit::new(KNEE as u32));
    endpoint.admission.set_capacity(ConcurrencyLimit::new(20));
    assert_eq!(endpoint.admission.limit(), ConcurrencyLimit::new(19));
}

/// The run time is the one in the upstream, not with the wait for a slot.
#[test]
fn reported_run_time_excludes_the_wait() {
    let mut endpoint = Endpoint::new(SLOTS as usize, None);
    endpoint.play(2.0, false, Duration::from_secs(4));
    let run_time = endpoint.admission.run_time(&route()).unwrap();
    assert!(run_time > RUN_TIME.mul_f64(0.8) && run_time < RUN_TIME.mul_f64(1.2), "{run_time:?}");
}
