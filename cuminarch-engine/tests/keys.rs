//! Checks idempotency keys at one engine, event by event.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::{Policy, Sheet};
use cuminarch_engine::{
    Action, Arrival, ClaimResult, Engine, EngineSettings, Event, LocalEnd, Refusal, RefusalReason,
    RemoteRefusal, RequestKey,
};
use cuminarch_once::{BoundKey, StoredAnswer};
use cuminarch_protocol::{AnswerHead, Member, MemberState, Receipt};
use cuminarch_types::{
    Attempts, CallId, Incarnation, MonoTime, Outcome, Rank, RequestId, ResendNumber, Revision,
};
use rstest::rstest;

const SHEET: &str = "classes:
  - name: approval
    grant_attempts: 16
    deadline_ms: 4000
    retry_percent: 50
    protected: true
rules:
  - class: approval
    methods: [GET]
    path: /**
    idempotent: true
  - class: approval
    methods: [POST]
    path: /**
    idempotent: false
default_class: approval
";

struct Node {
    engine: Engine,
    now: MonoTime,
}

impl Node {
    /// Creates the node of `kasse-1`, which knows `kasse-2`, incarnation 5, of the same service.
    fn new() -> Self {
        let settings = EngineSettings::new(
            "kasse-1".parse().unwrap(),
            "kasse".parse().unwrap(),
            "zrh-a".parse().unwrap(),
            "ch-central".parse().unwrap(),
        );
        let sheet = Sheet::parse(SHEET).unwrap();
        let policy = Policy::from_sheet(Revision::new(1), &sheet).unwrap();
        let engine = Engine::new(settings, Arc::new(policy));
        let mut node = Self { engine, now: MonoTime::from_millis(1) };
        node.add_member("kasse-2", MemberState::Active);
        node
    }

    /// Adds a member of the same service.
    fn add_member(&mut self, endpoint: &str, state: MemberState) {
        let peer = Member {
            endpoint: endpoint.parse().unwrap(),
            service: "kasse".parse().unwrap(),
            zone: "zrh-a".parse().unwrap(),
            region: "ch-central".parse().unwrap(),
            incarnation: Incarnation::new(5),
            statement: 0,
            data_address: "127.0.0.1:1".parse().unwrap(),
            control_address: "127.0.0.1:2".parse().unwrap(),
            state,
            upstream: None,
        };
        self.handle(Event::Member(Box::new(peer)));
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        self.engine.handle(event, self.now)
    }

    fn arrive(&mut self, arrival: Arrival) -> (CallId, Vec<Action>) {
        let call = self.engine.next_call();
        (call, self.handle(Event::arrive(call, arrival)))
    }

    fn mint(&mut self) -> RequestKey {
        RequestKey::Bound(self.engine.mint_key(self.now))
    }

    /// Runs a request with this key to completion.
    fn complete(&mut self, key: &RequestKey) {
        let (call, actions) = self.arrive(approval(key));
        assert!(matches!(actions[0], Action::RunLocal { .. }), "{actions:?}");
        self.handle(Event::LocalHead(call));
        let answer = LocalEnd::Complete(Some(Box::new(answer())));
        self.handle(Event::LocalEnd(call, answer));
    }
}

fn answer() -> StoredAnswer {
    let head = AnswerHead { status: 201, headers: Vec::new(), body_len_bytes: Some(4) };
    StoredAnswer { head, body: b"done".to_vec() }
}

fn approval(key: &RequestKey) -> Arrival {
    Arrival::inbound(RequestId::new(7), "POST", "/approvals/7").with_key(Some(key.clone()))
}

fn client_key() -> RequestKey {
    RequestKey::Client("order-7".parse().unwrap())
}

fn peer_key() -> BoundKey {
    "ck1:kasse-2:5:0:1".parse().unwrap()
}

fn refusal(actions: &[Action]) -> &Refusal {
    match actions {
        [.., Action::Refuse { refusal, .. }] => refusal,
        other => panic!("no refusal: {other:?}"),
    }
}

#[rstest]
#[case::draining(|node: &mut Node| { node.handle(Event::Drain); }, 1)]
#[case::no_budget_for_this_send(|_: &mut Node| {}, 9)]
fn resend_of_a_completed_key_is_replayed(#[case] prepare: fn(&mut Node), #[case] send: u32) {
    let mut node = Node::new();
    let key = node.mint();
    node.complete(&key);
    prepare(&mut node);
    let resend = approval(&key).with_resend(ResendNumber::new(send));
    let (_, actions) = node.arrive(resend);
    assert!(matches!(actions[..], [Action::Replay { .. }]), "{actions:?}");
}

#[rstest]
#[case::first_send_as_stated(true, 1, Outcome::NotRun)]
#[case::later_send(true, 2, Outcome::Unknown)]
#[case::sends_not_numbered(false, 1, Outcome::Unknown)]
fn unclaimed_key_is_answered_not_run_only_on_its_first_send(
    #[case] is_numbered: bool,
    #[case] send: u32,
    #[case] expected: Outcome,
) {
    let mut node = Node::new();
    node.handle(Event::Drain);
    let send = is_numbered.then(|| ResendNumber::new(send));
    let arrival = approval(&client_key()).with_send(send);
    let (_, actions) = node.arrive(arrival);
    assert_eq!(refusal(&actions).reason, RefusalReason::Draining);
    assert_eq!(refusal(&actions).outcome, expected);
}

#[rstest]
#[case::active(MemberState::Active)]
#[case::leaving_but_holds_the_answer(MemberState::Leaving)]
fn key_of_another_process_is_forwarded_to_it(#[case] state: MemberState) {
    let mut node = Node::new();
    node.add_member("kasse-2", state);
    let (call, actions) = node.arrive(approval(&RequestKey::Bound(peer_key())));
    let Action::Forward { attempt, forward, .. } = &actions[0] else { panic!("{actions:?}") };
    assert_eq!(forward.target.endpoint.as_str(), "kasse-2");
    let head = node.handle(Event::RemoteHead { call, attempt: *attempt, is_failure: false });
    assert!(matches!(head[..], [Action::Deliver { .. }]));
}

#[rstest]
#[case::replaced("ck1:kasse-2:4:0:1")]
#[case::never_known("ck1:kasse-9:5:0:1")]
fn key_of_a_process_that_is_gone_is_unknown(#[case] key: &str) {
    let mut node = Node::new();
    let (_, actions) = node.arrive(approval(&RequestKey::Bound(key.parse().unwrap())));
    assert_eq!(refusal(&actions).outcome, Outcome::Unknown);
}

#[test]
fn two_sends_of_a_client_key_at_one_node_run_once() {
    let mut node = Node::new();
    let (first, actions) = node.arrive(approval(&client_key()));
    let Action::Claim { bound, .. } = actions[0].clone() else { panic!("{actions:?}") };
    let (second, _) = node.arrive(approval(&client_key()));
    let granted = node.handle(Event::Claimed(first, ClaimResult::Granted));
    assert!(matches!(granted[..], [Action::RunLocal { .. }]));
    let held = node.handle(Event::Claimed(second, ClaimResult::HeldBy(bound)));
    assert_eq!(refusal(&held).reason, RefusalReason::KeyInProgress);
}

#[test]
fn claim_granted_to_an_ended_call_can_be_run_by_a_resend() {
    let mut node = Node::new();
    let (first, actions) = node.arrive(approval(&client_key()));
    let Action::Claim { bound, .. } = actions[0].clone() else { panic!("{actions:?}") };
    node.now = node.now.after(Duration::from_secs(5));
    let expired = node.handle(Event::Tick);
    assert_eq!(refusal(&expired).outcome, Outcome::Unknown);
    assert!(node.handle(Event::Claimed(first, ClaimResult::Granted)).is_empty());
    let (second, _) = node.arrive(approval(&client_key()));
    let held = node.handle(Event::Claimed(second, ClaimResult::HeldBy(bound)));
    assert!(matches!(held[..], [Action::RunLocal { .. }]));
}

#[test]
fn same_key_for_another_request_is_refused_and_nothing_is_claimed() {
    let mut node = Node::new();
    let key = node.mint();
    node.complete(&key);
    let other = Arrival::inbound(RequestId::new(8), "POST", "/approvals/8").with_key(Some(key));
    let (_, actions) = node.arrive(other);
    assert_eq!(refusal(&actions).reason, RefusalReason::KeyConflict);
    assert_eq!(refusal(&actions).outcome, Outcome::Unknown);
}

#[test]
fn answer_after_the_deadline_is_not_a_second_final_answer() {
    let mut node = Node::new();
    let key = node.mint();
    let (call, _) = node.arrive(approval(&key));
    node.now = node.now.after(Duration::from_secs(5));
    assert_eq!(refusal(&node.handle(Event::Tick)).outcome, Outcome::Unknown);
    assert!(node.handle(Event::LocalEnd(call, LocalEnd::Complete(None))).is_empty());
}

#[rstest]
#[case::other_request(RequestId::new(8), true)]
#[case::call_not_running(RequestId::new(7), false)]
fn forged_parent_is_refused(#[case] root: RequestId, #[case] is_running: bool) {
    let mut node = Node::new();
    let key = if is_running { node.mint() } else { client_key() };
    let (parent, _) = node.arrive(approval(&key));
    let child =
        Arrival::outbound("kasse".parse().unwrap(), root, "POST", "/").with_parent(Some(parent));
    let (_, actions) = node.arrive(child);
    assert_eq!(refusal(&actions).reason, RefusalReason::ParentEnded);
}

#[test]
fn child_that_waits_for_a_retry_is_answered_when_its_parent_ends() {
    let mut node = Node::new();
    node.add_member("kasse-3", MemberState::Active);
    let key = node.mint();
    let (parent, _) = node.arrive(approval(&key));
    let child = Arrival::outbound("kasse".parse().unwrap(), RequestId::new(7), "POST", "/")
        .with_parent(Some(parent));
    let (child, actions) = node.arrive(child);
    let Action::Forward { attempt, .. } = actions[0] else { panic!("{actions:?}") };
    let refused = RemoteRefusal {
        refusal: Refusal::not_run(RefusalReason::Overloaded),
        reached_upstream: false,
        receipt: Receipt::default(),
        member: None,
    };
    assert!(node.handle(Event::RemoteRefused(child, attempt, Box::new(refused))).is_empty());
    let actions = node.handle(Event::Cancel(parent));
    assert_eq!(refusal(&actions).reason, RefusalReason::ParentEnded);
    assert_eq!(refusal(&actions).outcome, Outcome::NotRun);
    assert_eq!(node.engine.next_wake(), None);
}

#[test]
fn refusal_after_binding_a_key_names_the_key() {
    let mut node = Node::new();
    let arrival = approval(&client_key()).with_share(Attempts::new(4), Rank::MAX);
    let (call, actions) = node.arrive(arrival);
    let Action::Claim { bound, .. } = actions[0].clone() else { panic!("{actions:?}") };
    node.handle(Event::Claimed(call, ClaimResult::Granted));
    let actions = node.handle(Event::LocalFailed { call, sent: false });
    assert_eq!(refusal(&actions).outcome, Outcome::NotRun);
    assert_eq!(refusal(&actions).bound_to, Some(bound));
}

#[test]
fn keyed_attempt_is_retried_at_the_same_process_after_a_lost_answer() {
    let mut node = Node::new();
    let (call, actions) = node.arrive(approval(&RequestKey::Bound(peer_key())));
    let Action::Forward { attempt, .. } = actions[0] else { panic!("{actions:?}") };
    assert!(node.handle(Event::RemoteLost { call, attempt, sent: true }).is_empty());
    node.now = node.now.after(Duration::from_millis(500));
    let actions = node.handle(Event::Tick);
    let Action::Forward { forward, .. } = &actions[0] else { panic!("{actions:?}") };
    assert_eq!(forward.target.endpoint.as_str(), "kasse-2", "only the process of the key");
}

#[test]
fn stale_key_does_not_stop_an_idempotent_call() {
    let mut node = Node::new();
    let stale = RequestKey::Bound("ck1:kasse-2:4:0:1".parse().unwrap());
    let arrival = Arrival::outbound("kasse".parse().unwrap(), RequestId::new(7), "GET", "/status")
        .with_key(Some(stale));
    let (_, actions) = node.arrive(arrival);
    assert!(matches!(actions[..], [Action::Forward { .. }]), "{actions:?}");
}

#[rstest]
#[case::overloaded(RefusalReason::Overloaded, false)]
#[case::upstream_closed(RefusalReason::UpstreamFailed, true)]
fn keyed_attempt_is_not_retried_at_an_overloaded_process(
    #[case] reason: RefusalReason,
    #[case] is_retried: bool,
) {
    let mut node = Node::new();
    node.add_member("kasse-3", MemberState::Active);
    let (call, actions) = node.arrive(approval(&RequestKey::Bound(peer_key())));
    let Action::Forward { attempt, .. } = actions[0] else { panic!("{actions:?}") };
    let refusal = Refusal::not_run(reason);
    let refused = RemoteRefusal {
        refusal,
        reached_upstream: false,
        receipt: Receipt::default(),
        member: None,
    };
    let actions = node.handle(Event::RemoteRefused(call, attempt, Box::new(refused)));
    assert_eq!(actions.is_empty(), is_retried, "{actions:?}");
}
