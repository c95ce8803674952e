//! Checks that each mechanism that can be disabled affects where calls are sent.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_routing::{CallAttributes, CallResult, Router};
use cuminarch_types::{DisabledMechanisms, EndpointId, Mechanism, MonoTime, ServiceName};
use rstest::rstest;
use support::ready_member;

const SLOTS: u32 = 40;
const HOLD_DURATION: Duration = Duration::from_millis(20);

fn service() -> ServiceName {
    "katalog".parse().unwrap()
}

/// Creates a router with two endpoints in its own zone and two in another.
fn router(disabled: Option<Mechanism>, behaviour: Behaviour) -> Router {
    let mut router = Router::new("near".parse().unwrap(), "ch-central".parse().unwrap(), 7)
        .with_disabled(DisabledMechanisms::new(disabled));
    for (index, zone) in ["near", "near", "far", "far"].into_iter().enumerate() {
        let address = [10, 0, 0, index as u8];
        let name = endpoint(index);
        let mut member = ready_member(name.as_str(), service().as_str(), zone, SLOTS, address);
        if let Some(upstream) = member.upstream.as_mut().filter(|_| index == 0) {
            upstream.warm_up_ms = if behaviour.is_warming_up { 60_000 } else { 0 };
        }
        router.update(member, MonoTime::from_millis(1));
    }
    router
}

fn endpoint(index: usize) -> EndpointId {
    format!("katalog-{index}").parse().unwrap()
}

/// Simulated behaviour of the endpoints.
#[derive(Clone, Copy, Debug, Default)]
struct Behaviour {
    /// Occupancy that the endpoints of the own zone report, in thousandths.
    local_milli: u32,
    /// Whether the first endpoint is warming up.
    is_warming_up: bool,
    /// Whether the second endpoint fails a fifth of its calls.
    fails_calls: bool,
    /// Whether the other zone cannot be reached.
    is_cut: bool,
}

/// Returns the fraction of the calls that each endpoint got.
fn call_fractions(disabled: Option<Mechanism>, behaviour: Behaviour) -> [f64; 4] {
    let mut router = router(disabled, behaviour);
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for number in 0..2_000_u32 {
        let now = MonoTime::from_millis(2_000 + u64::from(number) * 5);
        let attributes = CallAttributes::default();
        let target = router.pick(&service(), attributes, &[], now).unwrap();
        router.record_sent(&service(), &target.endpoint, now);
        *counts.entry(target.endpoint.clone()).or_default() += 1;
        let is_local = target.endpoint < endpoint(2);
        let is_failure = behaviour.fails_calls && target.endpoint == endpoint(1) && number % 5 == 0;
        let result = match (is_local, is_failure) {
            (false, _) if behaviour.is_cut => CallResult::Unreachable,
            (_, true) => CallResult::UpstreamError,
            _ => CallResult::Answered(HOLD_DURATION),
        };
        let milli = if is_local { behaviour.local_milli } else { 100 };
        let end = now.after(Duration::from_millis(2));
        router.record_occupancy(&service(), &target.endpoint, milli, end);
        router.record_result(&service(), &target.endpoint, result, end);
    }
    [0, 1, 2, 3]
        .map(|index| f64::from(counts.get(&endpoint(index)).copied().unwrap_or_default()) / 2_000.0)
}

fn spilled_fraction(fractions: [f64; 4]) -> f64 {
    fractions[2] + fractions[3]
}

#[test]
fn calls_leave_a_full_zone_unless_spill_over_is_off() {
    let behaviour = Behaviour { local_milli: 990, ..Behaviour::default() };
    let on = spilled_fraction(call_fractions(None, behaviour));
    let off = spilled_fraction(call_fractions(Some(Mechanism::SpillOver), behaviour));
    assert!(on > 0.3 && off < 0.05, "{on} and {off}");
}

#[test]
fn without_zone_preference_calls_spread_over_all() {
    let behaviour = Behaviour { local_milli: 100, ..Behaviour::default() };
    let on = spilled_fraction(call_fractions(None, behaviour));
    let off = spilled_fraction(call_fractions(Some(Mechanism::ZonePreference), behaviour));
    assert!(on < 0.05 && off > 0.4, "{on} and {off}");
}

#[rstest]
#[case::warm_up(
    Mechanism::WarmUp,
    0,
    Behaviour { local_milli: 200, is_warming_up: true, ..Behaviour::default() }
)]
#[case::fault_cost(
    Mechanism::FaultCost,
    1,
    Behaviour { local_milli: 200, fails_calls: true, ..Behaviour::default() }
)]
fn a_weak_endpoint_gets_more_calls_if_the_mechanism_is_off(
    #[case] mechanism: Mechanism,
    #[case] weak: usize,
    #[case] behaviour: Behaviour,
) {
    let on = call_fractions(None, behaviour)[weak];
    let off = call_fractions(Some(mechanism), behaviour)[weak];
    assert!(off > on + 0.1, "{on} and {off}");
}

#[test]
fn an_unreachable_zone_gets_more_calls_without_zone_reachability() {
    let behaviour = Behaviour { local_milli: 990, is_cut: true, ..Behaviour::default() };
    let on = spilled_fraction(call_fractions(None, behaviour));
    let off = spilled_fraction(call_fractions(Some(Mechanism::ZoneSights), behaviour));
    assert!(off > on, "{on} and {off}");
}

#[rstest]
#[case::on(None, 1)]
#[case::off(Some(Mechanism::Ejection), 0)]
fn an_endpoint_that_fails_is_ejected(#[case] disabled: Option<Mechanism>, #[case] ejected: usize) {
    let mut router = router(disabled, Behaviour::default());
    for number in 0..40 {
        let now = MonoTime::from_millis(2_000 + number * 60);
        router.pick(&service(), CallAttributes::default(), &[], now);
        for (index, result) in [
            CallResult::Unanswered,
            CallResult::Answered(HOLD_DURATION),
            CallResult::Answered(HOLD_DURATION),
        ]
        .into_iter()
        .enumerate()
        {
            router.record_sent(&service(), &endpoint(index), now);
            router.record_result(&service(), &endpoint(index), result, now.after(HOLD_DURATION));
        }
    }
    assert_eq!(router.ejected(&service()), ejected);
}
