//! A request that crashes each upstream that runs it loses few of them, and nobody else is refused.

#![allow(clippy::unwrap_used)]

mod crash_mesh;

use std::time::Duration;

use rstest::rstest;

use crash_mesh::{Mesh, request};

const DEADLY: u128 = 1;
/// Objective of all requests.
const OBJECTIVE: Duration = Duration::from_millis(1_500);
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Clients that ask for many things, each of them again at once if its answer is lost, while the
/// deadly request comes at regular intervals.
fn play(mesh: &mut Mesh, deadly_interval_ms: u64, seconds: u64) {
    mesh.deadly.insert(request(DEADLY).request);
    let nodes = mesh.engines.len();
    for step in 0..seconds * 100 {
        let number = u128::from(step) + 1_000;
        let node = usize::try_from(step).unwrap();
        mesh.ask(node % nodes, request(number));
        mesh.ask((node * 7 + 3) % nodes, request(number + 1_000_000));
        if step % (deadly_interval_ms / 10) == 0 {
            mesh.ask(node / 3 % nodes, request(DEADLY));
        }
        for (index, identity) in std::mem::take(&mut mesh.lost).into_iter().enumerate() {
            if identity != request(DEADLY) {
                mesh.ask(index % nodes, identity);
            }
        }
        mesh.run_for(Duration::from_millis(10));
    }
    mesh.run_for(Duration::from_secs(6));
}

#[rstest]
#[case::four_endpoints_often(4, 120)]
#[case::four_endpoints_seldom(4, 1_000)]
#[case::twelve_endpoints(12, 50)]
fn a_request_that_crashes_endpoints_is_stopped(#[case] nodes: usize, #[case] interval_ms: u64) {
    let mut mesh = Mesh::new(nodes);
    play(&mut mesh, interval_ms, 20);
    let late_runs = mesh.runs_after_third_crash(request(DEADLY).request, CONTACT_TIME);
    assert!(late_runs <= 3, "{late_runs} runs after the third crash and the contact time");
    assert!(mesh.crashes.len() <= 3, "{} upstreams ended: {:?}", mesh.crashes.len(), mesh.crashes);
}

#[test]
fn nobody_else_is_refused_for_a_request_that_crashes_endpoints() {
    let mut mesh = Mesh::new(4);
    play(&mut mesh, 120, 20);
    let others = mesh.asked.iter().filter(|asked| asked.identity != request(DEADLY));
    let refused: Vec<_> = others.clone().filter(|asked| asked.is_refused()).collect();
    assert!(refused.is_empty(), "{} requests refused: {refused:?}", refused.len());
    let slow = others.filter(|asked| {
        asked.is_served() && asked.answered_at.unwrap().since(asked.asked_at) > OBJECTIVE
    });
    assert_eq!(slow.count(), 0, "requests served later than their objective");
}

#[test]
fn a_node_that_restarts_does_not_run_a_request_that_crashed_others() {
    let mut mesh = Mesh::new(4);
    play(&mut mesh, 120, 5);
    let crashes = mesh.crashes.len();
    for node in 0..4 {
        mesh.restart_node(node);
        mesh.run_for(Duration::from_secs(2));
        mesh.ask(node, request(DEADLY));
        mesh.run_for(Duration::from_secs(1));
    }
    assert_eq!(mesh.crashes.len(), crashes, "upstreams ended after nodes restarted");
}

#[test]
fn requests_beside_upstreams_that_end_for_another_reason_are_served() {
    let mut mesh = Mesh::new(6);
    play_until_killed(&mut mesh);
    let again = mesh.lost.clone();
    assert!(again.len() >= 10, "{} requests were lost", again.len());
    let first = mesh.asked.len();
    for (index, identity) in again.into_iter().enumerate() {
        mesh.ask(2 + index % 4, identity);
    }
    mesh.run_for(Duration::from_secs(4));
    for asked in &mesh.asked[first..] {
        assert!(asked.is_served(), "{asked:?}");
        assert!(asked.answered_at.unwrap().since(asked.asked_at) < OBJECTIVE, "{asked:?}");
    }
}

/// Ends the processes of two of the upstreams while they run requests.
fn play_until_killed(mesh: &mut Mesh) {
    for step in 0..100 {
        let node = usize::try_from(step).unwrap() % mesh.engines.len();
        mesh.ask(node, request(step + 1_000));
        mesh.ask(node, request(step + 2_000));
        if step == 99 {
            mesh.kill_upstream(0);
            mesh.kill_upstream(1);
        }
        mesh.run_for(Duration::from_millis(2));
    }
    mesh.run_for(Duration::from_millis(300));
}

#[test]
fn a_copy_that_runs_elsewhere_at_the_first_crash_convicts_its_request_alone() {
    let mut mesh = Mesh::new(4);
    mesh.deadly.insert(request(DEADLY).request);
    for number in 0..160 {
        mesh.ask(number % 4, request(1_000 + number as u128));
    }
    mesh.ask(0, request(DEADLY));
    mesh.run_for(Duration::from_millis(30));
    for number in 0..3 {
        mesh.ask(number, request(2_000 + number as u128));
    }
    mesh.ask(1, request(DEADLY));
    for _ in 0..30 {
        mesh.run_for(Duration::from_millis(10));
        for (index, identity) in std::mem::take(&mut mesh.lost).into_iter().enumerate() {
            mesh.ask(index % 4, identity);
        }
    }
    mesh.run_for(Duration::from_secs(2));
    mesh.ask(2, request(DEADLY));
    mesh.run_for(Duration::from_secs(2));
    assert_eq!(mesh.crashes.len(), 2, "{:?}", mesh.crashes);
    assert!(mesh.asked.last().unwrap().is_refused(), "{:?}", mesh.asked.last());
}

#[test]
fn an_upstream_that_announced_its_end_makes_nobody_suspect() {
    let mut mesh = Mesh::new(4);
    for number in 0..80 {
        mesh.ask(number % 4, request(1_000 + number as u128));
    }
    mesh.run_for(Duration::from_millis(20));
    mesh.drain_upstream(0);
    mesh.kill_upstream(0);
    mesh.run_for(Duration::from_millis(50));
    for engine in &mesh.engines {
        assert_eq!(engine.summary(mesh.now).suspected_requests, 0);
    }
    mesh.kill_upstream(1);
    mesh.run_for(Duration::from_millis(50));
    assert!(mesh.engines[3].summary(mesh.now).suspected_requests > 0);
}
