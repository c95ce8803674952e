//! Choices by expected finish: urgent and patient requests, ages of beliefs, and the switches.

mod support;

use std::time::Duration;

use cuminarch_protocol::CapacityReport;
use cuminarch_routing::{CallAttributes, CallResult, Router};
use cuminarch_types::{
    CapacityMode, DisabledMechanisms, EndpointId, Mechanism, MonoTime, ServiceName,
};
use rstest::rstest;
use support::ready_member;

const SLOTS: u32 = 40;
const START: MonoTime = MonoTime::from_millis(1_000);

fn service() -> ServiceName {
    "katalog".parse().unwrap()
}

fn endpoint(index: usize) -> EndpointId {
    format!("katalog-{index}").parse().unwrap()
}

/// Creates a router with a slow and a fast endpoint of the own zone.
fn router(mode: CapacityMode, disabled: Option<Mechanism>) -> Router {
    let mut router = Router::new("near".parse().unwrap(), "ch-central".parse().unwrap(), 7)
        .with_disabled(DisabledMechanisms::new(disabled))
        .with_capacity_mode(mode);
    for index in 0..2 {
        let id = endpoint(index);
        let address = [10, 0, 0, index as u8];
        let member = ready_member(id.as_str(), service().as_str(), "near", SLOTS, address);
        router.update(member, MonoTime::ZERO);
    }
    router
}

/// Reports run times of 50 ms at the first endpoint and 20 ms at the second one, and occupancies.
fn report(router: &mut Router, occupancies_milli: [u32; 2], now: MonoTime) {
    for (index, run_time_us) in [50_000, 20_000].into_iter().enumerate() {
        let capacity = CapacityReport { limit: SLOTS, run_time_us: Some(run_time_us) };
        router.record_occupancy(&service(), &endpoint(index), occupancies_milli[index], now);
        let route = "browse".parse().unwrap();
        router.record_capacity(&service(), &endpoint(index), &route, &capacity, now);
    }
}

/// Returns the share of the fast endpoint.
fn fast_share(router: &mut Router, has_time_to_spare: bool, now: MonoTime) -> f64 {
    let attributes = CallAttributes { has_time_to_spare, ..CallAttributes::default() };
    let picks = (0..400).map(|_| router.pick(&service(), attributes, &[], now).unwrap());
    picks.filter(|target| target.endpoint == endpoint(1)).count() as f64 / 400.0
}

#[rstest]
#[case::learned(CapacityMode::Learned, None, 1.0)]
#[case::off(CapacityMode::Learned, Some(Mechanism::ExpectedFinish), 0.5)]
#[case::stated(CapacityMode::Stated, None, 0.5)]
fn fast_endpoint_is_chosen_where_capacity_is_learned(
    #[case] mode: CapacityMode,
    #[case] disabled: Option<Mechanism>,
    #[case] share: f64,
) {
    let mut router = router(mode, disabled);
    for step in 0..50 {
        report(&mut router, [300, 300], START.after(Duration::from_millis(step * 10)));
    }
    let found = fast_share(&mut router, false, START.after(Duration::from_millis(500)));
    assert!((found - share).abs() < 0.1, "{found}");
}

/// An endpoint that fails a tenth of its calls, and so reports short run times, gets no more calls
/// than the other one.
#[test]
fn endpoint_that_fails_some_calls_does_not_count_as_fast() {
    let mut router = router(CapacityMode::Learned, None);
    for step in 0..200 {
        let now = START.after(Duration::from_millis(step * 10));
        report(&mut router, [300, 300], now);
        let result = match step % 10 {
            0 => CallResult::UpstreamError,
            _ => CallResult::Answered(Duration::from_millis(20)),
        };
        router.record_sent(&service(), &endpoint(1), now);
        router.record_result(&service(), &endpoint(1), result, now);
    }
    let share = fast_share(&mut router, false, START.after(Duration::from_secs(2)));
    assert!(share <= 0.5, "{share}");
    // Its run times do not make the other one slow.
    let now = START.after(Duration::from_secs(2));
    let speed_milli = router.capacity_beliefs(now).next().unwrap().speed_milli;
    assert!(speed_milli > 800, "{speed_milli}");
}

/// When the fast endpoint fills, requests with time to spare leave it to those without.
#[test]
fn requests_with_time_to_spare_leave_the_fast_endpoint() {
    let mut router = router(CapacityMode::Learned, None);
    for step in 0..50 {
        report(&mut router, [500, 850], START.after(Duration::from_millis(step * 10)));
    }
    let now = START.after(Duration::from_millis(500));
    let (urgent, patient) =
        (fast_share(&mut router, false, now), fast_share(&mut router, true, now));
    assert!(urgent > 0.9 && patient < 0.1, "{urgent} and {patient}");
}

/// Without reports, what is believed of an endpoint decays to the mean of its service.
#[test]
fn belief_without_reports_decays_to_the_mean() {
    let mut router = router(CapacityMode::Learned, None);
    for step in 0..50 {
        report(&mut router, [300, 300], START.after(Duration::from_millis(step * 10)));
    }
    let speeds = |router: &Router, age_s: u64| -> Vec<u32> {
        let now = START.after(Duration::from_secs(age_s));
        router.capacity_beliefs(now).map(|belief| belief.speed_milli).collect()
    };
    let (fresh, old) = (speeds(&router, 1), speeds(&router, 32));
    assert!(fresh[0] < 800 && fresh[1] > 1_200, "{fresh:?}");
    assert_eq!(old, [1_000, 1_000]);
}

/// A moment of slowness fades within 2 s without reports, back to what is usual.
#[test]
fn slow_moment_is_forgotten_within_two_seconds() {
    let mut router = router(CapacityMode::Learned, None);
    let route = "browse".parse().unwrap();
    let mut record = |run_time_us, at_ms| {
        for index in 0..2 {
            let run_time_us = Some(if index == 0 { run_time_us } else { 20_000 });
            let report = CapacityReport { limit: SLOTS, run_time_us };
            let now = MonoTime::from_millis(at_ms);
            router.record_capacity(&service(), &endpoint(index), &route, &report, now);
        }
    };
    (0..200).for_each(|step| record(20_000, 1_000 + step * 10));
    (0..60).for_each(|step| record(100_000, 3_000 + step * 10));
    let speed = |at_ms| {
        let mut beliefs = router.capacity_beliefs(MonoTime::from_millis(at_ms));
        beliefs.next().unwrap().speed_milli
    };
    assert!(speed(3_600) < 500, "{}", speed(3_600));
    assert!(speed(5_600) > 900, "{}", speed(5_600));
}
