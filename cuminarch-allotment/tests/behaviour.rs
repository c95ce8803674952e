//! What callers and operators see of a table, one case each.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_allotment::{
    AccountUsage, AllotmentOutput, AllotmentSettings, AllotmentTable, TokenDecision,
};
use cuminarch_protocol::{AllotmentAsk, AllotmentGrant, AllotmentMessage};
use cuminarch_types::{
    AccountName, Allotment, CallId, EndpointId, MonoTime, RatePerSecond, ZoneName,
};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn account() -> AccountName {
    "quilts".parse().unwrap()
}

fn zone(name: &str) -> ZoneName {
    name.parse().unwrap()
}

fn endpoint(name: &str) -> EndpointId {
    name.parse().unwrap()
}

fn limit(rate: f64, burst_requests: u32) -> BTreeMap<AccountName, Allotment> {
    BTreeMap::from([(account(), Allotment { rate: RatePerSecond::new(rate), burst_requests })])
}

/// Calls tick as a driver does.
fn run(table: &mut AllotmentTable, now: &mut MonoTime, span: Duration) {
    let until = now.after(span);
    while let Some(at) = table.next_wake().filter(|at| *at <= until) {
        *now = at.max(*now);
        table.tick(*now);
        if at >= until {
            break;
        }
    }
    *now = until;
}

/// A node alone in its zone, after its quarantine, with a full bucket.
fn holder(rate: f64, burst: u32) -> (AllotmentTable, MonoTime) {
    let settings = AllotmentSettings::new(endpoint("e-1"), zone("a"));
    let (mut table, mut now) = (AllotmentTable::new(settings), MonoTime::ZERO);
    table.set_member(&endpoint("e-1"), &zone("a"), true, now);
    table.set_accounts(limit(rate, burst), now);
    run(&mut table, &mut now, 10 * SECOND);
    (table, now)
}

/// A node whose holder is another one, in the same zone or in the other.
fn asker(zones: &[&str]) -> (AllotmentTable, MonoTime) {
    let settings = AllotmentSettings::new(endpoint("e-1"), zone("a"));
    let zones = zones.iter().map(|name| zone(name)).collect();
    let mut table = AllotmentTable::new(settings.with_zones(zones));
    let now = MonoTime::from_millis(1_000);
    table.set_accounts(limit(8.0, 8), now);
    for (name, at) in [("h-a", "a"), ("h-b", "b"), ("h-c", "c")] {
        table.set_member(&endpoint(name), &zone(at), true, now);
    }
    (table, now)
}

fn asks(table: &mut AllotmentTable) -> Vec<(EndpointId, AllotmentAsk)> {
    let outputs = table.take_outputs().into_iter();
    outputs
        .filter_map(|output| match output {
            AllotmentOutput::Send(to, AllotmentMessage::Ask(ask)) => Some((to, ask)),
            _ => None,
        })
        .collect()
}

fn decisions(table: &mut AllotmentTable) -> Vec<(u64, TokenDecision)> {
    let outputs = table.take_outputs().into_iter();
    outputs
        .filter_map(|output| match output {
            AllotmentOutput::Decided(call, decision) => Some((call.get(), decision)),
            AllotmentOutput::Send(..) => None,
        })
        .collect()
}

fn grant(id: u64, granted_milli: u32, retry_after_ms: u32) -> AllotmentMessage {
    AllotmentMessage::Grant(AllotmentGrant {
        id,
        granted_milli,
        lifetime_ms: 100,
        retry_after_ms,
        usage_milli: 700,
        is_not_holder: false,
    })
}

fn call(number: u64) -> CallId {
    CallId::new(number)
}

#[test]
fn a_holder_decides_at_once() {
    let (mut table, now) = holder(5.0, 5);
    for number in 0..5 {
        assert_eq!(table.request(&account(), call(number), now), TokenDecision::Granted);
    }
    let refused = table.request(&account(), call(5), now);
    assert_eq!(refused, TokenDecision::Exceeded { retry_after: Duration::from_millis(200) });
    assert!(table.take_outputs().is_empty());
}

#[test]
fn those_told_to_return_find_a_token_each() {
    let (mut table, now) = holder(5.0, 5);
    for number in 0..5 {
        table.request(&account(), call(number), now);
    }
    let mut now = now;
    let mut told = Vec::new();
    for number in 0..5 {
        let decision = table.request(&account(), call(10 + number), now);
        let TokenDecision::Exceeded { retry_after } = decision else { panic!("{decision:?}") };
        told.push(now.after(retry_after));
        run(&mut table, &mut now, Duration::from_millis(15));
    }
    told.sort();
    for pair in told.windows(2) {
        assert!(pair[1].since(pair[0]) >= Duration::from_millis(99), "{told:?}");
    }
}

#[test]
fn waiting_requests_are_served_in_order() {
    let (mut table, now) = asker(&["a", "b"]);
    for number in 1..=4 {
        assert_eq!(table.request(&account(), call(number), now), TokenDecision::Waiting);
    }
    let asked = asks(&mut table);
    assert_eq!(asked.len(), 1, "one ask at a time");
    assert_eq!(asked[0].0, endpoint("h-a"));
    table.receive(&endpoint("h-a"), grant(asked[0].1.id, 1_000, 0), now);
    let outputs = table.take_outputs();
    assert_eq!(outputs[0], AllotmentOutput::Decided(call(1), TokenDecision::Granted));
    let AllotmentOutput::Send(_, AllotmentMessage::Ask(second)) = &outputs[1] else {
        panic!("{outputs:?}");
    };
    assert_eq!(second.wanted_milli, 3_000);
    table.receive(&endpoint("h-a"), grant(second.id, 2_000, 300), now);
    let decided = decisions(&mut table);
    assert_eq!(decided[..2], [(2, TokenDecision::Granted), (3, TokenDecision::Granted)]);
    let retry_after = Duration::from_millis(300);
    assert_eq!(decided[2], (4, TokenDecision::Exceeded { retry_after }));
    assert_eq!(
        table.usage(&account(), now),
        Some(AccountUsage { usage_milli: 700, reported_at: now })
    );
}

#[test]
fn silent_holders_are_replaced_by_those_of_other_zones_and_then_nobody_knows() {
    let (mut table, mut now) = asker(&["a", "b", "c"]);
    let begin = now;
    table.request(&account(), call(1), now);
    let mut asked = asks(&mut table);
    let mut decided = Vec::new();
    while decided.is_empty() {
        let wake_at = table.next_wake().unwrap();
        now = wake_at.max(now);
        table.tick(now);
        for output in table.take_outputs() {
            match output {
                AllotmentOutput::Decided(_, decision) => decided.push(decision),
                AllotmentOutput::Send(to, AllotmentMessage::Ask(ask)) => asked.push((to, ask)),
                AllotmentOutput::Send(..) => {}
            }
        }
    }
    let mut nodes: Vec<String> = asked.iter().map(|(to, _)| to.to_string()).collect();
    assert_eq!(nodes[0], "h-a");
    nodes.sort();
    assert_eq!(nodes, ["h-a", "h-b", "h-c"]);
    assert!(matches!(decided[..], [TokenDecision::Unavailable { .. }]), "{decided:?}");
    assert!(now.since(begin) <= Duration::from_millis(100));
    // They are known to be silent for a moment.
    let next = table.request(&account(), call(2), now);
    assert!(matches!(next, TokenDecision::Unavailable { .. }), "{next:?}");
    run(&mut table, &mut now, SECOND);
    assert_eq!(table.request(&account(), call(3), now), TokenDecision::Waiting);
}

#[test]
fn a_loan_is_used_while_its_tokens_live_and_not_after() {
    for (late_ms, lent_milli) in [(5, 1_000), (99, 1_000), (101, 0)] {
        let settings = AllotmentSettings::new(endpoint("e-1"), zone("a"));
        let mut table =
            AllotmentTable::new(settings.with_zones([zone("a"), zone("b")].into_iter().collect()));
        let mut now = MonoTime::ZERO;
        // Without a refill only the loan fills the bucket.
        table.set_accounts(limit(0.0, 8), now);
        table.set_member(&endpoint("e-1"), &zone("a"), true, now);
        table.set_member(&endpoint("h-b"), &zone("b"), true, now);
        run(&mut table, &mut now, 10 * SECOND);
        table.request(&account(), call(1), now);
        let (to, ask) = asks(&mut table).remove(0);
        assert!(ask.is_from_holder);
        table.cancel(call(1));
        run(&mut table, &mut now, Duration::from_millis(late_ms));
        table.receive(&to, grant(ask.id, 1_000, 0), now);
        let summary = table.summary(now);
        let level = summary[0].held[0].level_milli + summary[0].tokens_milli;
        assert_eq!(level, lent_milli, "{late_ms} ms late");
    }
}

#[rstest::rstest]
#[case::entry_node(false)]
#[case::other_holder(true)]
fn tokens_that_may_be_used_count_against_the_burst(#[case] is_from_holder: bool) {
    let (mut table, now) = holder(5.0, 5);
    let ask = |id, wanted_milli, is_from_holder| {
        AllotmentMessage::Ask(AllotmentAsk {
            id,
            account: account(),
            shard: 0,
            wanted_milli,
            extra_milli: 0,
            arrived_requests: 1,
            is_from_holder,
            usage_milli: 0,
        })
    };
    let mut granted = |id, wanted_milli, is_from_holder, after_ms| {
        let now = now.after(Duration::from_millis(after_ms));
        table.receive(&endpoint("h-b"), ask(id, wanted_milli, is_from_holder), now);
        match &table.take_outputs()[..] {
            [AllotmentOutput::Send(_, AllotmentMessage::Grant(grant))] => grant.granted_milli,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(granted(1, 5_000, is_from_holder, 0), 5_000);
    assert_eq!(granted(2, 1_000, true, 90), 0, "five may still be used");
    assert!(granted(3, 1_000, true, 300) > 0);
}

#[test]
fn a_grant_of_lent_tokens_does_not_outlive_the_loan() {
    let settings = AllotmentSettings::new(endpoint("e-1"), zone("a"));
    let zones = [zone("a"), zone("b")].into_iter().collect();
    let mut table = AllotmentTable::new(settings.with_zones(zones));
    let mut now = MonoTime::ZERO;
    table.set_accounts(limit(0.0, 8), now);
    table.set_member(&endpoint("e-1"), &zone("a"), true, now);
    table.set_member(&endpoint("h-b"), &zone("b"), true, now);
    run(&mut table, &mut now, 10 * SECOND);
    let ask = |id| {
        AllotmentMessage::Ask(AllotmentAsk {
            id,
            account: account(),
            shard: 0,
            wanted_milli: 1_000,
            extra_milli: 0,
            arrived_requests: 1,
            is_from_holder: false,
            usage_milli: 0,
        })
    };
    table.receive(&endpoint("e-2"), ask(1), now);
    let (lender, lent) = asks(&mut table).remove(0);
    run(&mut table, &mut now, Duration::from_millis(7));
    table.receive(&endpoint("e-3"), ask(2), now);
    table.receive(&lender, grant(lent.id, 2_000, 0), now);
    let lifetimes_ms: Vec<u32> = table
        .take_outputs()
        .into_iter()
        .map(|output| match output {
            AllotmentOutput::Send(_, AllotmentMessage::Grant(grant)) => grant.lifetime_ms,
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(lifetimes_ms, [100, 93]);
}

#[test]
fn a_late_grant_is_used_while_its_tokens_live_and_not_after() {
    for (late_ms, decided) in [(35, true), (99, true), (101, false)] {
        let (mut table, begin) = asker(&["a", "b", "c"]);
        let mut now = begin;
        table.request(&account(), call(1), now);
        let first = asks(&mut table).remove(0);
        run(&mut table, &mut now, Duration::from_millis(late_ms.min(89)));
        now = begin.after(Duration::from_millis(late_ms));
        table.take_outputs();
        table.receive(&first.0, grant(first.1.id, 1_000, 0), now);
        let granted = decisions(&mut table).contains(&(1, TokenDecision::Granted));
        assert_eq!(granted, decided, "{late_ms} ms late");
    }
}

#[test]
fn losing_contact_makes_no_node_a_holder() {
    let (mut table, mut now) = asker(&["a", "b", "c"]);
    table.set_member(&endpoint("e-1"), &zone("a"), true, now);
    let held = |table: &AllotmentTable, now| -> usize {
        table.summary(now).iter().map(|known| known.held.len()).sum()
    };
    let before = held(&table, now);
    for number in 0..200 {
        table.request(&account(), call(number), now);
        run(&mut table, &mut now, Duration::from_millis(100));
        table.take_outputs();
    }
    assert_eq!(held(&table, now), before);
}

#[test]
fn a_token_that_is_given_back_is_used_by_the_next_request() {
    let (mut table, now) = asker(&["a", "b"]);
    table.request(&account(), call(1), now);
    let first = asks(&mut table).remove(0);
    table.receive(&first.0, grant(first.1.id, 1_000, 0), now);
    assert_eq!(decisions(&mut table), [(1, TokenDecision::Granted)]);
    table.give_back_call(&account(), call(1), now);
    table.give_back_call(&account(), call(1), now);
    assert_eq!(table.request(&account(), call(2), now), TokenDecision::Granted);
    assert_eq!(table.request(&account(), call(3), now), TokenDecision::Waiting);
}

#[test]
fn a_cancelled_request_gets_no_decision() {
    let (mut table, now) = asker(&["a", "b"]);
    table.request(&account(), call(1), now);
    table.request(&account(), call(2), now);
    let first = asks(&mut table).remove(0);
    table.cancel(call(1));
    table.receive(&first.0, grant(first.1.id, 1_000, 0), now);
    assert_eq!(decisions(&mut table), [(2, TokenDecision::Granted)]);
}

#[test]
fn a_node_that_holds_no_part_says_so_and_another_is_asked() {
    let (mut table, now) = asker(&["a", "b"]);
    table.request(&account(), call(1), now);
    let (to, ask) = asks(&mut table).remove(0);
    table.receive(&to, AllotmentMessage::Ask(ask.clone()), now);
    let answers = table.take_outputs();
    assert!(matches!(
        &answers[..],
        [AllotmentOutput::Send(
            _,
            AllotmentMessage::Grant(AllotmentGrant { is_not_holder: true, .. })
        )]
    ));
    let answer = AllotmentGrant {
        id: ask.id,
        granted_milli: 0,
        lifetime_ms: 0,
        retry_after_ms: 0,
        usage_milli: 0,
        is_not_holder: true,
    };
    table.receive(&to, AllotmentMessage::Grant(answer), now);
    assert_eq!(asks(&mut table)[0].0, endpoint("h-b"));
}

#[test]
fn a_lowered_limit_binds_at_once_and_a_raised_one_refills_at_once() {
    let (mut table, mut now) = holder(100.0, 100);
    table.set_accounts(limit(10.0, 10), now);
    let mut count = |now| {
        let requests = 0..200;
        requests
            .filter(|number| {
                table.request(&account(), call(*number), now) == TokenDecision::Granted
            })
            .count()
    };
    assert_eq!(count(now), 10);
    table.set_accounts(limit(100.0, 100), now);
    run(&mut table, &mut now, Duration::from_millis(500));
    let granted = (0..200)
        .filter(|number| table.request(&account(), call(*number), now) == TokenDecision::Granted)
        .count();
    // Tokens of a part that was dropped may be used for 0.1 s, so a part begins that much later.
    assert!((40..=50).contains(&granted), "{granted}");
}

#[test]
fn a_restart_brings_no_burst() {
    let settings = AllotmentSettings::new(endpoint("e-1"), zone("a"));
    let (mut table, mut now) = (AllotmentTable::new(settings), MonoTime::from_millis(60_000));
    table.set_accounts(limit(10.0, 10), now);
    table.set_member(&endpoint("e-1"), &zone("a"), true, now);
    run(&mut table, &mut now, Duration::from_millis(2_050));
    let first = table.request(&account(), call(1), now);
    assert!(matches!(first, TokenDecision::Exceeded { .. }), "{first:?}");
    run(&mut table, &mut now, Duration::from_millis(250));
    assert_eq!(table.request(&account(), call(2), now), TokenDecision::Granted);
}

#[rstest]
#[case::members_first(true)]
#[case::limits_first(false)]
fn a_process_that_rejoined_begins_empty_and_refills_soon(#[case] members_first: bool) {
    let settings = AllotmentSettings::new(endpoint("e-1"), zone("a"));
    let (mut table, mut now) = (AllotmentTable::new(settings), MonoTime::from_millis(60_000));
    table.set_member(&endpoint("e-1"), &zone("a"), true, now);
    if members_first {
        table.confirm_members(now);
    }
    table.set_accounts(limit(10.0, 10), now);
    if !members_first {
        table.confirm_members(now);
    }
    run(&mut table, &mut now, Duration::from_millis(350));
    let first = table.request(&account(), call(1), now);
    assert!(matches!(first, TokenDecision::Exceeded { .. }), "{first:?}");
    run(&mut table, &mut now, Duration::from_millis(150));
    assert_eq!(table.request(&account(), call(2), now), TokenDecision::Granted);
}

#[test]
fn accounts_without_a_limit_are_not_counted() {
    let (mut table, now) = holder(5.0, 5);
    for number in 0..100 {
        assert_eq!(
            table.request(&"other".parse().unwrap(), call(number), now),
            TokenDecision::Granted
        );
    }
    assert_eq!(table.usage(&"other".parse().unwrap(), now), None);
}

#[test]
fn refused_requests_count_as_usage() {
    let (mut table, mut now) = holder(10.0, 10);
    for _ in 0..100 {
        table.record_refused(&account(), now);
        run(&mut table, &mut now, Duration::from_millis(20));
    }
    let usage = table.usage(&account(), now).unwrap();
    assert!((3_000..=5_500).contains(&usage.usage_milli), "{usage:?}, 5 times the rate arrives");
}

#[test]
fn idle_accounts_keep_no_state() {
    let settings = AllotmentSettings::new(endpoint("e-1"), zone("a"));
    let (mut table, mut now) = (AllotmentTable::new(settings), MonoTime::ZERO);
    table.set_member(&endpoint("h-a"), &zone("a"), true, now);
    let names: Vec<AccountName> =
        (0..10_000).map(|number| format!("account-{number}").parse().unwrap()).collect();
    let allotment = Allotment { rate: RatePerSecond::new(5.0), burst_requests: 5 };
    table.set_accounts(names.iter().map(|name| (name.clone(), allotment)).collect(), now);
    for (number, name) in names.iter().enumerate() {
        table.request(name, call(number as u64), now);
    }
    assert_eq!(table.summary(now).len(), 10_000);
    run(&mut table, &mut now, 30 * SECOND);
    assert_eq!(table.summary(now).len(), 0);
}
