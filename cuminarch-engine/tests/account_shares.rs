//! An entry node that refuses requests of client accounts and tells their callers when to return.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use cuminarch_config::{Policy, Sheet};
use cuminarch_engine::{Action, Arrival, Engine, EngineSettings, Event, Refusal};
use cuminarch_protocol::{
    LoadReport, Member, MemberState, PressureReport, Receipt, RoutedCall, SendKind, UpstreamRecord,
    UpstreamState,
};
use cuminarch_types::{
    CapacityMode, DisabledMechanisms, Incarnation, Mechanism, MonoTime, RequestId, Revision,
};
use rstest::rstest;

const SHEET: &str = "classes:
  - name: lookup
    grant_attempts: 16
    deadline_ms: 2000
    retry_percent: 50
default_class: lookup
";
const TIME_LIMIT: Duration = Duration::from_millis(1_500);
const GAP: Duration = Duration::from_millis(10);

struct Node {
    engine: Engine,
    now: MonoTime,
    number: u128,
}

impl Node {
    /// Creates an entry node that has learned that most of its load has to be shed.
    fn new(capacity: CapacityMode, disabled: &[Mechanism], account: Option<&str>) -> Self {
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
        for _ in 0..300 {
            node.now = node.now.after(GAP);
            node.arrive(account, TIME_LIMIT);
        }
        node
    }

    /// Lets a request arrive and answers it. Returns the refusal if it is refused.
    fn arrive(&mut self, account: Option<&str>, left: Duration) -> Option<Refusal> {
        self.number += 1;
        let call = self.engine.next_call();
        let account = account.map(|name| name.parse().unwrap());
        let root = RequestId::new(self.number << 40);
        let mut arrival = Arrival::outbound("auftrag".parse().unwrap(), root, "GET", "/lookup/1")
            .with_routed(Some(routed_lookup()))
            .with_account(account);
        arrival.remaining = Some(left);
        for action in self.engine.handle(Event::arrive(call, arrival), self.now) {
            match action {
                Action::Refuse { refusal, .. } => return Some(refusal),
                Action::Forward { attempt, .. } => {
                    let receipt = Some(receipt());
                    self.engine.handle(Event::RemoteEnd { call, attempt, receipt }, self.now);
                }
                _ => {}
            }
        }
        None
    }

    /// Sends requests until one is refused and told to return before its deadline.
    fn refuse_with_room(&mut self, account: Option<&str>) -> Refusal {
        for _ in 0..1_000 {
            self.now = self.now.after(GAP);
            let refusal = self.arrive(account, TIME_LIMIT);
            let has_room = |refusal: &Refusal| refusal.retry_after.unwrap() < TIME_LIMIT;
            if let Some(refusal) = refusal.filter(has_room) {
                return refusal;
            }
        }
        panic!("no refused caller is told to return");
    }
}

fn member() -> Event {
    let slots =
        UpstreamRecord { slots: 16, state: UpstreamState::Ready, ..UpstreamRecord::absent() };
    Event::Member(Box::new(Member {
        endpoint: "auftrag-1".parse().unwrap(),
        service: "auftrag".parse().unwrap(),
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

/// The receipt of an answer that asks for most of the load to be shed.
fn receipt() -> Receipt {
    let pressure = PressureReport {
        service: "lager".parse().unwrap(),
        shed_milli: 800,
        age_ms: 30,
        load_us: 20_000,
    };
    let load = LoadReport {
        occupancy_milli: 900,
        pressure: Some(pressure),
        fan_out_milli: 1_000,
        is_internal: false,
        ..LoadReport::default()
    };
    Receipt { load: Some(Box::new(load)), ..Receipt::default() }
}

/// 100 requests a second of one account, of which four in five are refused.
#[test]
fn the_refusal_of_an_account_says_why() {
    let mut node = Node::new(CapacityMode::Stated, &[], Some("quilts"));
    let detail = node.refuse_with_room(Some("quilts")).detail;
    let names: Vec<&str> = detail.split(' ').filter_map(|field| field.split('=').next()).collect();
    let expected = [
        "short",
        "shed_milli",
        "age_ms",
        "refused_part",
        "account",
        "usage",
        "level",
        "usage_age_ms",
    ];
    assert_eq!(names, expected, "{detail}");
    assert!(detail.contains("account=quilts"), "{detail}");
}

/// The caller comes back at its time, with what is left of its time limit.
#[rstest]
#[case::of_an_account(CapacityMode::Stated, Some("quilts"))]
#[case::without_accounts(CapacityMode::Learned, None)]
fn a_caller_who_returns_in_time_is_served(
    #[case] capacity: CapacityMode,
    #[case] account: Option<&str>,
) {
    let mut node = Node::new(capacity, &[], account);
    for _ in 0..20 {
        let wait = node.refuse_with_room(account).retry_after.unwrap();
        node.now = node.now.after(wait);
        assert_eq!(node.arrive(account, TIME_LIMIT.saturating_sub(wait)), None);
    }
}

/// Callers of the same account with less time are not taken for those who return.
#[test]
fn callers_with_another_deadline_do_not_count_as_returning() {
    let mut node = Node::new(CapacityMode::Stated, &[], Some("quilts"));
    let limit = Duration::from_millis(700);
    let mut refused = 0;
    for _ in 0..100 {
        let wait = node.refuse_with_room(Some("quilts")).retry_after.unwrap();
        node.now = node.now.after(wait);
        refused += u32::from(node.arrive(Some("quilts"), limit.saturating_sub(wait)).is_some());
    }
    assert!(refused > 50, "{refused}");
}

/// A caller without room before its deadline is told to come after it.
#[test]
fn callers_without_room_are_told_to_come_after_their_deadline() {
    let mut node = Node::new(CapacityMode::Stated, &[], Some("quilts"));
    let mut waits = Vec::new();
    for _ in 0..200 {
        node.now = node.now.after(GAP);
        let refusal = node.arrive(Some("quilts"), TIME_LIMIT);
        waits.extend(refusal.and_then(|refusal| refusal.retry_after));
    }
    let longest_wait = TIME_LIMIT.mul_f64(0.3);
    assert!(waits.iter().all(|wait| *wait <= longest_wait || *wait == TIME_LIMIT), "{waits:?}");
    assert!(waits.contains(&TIME_LIMIT));
}
