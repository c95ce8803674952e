//! Allotments joined to the engine: who gets a token, who waits, and that runs stay within the
//! allotment over all nodes.

#![allow(clippy::unwrap_used)]

mod allotment_mesh;

use std::time::Duration;

use allotment_mesh::{Mesh, Serving, address, member};
use cuminarch_engine::{AllotmentNotice, Engine, Event, RefusalReason};
use cuminarch_protocol::{
    AllotmentDatagram, AllotmentGrant, AllotmentMessage, LoadReport, MemberState, PressureReport,
    Receipt,
};
use cuminarch_types::Incarnation;
use rstest::rstest;

const RATE: f64 = 20.0;
const BURST: u32 = 20;
/// Time in which the buckets of a started fleet fill.
const FILL: Duration = Duration::from_secs(6);

fn filled(per_zone: usize) -> Mesh {
    let mut mesh = Mesh::new(per_zone, RATE, BURST);
    mesh.run_for(FILL);
    mesh
}

/// One account sends seven times its allotted rate through all nodes.
#[test]
fn a_hot_account_runs_what_it_is_allotted_and_no_more() {
    let mut mesh = filled(2);
    let mut step = 0;
    mesh.run_with(Duration::from_secs(30), |mesh| {
        step += 1;
        if step % 7 == 0 {
            mesh.call(step / 7 % 6);
        }
    });
    assert_eq!(mesh.overrun(RATE, BURST), None);
    // 0.99 of what the allotment lets start in the time, at rest.
    let allowed = RATE.mul_add(30.0, f64::from(BURST));
    assert!(mesh.runs.len() as f64 >= 0.99 * allowed, "{} of {allowed}", mesh.runs.len());
    assert!(mesh.refusals(RefusalReason::AllotmentExceeded) > 1_000);
    let refused = mesh.refused.values().next().unwrap();
    assert!(refused.retry_after.is_some_and(|after| !after.is_zero()));
    assert!(refused.detail.contains("account=quilts rate=20/s"), "{}", refused.detail);
}

/// Two nodes of a zone are cut off from the others while the account is hot at all nodes.
#[test]
fn a_zone_that_is_cut_off_goes_on_with_its_part() {
    let mut mesh = filled(2);
    mesh.cut.extend([0, 1, 2, 3]);
    // The cut separates single nodes here, so only holders serve themselves.
    let mut step = 0;
    mesh.run_with(Duration::from_secs(10), |mesh| {
        step += 1;
        if step % 7 == 0 {
            mesh.call(step / 7 % 6);
        }
    });
    assert_eq!(mesh.overrun(RATE, BURST), None);
    assert!(!mesh.runs.is_empty());
}

#[test]
fn a_request_that_no_holder_answers_is_refused_as_not_run() {
    let mut mesh = filled(2);
    mesh.cut.extend(0..6);
    let calls: Vec<_> = (0..6).map(|node| (node, mesh.call(node))).collect();
    mesh.run_for(Duration::from_millis(500));
    let unavailable = mesh.refusals(RefusalReason::AllotmentUnavailable);
    assert_eq!(unavailable + mesh.runs.len(), calls.len());
    assert!(unavailable >= 3, "at most one of the two nodes of a zone is the holder");
}

#[test]
fn a_token_comes_back_once_if_every_endpoint_refuses() {
    let mut mesh = filled(1);
    mesh.serving = Serving::Refuse;
    mesh.call(0);
    mesh.run_for(Duration::from_millis(100));
    assert_eq!(mesh.refusals(RefusalReason::Overloaded), 1, "{:?}", mesh.refused);
    let totals = mesh.engines[0].summary(mesh.now).allotments.total();
    assert!(totals.granted > 0);
    assert_eq!(totals.given_back, totals.granted);
    assert!(mesh.runs.is_empty());
}

/// More requests are refused by all endpoints than the burst, then the endpoints recover.
#[test]
fn requests_that_never_ran_leave_the_burst_to_others() {
    let mut mesh = filled(1);
    mesh.serving = Serving::Refuse;
    for _ in 0..5 {
        mesh.call(0);
    }
    mesh.run_for(Duration::from_millis(10));
    mesh.serving = Serving::Run;
    let started_at = mesh.runs.len();
    for node in (0..3).cycle().take(60) {
        mesh.call(node);
    }
    mesh.run_for(Duration::from_millis(60));
    assert_eq!(mesh.overrun(RATE, BURST), None);
    assert!(mesh.runs.len() - started_at >= 19, "{}", mesh.runs.len());
}

#[test]
fn a_repeat_that_may_run_again_takes_a_token_of_its_own() {
    let mut mesh = filled(1);
    mesh.serving = Serving::RunAndLose;
    let mut step = 0;
    mesh.run_with(Duration::from_secs(5), |mesh| {
        step += 1;
        if step % 20 == 0 {
            mesh.call(step / 20 % 3);
        }
    });
    assert!(mesh.runs.len() > 20, "{}", mesh.runs.len());
    assert_eq!(mesh.overrun(RATE, BURST), None);
    let granted: u64 =
        mesh.engines.iter().map(|engine| engine.summary(mesh.now).allotments.total().granted).sum();
    assert_eq!(granted, mesh.runs.len() as u64 + mesh.given_back());
}

/// An account within its allotment, whose tokens are at the holder of another node.
#[test]
fn a_repeat_waits_for_its_token() {
    let mut mesh = filled(2);
    let (node, call) = waiting_request(&mut mesh, Duration::from_secs(1));
    mesh.serving = Serving::RunAndLose;
    let before = mesh.runs.len();
    mesh.run_for(Duration::from_millis(100));
    let refused = &mesh.refused[&(node, call)];
    assert_eq!(refused.reason, RefusalReason::UpstreamFailed);
    assert!(mesh.runs.len() - before >= 2, "{}", mesh.runs.len() - before);
}

#[test]
fn a_request_without_a_token_for_its_repeat_gets_the_result_of_the_first_attempt() {
    let mut mesh = Mesh::new(1, 0.3, 3);
    mesh.run_for(Duration::from_secs(15));
    mesh.serving = Serving::RunAndLose;
    for node in (0..3).cycle().take(9) {
        mesh.call(node);
    }
    mesh.run_for(Duration::from_secs(1));
    assert!(!mesh.ran.is_empty());
    for call in &mesh.ran {
        assert_eq!(mesh.refused[call].reason, RefusalReason::UpstreamFailed);
    }
    assert_eq!(mesh.overrun(0.3, 3), None);
}

/// Returns a node that does not hold a part, so that its requests wait, and one such request.
fn waiting_request(mesh: &mut Mesh, limit: Duration) -> (usize, cuminarch_types::CallId) {
    for node in 0..mesh.engines.len() {
        let call = mesh.call_within(node, limit);
        if mesh.engines[node].summary(mesh.now).allotments.waiting == 1 {
            return (node, call);
        }
    }
    panic!("every node holds a part");
}

#[test]
fn a_request_that_waits_ends_at_its_deadline() {
    let mut mesh = filled(2);
    mesh.cut.extend(0..6);
    let (node, call) = waiting_request(&mut mesh, Duration::from_millis(20));
    mesh.run_for(Duration::from_millis(30));
    let refused = &mesh.refused[&(node, call)];
    assert_eq!(refused.reason, RefusalReason::DeadlineExceeded);
    assert_eq!(mesh.engines[node].summary(mesh.now).allotments.waiting, 0);
    assert_eq!(mesh.engines[node].summary(mesh.now).calls, 0);
}

#[test]
fn a_grant_after_the_cancel_starts_nothing() {
    let mut mesh = filled(2);
    mesh.serving = Serving::Hold;
    let (node, call) = waiting_request(&mut mesh, Duration::from_secs(1));
    let runs = mesh.runs.len();
    mesh.handle(node, Event::Cancel(call));
    mesh.run_for(Duration::from_millis(10));
    assert_eq!(mesh.runs.len(), runs);
    assert_eq!(mesh.engines[node].summary(mesh.now).allotments.waiting, 0);
    // The token that was on its way serves the next request at once.
    mesh.call(node);
    assert_eq!(mesh.runs.len(), runs + 1);
}

#[test]
fn a_request_in_flight_that_is_cancelled_keeps_its_token_spent() {
    let mut mesh = filled(1);
    mesh.serving = Serving::Hold;
    let call = mesh.call(0);
    mesh.run_for(Duration::from_millis(10));
    assert_eq!(mesh.runs.len(), 1);
    mesh.handle(0, Event::Cancel(call));
    assert_eq!(mesh.given_back(), 0);
}

#[test]
fn an_account_removed_while_its_request_waits_blocks_nothing() {
    let mut mesh = filled(2);
    let (node, call) = waiting_request(&mut mesh, Duration::from_secs(1));
    mesh.remove_accounts(2);
    mesh.run_for(Duration::from_secs(2));
    assert_eq!(mesh.engines[node].summary(mesh.now).allotments.waiting, 0);
    assert_eq!(mesh.engines[node].summary(mesh.now).calls, 0, "{call}");
}

#[test]
fn a_lower_limit_holds_from_its_configuration_on() {
    let mut mesh = filled(2);
    let mut step = 0;
    mesh.run_with(Duration::from_secs(3), |mesh| {
        step += 1;
        mesh.call(step % 6);
    });
    mesh.set_limit(2, 5.0, 5);
    mesh.runs.clear();
    mesh.run_with(Duration::from_secs(5), |mesh| {
        step += 1;
        mesh.call(step % 6);
    });
    // Tokens handed out before the change may still be used for their lifetime.
    mesh.runs.retain(|at| mesh.now.since(*at) < Duration::from_millis(4_800));
    assert_eq!(mesh.overrun(5.0, 5), None);
    assert!(mesh.runs.len() >= 20, "{}", mesh.runs.len());
}

#[test]
fn without_accounts_no_datagram_is_sent() {
    let mut mesh = Mesh::new(2, RATE, BURST);
    mesh.remove_accounts(2);
    mesh.datagrams = 0;
    for node in 0..6 {
        mesh.call(node);
    }
    mesh.run_for(Duration::from_secs(1));
    assert_eq!((mesh.datagrams, mesh.runs.len()), (0, 6));
}

#[rstest]
#[case::other_address(address(1), 1)]
#[case::earlier_process(address(0), 0)]
fn a_datagram_of_another_sender_than_it_names_is_dropped(
    #[case] source: std::net::SocketAddr,
    #[case] incarnation: u64,
) {
    let mut mesh = filled(1);
    let grant = AllotmentGrant {
        id: 1,
        granted_milli: 1_000_000,
        retry_after_ms: 0,
        usage_milli: 0,
        is_not_holder: false,
        lifetime_ms: 100,
    };
    let datagram = AllotmentDatagram {
        from: "zrh-a-0".parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        message: AllotmentMessage::Grant(grant),
    };
    mesh.handle(2, Event::Allotment(source, Box::new(datagram)));
    assert_eq!(mesh.engines[2].summary(mesh.now).allotments.ignored_datagrams, 1);
}

/// Peers know a higher incarnation than the one that the process started with, because the clock of
/// its host was set back; its datagrams must still be accepted.
#[test]
fn datagrams_bear_the_incarnation_that_peers_know() {
    let mut mesh = filled(1);
    let name = format!("{}-0", allotment_mesh::ZONES[0]);
    let mut own = member(0, &name, allotment_mesh::ZONES[0]);
    own.incarnation = Incarnation::new(9);
    for node in 0..mesh.engines.len() {
        mesh.handle(node, Event::Member(Box::new(own.clone())));
    }
    // More than the part of the own zone holds.
    for _ in 0..30 {
        mesh.call(0);
    }
    mesh.run_for(Duration::from_secs(1));
    let ignored = |engine: &Engine| engine.summary(mesh.now).allotments.ignored_datagrams;
    assert!(mesh.datagrams > 0);
    assert_eq!(mesh.engines.iter().map(ignored).sum::<u64>(), 0);
}

/// Returns the number of parts that each node holds.
fn held_parts(mesh: &Mesh) -> Vec<usize> {
    let states = mesh.engines.iter().map(|engine| engine.summary(mesh.now).allotments.states);
    states.map(|states| states.values().map(|state| state.held_parts).sum()).collect()
}

#[rstest]
#[case::suspect(MemberState::Suspect, false)]
#[case::leaving(MemberState::Leaving, false)]
#[case::gone(MemberState::Gone, true)]
fn a_part_changes_its_holder_only_if_the_holder_is_gone(
    #[case] state: MemberState,
    #[case] is_moved: bool,
) {
    let mut mesh = filled(2);
    let before = held_parts(&mesh);
    assert_eq!(before.iter().sum::<usize>(), 3, "one part in each zone");
    let holder = before.iter().position(|parts| *parts > 0).unwrap();
    let zone = holder / 2;
    let name = format!("{}-{}", allotment_mesh::ZONES[zone], holder % 2);
    let statement = member(holder, &name, allotment_mesh::ZONES[zone]).with_state(state);
    let other = zone * 2 + 1 - holder % 2;
    mesh.notices.clear();
    mesh.handle(other, Event::Member(Box::new(statement)));
    assert_eq!(held_parts(&mesh)[other], usize::from(is_moved));
    let notice =
        AllotmentNotice::Held { account: "quilts".parse().unwrap(), from_parts: 0, to_parts: 1 };
    assert_eq!(mesh.notices.contains(&(other, notice)), is_moved);
}

#[test]
fn a_silent_holder_and_a_lower_limit_are_reported() {
    let mut mesh = filled(2);
    mesh.cut.extend(0..6);
    let (node, _) = waiting_request(&mut mesh, Duration::from_secs(1));
    mesh.run_for(Duration::from_millis(200));
    let silent = |notice: &AllotmentNotice| matches!(notice, AllotmentNotice::Silent(_));
    assert!(mesh.notices.iter().any(|(at, notice)| *at == node && silent(notice)));
    mesh.notices.clear();
    mesh.set_limit(2, RATE, 5);
    let lowered = mesh.notices.iter().map(|(_, notice)| notice.to_string());
    let expected = "account=quilts rate=20/s was_rate=20/s burst_requests=5 was_burst_requests=20";
    assert_eq!(lowered.filter(|text| text == expected).count(), 6);
}

/// A service behind is short of capacity, so the entry node sheds most requests before they ask.
#[test]
fn requests_that_are_shed_count_as_usage() {
    const ARRIVING_PER_S: f64 = 1_000.0;
    let mut mesh = filled(1);
    let pressure = PressureReport {
        service: "auftrag".parse().unwrap(),
        shed_milli: 800,
        age_ms: 0,
        load_us: 20_000,
    };
    let load = LoadReport { pressure: Some(pressure), ..LoadReport::default() };
    mesh.receipt = Receipt { load: Some(Box::new(load)), ..Receipt::default() };
    mesh.run_with(Duration::from_secs(3), |mesh| {
        mesh.call(0);
    });
    assert!(mesh.refusals(RefusalReason::OverloadedBehind) > 1_000);
    let states = mesh.engines[0].summary(mesh.now).allotments.states;
    let usage_milli = states.values().next().unwrap().usage_milli.unwrap();
    // All of them arrive in one zone; the usage is relative to one part or to all.
    assert!(f64::from(usage_milli) >= 0.9 * 1_000.0 * ARRIVING_PER_S / RATE, "{usage_milli}");
}
