use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cuminarch_testing::{CallerAnswer, HttpCaller};
use cuminarch_types::Outcome;

use crate::fleet::{Fleet, INVALID_KEYS, VALID_KEY};
use crate::site::Site;
use crate::{CallerResult, Observations, Promise, Sabotage};

/// A caller that alternates between approval and browse requests.
pub struct Caller {
    index: usize,
    sites: Vec<Arc<Site>>,
    sabotage: Option<Sabotage>,
}

impl Caller {
    /// Time between two requests.
    const REQUEST_PAUSE: Duration = Duration::from_millis(5);
    /// Requests of which one has an invalid key.
    const INTRUSION_INTERVAL: usize = 8;
    /// Maximum sends of one approval, all with the same key.
    const MAX_SENDS: usize = 3;

    pub const fn new(index: usize, sites: Vec<Arc<Site>>, sabotage: Option<Sabotage>) -> Self {
        Self { index, sites, sabotage }
    }

    /// Sends requests until the deadline.
    pub async fn run(self, deadline: Instant) -> Vec<CallerResult> {
        let mut results = Vec::new();
        while Instant::now() < deadline {
            let request = results.len();
            let mut result = if request % Self::INTRUSION_INTERVAL == 1 {
                self.send_intrusion(request).await
            } else if request % 2 == 0 {
                self.send_approval(request).await
            } else {
                self.send_browse(request).await
            };
            if let Some(Sabotage(promise)) = self.sabotage {
                self.simulate_violation(promise, &mut result).await;
            }
            results.push(result);
            tokio::time::sleep(Self::REQUEST_PAUSE).await;
        }
        results
    }

    fn entry_site(&self, index: usize) -> &Site {
        &self.sites[index % Fleet::ENTRY_SITE_COUNT]
    }

    async fn send_browse(&self, request: usize) -> CallerResult {
        let mut result = CallerResult::new(format!("/items/{}-{request}", self.index), true);
        let entry = self.entry_site(request);
        if let Some(answer) = entry.call(VALID_KEY, "GET", &result.target, &[]).await {
            self.record_answer(&mut result, answer);
        }
        result
    }

    /// Sends a request with an invalid key.
    async fn send_intrusion(&self, request: usize) -> CallerResult {
        let mut result = CallerResult::new(format!("/intrusions/{}-{request}", self.index), true);
        result.has_valid_key = false;
        let round = request / Self::INTRUSION_INTERVAL;
        let key = INVALID_KEYS[round % INVALID_KEYS.len()];
        let entry = self.entry_site(self.index + round / INVALID_KEYS.len());
        if let Some(answer) = entry.call(key, "GET", &result.target, &[]).await {
            self.record_answer(&mut result, answer);
        }
        result
    }

    async fn send_approval(&self, request: usize) -> CallerResult {
        let mut result = CallerResult::new(format!("/approvals/{}-{request}", self.index), false);
        let entry = self.entry_site(self.index + request);
        let key = entry.call(VALID_KEY, "POST", "/.cuminarch/keys", &[]).await;
        let Some(key) = key.filter(|answer| answer.status == 201 && answer.is_complete) else {
            return result;
        };
        let key = String::from_utf8_lossy(&key.body).into_owned();
        for send in 1..=Self::MAX_SENDS {
            let headers = [("idempotency-key", key.clone()), ("cuminarch-send", send.to_string())];
            let entry = self.entry_site(self.index + request + send);
            let call = entry.call(VALID_KEY, "POST", &result.target, &headers);
            let Some(answer) = call.await else { continue };
            self.record_answer(&mut result, answer);
            if result.outcome != Some(Outcome::NotRun) {
                break;
            }
        }
        result
    }

    fn record_answer(&self, result: &mut CallerResult, mut answer: CallerAnswer) {
        if self.sabotage == Some(Sabotage(Promise::WholeAnswers)) {
            answer.body.pop();
        }
        result.outcome =
            answer.header("cuminarch-outcome").and_then(|outcome| outcome.parse().ok());
        if answer.status == 200 && answer.is_complete {
            let expected = format!("ran {0} > ran {0}", result.target);
            result.is_own_answer &= answer.body == expected.as_bytes();
        }
    }

    /// Simulates daemons that break a promise.
    async fn simulate_violation(&self, promise: Promise, result: &mut CallerResult) {
        let (entry, downstream) =
            (&self.sites[0].upstream, &self.sites[Fleet::ENTRY_SITE_COUNT].upstream);
        let is_completed = result.outcome == Some(Outcome::Completed);
        let (upstream, runs) = match promise {
            Promise::AtMostOnce | Promise::HiddenKeys if is_completed => (entry, 1),
            Promise::ValidKeys if !result.has_valid_key => (entry, 1),
            Promise::BoundedAttempts if is_completed => {
                (downstream, Observations::GRANTED_ATTEMPTS)
            }
            Promise::TrueRefusals if is_completed => {
                result.outcome = Some(Outcome::NotRun);
                return;
            }
            _ => return,
        };
        let key = [("authorization", VALID_KEY.to_owned())];
        let headers = if promise == Promise::HiddenKeys { &key[..] } else { &[] };
        for _ in 0..runs {
            let caller = HttpCaller::new(upstream.address());
            // The answer does not matter: the upstream counts the run.
            let _ = caller.call("POST", &result.target, headers, Bytes::new()).await;
        }
    }
}
