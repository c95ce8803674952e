//! What an entry node does with the statements of upstreams, event by event.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::Policy;
use cuminarch_engine::{Action, Arrival, Engine, EngineSettings, Event, Forward};
use cuminarch_protocol::{
    LoadReport, Member, MemberState, Receipt, RoutedCall, SendKind, UpstreamRecord,
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
