use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminarch_testing::{CallerAnswer, HttpCaller};
use cuminarch_types::Outcome;

use crate::fleet::Fleet;
use crate::site::Site;
use crate::{CallerResult, Observations, Promise, Sabotage};

/// One caller, which sends approvals and browses in turn.
pub struct Caller {
    index: usize,
    sites: Vec<Arc<Site>>,
    sabotage: Option<Sabotage>,
}

impl Caller {
    /// Pause between two requests.
    const REQUEST_PAUSE: Duration = Duration::from_millis(5);
    /// Sends of one approval, with the same key.
    const MAX_SENDS: usize = 3;

    pub const fn new(number: usize, sites: Vec<Arc<Site>>, sabotage: Option<Sabotage>) -> Self {
        Self { index: number, sites, sabotage }
    }

    /// Sends requests until the time is up.
    pub async fn run(self, until: Instant) -> Vec<CallerResult> {
        let mut all = Vec::new();
        while Instant::now() < until {
            let request = all.len();
            let mut told = if request % 2 == 0 {
                self.send_approval(request).await
            } else {
                self.send_browse(request).await
            };
            if let Some(Sabotage(promise)) = self.sabotage {
                self.simulate_breach(promise, &mut told).await;
            }
            all.push(told);
            tokio::time::sleep(Self::REQUEST_PAUSE).await;
        }
        all
    }

    fn entry_site(&self, number: usize) -> &Site {
        &self.sites[number % Fleet::ENTRY_SITE_COUNT]
    }

    async fn send_browse(&self, request: usize) -> CallerResult {
        let target = format!("/items/{}-{request}", self.index);
        let mut told =
            CallerResult { target, is_idempotent: true, outcome: None, is_own_answer: true };
        if let Some(answer) = self.entry_site(request).call("GET", &told.target, &[]).await {
            self.record_answer(&mut told, answer);
        }
        told
    }

    async fn send_approval(&self, request: usize) -> CallerResult {
        let target = format!("/approvals/{}-{request}", self.index);
        let mut told =
            CallerResult { target, is_idempotent: false, outcome: None, is_own_answer: true };
        let front = self.entry_site(self.index + request);
        let key = front.call("POST", "/.cuminarch/keys", &[]).await;
        let Some(key) = key.filter(|answer| answer.status == 201 && answer.is_complete) else {
            return told;
        };
        let key = String::from_utf8_lossy(&key.body).into_owned();
        for send in 1..=Self::MAX_SENDS {
            let headers = [("idempotency-key", key.clone()), ("cuminarch-send", send.to_string())];
            let front = self.entry_site(self.index + request + send);
            let Some(answer) = front.call("POST", &told.target, &headers).await else { continue };
            self.record_answer(&mut told, answer);
            if told.outcome != Some(Outcome::NotRun) {
                break;
            }
        }
        told
    }

    fn record_answer(&self, told: &mut CallerResult, mut answer: CallerAnswer) {
        if self.sabotage == Some(Sabotage(Promise::WholeAnswers)) {
            answer.body.pop();
        }
        told.outcome = answer.header("cuminarch-outcome").and_then(|outcome| outcome.parse().ok());
        if answer.status == 200 && answer.is_complete {
            let expected = format!("ran {0} > ran {0}", told.target);
            told.is_own_answer &= answer.body == expected.as_bytes();
        }
    }

    /// Does what daemons would do that break a promise.
    async fn simulate_breach(&self, promise: Promise, told: &mut CallerResult) {
        let (front, back) =
            (&self.sites[0].upstream, &self.sites[Fleet::ENTRY_SITE_COUNT].upstream);
        let is_completed = told.outcome == Some(Outcome::Completed);
        let (upstream, runs) = match promise {
            Promise::AtMostOnce if is_completed => (front, 1),
            Promise::BoundedAttempts if is_completed => (back, Observations::GRANTED_ATTEMPTS),
            Promise::TrueRefusals if is_completed => {
                told.outcome = Some(Outcome::NotRun);
                return;
            }
            _ => return,
        };
        for _ in 0..runs {
            let caller = HttpCaller::new(upstream.address());
            // What the upstream answers does not matter: it counts the run.
            let _ = caller.call("POST", &told.target, &[], Bytes::new()).await;
        }
    }
}
