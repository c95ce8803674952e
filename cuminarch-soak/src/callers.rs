use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminarch_testing::{CallerAnswer, HttpCaller};
use cuminarch_types::Outcome;

use crate::fleet::Fleet;
use crate::site::Site;
use crate::{Observations, Promise, Sabotage, Told};

/// One caller, which sends approvals and browses in turn.
pub struct Caller {
    number: usize,
    sites: Vec<Arc<Site>>,
    sabotage: Option<Sabotage>,
}

impl Caller {
    /// Pause between two requests.
    const PAUSE: Duration = Duration::from_millis(5);
    /// Sends of one approval, with the same key.
    const SENDS: usize = 3;

    pub const fn new(number: usize, sites: Vec<Arc<Site>>, sabotage: Option<Sabotage>) -> Self {
        Self { number, sites, sabotage }
    }

    /// Sends requests until the time is up.
    pub async fn run(self, until: Instant) -> Vec<Told> {
        let mut all = Vec::new();
        while Instant::now() < until {
            let request = all.len();
            let mut told = if request % 2 == 0 {
                self.approve(request).await
            } else {
                self.browse(request).await
            };
            if let Some(Sabotage(promise)) = self.sabotage {
                self.breach(promise, &mut told).await;
            }
            all.push(told);
            tokio::time::sleep(Self::PAUSE).await;
        }
        all
    }

    fn front(&self, number: usize) -> &Site {
        &self.sites[number % Fleet::FRONTS]
    }

    async fn browse(&self, request: usize) -> Told {
        let target = format!("/items/{}-{request}", self.number);
        let mut told = Told { target, is_idempotent: true, outcome: None, is_own: true };
        if let Some(answer) = self.front(request).call("GET", &told.target, &[]).await {
            self.take_in(&mut told, answer);
        }
        told
    }

    async fn approve(&self, request: usize) -> Told {
        let target = format!("/approvals/{}-{request}", self.number);
        let mut told = Told { target, is_idempotent: false, outcome: None, is_own: true };
        let front = self.front(self.number + request);
        let key = front.call("POST", "/.cuminarch/keys", &[]).await;
        let Some(key) = key.filter(|answer| answer.status == 201 && answer.is_whole) else {
            return told;
        };
        let key = String::from_utf8_lossy(&key.body).into_owned();
        for send in 1..=Self::SENDS {
            let headers = [("idempotency-key", key.clone()), ("cuminarch-send", send.to_string())];
            let front = self.front(self.number + request + send);
            let Some(answer) = front.call("POST", &told.target, &headers).await else { continue };
            self.take_in(&mut told, answer);
            if told.outcome != Some(Outcome::NotRun) {
                break;
            }
        }
        told
    }

    fn take_in(&self, told: &mut Told, mut answer: CallerAnswer) {
        if self.sabotage == Some(Sabotage(Promise::WholeAnswers)) {
            answer.body.pop();
        }
        told.outcome = answer.header("cuminarch-outcome").and_then(|outcome| outcome.parse().ok());
        if answer.status == 200 && answer.is_whole {
            let expected = format!("ran {0} > ran {0}", told.target);
            told.is_own &= answer.body == expected.as_bytes();
        }
    }

    /// Does what daemons would do that break a promise.
    async fn breach(&self, promise: Promise, told: &mut Told) {
        let (front, back) = (&self.sites[0].upstream, &self.sites[Fleet::FRONTS].upstream);
        let is_completed = told.outcome == Some(Outcome::Completed);
        let (upstream, runs) = match promise {
            Promise::AtMostOnce if is_completed => (front, 1),
            Promise::BoundedAttempts if is_completed => (back, Observations::GRANT),
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
