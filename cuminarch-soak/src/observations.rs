use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::Outcome;

use crate::{Promise, Violation};

/// The last word that a caller got on one request.
#[derive(Clone, Debug)]
pub struct CallerResult {
    /// Its target, which no other request has.
    pub target: String,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// What its node said of it; none without an answer.
    pub outcome: Option<Outcome>,
    /// Whether an answer that looked whole and successful was the request's own.
    pub is_own_answer: bool,
}

/// How a daemon ended that was terminated.
#[derive(Clone, Debug)]
pub struct Termination {
    /// The daemon.
    pub site: usize,
    /// Whether it ended by itself, in time and without an error.
    pub is_graceful: bool,
    /// How it ended.
    pub details: String,
}

/// What callers, upstreams and the outside of the daemons showed.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// All requests.
    pub caller_results: Vec<CallerResult>,
    /// Runs at the first upstream, by target.
    pub runs: BTreeMap<String, u64>,
    /// Runs at the upstreams behind it, by target.
    pub downstream_runs: BTreeMap<String, u64>,
    /// Revisions in force, in the order in which they were seen, by site.
    pub revisions: BTreeMap<usize, Vec<u64>>,
    /// All terminations.
    pub terminations: Vec<Termination>,
    /// Time until a request completed at each site that callers ask, after the last
    /// fault; none if that took too long.
    pub recovery: Option<Duration>,
}

impl Observations {
    /// Attempts that the soak's configuration grants to one request.
    pub const GRANTED_ATTEMPTS: u64 = 32;

    /// The promises that did not hold.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations: Vec<Violation> =
            self.caller_results.iter().flat_map(|told| self.violations_of(told)).collect();
        for (site, revisions) in &self.revisions {
            if let Some(pair) = revisions.windows(2).find(|pair| pair[1] < pair[0]) {
                let seen = format!("site {site} went from revision {} to {}", pair[0], pair[1]);
                violations
                    .push(Violation { promise: Promise::ConfigurationNeverBack, details: seen });
            }
        }
        for stop in self.terminations.iter().filter(|stop| !stop.is_graceful) {
            let seen = format!("site {}: {}", stop.site, stop.details);
            violations.push(Violation { promise: Promise::GracefulStops, details: seen });
        }
        if self.recovery.is_none() {
            let seen = "requests do not complete after the last fault".to_owned();
            violations.push(Violation { promise: Promise::Recovery, details: seen });
        }
        violations
    }

    fn violations_of(&self, told: &CallerResult) -> Vec<Violation> {
        let target = &told.target;
        let runs = self.runs.get(target).copied().unwrap_or(0);
        let behind = self.downstream_runs.get(target).copied().unwrap_or(0);
        let mut violations = Vec::new();
        let mut note = |promise, seen| violations.push(Violation { promise, details: seen });
        if !told.is_idempotent && runs > 1 {
            note(Promise::AtMostOnce, format!("{target} ran {runs} times"));
        }
        if told.outcome == Some(Outcome::NotRun) && runs > 0 {
            note(Promise::TrueRefusals, format!("{target} was told not run and ran"));
        }
        if !told.is_own_answer {
            note(Promise::WholeAnswers, format!("{target} got another answer, or part of one"));
        }
        if runs.max(behind) > Self::GRANTED_ATTEMPTS {
            note(Promise::BoundedAttempts, format!("{target} made {behind} attempts"));
        }
        violations
    }
}
