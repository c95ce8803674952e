//! What must always hold, with daemons as separate processes under failure.

mod fleet;

use std::time::Duration;

use cuminarch_testing::PlatformFault;
use fleet::{Endpoint, Fleet};
use rstest::rstest;
use rustix::process::Signal;

const CALLERS: usize = 8;
const REQUESTS_PER_CALLER: usize = 40;

/// What happens under load; `Kill` and the like to the second endpoint of `katalog`.
#[derive(Clone, Copy, Debug)]
enum Failure {
    None,
    Kill,
    Freeze,
    Terminate,
    PlatformDown,
    LostAnswers,
}

/// The last word that a caller got on one request.
struct CallerResult {
    target: String,
    outcome: String,
    is_own_answer: bool,
}

async fn send_request(fronts: &[Endpoint], number: usize) -> CallerResult {
    let target = format!("/approvals/{number}");
    let mut told = CallerResult { target, outcome: "lost".to_owned(), is_own_answer: true };
    let Some(key) = fronts[number % 2].mint_key().await else { return told };
    for send in 1..=3 {
        let headers = [("idempotency-key", key.clone()), ("cuminarch-send", send.to_string())];
        let front = &fronts[(number + send) % 2];
        let Ok(answer) = front.call("POST", &told.target, &headers).await else { continue };
        told.outcome = answer.header("cuminarch-outcome").unwrap_or("none").to_owned();
        if answer.status == 200 {
            let expected = format!("ran {0} > ran {0}", told.target);
            told.is_own_answer = answer.is_complete && answer.body == expected.as_bytes();
        }
        if told.outcome != "not-run" {
            break;
        }
    }
    told
}

async fn inject_failure(fleet: &Fleet, fronts: &[Endpoint], failure: Failure) {
    let pause = Duration::from_millis(200);
    tokio::time::sleep(pause).await;
    match failure {
        Failure::None => {}
        Failure::Kill => {
            fronts[1].signal(Signal::KILL);
            fronts[1].restart();
        }
        Failure::Freeze => {
            fronts[1].signal(Signal::STOP);
            tokio::time::sleep(pause * 15).await;
            fronts[1].signal(Signal::CONT);
        }
        Failure::Terminate => fronts[1].signal(Signal::TERM),
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
    let fronts = std::sync::Arc::new(std::mem::take(&mut fleet.entry_endpoints));
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let fronts = std::sync::Arc::clone(&fronts);
        callers.spawn(async move {
            let mut told = Vec::new();
            for request in 0..REQUESTS_PER_CALLER {
                told.push(send_request(&fronts, caller * REQUESTS_PER_CALLER + request).await);
            }
            told
        });
    }
    inject_failure(&fleet, &fronts, failure).await;
    let told: Vec<CallerResult> = callers.join_all().await.into_iter().flatten().collect();
    let completed = told.iter().filter(|told| told.outcome == "completed").count();
    println!("{failure:?}: {completed} of {} completed", told.len());
    for told in &told {
        let runs: u64 = fronts.iter().map(|site| site.upstream.runs_for_target(&told.target)).sum();
        assert!(runs <= 1, "{} ran {runs} times", told.target);
        let behind = fleet.downstream_runs(&told.target);
        assert!(told.outcome != "not-run" || runs == 0, "{} was told not run", told.target);
        assert!(told.is_own_answer, "{} got another answer", told.target);
        assert!(behind <= 32, "{} made {behind} attempts", told.target);
    }
    assert!(completed > 0, "nothing completed");
}
