//! Invariants of daemons as separate processes under failures.

mod fleet;

use std::time::Duration;

use cuminarch_testing::PlatformFault;
use fleet::{Endpoint, Fleet};
use rstest::rstest;
use rustix::process::Signal;

const CALLERS: usize = 8;
const REQUESTS_PER_CALLER: usize = 40;

/// Failure under load; signals go to the second endpoint of `katalog`.
#[derive(Clone, Copy, Debug)]
enum Failure {
    None,
    Kill,
    Freeze,
    Terminate,
    PlatformDown,
    LostAnswers,
}

/// Last answer that a caller got to a request.
struct CallerResult {
    target: String,
    outcome: String,
    is_own_answer: bool,
}

async fn send_request(endpoints: &[Endpoint], number: usize) -> CallerResult {
    let target = format!("/approvals/{number}");
    let mut result = CallerResult { target, outcome: "lost".to_owned(), is_own_answer: true };
    let Some(key) = endpoints[number % 2].mint_key().await else { return result };
    for send in 1..=3 {
        let headers = [("idempotency-key", key.clone()), ("cuminarch-send", send.to_string())];
        let endpoint = &endpoints[(number + send) % 2];
        let Ok(answer) = endpoint.call("POST", &result.target, &headers).await else { continue };
        result.outcome = answer.header("cuminarch-outcome").unwrap_or("none").to_owned();
        if answer.status == 200 {
            let expected = format!("ran {0} > ran {0}", result.target);
            result.is_own_answer = answer.is_complete && answer.body == expected.as_bytes();
        }
        if result.outcome != "not-run" {
            break;
        }
    }
    result
}

async fn inject_failure(fleet: &Fleet, endpoints: &[Endpoint], failure: Failure) {
    let delay = Duration::from_millis(200);
    tokio::time::sleep(delay).await;
    match failure {
        Failure::None => {}
        Failure::Kill => {
            endpoints[1].signal(Signal::KILL);
            endpoints[1].restart();
        }
        Failure::Freeze => {
            endpoints[1].signal(Signal::STOP);
            tokio::time::sleep(delay * 15).await;
            endpoints[1].signal(Signal::CONT);
        }
        Failure::Terminate => endpoints[1].signal(Signal::TERM),
        Failure::PlatformDown => fleet.platform.store().set_fault(PlatformFault::Down),
        Failure::LostAnswers => fleet.platform.store().set_fault(PlatformFault::LoseAnswers),
    }
}

#[rstest]
#[case::nothing(Failure::None)]
#[case::kill(Failure::Kill)]
#[case::freeze(Failure::Freeze)]
#[case::terminate(Failure::Terminate)]
#[case::platform_down(Failure::PlatformDown)]
#[case::lost_answers(Failure::LostAnswers)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn approvals_run_at_most_once(#[case] failure: Failure) {
    let mut fleet = Fleet::start().await;
    let endpoints = std::sync::Arc::new(std::mem::take(&mut fleet.entry_endpoints));
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let endpoints = std::sync::Arc::clone(&endpoints);
        callers.spawn(async move {
            let mut results = Vec::new();
            for request in 0..REQUESTS_PER_CALLER {
                results
                    .push(send_request(&endpoints, caller * REQUESTS_PER_CALLER + request).await);
            }
            results
        });
    }
    inject_failure(&fleet, &endpoints, failure).await;
    let results: Vec<CallerResult> = callers.join_all().await.into_iter().flatten().collect();
    let completed = results.iter().filter(|result| result.outcome == "completed").count();
    println!("{failure:?}: {completed} of {} completed", results.len());
    for result in &results {
        let runs: u64 = endpoints
            .iter()
            .map(|endpoint| endpoint.upstream.runs_for_target(&result.target))
            .sum();
        assert!(runs <= 1, "{} ran {runs} times", result.target);
        let downstream_runs = fleet.downstream_runs(&result.target);
        assert!(
            result.outcome != "not-run" || runs == 0,
            "{} was answered not-run but ran",
            result.target
        );
        assert!(result.is_own_answer, "{} got a wrong or incomplete answer", result.target);
        assert!(downstream_runs <= 32, "{} made {downstream_runs} attempts", result.target);
    }
    assert!(completed > 0, "no request completed");
}
