//! Each mechanism that can be disabled changes the admission at the serving node.

use std::time::Duration;

use cuminarch_admission::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, QueueEvent, SlotAdmission,
};
use cuminarch_types::{
    CallId, ConcurrencyLimit, DisabledMechanisms, Mechanism, MonoTime, Priority, Rank, RequestId,
};
use rstest::rstest;

fn admission(slots: u32, disabled: &[Mechanism]) -> SlotAdmission {
    let disabled = DisabledMechanisms::new(disabled.iter().copied());
    let mut admission = SlotAdmission::new().with_disabled(disabled);
    admission.set_capacity(ConcurrencyLimit::new(slots));
    admission
}

/// The most urgent class of these tests.
const TOP_PRIORITY: u8 = 9;

fn request(call: u64, priority: u8, now: MonoTime) -> AdmissionRequest {
    AdmissionRequest {
        call: CallId::new(call),
        rank: Rank::of_request(Priority::new(priority), RequestId::new(u128::from(call))),
        more_urgent_classes: TOP_PRIORITY.saturating_sub(priority),
        deadline: now.after(Duration::from_secs(1)),
        route: None,
        is_nested: false,
        objective: Duration::from_millis(900),
    }
}

#[rstest]
#[case::on(&[], 94)]
#[case::off(&[Mechanism::SlotReserve], 100)]
fn slot_reserve(#[case] disabled: &[Mechanism], #[case] filled: u32) {
    assert_eq!(admission(100, disabled).limit(), ConcurrencyLimit::new(filled));
}

#[rstest]
#[case::on(&[], 3)]
#[case::off(&[Mechanism::ClassOrder], 2)]
fn class_order(#[case] disabled: &[Mechanism], #[case] started: u64) {
    let mut admission = admission(1, disabled);
    let now = MonoTime::from_millis(1);
    for (call, priority) in [(1, 0), (2, 0), (3, 9)] {
        admission.offer(&request(call, priority, now), now);
    }
    let events = admission.finish(CallId::new(1), Some(Duration::from_millis(5)), now);
    assert_eq!(events, [QueueEvent::Run(CallId::new(started))]);
}

#[rstest]
#[case::on(&[], true)]
#[case::off(&[Mechanism::WaitRefusal], false)]
fn wait_refusal(#[case] disabled: &[Mechanism], #[case] is_refused: bool) {
    let mut admission = admission(1, disabled);
    let now = MonoTime::from_millis(1);
    let last = (0..10).map(|call| admission.offer(&request(call, 0, now), now).decision).last();
    assert_eq!(matches!(last, Some(AdmissionDecision::Refuse { .. })), is_refused);
}

#[rstest]
#[case::on(&[], true)]
#[case::off(&[Mechanism::TurnedAwayShortage], false)]
fn turned_away_shortage(#[case] disabled: &[Mechanism], #[case] is_short: bool) {
    let mut admission = admission(40, disabled);
    for call in 0..400 {
        let now = MonoTime::from_millis(1 + call * 5);
        admission.offer(&request(call, 0, now), now);
        let is_run = call % 2 == 0;
        let latency = is_run.then(|| Duration::from_millis(2));
        match latency {
            Some(_) => admission.finish(CallId::new(call), latency, now),
            None => admission.finish_turned_away(CallId::new(call), now),
        };
    }
    assert_eq!(admission.shortage_milli() > 0, is_short, "{}", admission.shortage_milli());
}
