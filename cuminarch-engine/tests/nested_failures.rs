//! A node between an entry node and a deep service whose endpoints stop taking calls.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::{Policy, Sheet};
use cuminarch_engine::{
    Action, Arrival, Engine, EngineSettings, Event, LocalEnd, Refusal, RefusalReason, RemoteRefusal,
};
use cuminarch_protocol::{
    Member, MemberState, Receipt, RoutedCall, SendKind, UpstreamRecord, UpstreamState,
};
use cuminarch_types::{
    Attempts, CallId, CapacityMode, DisabledMechanisms, Incarnation, Mechanism, MonoTime, Rank,
    RequestId, Revision,
};
use rstest::rstest;

const SHEET: &str = "classes:
  - name: lookup
    grant_attempts: 16
    deadline_ms: 1000
    retry_percent: 50
default_class: lookup
";
/// Within this time, failed nested calls have to count as shortage.
const REACTION_TIME: Duration = Duration::from_millis(500);
const GAP: Duration = Duration::from_millis(10);

struct MiddleNode {
    engine: Engine,
    now: MonoTime,
    number: u128,
}

impl MiddleNode {
    fn new(capacity: CapacityMode, disabled: &[Mechanism]) -> Self {
        let mut settings = EngineSettings::new(
            "kasse-1".parse().unwrap(),
            "kasse".parse().unwrap(),
            "zrh-a".parse().unwrap(),
            "ch-central".parse().unwrap(),
        );
        settings.disabled = DisabledMechanisms::new(disabled.iter().copied());
        let sheet = Sheet::parse(SHEET).unwrap();
        let policy = Policy::from_sheet(Revision::new(1), &sheet).unwrap();
        let engine = Engine::new(settings.with_capacity(capacity), Arc::new(policy));
        let mut node = Self { engine, now: MonoTime::from_millis(1), number: 0 };
        node.engine.handle(member(), node.now);
        node
    }

    /// Runs a request with one nested call. Returns the shortage that its answer reports, in
    /// thousandths.
    fn run_request(&mut self, is_call_answered: bool) -> u16 {
        self.number += 1;
        self.now = self.now.after(GAP);
        let root = RequestId::new(self.number << 40);
        let call = self.engine.next_call();
        let arrival = Arrival::inbound(root, "GET", "/basket")
            .with_share(Attempts::new(8), Rank::MAX)
            .with_routed(Some(routed("basket", false)));
        self.engine.handle(Event::arrive(call, arrival), self.now);
        self.nested_call(root, is_call_answered);
        self.now = self.now.after(GAP);
        self.engine.handle(Event::LocalHead(call), self.now);
        let end = Event::LocalEnd(call, LocalEnd::Complete(None));
        let actions = self.engine.handle(end, self.now);
        let receipt = actions.into_iter().find_map(|action| match action {
            Action::Close { call: closed, receipt } if closed == call => Some(receipt),
            _ => None,
        });
        let load = receipt.unwrap().load.unwrap();
        load.pressure.map_or(0, |pressure| pressure.shed_milli)
    }

    fn nested_call(&mut self, root: RequestId, is_answered: bool) {
        let call = self.engine.next_call();
        let arrival = Arrival::outbound("lager".parse().unwrap(), root, "GET", "/stock")
            .with_routed(Some(routed("stock", true)));
        for action in self.engine.handle(Event::arrive(call, arrival), self.now) {
            let Action::Forward { attempt, .. } = action else { continue };
            let now = self.now.after(GAP);
            if is_answered {
                self.engine.handle(Event::RemoteHead { call, attempt, is_failure: false }, now);
                let receipt = Some(Receipt::default());
                self.engine.handle(Event::RemoteEnd { call, attempt, receipt }, now);
            } else {
                self.turn_away(call, attempt, now);
            }
        }
    }

    fn turn_away(&mut self, call: CallId, attempt: cuminarch_types::AttemptId, now: MonoTime) {
        let refusal = Refusal::not_run(RefusalReason::TurnedAway);
        let receipt = Receipt::default();
        let refused = RemoteRefusal { refusal, reached_upstream: true, receipt, member: None };
        self.engine.handle(Event::RemoteRefused(call, attempt, Box::new(refused)), now);
    }
}

fn routed(route: &str, is_nested: bool) -> RoutedCall {
    RoutedCall {
        route: route.parse().unwrap(),
        caller_service: "kasse".parse().unwrap(),
        caller_zone: "zrh-a".parse().unwrap(),
        is_nested,
        objective_ms: 500,
        send: SendKind::First,
    }
}

fn member() -> Event {
    let slots =
        UpstreamRecord { slots: 16, state: UpstreamState::Ready, ..UpstreamRecord::absent() };
    Event::Member(Box::new(Member {
        endpoint: "lager-1".parse().unwrap(),
        service: "lager".parse().unwrap(),
        zone: "zrh-a".parse().unwrap(),
        region: "ch-central".parse().unwrap(),
        incarnation: Incarnation::new(5),
        statement: 0,
        data_address: "127.0.0.1:1".parse().unwrap(),
        control_address: "127.0.0.1:2".parse().unwrap(),
        state: MemberState::Active,
        upstream: Some(slots),
    }))
}

/// 50 requests a second with one nested call each, of which half are turned away from some moment
/// on.
#[rstest]
#[case::learned(CapacityMode::Learned, &[], 300..=700)]
#[case::switched_off(CapacityMode::Learned, &[Mechanism::NestedFailureShortage], 0..=0)]
#[case::stated(CapacityMode::Stated, &[], 0..=0)]
fn failed_nested_calls_are_reported_as_shortage(
    #[case] capacity: CapacityMode,
    #[case] disabled: &[Mechanism],
    #[case] expected_milli: std::ops::RangeInclusive<u16>,
) {
    let mut node = MiddleNode::new(capacity, disabled);
    for _ in 0..400 {
        assert_eq!(node.run_request(true), 0);
    }
    let shrunk_at = node.now;
    let mut shed_milli = 0;
    while node.now.since(shrunk_at) < REACTION_TIME {
        let is_answered = node.number.is_multiple_of(2);
        shed_milli = node.run_request(is_answered);
    }
    assert!(expected_milli.contains(&shed_milli), "{shed_milli}");
    // Without failures the shortage ends.
    (0..400).for_each(|_| shed_milli = node.run_request(true));
    assert_eq!(shed_milli, 0);
}

/// A caller's request arrives on each of three routes every 10 ms, and nothing is answered yet.
#[rstest]
#[case::learned(CapacityMode::Learned, &[], 12)]
#[case::switched_off(CapacityMode::Learned, &[Mechanism::StartRamp], 90)]
#[case::stated(CapacityMode::Stated, &[], 90)]
fn requests_in_flight_are_bounded_after_the_start(
    #[case] capacity: CapacityMode,
    #[case] disabled: &[Mechanism],
    #[case] expected: usize,
) {
    let mut node = MiddleNode::new(capacity, disabled);
    let mut forwarded = 0;
    for number in 0..90_u128 {
        node.now = node.now.after(Duration::from_millis(3));
        let call = node.engine.next_call();
        let root = RequestId::new(number << 40);
        let route = format!("r-{}", number % 3);
        let arrival = Arrival::outbound("lager".parse().unwrap(), root, "GET", "/stock")
            .with_routed(Some(routed(&route, false)));
        let actions = node.engine.handle(Event::arrive(call, arrival), node.now);
        forwarded +=
            actions.iter().filter(|action| matches!(action, Action::Forward { .. })).count();
    }
    assert_eq!(forwarded, expected);
}
