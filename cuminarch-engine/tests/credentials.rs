//! Keys of client accounts that change while a request waits at its entry node.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::{Policy, Sheet};
use cuminarch_engine::{
    Action, Arrival, Engine, EngineSettings, Event, Refusal, RefusalReason, RemoteRefusal,
};
use cuminarch_protocol::{
    Member, MemberState, Receipt, RoutedCall, SendKind, UpstreamRecord, UpstreamState,
};
use cuminarch_types::{AttemptId, CallId, Incarnation, MonoTime, Outcome, RequestId, Revision};
use rstest::rstest;

const HELD: &str = "accounts:\n  - {name: quilts, keys: [old, new]}\n";
const WITHDRAWN: &str = "accounts:\n  - {name: quilts, keys: [new]}\n";
const MOVED: &str = "accounts:\n  - {name: quilts, keys: [new]}\n  - {name: looms, keys: [old]}\n";
const OTHER_KEY_WITHDRAWN: &str = "accounts:\n  - {name: quilts, keys: [old]}\n";
const NO_ACCOUNTS: &str = "";

fn policy(revision: u64, accounts: &str) -> Arc<Policy> {
    let text = format!(
        "classes:\n  - {{name: lookup, grant_attempts: 16, deadline_ms: 1000, retry_percent: 100}}\n\
         default_class: lookup\n{accounts}"
    );
    let sheet = Sheet::parse(&text).unwrap();
    Arc::new(Policy::from_sheet(Revision::new(revision), &sheet).unwrap())
}

/// An entry node with two endpoints of `auftrag`.
struct Entry {
    engine: Engine,
    now: MonoTime,
}

impl Entry {
    fn new() -> Self {
        let settings = EngineSettings::new(
            "kasse-1".parse().unwrap(),
            "kasse".parse().unwrap(),
            "zrh-a".parse().unwrap(),
            "ch-central".parse().unwrap(),
        );
        let engine = Engine::new(settings, policy(1, HELD));
        let mut entry = Self { engine, now: MonoTime::from_millis(1) };
        for endpoint in ["auftrag-1", "auftrag-2"] {
            entry.handle(Event::Member(Box::new(member(endpoint))));
        }
        entry
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.now = self.now.after(Duration::from_millis(1));
        self.engine.handle(event, self.now)
    }

    /// Lets a request with the key `old` of `quilts` arrive.
    fn call(&mut self, routed: Option<RoutedCall>) -> (CallId, Vec<Action>) {
        let held = policy(1, HELD);
        let digest = held.accounts().find(b"old").map(|held| held.digest);
        let arrival =
            Arrival::outbound("auftrag".parse().unwrap(), RequestId::new(7), "GET", "/lookup/1")
                .with_routed(routed)
                .with_account(Some("quilts".parse().unwrap()))
                .with_credential(digest);
        let call = self.engine.next_call();
        (call, self.handle(Event::arrive(call, arrival)))
    }

    fn refuse_remotely(
        &mut self,
        call: CallId,
        attempt: AttemptId,
        refusal: Refusal,
    ) -> Vec<Action> {
        let reached_upstream = refusal.reason == RefusalReason::TurnedAway;
        let refusal =
            RemoteRefusal { refusal, reached_upstream, receipt: Receipt::default(), member: None };
        self.handle(Event::RemoteRefused(call, attempt, Box::new(refusal)))
    }
}

fn member(endpoint: &str) -> Member {
    Member {
        endpoint: endpoint.parse().unwrap(),
        service: "auftrag".parse().unwrap(),
        zone: "zrh-a".parse().unwrap(),
        region: "ch-central".parse().unwrap(),
        incarnation: Incarnation::new(5),
        statement: 0,
        data_address: "127.0.0.1:1".parse().unwrap(),
        control_address: "127.0.0.1:2".parse().unwrap(),
        state: MemberState::Active,
        upstream: Some(UpstreamRecord {
            slots: 16,
            state: UpstreamState::Ready,
            ..UpstreamRecord::absent()
        }),
    }
}

fn routed() -> RoutedCall {
    RoutedCall {
        route: "lookup".parse().unwrap(),
        caller_service: "kasse".parse().unwrap(),
        caller_zone: "zrh-a".parse().unwrap(),
        is_nested: false,
        objective_ms: 500,
        send: SendKind::First,
    }
}

fn sent(actions: &[Action]) -> Option<AttemptId> {
    actions.iter().find_map(|action| match action {
        Action::Forward { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn refused(actions: &[Action]) -> Option<(Outcome, RefusalReason)> {
    actions.iter().find_map(|action| match action {
        Action::Refuse { refusal, .. } => Some((refusal.outcome, refusal.reason)),
        _ => None,
    })
}

#[rstest]
#[case::withdrawn(WITHDRAWN, Some((Outcome::NotRun, RefusalReason::CredentialWithdrawn)))]
#[case::moved_to_another_account(MOVED, Some((Outcome::NotRun, RefusalReason::CredentialWithdrawn)))]
#[case::still_held(OTHER_KEY_WITHDRAWN, None)]
#[case::no_accounts_left(NO_ACCOUNTS, None)]
fn the_policy_in_force_decides_before_the_first_send(
    #[case] accounts: &str,
    #[case] expected: Option<(Outcome, RefusalReason)>,
    #[values(None, Some(routed()))] routed: Option<RoutedCall>,
) {
    let mut entry = Entry::new();
    assert!(entry.engine.set_policy(policy(2, accounts)));
    let (_, actions) = entry.call(routed);
    assert_eq!(refused(&actions), expected);
    assert_eq!(sent(&actions).is_some(), expected.is_none());
}

#[rstest]
#[case::refused_before_the_upstream(Refusal::not_run(RefusalReason::Overloaded), Outcome::NotRun)]
#[case::turned_away_by_the_upstream(Refusal::not_run(RefusalReason::TurnedAway), Outcome::Unknown)]
#[case::lost(Refusal::unknown(RefusalReason::UpstreamFailed), Outcome::Unknown)]
fn a_key_withdrawn_between_a_refusal_and_a_repeat_stops_the_repeat(
    #[case] refusal: Refusal,
    #[case] expected: Outcome,
) {
    let mut entry = Entry::new();
    let (call, actions) = entry.call(Some(routed()));
    let attempt = sent(&actions).unwrap();
    entry.engine.set_policy(policy(2, WITHDRAWN));
    let actions = entry.refuse_remotely(call, attempt, refusal);
    assert_eq!(sent(&actions), None);
    assert_eq!(refused(&actions), Some((expected, RefusalReason::CredentialWithdrawn)));
}

#[test]
fn a_key_withdrawn_while_a_repeat_is_planned_stops_it() {
    let mut entry = Entry::new();
    let (call, actions) = entry.call(None);
    let attempt = sent(&actions).unwrap();
    let actions = entry.refuse_remotely(call, attempt, Refusal::not_run(RefusalReason::Overloaded));
    assert_eq!((sent(&actions), refused(&actions)), (None, None));
    entry.engine.set_policy(policy(2, WITHDRAWN));
    entry.now = entry.now.after(Duration::from_millis(500));
    let actions = entry.handle(Event::Tick);
    let expected = Some((Outcome::NotRun, RefusalReason::CredentialWithdrawn));
    assert_eq!((sent(&actions), refused(&actions)), (None, expected));
}

#[test]
fn a_request_already_at_an_upstream_gets_its_answer() {
    let mut entry = Entry::new();
    let (call, actions) = entry.call(Some(routed()));
    let attempt = sent(&actions).unwrap();
    entry.engine.set_policy(policy(2, WITHDRAWN));
    let actions = entry.handle(Event::RemoteHead { call, attempt, is_failure: false });
    assert!(matches!(actions[..], [Action::Deliver { .. }]), "{actions:?}");
}
