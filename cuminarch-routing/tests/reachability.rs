//! Endpoints of small services whose hosts are lost.

use std::time::Duration;

use cuminarch_protocol::{Member, MemberState, UpstreamRecord, UpstreamState};
use cuminarch_routing::{CallAttributes, CallResult, Router};
use cuminarch_types::{EndpointId, Incarnation, MonoTime, ServiceName};

fn service() -> ServiceName {
    "auftrag".parse().unwrap()
}

fn member(index: u16) -> Member {
    let instance = Some("i-1".parse().unwrap());
    let state = UpstreamState::Ready;
    Member {
        endpoint: format!("auftrag-{index}").parse().unwrap(),
        service: service(),
        zone: "zrh-a".parse().unwrap(),
        region: "ch-central".parse().unwrap(),
        incarnation: Incarnation::new(1),
        statement: 0,
        data_address: ([10, 0, 0, 1], 7_000 + index).into(),
        control_address: ([10, 0, 0, 1], 8_000 + index).into(),
        state: MemberState::Active,
        upstream: Some(UpstreamRecord {
            instance,
            started_at_ms: 1,
            state,
            slots: 40,
            warm_up_ms: 0,
        }),
    }
}

fn router(endpoints: u16) -> Router {
    let mut router = Router::new("zrh-a".parse().unwrap(), "ch-central".parse().unwrap(), 7);
    (0..endpoints).for_each(|index| router.update(member(index), MonoTime::ZERO));
    router
}

/// Sends a call every 10 ms for ten seconds; the host of one endpoint is lost, and each attempt to
/// reach it takes 400 ms. Returns the number of attempts at it.
fn attempts_at_lost_host(endpoints: u16) -> usize {
    let lost: EndpointId = "auftrag-0".parse().unwrap();
    let mut router = router(endpoints);
    let mut attempts_end_at: Vec<MonoTime> = Vec::new();
    let mut attempts = 0;
    for step in 0..1_000_u64 {
        let now = MonoTime::from_millis(1_000 + step * 10);
        attempts_end_at.retain(|at| {
            let is_due = *at <= now;
            if is_due {
                router.record_result(&service(), &lost, CallResult::Unreachable, now);
            }
            !is_due
        });
        let target = router.pick(&service(), CallAttributes::default(), &[], now).unwrap();
        router.record_sent(&service(), &target.endpoint, now);
        if target.endpoint == lost {
            attempts += 1;
            attempts_end_at.push(now.after(Duration::from_millis(400)));
        } else {
            let answered = CallResult::Answered(Duration::from_millis(5));
            router.record_result(&service(), &target.endpoint, answered, now);
        }
    }
    attempts
}

#[test]
fn a_lost_host_is_left_out_of_a_service_of_two() {
    assert!(attempts_at_lost_host(2) <= 45, "{}", attempts_at_lost_host(2));
}

#[test]
fn a_lost_host_is_left_out_of_a_service_of_four() {
    assert!(attempts_at_lost_host(4) <= 45, "{}", attempts_at_lost_host(4));
}

#[test]
fn an_upstream_that_registers_again_gets_work_immediately() {
    let mut router = router(1);
    let lost: EndpointId = "auftrag-0".parse().unwrap();
    let now = MonoTime::from_millis(500);
    router.record_result(&service(), &lost, CallResult::NotAccepting, now);
    assert!(!router.has_alternative(&service(), CallAttributes::default(), &[], now));
    let mut restarted = member(0);
    restarted.statement = 1;
    restarted.upstream.as_mut().unwrap().started_at_ms = 2;
    router.update(restarted, now);
    assert!(router.has_alternative(&service(), CallAttributes::default(), &[], now));
}
