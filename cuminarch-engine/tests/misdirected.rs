//! Calls that reach another endpoint than the one that they are meant for, at one engine, event by
//! event.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::Policy;
use cuminarch_engine::{
    Action, Arrival, Destination, Engine, EngineSettings, Event, LocalEnd, Refusal, RefusalReason,
    RemoteRefusal,
};
use cuminarch_protocol::{
    Member, MemberState, Receipt, RoutedCall, SendKind, UpstreamLifetime, UpstreamRecord,
    UpstreamState,
};
use cuminarch_types::{
    AttemptId, Attempts, CallId, Incarnation, MonoTime, Outcome, Rank, RequestId,
};
use rstest::rstest;

/// The node of `kasse-1`.
struct Node {
    engine: Engine,
    now: MonoTime,
}

impl Node {
    fn new() -> Self {
        let settings = EngineSettings::new(
            "kasse-1".parse().unwrap(),
            "kasse".parse().unwrap(),
            "zrh-a".parse().unwrap(),
            "ch-central".parse().unwrap(),
        );
        let engine = Engine::new(settings.with_slot_admission(), Arc::new(Policy::safe_default()));
        Self { engine, now: MonoTime::from_millis(1) }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.now = self.now.after(Duration::from_millis(1));
        self.engine.handle(event, self.now)
    }

    fn register(&mut self, started_at_ms: u64, slots: u32) -> Vec<Action> {
        self.handle(Event::Upstream(Box::new(upstream(started_at_ms, slots))))
    }

    /// Lets a call arrive from another node that means it for this lifetime.
    fn receive(&mut self, started_at_ms: u64) -> (CallId, Vec<Action>) {
        let call = self.engine.next_call();
        let lifetime = upstream(started_at_ms, 1).lifetime();
        let lifetime = lifetime.as_ref().map(UpstreamLifetime::digest);
        let destination = Destination { service: "kasse".parse().unwrap(), lifetime };
        let arrival = Arrival::inbound(RequestId::new(call.get().into()), "POST", "/pay/1")
            .with_share(Attempts::new(1), Rank::MAX)
            .with_destination(destination);
        (call, self.handle(Event::arrive(call, arrival)))
    }

    /// Sends a call to `auftrag`, with time for many attempts.
    fn send(&mut self) -> (CallId, Vec<Action>) {
        let call = self.engine.next_call();
        let routed = RoutedCall {
            route: "lookup".parse().unwrap(),
            caller_service: "kasse".parse().unwrap(),
            caller_zone: "zrh-a".parse().unwrap(),
            is_nested: false,
            objective_ms: 1_000,
            send: SendKind::First,
        };
        let service = "auftrag".parse().unwrap();
        let arrival = Arrival::outbound(service, RequestId::new(call.get().into()), "POST", "/x")
            .with_idempotent(false)
            .with_routed(Some(routed));
        (call, self.handle(Event::arrive(call, arrival)))
    }

    fn refuse(&mut self, call: CallId, attempt: AttemptId, member: Option<Member>) -> Vec<Action> {
        let refusal = Refusal::not_run(RefusalReason::Misdirected);
        let member = member.map(Box::new);
        let receipt = Receipt::default();
        let refused = RemoteRefusal { refusal, reached_upstream: false, receipt, member };
        self.handle(Event::RemoteRefused(call, attempt, Box::new(refused)))
    }
}

fn upstream(started_at_ms: u64, slots: u32) -> UpstreamRecord {
    let instance = Some("i-1".parse().unwrap());
    let state = UpstreamState::Ready;
    UpstreamRecord { instance, started_at_ms, state, slots, warm_up_ms: 0 }
}

/// A member of `auftrag`; all of them are taken for nodes of their own.
fn member(index: u16, started_at_ms: u64, statement: u32) -> Member {
    Member {
        endpoint: format!("auftrag-{index}").parse().unwrap(),
        service: "auftrag".parse().unwrap(),
        zone: "zrh-a".parse().unwrap(),
        region: "ch-central".parse().unwrap(),
        incarnation: Incarnation::new(5),
        statement,
        data_address: ([127, 0, 0, 1], 9_000 + index).into(),
        control_address: ([127, 0, 0, 1], 9_500 + index).into(),
        state: MemberState::Active,
        upstream: Some(upstream(started_at_ms, 16)),
    }
}

fn forwarded_to(actions: &[Action]) -> Option<(AttemptId, String, SendKind)> {
    actions.iter().find_map(|action| match action {
        Action::Forward { attempt, forward, .. } => {
            let send = forward.routed.as_ref().map_or(SendKind::First, |routed| routed.send);
            Some((*attempt, forward.target.endpoint.to_string(), send))
        }
        _ => None,
    })
}

fn refusal(actions: &[Action]) -> Option<(Outcome, RefusalReason)> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some((refusal.outcome, refusal.reason)),
        _ => None,
    })
}

/// A call that waited for a slot ran at the upstream that had started in the meantime.
#[test]
fn a_queued_call_does_not_run_at_the_next_lifetime() {
    let mut node = Node::new();
    node.register(1_000, 1);
    let (first, actions) = node.receive(1_000);
    assert!(matches!(actions[0], Action::RunLocal { .. }), "{actions:?}");
    let (_, actions) = node.receive(1_000);
    assert!(actions.is_empty(), "{actions:?}");
    node.handle(Event::LocalHead(first));
    let mut actions = node.register(2_000, 1);
    actions.extend(node.handle(Event::LocalEnd(first, LocalEnd::Complete(None))));
    assert_eq!(refusal(&actions), Some((Outcome::NotRun, RefusalReason::Misdirected)));
    assert!(!actions.iter().any(|action| matches!(action, Action::RunLocal { .. })));
    let (_, actions) = node.receive(2_000);
    assert!(matches!(actions[0], Action::RunLocal { .. }), "{actions:?}");
}

/// Behind a cut, more addresses may have been assigned again than one call may be refused.
#[test]
fn a_call_passes_any_number_of_wrong_endpoints() {
    let mut node = Node::new();
    for index in 0..12 {
        node.handle(Event::Member(Box::new(member(index, 1_000, 0))));
    }
    let (call, mut actions) = node.send();
    let mut tried = Vec::new();
    for _ in 0..11 {
        let (attempt, endpoint, send) = forwarded_to(&actions).unwrap();
        assert_eq!(send, SendKind::First);
        tried.push(endpoint);
        actions = node.refuse(call, attempt, None);
    }
    let (_, last, _) = forwarded_to(&actions).unwrap();
    assert!(!tried.contains(&last), "{last} of {tried:?}");
    // The table is corrected: no later call goes astray.
    for _ in 0..20 {
        let (_, actions) = node.send();
        assert_eq!(forwarded_to(&actions).unwrap().1, last);
    }
}

/// The only endpoint of a service has started again, which its node states in the refusal.
#[rstest]
#[case::stated(Some(member(0, 2_000, 1)), true)]
#[case::not_stated(None, false)]
fn a_call_is_sent_to_the_next_lifetime(#[case] stated: Option<Member>, #[case] is_sent: bool) {
    let mut node = Node::new();
    node.handle(Event::Member(Box::new(member(0, 1_000, 0))));
    let (call, actions) = node.send();
    let (attempt, ..) = forwarded_to(&actions).unwrap();
    let actions = node.refuse(call, attempt, stated);
    assert_eq!(forwarded_to(&actions).is_some(), is_sent, "{actions:?}");
    assert_eq!(refusal(&actions).is_some(), !is_sent);
    assert!(refusal(&actions).is_none_or(|(outcome, _)| outcome == Outcome::NotRun));
    // The endpoint is used again once its new lifetime is known.
    node.handle(Event::Member(Box::new(member(0, 2_000, 1))));
    let (_, actions) = node.send();
    assert!(forwarded_to(&actions).is_some());
}
