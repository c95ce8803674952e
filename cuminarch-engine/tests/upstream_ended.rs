//! The end of an upstream's process is reported once, with the requests that it was running.

use std::sync::Arc;

use cuminarch_config::Policy;
use cuminarch_engine::{Action, Arrival, Engine, EngineSettings, Event, QuarantineNotice};
use cuminarch_types::{MonoTime, RequestDigest, RequestId, RequestIdentity, RequestVariant};

fn identity(number: u128) -> RequestIdentity {
    RequestIdentity { request: RequestDigest::new(number), variant: RequestVariant::new(0) }
}

#[test]
fn an_upstream_that_ends_is_reported_once_with_its_runs() {
    let names = ["katalog-1", "katalog", "zrh-a", "ch-central"];
    let settings = EngineSettings::new(
        names[0].parse().unwrap(),
        names[1].parse().unwrap(),
        names[2].parse().unwrap(),
        names[3].parse().unwrap(),
    );
    let mut engine = Engine::new(settings, Arc::new(Policy::safe_default()));
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
