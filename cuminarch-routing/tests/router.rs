//! Invariants of routing.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cuminarch_protocol::{Member, MemberState, UpstreamRecord, UpstreamState};
use cuminarch_routing::{CallAttributes, CallResult, Router};
use cuminarch_types::{EndpointId, Incarnation, MonoTime, ServiceName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENDPOINTS: usize = 5;

fn service() -> ServiceName {
    "auftrag".parse().unwrap()
}

fn endpoint(index: usize) -> EndpointId {
    format!("auftrag-{index}").parse().unwrap()
}

fn member(index: usize, zone: &str, state: MemberState) -> Member {
    let address = ([127, 0, 0, 1], 9_000 + index as u16).into();
    Member {
        endpoint: endpoint(index),
        service: service(),
        zone: zone.parse().unwrap(),
        region: "ch-central".parse().unwrap(),
        incarnation: Incarnation::new(1),
        statement: 0,
        data_address: address,
        control_address: address,
        state,
        upstream: None,
    }
}

/// A router in zrh-a of which the endpoint 0 is near, all others in zrh-b.
fn router() -> Router {
    let mut router = Router::new("zrh-a".parse().unwrap(), "ch-central".parse().unwrap(), 3);
    for index in 0..ENDPOINTS {
        let zone = if index == 0 { "zrh-a" } else { "zrh-b" };
        router.update(member(index, zone, MemberState::Active), MonoTime::ZERO);
    }
    router
}

fn kind() -> CallAttributes {
    CallAttributes { can_probe: true, ..CallAttributes::default() }
}

/// Sends calls one after the other; `latency_ms` is that of each endpoint, none
/// for one that fails. Returns how many calls each got.
fn drive(
    router: &mut Router,
    from: MonoTime,
    calls: u64,
    latency_ms: impl Fn(&EndpointId) -> Option<u64>,
) -> BTreeMap<EndpointId, u64> {
    let mut counts = BTreeMap::new();
    for call in 0..calls {
        let now = from.after(Duration::from_millis(call * 5));
        let target = router.pick(&service(), kind(), &[], now).unwrap();
        router.record_sent(&service(), &target.endpoint, now);
        let sample = match latency_ms(&target.endpoint) {
            Some(millis) => CallResult::Answered(Duration::from_millis(millis)),
            None => CallResult::Unanswered,
        };
        router.record_result(&service(), &target.endpoint, sample, now);
        *counts.entry(target.endpoint).or_default() += 1;
    }
    counts
}

fn share(counts: &BTreeMap<EndpointId, u64>, index: usize) -> f64 {
    let all: u64 = counts.values().sum();
    counts.get(&endpoint(index)).copied().unwrap_or(0) as f64 / all as f64
}

const WARMED_UP_AT: MonoTime = MonoTime::from_millis(10_000);

#[test]
fn stays_in_the_zone_while_it_answers_as_soon_as_the_others() {
    let counts = drive(&mut router(), WARMED_UP_AT, 1_000, |_| Some(20));
    assert_eq!(share(&counts, 0), 1.0);
}

#[test]
fn spills_over_when_the_own_zone_lacks_capacity() {
    let slow = |id: &EndpointId| Some(if *id == endpoint(0) { 60 } else { 20 });
    let mut router = router();
    drive(&mut router, WARMED_UP_AT, 200, |_| Some(20));
    let counts = drive(&mut router, MonoTime::from_millis(11_000), 2_000, slow);
    assert!(share(&counts, 0) < 0.5, "{counts:?}");
}

#[test]
fn a_failing_endpoint_is_ejected_and_comes_back() {
    let mut router = router();
    drive(&mut router, WARMED_UP_AT, 200, |_| Some(20));
    let failing = |id: &EndpointId| (*id != endpoint(0)).then_some(20);
    let counts = drive(&mut router, MonoTime::from_millis(11_000), 1_000, failing);
    assert!(share(&counts, 0) < 0.03, "{counts:?}");
    drive(&mut router, MonoTime::from_millis(20_000), 2_000, |_| Some(20));
    let counts = drive(&mut router, MonoTime::from_millis(31_000), 1_000, |_| Some(20));
    assert!(share(&counts, 0) > 0.9, "{counts:?}");
}

#[test]
fn a_suspect_report_does_not_outweigh_answers() {
    let mut router = router();
    drive(&mut router, WARMED_UP_AT, 100, |_| Some(20));
    let now = MonoTime::from_millis(10_500);
    router.update(member(0, "zrh-a", MemberState::Suspect), now);
    let counts = drive(&mut router, now, 1_000, |_| Some(20));
    assert_eq!(share(&counts, 0), 1.0);
}

#[test]
fn a_new_endpoint_gets_its_share_gradually() {
    let mut router = router();
    drive(&mut router, WARMED_UP_AT, 100, |_| Some(20));
    let now = MonoTime::from_millis(11_000);
    let mut replaced = member(0, "zrh-a", MemberState::Active);
    replaced.incarnation = Incarnation::new(2);
    router.update(replaced, now);
    let first = drive(&mut router, now, 100, |_| Some(20));
    let later = drive(&mut router, MonoTime::from_millis(16_000), 100, |_| Some(20));
    assert!(share(&first, 0) < 0.4, "{first:?}");
    assert!(share(&later, 0) > 0.9, "{later:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Whatever was seen, a leaving endpoint gets nothing, one that takes work
    /// is found while there is one, and most endpoints keep getting calls.
    #[test]
    fn never_leaving_and_never_mostly_ejected(
        failing in prop::collection::vec(any::<bool>(), ENDPOINTS),
        leaving in prop::collection::vec(any::<bool>(), ENDPOINTS),
        slow_ms in prop::collection::vec(1..400_u64, ENDPOINTS),
    ) {
        let mut router = router();
        let index = |id: &EndpointId| (0..ENDPOINTS).find(|index| endpoint(*index) == *id).unwrap();
        let sample = |id: &EndpointId| (!failing[index(id)]).then_some(slow_ms[index(id)]);
        drive(&mut router, WARMED_UP_AT, 400, sample);
        let now = MonoTime::from_millis(13_000);
        for (index, is_leaving) in leaving.iter().enumerate() {
            if *is_leaving {
                router.update(member(index, "zrh-b", MemberState::Leaving), now);
            }
        }
        for _ in 0..50 {
            let target = router.pick(&service(), CallAttributes::default(), &[], now);
            prop_assert_eq!(target.is_none(), leaving.iter().all(|leaving| *leaving));
            if let Some(target) = target {
                prop_assert!(!leaving[index(&target.endpoint)]);
            }
        }
        prop_assert!(router.ejected(&service()) * 2 < ENDPOINTS);
    }
}

/// A router of two endpoints of one zone that state their slots.
fn pair() -> Router {
    let mut router = Router::new("zrh-a".parse().unwrap(), "ch-central".parse().unwrap(), 3);
    for index in 0..2 {
        let slots =
            UpstreamRecord { slots: 100, state: UpstreamState::Ready, ..UpstreamRecord::absent() };
        let member =
            Member { upstream: Some(slots), ..member(index, "zrh-a", MemberState::Active) };
        router.update(member, MonoTime::ZERO);
    }
    router
}

/// Sends a call every 5 ms to a pair whose first endpoint fails each call at once,
/// if it is failing, and that holds all others for 100 ms. Returns the first one's share.
fn first_share(router: &mut Router, from: MonoTime, calls: u64, is_failing: bool) -> f64 {
    let mut held: VecDeque<(MonoTime, EndpointId)> = VecDeque::new();
    let mut first = 0_u64;
    for call in 0..calls {
        let now = from.after(Duration::from_millis(call * 5));
        while held.front().is_some_and(|(end, _)| *end <= now) {
            let (end, ended) = held.pop_front().unwrap();
            let sample = CallResult::Answered(Duration::from_millis(100));
            router.record_result(&service(), &ended, sample, end);
        }
        let target = router.pick(&service(), kind(), &[], now).unwrap();
        router.record_sent(&service(), &target.endpoint, now);
        first += u64::from(target.endpoint == endpoint(0));
        if is_failing && target.endpoint == endpoint(0) {
            router.record_result(&service(), &target.endpoint, CallResult::UpstreamError, now);
        } else {
            held.push_back((now.after(Duration::from_millis(100)), target.endpoint));
        }
    }
    for (end, ended) in held {
        let sample = CallResult::Answered(Duration::from_millis(100));
        router.record_result(&service(), &ended, sample, end);
    }
    first as f64 / calls as f64
}

/// Of two endpoints, none is ejected; one that fails at once is never full, and
/// would draw all calls by that.
#[test]
fn of_two_endpoints_one_that_fails_at_once_gets_few_calls_until_it_is_well() {
    let mut router = pair();
    let failing = first_share(&mut router, WARMED_UP_AT, 2_000, true);
    assert!(failing < 0.1, "{failing}");
    let later = WARMED_UP_AT.after(Duration::from_secs(14));
    first_share(&mut router, later, 400, false);
    let well = first_share(&mut router, later.after(Duration::from_secs(2)), 400, false);
    assert!(well > 0.35, "{well}");
}
