//! Computes the figures of one run.

use super::oracle;
use super::scenario::Scenario;
use super::world::RootRequest;

const WINDOW_STEP_US: u64 = 200_000;
const WINDOW_US: u64 = 1_000_000;
/// Longest duration of a request that counts as prompt when recovery is measured.
const PROMPT_US: u64 = 1_000_000;
const RECOVERED_RATIO: f64 = 0.99;

/// The figures of one mesh in one scenario.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Requests completed while the cause was active, as a share of the oracle's.
    pub goodput: f64,
    /// Completed share of the arrivals of each kind while the cause was active.
    pub by_kind: Vec<f64>,
    /// Completed protected requests, as a share of the oracle's.
    pub protected: f64,
    /// `true` if the oracle completes all protected requests.
    pub protected_fits: bool,
    /// The oracle's completed share of the arrivals of each kind.
    pub oracle_by_kind: Vec<f64>,
    pub attempts_mean: f64,
    pub attempts_max: u32,
    /// Share of the work below the first service that was done for requests that failed.
    pub waste: f64,
    /// Seconds from the end of the cause until the share of promptly completed requests is back at
    /// 99% of its earlier value for good; `None` if it never is.
    pub recovery_s: Option<f64>,
}

impl Figures {
    /// Computes the figures from the requests of one run.
    pub fn new(scenario: &Scenario, roots: &[RootRequest]) -> Self {
        let (begin_us, end_us) = scenario.cause_span_us;
        let kinds = scenario.system.kinds.len();
        let mut arrived = vec![0.0; kinds];
        let mut completed = vec![0.0; kinds];
        let mut finished_within = 0.0;
        for root in roots {
            if (begin_us..end_us).contains(&root.arrived_us) {
                arrived[root.kind] += 1.0;
                completed[root.kind] += f64::from(u8::from(root.completed_us.is_some()));
            }
            let is_within = |at_us: u64| (begin_us..end_us).contains(&at_us);
            finished_within += f64::from(u8::from(root.completed_us.is_some_and(is_within)));
        }
        let span_s = (end_us - begin_us) as f64 / 1e6;
        let oracle = oracle::completed_by_kind(scenario, &arrived, span_s);
        let oracle_sum: f64 = oracle.iter().sum();
        let share = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 1.0 };
        let protected = |counts: &[f64]| -> f64 {
            let kinds = scenario.system.kinds.iter().zip(counts);
            kinds.filter(|(kind, _)| kind.is_protected).map(|(_, count)| *count).sum()
        };
        Self {
            goodput: share(finished_within, oracle_sum),
            by_kind: completed.iter().zip(&arrived).map(|(c, a)| share(*c, *a)).collect(),
            protected: share(protected(&completed), protected(&oracle)),
            protected_fits: protected(&oracle) >= protected(&arrived) - 1e-6,
            oracle_by_kind: oracle.iter().zip(&arrived).map(|(o, a)| share(*o, *a)).collect(),
            attempts_mean: share(
                roots.iter().map(|root| f64::from(root.attempts)).sum(),
                roots.len() as f64,
            ),
            attempts_max: roots.iter().map(|root| root.attempts).max().unwrap_or(0),
            waste: waste(scenario, roots),
            recovery_s: recovery_s(scenario, roots),
        }
    }
}

/// Returns the share of the work below the first service that was done for failed requests.
fn waste(scenario: &Scenario, roots: &[RootRequest]) -> f64 {
    let settled_us = scenario.end_us.saturating_sub(WINDOW_US * 2);
    let roots = roots.iter().filter(|root| root.arrived_us < settled_us);
    let (mut all, mut lost) = (0.0, 0.0);
    for root in roots {
        all += root.downstream_work_us as f64;
        if root.completed_us.is_none() {
            lost += root.downstream_work_us as f64;
        }
    }
    if all > 0.0 { lost / all } else { 0.0 }
}

fn recovery_s(scenario: &Scenario, roots: &[RootRequest]) -> Option<f64> {
    let (begin_us, end_us) = scenario.cause_span_us;
    let before = prompt_share(roots, begin_us - 3 * WINDOW_US, begin_us)?;
    let mut from_us = end_us;
    let mut found_us = None;
    while from_us + WINDOW_US + PROMPT_US <= scenario.end_us {
        let share = prompt_share(roots, from_us, from_us + WINDOW_US).unwrap_or(1.0);
        if share < RECOVERED_RATIO * before {
            found_us = None;
        } else if found_us.is_none() {
            found_us = Some(from_us);
        }
        from_us += WINDOW_STEP_US;
    }
    found_us.map(|found_us| (found_us - end_us) as f64 / 1e6)
}

/// Returns the promptly completed share of the requests that arrived in a time span; `None` if
/// there were none.
fn prompt_share(roots: &[RootRequest], from_us: u64, to_us: u64) -> Option<f64> {
    let first = roots.partition_point(|root| root.arrived_us < from_us);
    let last = roots.partition_point(|root| root.arrived_us < to_us);
    let span = &roots[first..last];
    let is_prompt =
        |root: &&RootRequest| root.completed_us.is_some_and(|at| at - root.arrived_us <= PROMPT_US);
    let prompt = span.iter().filter(is_prompt).count();
    (!span.is_empty()).then(|| prompt as f64 / span.len() as f64)
}
