use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::Outcome;

use crate::{Promise, Violation};

/// Result of one request as seen by its caller.
#[derive(Clone, Debug)]
pub struct CallerResult {
    /// Target of the request, unique in the run.
    pub target: String,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Outcome reported by the node; `None` without an answer.
    pub outcome: Option<Outcome>,
    /// `false` if an apparently complete, successful answer was not the expected one.
    pub is_own_answer: bool,
    /// Whether it was sent with the key of a client account.
    pub has_valid_key: bool,
}

impl CallerResult {
    /// Creates the result of a request with a valid key that has no answer yet.
    #[must_use]
    pub const fn new(target: String, is_idempotent: bool) -> Self {
        let (is_own_answer, has_valid_key) = (true, true);
        Self { target, is_idempotent, outcome: None, is_own_answer, has_valid_key }
    }
}

/// How a terminated daemon ended.
#[derive(Clone, Debug)]
pub struct Termination {
    /// Index of the daemon's site.
    pub site: usize,
    /// Whether it exited by itself, in time and without an error.
    pub is_graceful: bool,
    /// Exit status, or `still runs`.
    pub details: String,
}

/// Observations of a run from outside the daemons: at callers, upstreams and processes.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Results of all requests.
    pub caller_results: Vec<CallerResult>,
    /// Runs at the upstreams of the entry sites, by target.
    pub runs: BTreeMap<String, u64>,
    /// Runs at the upstreams of the downstream sites, by target.
    pub downstream_runs: BTreeMap<String, u64>,
    /// Requests with a key of a client account at any upstream.
    pub keys_at_upstreams: u64,
    /// Revisions in force by site, in the order in which they were observed.
    pub revisions: BTreeMap<usize, Vec<u64>>,
    /// All terminations.
    pub terminations: Vec<Termination>,
    /// Time from the end of the last fault until a request completed at each entry site;
    /// `None` if that took too long.
    pub recovery: Option<Duration>,
}

impl Observations {
    /// Attempts granted to one request by the soak's configuration.
    pub const GRANTED_ATTEMPTS: u64 = 32;

    /// Returns the violations of promises.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations: Vec<Violation> =
            self.caller_results.iter().flat_map(|result| self.violations_of(result)).collect();
        for (site, revisions) in &self.revisions {
            if let Some(pair) = revisions.windows(2).find(|pair| pair[1] < pair[0]) {
                let details = format!("site {site} went from revision {} to {}", pair[0], pair[1]);
                violations.push(Violation { promise: Promise::ConfigurationNeverBack, details });
            }
        }
        for termination in self.terminations.iter().filter(|termination| !termination.is_graceful) {
            let details = format!("site {}: {}", termination.site, termination.details);
            violations.push(Violation { promise: Promise::GracefulStops, details });
        }
        if self.keys_at_upstreams > 0 {
            let details = format!("upstreams received {} keys", self.keys_at_upstreams);
            violations.push(Violation { promise: Promise::HiddenKeys, details });
        }
        if self.recovery.is_none() {
            let details = "requests do not complete after the last fault".to_owned();
            violations.push(Violation { promise: Promise::Recovery, details });
        }
        violations
    }

    fn violations_of(&self, result: &CallerResult) -> Vec<Violation> {
        let target = &result.target;
        let runs = self.runs.get(target).copied().unwrap_or(0);
        let downstream_runs = self.downstream_runs.get(target).copied().unwrap_or(0);
        let mut violations = Vec::new();
        let mut report = |promise, details| violations.push(Violation { promise, details });
        if !result.is_idempotent && runs > 1 {
            report(Promise::AtMostOnce, format!("{target} ran {runs} times"));
        }
        if result.outcome == Some(Outcome::NotRun) && runs > 0 {
            report(Promise::TrueRefusals, format!("{target} was answered not run but ran"));
        }
        if !result.has_valid_key && runs > 0 {
            report(Promise::ValidKeys, format!("{target} ran without a valid key"));
        }
        if !result.is_own_answer {
            report(
                Promise::WholeAnswers,
                format!("{target} got the answer to another request or part of an answer"),
            );
        }
        if runs.max(downstream_runs) > Self::GRANTED_ATTEMPTS {
            report(Promise::BoundedAttempts, format!("{target} made {downstream_runs} attempts"));
        }
        violations
    }
}
