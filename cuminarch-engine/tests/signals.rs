//! What an entry node does with the statements of upstreams, event by event.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::Policy;
use cuminarch_engine::{Action, Arrival, Engine, EngineSettings, Event, Forward};
use cuminarch_protocol::{
    LoadReport, Member, MemberState, PressureReport, Receipt, RoutedCall, SendKind, UpstreamRecord,
    UpstreamSignals, UpstreamState,
};
use cuminarch_types::{AttemptId, CallId, Incarnation, MonoTime, RatePerSecond, RequestId};
use rstest::rstest;

const LIMIT: RatePerSecond = RatePerSecond::new(20.0);

/// A node of `kasse` that calls the service `katalog`.
struct EntryNode {
    engine: Engine,
    now: MonoTime,
}

impl EntryNode {
    fn new() -> Self {
        let settings = EngineSettings::new(
            "kasse-1".parse().unwrap(),
            "kasse".parse().unwrap(),
            "zrh-a".parse().unwrap(),
            "ch-central".parse().unwrap(),
        );
        let engine = Engine::new(settings, Arc::new(Policy::safe_default()));
        Self { engine, now: MonoTime::from_millis(1_000) }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.now = self.now.after(Duration::from_millis(1));
        self.engine.handle(event, self.now)
    }

    fn call(&mut self, number: u128) -> (CallId, Option<(AttemptId, Box<Forward>)>) {
        let routed = RoutedCall {
            route: "browse".parse().unwrap(),
            caller_service: "kasse".parse().unwrap(),
            caller_zone: "zrh-a".parse().unwrap(),
            is_nested: false,
            objective_ms: 500,
            send: SendKind::First,
        };
        let service = "katalog".parse().unwrap();
        let arrival = Arrival::outbound(service, RequestId::new(number), "GET", "/patterns/1");
        let call = self.engine.next_call();
        let actions = self.handle(Event::arrive(call, arrival.with_routed(Some(routed))));
        let forwarded = actions.into_iter().find_map(|action| match action {
            Action::Forward { attempt, forward, .. } => Some((attempt, forward)),
            _ => None,
        });
        (call, forwarded)
    }

    fn answer(
        &mut self,
        call: CallId,
        attempt: AttemptId,
        forward: &Forward,
        signals: &UpstreamSignals,
        load: LoadReport,
    ) {
        let service = "katalog".parse().unwrap();
        self.engine.record_endpoint_signals(&service, &forward.target, signals);
        self.handle(Event::RemoteHead { call, attempt, is_failure: false });
        let receipt = Receipt { load: Some(Box::new(load)), ..Receipt::default() };
        self.handle(Event::RemoteEnd { call, attempt, receipt: Some(receipt) });
    }

    /// Announces an endpoint.
    fn add_member(&mut self, name: &str, zone: &str, incarnation: u64, started_at_ms: u64) {
        let upstream = UpstreamRecord {
            instance: Some("i-1".parse().unwrap()),
            started_at_ms,
            state: UpstreamState::Ready,
            slots: 100,
            warm_up_ms: 0,
        };
        let member = Member {
            endpoint: name.parse().unwrap(),
            service: "katalog".parse().unwrap(),
            zone: zone.parse().unwrap(),
            region: "ch-central".parse().unwrap(),
            incarnation: Incarnation::new(incarnation),
            statement: started_at_ms as u32,
            data_address: "127.0.0.1:1".parse().unwrap(),
            control_address: "127.0.0.1:2".parse().unwrap(),
            state: MemberState::Active,
            upstream: Some(upstream),
        };
        self.handle(Event::Member(Box::new(member)));
    }
}

fn full_report() -> LoadReport {
    let pressure = PressureReport {
        service: "katalog".parse().unwrap(),
        shed_milli: 600,
        age_ms: 0,
        load_us: 20_000,
    };
    LoadReport { occupancy_milli: 1_500, pressure: Some(pressure), ..LoadReport::default() }
}

/// The endpoint of the own zone states a limit and reports a shortage. Requests are shed at the entry node
/// only if the other endpoint is full too.
#[rstest]
#[case::other_endpoint_has_room(LoadReport { occupancy_milli: 300, ..LoadReport::default() }, false)]
#[case::other_endpoint_is_full(full_report(), true)]
fn excess_of_a_limited_endpoint_is_shed_only_if_no_other_has_room(
    #[case] other: LoadReport,
    #[case] is_shed: bool,
) {
    let mut node = EntryNode::new();
    node.add_member("katalog-1", "zrh-a", 1, 1);
    node.add_member("katalog-2", "zrh-b", 1, 1);
    let limited = UpstreamSignals { rate_limit: Some(LIMIT), is_leaving: false };
    let mut refused = 0;
    for number in 0..400 {
        node.now = node.now.after(Duration::from_millis(5));
        let (call, forwarded) = node.call(number << 64);
        let Some((attempt, forward)) = forwarded else {
            refused += 1;
            continue;
        };
        if forward.target.endpoint.as_str() == "katalog-1" {
            node.answer(call, attempt, &forward, &limited, full_report());
        } else {
            node.answer(call, attempt, &forward, &UpstreamSignals::default(), other.clone());
        }
    }
    assert_eq!(refused > 10, is_shed, "{refused}");
}

/// The endpoint's node starts again while its upstream continues; `started_at_ms` changes if the
/// upstream starts again too.
#[rstest]
#[case::same_lifetime(1, true)]
#[case::new_lifetime(2, false)]
fn entry_node_remembers_what_a_lifetime_stated_across_a_restart_of_its_node(
    #[case] started_at_ms: u64,
    #[case] is_remembered: bool,
) {
    let mut node = EntryNode::new();
    node.add_member("katalog-1", "zrh-a", 1, 1);
    let (call, forwarded) = node.call(1);
    let (attempt, forward) = forwarded.unwrap();
    assert_eq!(forward.target.rate_limit, None);
    let limited = UpstreamSignals { rate_limit: Some(LIMIT), is_leaving: false };
    node.answer(call, attempt, &forward, &limited, LoadReport::default());
    node.add_member("katalog-1", "zrh-a", 2, started_at_ms);
    let (call, forwarded) = node.call(2);
    let (attempt, forward) = forwarded.unwrap();
    assert_eq!(forward.target.rate_limit, is_remembered.then_some(LIMIT));
    let leaving = UpstreamSignals { rate_limit: None, is_leaving: true };
    node.answer(call, attempt, &forward, &leaving, LoadReport::default());
    // An earlier answer is read later.
    let service = "katalog".parse().unwrap();
    node.engine.record_endpoint_signals(&service, &forward.target, &limited);
    node.add_member("katalog-1", "zrh-a", 3, started_at_ms);
    assert!(node.call(3).1.is_none());
    node.add_member("katalog-1", "zrh-a", 4, started_at_ms + 1);
    assert!(node.call(4).1.is_some());
}

#[test]
fn late_answer_of_an_earlier_lifetime_does_not_hide_a_departure() {
    let mut node = EntryNode::new();
    node.add_member("katalog-1", "zrh-a", 1, 1);
    let (_, forwarded) = node.call(1);
    let (_, earlier) = forwarded.unwrap();
    node.add_member("katalog-1", "zrh-a", 1, 2);
    let (call, forwarded) = node.call(2);
    let (attempt, forward) = forwarded.unwrap();
    let leaving = UpstreamSignals { rate_limit: None, is_leaving: true };
    node.answer(call, attempt, &forward, &leaving, LoadReport::default());
    let limited = UpstreamSignals { rate_limit: Some(LIMIT), is_leaving: false };
    let service = "katalog".parse().unwrap();
    node.engine.record_endpoint_signals(&service, &earlier.target, &limited);
    assert!(node.call(3).1.is_none());
}
