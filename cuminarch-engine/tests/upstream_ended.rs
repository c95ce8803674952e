//! The end of an upstream's process is reported once, with the requests that it was running.

use std::sync::Arc;

use cuminarch_config::Policy;
use cuminarch_engine::{Action, Arrival, Engine, EngineSettings, Event, QuarantineNotice};
use cuminarch_protocol::{UpstreamRecord, UpstreamState};
use cuminarch_types::{
    CallId, MonoTime, Outcome, RequestDigest, RequestId, RequestIdentity, RequestVariant,
};
use rstest::rstest;

fn identity(number: u128) -> RequestIdentity {
    RequestIdentity { request: RequestDigest::new(number), variant: RequestVariant::new(0) }
}

fn engine() -> Engine {
    let names = ["katalog-1", "katalog", "zrh-a", "ch-central"];
    let settings = EngineSettings::new(
        names[0].parse().unwrap(),
        names[1].parse().unwrap(),
        names[2].parse().unwrap(),
        names[3].parse().unwrap(),
    );
    Engine::new(settings, Arc::new(Policy::safe_default()))
}

#[test]
fn an_upstream_that_ends_is_reported_once_with_its_runs() {
    let mut engine = engine();
    for number in 1..=2 {
        let call = engine.next_call();
        let arrival = Arrival::inbound(RequestId::new(number), "GET", "/")
            .with_identity(Some(identity(number)));
        let at = MonoTime::from_micros(u64::try_from(number).unwrap() * 10_000);
        engine.handle(Event::arrive(call, arrival), at);
    }
    let now = MonoTime::from_micros(30_000);
    let actions = engine.handle(Event::UpstreamEnded, now);
    let [Action::ReportQuarantine(QuarantineNotice::UpstreamEnded { runs, .. })] = &actions[..]
    else {
        panic!("{actions:?}")
    };
    let runs: Vec<(u128, u128)> =
        runs.iter().map(|(request, age)| (request.get(), age.as_millis())).collect();
    assert_eq!(runs, [(2, 10), (1, 20)]);
    assert!(engine.handle(Event::UpstreamEnded, now).is_empty());
}

/// Guards against suspected requests that wait for their turn and reach an upstream that has
/// announced its departure meanwhile.
#[rstest]
#[case::draining(UpstreamState::Draining)]
#[case::deregistered(UpstreamState::Absent)]
fn suspected_requests_that_wait_are_refused_once_the_upstream_leaves(#[case] state: UpstreamState) {
    let mut engine = engine();
    // Two requests ran when the upstream ended: both are suspected.
    let running = [1, 2].map(|number| arrive(&mut engine, number, 10));
    assert!(running.iter().all(|(_, actions)| runs(actions)));
    engine.handle(Event::UpstreamEnded, MonoTime::from_millis(20));
    for (call, _) in running {
        engine.handle(Event::LocalFailed { call, sent: true }, MonoTime::from_millis(20));
    }
    let (_, first) = arrive(&mut engine, 1, 5_000);
    let (waiting, second) = arrive(&mut engine, 2, 5_001);
    assert!(runs(&first) && second.is_empty(), "{first:?} {second:?}");
    let record = UpstreamRecord {
        instance: Some("i-1".parse().unwrap()),
        started_at_ms: 1,
        state,
        slots: 10,
        warm_up_ms: 0,
    };
    let mut later = engine.handle(Event::Upstream(Box::new(record)), MonoTime::from_millis(5_100));
    later.extend(engine.handle(Event::Tick, MonoTime::from_millis(9_000)));
    assert!(!runs(&later), "{later:?}");
    let refused = later.iter().any(|action| {
        matches!(action, Action::Refuse { call, refusal, .. }
            if *call == waiting && refusal.outcome == Outcome::NotRun)
    });
    assert!(refused, "{later:?}");
}

/// Lets a request with this identity arrive. Returns its call and the actions.
fn arrive(engine: &mut Engine, number: u128, at_ms: u64) -> (CallId, Vec<Action>) {
    let call = engine.next_call();
    let arrival =
        Arrival::inbound(RequestId::new(number), "GET", "/").with_identity(Some(identity(number)));
    (call, engine.handle(Event::arrive(call, arrival), MonoTime::from_millis(at_ms)))
}

/// Returns `true` if any of the actions runs a call at the upstream.
fn runs(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::RunLocal { .. }))
}
