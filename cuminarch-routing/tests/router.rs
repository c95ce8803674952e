//! Properties of routing.

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

/// Creates a router in zrh-a; endpoint 0 is in zrh-a too, all others in zrh-b.
fn router() -> Router {
    let mut router = Router::new("zrh-a".parse().unwrap(), "ch-central".parse().unwrap(), 3);
    for index in 0..ENDPOINTS {
        let zone = if index == 0 { "zrh-a" } else { "zrh-b" };
        router.update(member(index, zone, MemberState::Active), MonoTime::ZERO);
    }
    router
}

fn attributes() -> CallAttributes {
    CallAttributes { can_probe: true, ..CallAttributes::default() }
}

/// Sends calls one after the other; `latency_ms` returns the latency of an endpoint, or `None` if
/// it fails. Returns the number of calls of each endpoint.
fn send_calls(
    router: &mut Router,
    from: MonoTime,
    calls: u64,
    latency_ms: impl Fn(&EndpointId) -> Option<u64>,
) -> BTreeMap<EndpointId, u64> {
    let mut counts = BTreeMap::new();
    for call in 0..calls {
        let now = from.after(Duration::from_millis(call * 5));
        let target = router.pick(&service(), attributes(), &[], now).unwrap();
        router.record_sent(&service(), &target.endpoint, now);
        let result = match latency_ms(&target.endpoint) {
            Some(millis) => CallResult::Answered(Duration::from_millis(millis)),
            None => CallResult::Unanswered,
        };
        router.record_result(&service(), &target.endpoint, result, now);
        *counts.entry(target.endpoint).or_default() += 1;
    }
    counts
}

fn share(counts: &BTreeMap<EndpointId, u64>, index: usize) -> f64 {
    let total: u64 = counts.values().sum();
    counts.get(&endpoint(index)).copied().unwrap_or(0) as f64 / total as f64
}

const WARMED_UP_AT: MonoTime = MonoTime::from_millis(10_000);

#[test]
fn stays_in_the_zone_while_it_answers_as_fast_as_the_others() {
    let counts = send_calls(&mut router(), WARMED_UP_AT, 1_000, |_| Some(20));
    assert_eq!(share(&counts, 0), 1.0);
}

#[test]
fn spills_over_when_the_own_zone_lacks_capacity() {
    let slow = |id: &EndpointId| Some(if *id == endpoint(0) { 60 } else { 20 });
    let mut router = router();
    send_calls(&mut router, WARMED_UP_AT, 200, |_| Some(20));
    let counts = send_calls(&mut router, MonoTime::from_millis(11_000), 2_000, slow);
    assert!(share(&counts, 0) < 0.5, "{counts:?}");
}

#[test]
fn a_failing_endpoint_is_ejected_and_comes_back() {
    let mut router = router();
    send_calls(&mut router, WARMED_UP_AT, 200, |_| Some(20));
    let failing = |id: &EndpointId| (*id != endpoint(0)).then_some(20);
    let counts = send_calls(&mut router, MonoTime::from_millis(11_000), 1_000, failing);
    assert!(share(&counts, 0) < 0.03, "{counts:?}");
    send_calls(&mut router, MonoTime::from_millis(20_000), 2_000, |_| Some(20));
    let counts = send_calls(&mut router, MonoTime::from_millis(31_000), 1_000, |_| Some(20));
    assert!(share(&counts, 0) > 0.9, "{counts:?}");
}

#[test]
fn a_suspect_report_does_not_outweigh_answers() {
    let mut router = router();
    send_calls(&mut router, WARMED_UP_AT, 100, |_| Some(20));
    let now = MonoTime::from_millis(10_500);
    router.update(member(0, "zrh-a", MemberState::Suspect), now);
    let counts = send_calls(&mut router, now, 1_000, |_| Some(20));
    assert_eq!(share(&counts, 0), 1.0);
}

#[test]
fn a_new_endpoint_gets_its_share_gradually() {
    let mut router = router();
    send_calls(&mut router, WARMED_UP_AT, 100, |_| Some(20));
    let now = MonoTime::from_millis(11_000);
    let mut replaced = member(0, "zrh-a", MemberState::Active);
    replaced.incarnation = Incarnation::new(2);
    router.update(replaced, now);
    let first = send_calls(&mut router, now, 100, |_| Some(20));
    let later = send_calls(&mut router, MonoTime::from_millis(16_000), 100, |_| Some(20));
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

    /// After any history, leaving endpoints get no calls, an endpoint that takes work is found if
    /// there is one, and less than half of the endpoints are ejected.
    #[test]
    fn never_picks_leaving_endpoints_and_never_ejects_most(
        failing in prop::collection::vec(any::<bool>(), ENDPOINTS),
        leaving in prop::collection::vec(any::<bool>(), ENDPOINTS),
        slow_ms in prop::collection::vec(1..400_u64, ENDPOINTS),
    ) {
        let mut router = router();
        let index = |id: &EndpointId| (0..ENDPOINTS).find(|index| endpoint(*index) == *id).unwrap();
        let latency_ms = |id: &EndpointId| (!failing[index(id)]).then_some(slow_ms[index(id)]);
        send_calls(&mut router, WARMED_UP_AT, 400, latency_ms);
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

/// Creates a router with two endpoints of one zone that report their slots.
fn router_with_two_endpoints() -> Router {
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

/// Sends a call every 5 ms to two endpoints. The first one fails each call immediately if
/// `is_failing`; all other calls take 100 ms. Returns the first endpoint's share.
fn first_share(router: &mut Router, from: MonoTime, calls: u64, is_failing: bool) -> f64 {
    let mut in_flight: VecDeque<(MonoTime, EndpointId)> = VecDeque::new();
    let mut first = 0_u64;
    for call in 0..calls {
        let now = from.after(Duration::from_millis(call * 5));
        while in_flight.front().is_some_and(|(end, _)| *end <= now) {
            let (end, ended) = in_flight.pop_front().unwrap();
            let result = CallResult::Answered(Duration::from_millis(100));
            router.record_result(&service(), &ended, result, end);
        }
        let target = router.pick(&service(), attributes(), &[], now).unwrap();
        router.record_sent(&service(), &target.endpoint, now);
        first += u64::from(target.endpoint == endpoint(0));
        if is_failing && target.endpoint == endpoint(0) {
            router.record_result(&service(), &target.endpoint, CallResult::UpstreamError, now);
        } else {
            in_flight.push_back((now.after(Duration::from_millis(100)), target.endpoint));
        }
    }
    for (end, ended) in in_flight {
        let result = CallResult::Answered(Duration::from_millis(100));
        router.record_result(&service(), &ended, result, end);
    }
    first as f64 / calls as f64
}

/// Of two endpoints, none is ejected. One that fails calls immediately is never full, and would
/// attract all calls.
#[test]
fn of_two_endpoints_one_that_fails_immediately_gets_few_calls_until_it_recovers() {
    let mut router = router_with_two_endpoints();
    let failing = first_share(&mut router, WARMED_UP_AT, 2_000, true);
    assert!(failing < 0.1, "{failing}");
    let later = WARMED_UP_AT.after(Duration::from_secs(14));
    first_share(&mut router, later, 400, false);
    let well = first_share(&mut router, later.after(Duration::from_secs(2)), 400, false);
    assert!(well > 0.35, "{well}");
}

/// A host of another service was given the name of a lost one. The entry of the lost endpoint
/// stayed in the table of its service, so half of the calls went to the other service.
#[test]
fn an_endpoint_that_returns_with_another_service_leaves_the_earlier_one() {
    let mut router = router();
    let returned = Member {
        service: "kasse".parse().unwrap(),
        incarnation: Incarnation::new(2),
        ..member(0, "zrh-a", MemberState::Active)
    };
    router.update(returned.clone(), MonoTime::ZERO);
    // A late statement about the lost endpoint changes nothing.
    router.update(member(0, "zrh-a", MemberState::Active), MonoTime::ZERO);
    let counts = send_calls(&mut router, MonoTime::ZERO, 100, |_| Some(1));
    assert!(!counts.contains_key(&endpoint(0)), "{counts:?}");
    let target = router.pick(&returned.service, attributes(), &[], MonoTime::ZERO).unwrap();
    assert_eq!(target.endpoint, endpoint(0));
}
