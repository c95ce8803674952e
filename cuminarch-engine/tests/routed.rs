//! Checks calls that took a route at one engine, event by event.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use cuminarch_attempts::RetryBudgetSettings;
use cuminarch_config::{Policy, Sheet};
use cuminarch_engine::{
    Action, Arrival, Engine, EngineSettings, Event, Refusal, RefusalReason, RemoteRefusal,
};
use cuminarch_protocol::{
    LoadReport, Member, MemberState, PressureReport, Receipt, RoutedCall, SendKind, UpstreamRecord,
    UpstreamState,
};
use cuminarch_types::{
    AttemptId, Attempts, CallId, DisabledMechanisms, Incarnation, Mechanism, MonoTime, Outcome,
    Rank, RequestId, Revision,
};
use rstest::rstest;

const SHEET: &str = "classes:
  - name: lookup
    grant_attempts: 16
    deadline_ms: 1000
    retry_percent: 50
    protected: true
rules:
  - class: lookup
    methods: [GET]
    path: /**
    idempotent: true
  - class: lookup
    methods: [POST]
    path: /**
    idempotent: false
default_class: lookup
";

/// The node of `kasse-1`, whose callers call the service `auftrag`.
struct Node {
    engine: Engine,
    now: MonoTime,
}

impl Node {
    fn new() -> Self {
        Self::without(None)
    }

    /// Creates a node with this mechanism disabled.
    fn without(mechanism: Option<Mechanism>) -> Self {
        let mut settings = EngineSettings::new(
            "kasse-1".parse().unwrap(),
            "kasse".parse().unwrap(),
            "zrh-a".parse().unwrap(),
            "ch-central".parse().unwrap(),
        );
        settings.retry_budget = RetryBudgetSettings::new(0.1, 10.0, Duration::from_secs(10));
        settings.disabled = DisabledMechanisms::new(mechanism);
        let sheet = Sheet::parse(SHEET).unwrap();
        let policy = Policy::from_sheet(Revision::new(1), &sheet).unwrap();
        Self { engine: Engine::new(settings, Arc::new(policy)), now: MonoTime::from_millis(1) }
    }

    fn add_member(&mut self, endpoint: &str) {
        let slots =
            UpstreamRecord { slots: 16, state: UpstreamState::Ready, ..UpstreamRecord::absent() };
        let peer = Member {
            endpoint: endpoint.parse().unwrap(),
            service: "auftrag".parse().unwrap(),
            zone: "zrh-a".parse().unwrap(),
            region: "ch-central".parse().unwrap(),
            incarnation: Incarnation::new(5),
            statement: 0,
            data_address: "127.0.0.1:1".parse().unwrap(),
            control_address: "127.0.0.1:2".parse().unwrap(),
            state: MemberState::Active,
            upstream: Some(slots),
        };
        self.handle(Event::Member(Box::new(peer)));
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.now = self.now.after(Duration::from_millis(1));
        self.engine.handle(event, self.now)
    }

    fn call(&mut self, number: u128) -> (CallId, Vec<Action>) {
        self.call_with_method("GET", number)
    }

    fn call_with_method(&mut self, method: &str, number: u128) -> (CallId, Vec<Action>) {
        let routed = routed_lookup();
        let service = "auftrag".parse().unwrap();
        let arrival = Arrival::outbound(service, RequestId::new(number), method, "/lookup/1");
        let call = self.engine.next_call();
        let arrival = arrival.with_routed(Some(routed));
        (call, self.handle(Event::arrive(call, arrival)))
    }

    /// Makes the node of the chosen endpoint refuse the call.
    fn refuse(&mut self, call: CallId, attempt: AttemptId, refusal: Refusal) -> Vec<Action> {
        let reached_upstream = refusal.reason == RefusalReason::TurnedAway;
        let refusal =
            RemoteRefusal { refusal, reached_upstream, receipt: Receipt::default(), member: None };
        self.handle(Event::RemoteRefused(call, attempt, Box::new(refusal)))
    }

    /// Makes the upstream of the chosen endpoint turn the call away.
    fn turn_away(&mut self, call: CallId, attempt: AttemptId) -> Vec<Action> {
        self.refuse(call, attempt, Refusal::not_run(RefusalReason::TurnedAway))
    }

    /// Makes the upstream of the chosen endpoint answer the call.
    fn answer(&mut self, call: CallId, attempt: AttemptId) {
        self.handle(Event::RemoteHead { call, attempt, is_failure: false });
        let receipt = Some(Receipt::default());
        self.handle(Event::RemoteEnd { call, attempt, receipt });
    }
}

/// Creates the route data of a lookup by a caller of the node.
fn routed_lookup() -> RoutedCall {
    RoutedCall {
        route: "lookup".parse().unwrap(),
        caller_service: "kasse".parse().unwrap(),
        caller_zone: "zrh-a".parse().unwrap(),
        is_nested: false,
        objective_ms: 500,
        send: SendKind::First,
    }
}

/// Returns the endpoint and attempt of a forwarded call.
fn forwarded(actions: &[Action]) -> Option<(String, AttemptId)> {
    actions.iter().find_map(|action| match action {
        Action::Forward { attempt, forward, .. } => {
            Some((forward.target.endpoint.to_string(), *attempt))
        }
        _ => None,
    })
}

#[test]
fn a_retry_without_another_endpoint_costs_no_budget() {
    let mut node = Node::new();
    node.add_member("auftrag-1");
    for number in 0..40 {
        let (call, actions) = node.call(number);
        let (_, attempt) = forwarded(&actions).unwrap();
        let actions = node.turn_away(call, attempt);
        assert!(actions.iter().any(|action| matches!(action, Action::Refuse { .. })));
    }
    node.add_member("auftrag-2");
    let (call, actions) = node.call(100);
    let (first, attempt) = forwarded(&actions).unwrap();
    let (second, _) = forwarded(&node.turn_away(call, attempt)).unwrap();
    assert_ne!(first, second);
}

/// Its upstream turns calls away, or fails before it starts to answer.
#[rstest]
#[case::turned_away(Refusal::not_run(RefusalReason::TurnedAway))]
#[case::connection_refused(Refusal::not_run(RefusalReason::UpstreamFailed))]
#[case::answer_lost(Refusal::unknown(RefusalReason::UpstreamFailed))]
fn an_endpoint_whose_upstream_fails_gets_few_calls(#[case] refusal: Refusal) {
    let mut node = Node::new();
    node.add_member("auftrag-1");
    node.add_member("auftrag-2");
    let mut failed = 0;
    for number in 0..400 {
        let (call, actions) = node.call(number);
        let (endpoint, attempt) = forwarded(&actions).unwrap();
        if endpoint == "auftrag-2" {
            node.answer(call, attempt);
            continue;
        }
        failed += 1;
        let actions = node.refuse(call, attempt, refusal.clone());
        if let Some((_, attempt)) = forwarded(&actions) {
            node.answer(call, attempt);
        }
    }
    assert!(failed < 40, "{failed}");
}

/// Returns the outcome in the final answer.
fn final_outcome(actions: &[Action]) -> Option<Outcome> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some(refusal.outcome),
        _ => None,
    })
}

#[test]
fn a_request_that_may_have_run_elsewhere_is_never_answered_not_run() {
    let mut node = Node::new();
    node.add_member("auftrag-1");
    node.add_member("auftrag-2");
    let (call, actions) = node.call_with_method("GET", 1);
    let (first, attempt) = forwarded(&actions).unwrap();
    let actions = node.handle(Event::RemoteLost { call, attempt, sent: true });
    let (second, attempt) = forwarded(&actions).unwrap();
    assert_ne!(first, second);
    assert_eq!(final_outcome(&node.turn_away(call, attempt)), Some(Outcome::Unknown));
}

#[test]
fn a_request_that_no_upstream_ran_is_answered_not_run() {
    let mut node = Node::new();
    node.add_member("auftrag-1");
    let (call, actions) = node.call_with_method("GET", 1);
    let (_, attempt) = forwarded(&actions).unwrap();
    assert_eq!(final_outcome(&node.turn_away(call, attempt)), Some(Outcome::NotRun));
}

/// The attempt was lost, or the upstream's answer was cut off.
#[rstest]
#[case::lost(None)]
#[case::answer_lost(Some(Refusal::unknown(RefusalReason::UpstreamFailed)))]
fn a_non_idempotent_call_that_may_have_run_is_not_retried(#[case] refusal: Option<Refusal>) {
    let mut node = Node::new();
    node.add_member("auftrag-1");
    node.add_member("auftrag-2");
    let (call, actions) = node.call_with_method("POST", 1);
    let (_, attempt) = forwarded(&actions).unwrap();
    let actions = match refusal {
        None => node.handle(Event::RemoteLost { call, attempt, sent: true }),
        Some(refusal) => node.refuse(call, attempt, refusal),
    };
    assert!(forwarded(&actions).is_none(), "{actions:?}");
    assert_eq!(final_outcome(&actions), Some(Outcome::Unknown));
}

/// Makes a call from another node arrive at its serving node. Returns the reason if it is refused.
fn arrive_from_node(node: &mut Node, number: u128, send: SendKind) -> Option<RefusalReason> {
    let routed = RoutedCall {
        route: "lookup".parse().unwrap(),
        caller_service: "auftrag".parse().unwrap(),
        caller_zone: "zrh-a".parse().unwrap(),
        is_nested: false,
        objective_ms: 500,
        send,
    };
    let arrival = Arrival::inbound(RequestId::new(number), "GET", "/lookup/1")
        .with_share(Attempts::new(4), Rank::MAX)
        .with_routed(Some(routed));
    let call = node.engine.next_call();
    let actions = node.handle(Event::arrive(call, arrival));
    let refused = actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some((refusal.outcome, refusal.reason)),
        _ => None,
    });
    node.handle(Event::Cancel(call));
    let (outcome, reason) = refused?;
    assert_eq!(outcome, Outcome::NotRun);
    Some(reason)
}

/// Many retries to a service with few requests reach its upstream no more often than the retry
/// budget of the whole fleet allows.
#[test]
fn a_serving_node_admits_no_more_retries_than_its_budget_holds() {
    let mut node = Node::new();
    assert_eq!(arrive_from_node(&mut node, 1, SendKind::First), None);
    node.now = node.now.after(Duration::from_secs(60));
    let mut passed = 0;
    for number in 2..202 {
        match arrive_from_node(&mut node, number, SendKind::Retry) {
            None => passed += 1,
            Some(reason) => assert_eq!(reason, RefusalReason::RetriesExhausted),
        }
    }
    assert!((1..=10).contains(&passed), "{passed}");
    assert_eq!(arrive_from_node(&mut node, 300, SendKind::First), None);
    assert_eq!(arrive_from_node(&mut node, 301, SendKind::Elsewhere), None);
}

/// Only a call that an upstream may have received is marked as a retry.
#[rstest]
#[case::refused_by_the_serving_node(
    Refusal::not_run(RefusalReason::Overloaded),
    SendKind::Elsewhere
)]
#[case::turned_away(Refusal::not_run(RefusalReason::TurnedAway), SendKind::Retry)]
#[case::answer_lost(Refusal::unknown(RefusalReason::UpstreamFailed), SendKind::Retry)]
fn a_call_that_an_upstream_may_have_received_is_marked_as_a_retry(
    #[case] refusal: Refusal,
    #[case] expected: SendKind,
) {
    let mut node = Node::new();
    node.add_member("auftrag-1");
    node.add_member("auftrag-2");
    let (call, actions) = node.call(1);
    assert_eq!(sent_as(&actions), Some(SendKind::First));
    let (_, attempt) = forwarded(&actions).unwrap();
    let actions = node.refuse(call, attempt, refusal);
    assert_eq!(sent_as(&actions), Some(expected));
}

fn sent_as(actions: &[Action]) -> Option<SendKind> {
    actions.iter().find_map(|action| match action {
        Action::Forward { forward, .. } => Some(forward.routed.as_ref()?.send),
        _ => None,
    })
}

/// The retry delay of a refused caller leaves time for a fully useful answer, and is shorter than
/// the caller's deadline. The rule's deadline is one second.
#[rstest]
#[case::within_the_objective(500, None, 50, 250)]
#[case::short_objective(150, None, 15, 75)]
#[case::little_time_left(500, Some(300), 50, 90)]
#[case::objective_beyond_the_deadline(5_000, None, 300, 300)]
fn a_refused_caller_can_still_be_answered_within_its_objective(
    #[case] objective_ms: u32,
    #[case] remaining_ms: Option<u64>,
    #[case] min_ms: u64,
    #[case] max_ms: u64,
) {
    let mut node = Node::new();
    let mut waits = Vec::new();
    for number in 0..200 {
        let routed = RoutedCall { objective_ms, ..routed_lookup() };
        let service = "auftrag".parse().unwrap();
        let arrival = Arrival::outbound(service, RequestId::new(number), "GET", "/lookup/1");
        let call = node.engine.next_call();
        let arrival = arrival
            .with_routed(Some(routed))
            .with_remaining(remaining_ms.map(Duration::from_millis));
        let actions = node.handle(Event::arrive(call, arrival));
        let refused = actions.iter().find_map(|action| match action {
            Action::Refuse { refusal, .. } => refusal.retry_after,
            _ => None,
        });
        waits.push(refused.expect("no retry delay, although no endpoint is known"));
    }
    let (least, most) = (*waits.iter().min().unwrap(), *waits.iter().max().unwrap());
    assert!(least >= Duration::from_millis(min_ms), "{least:?}");
    assert!(most <= Duration::from_millis(max_ms), "{most:?}");
    let spread = Duration::from_millis(max_ms - min_ms);
    assert!(most - least >= spread.mul_f64(0.5), "{least:?} to {most:?}");
}

#[rstest]
#[case::on(None, true)]
#[case::off(Some(Mechanism::Repeats), false)]
fn retries_can_be_switched_off(#[case] disabled: Option<Mechanism>, #[case] is_retried: bool) {
    let mut node = Node::without(disabled);
    node.add_member("auftrag-1");
    node.add_member("auftrag-2");
    let (call, actions) = node.call(1);
    let (_, attempt) = forwarded(&actions).unwrap();
    assert_eq!(forwarded(&node.turn_away(call, attempt)).is_some(), is_retried);
}

#[rstest]
#[case::on(None, true)]
#[case::off(Some(Mechanism::Shedding), false)]
fn shedding_at_the_entry_node_can_be_switched_off(
    #[case] disabled: Option<Mechanism>,
    #[case] is_shed: bool,
) {
    let mut node = Node::without(disabled);
    node.add_member("auftrag-1");
    let pressure = PressureReport {
        service: "auftrag".parse().unwrap(),
        shed_milli: 800,
        age_ms: 0,
        load_us: 20_000,
    };
    let load = LoadReport { pressure: Some(pressure), ..LoadReport::default() };
    let receipt = Receipt { load: Some(Box::new(load)), ..Receipt::default() };
    let mut refused = 0;
    for number in 0..300 {
        let (call, actions) = node.call(number << 64);
        let Some((_, attempt)) = forwarded(&actions) else {
            refused += 1;
            continue;
        };
        node.handle(Event::RemoteHead { call, attempt, is_failure: false });
        let receipt = Some(receipt.clone());
        node.handle(Event::RemoteEnd { call, attempt, receipt });
    }
    assert_eq!(refused > 0, is_shed, "{refused}");
}
