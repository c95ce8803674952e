use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{MonoTime, RouteName};

use crate::least_squares::LeastSquares;

#[derive(Clone, Copy, Debug, Default)]
struct RouteRuns {
    /// Index of the route in the inputs of the models.
    index: usize,
    /// Runs in the current window. Start and end count half each, because calls happen between the
    /// two.
    run_count: f64,
}

/// Estimates how many calls one run of each route makes to each other route.
///
/// The upstream does not say which run a call belongs to. The calls on each route are therefore
/// fitted by least squares to the runs of every route in the same window. This separates routes
/// whose proportions vary over time.
#[derive(Clone, Debug, Default)]
pub struct FanoutEstimator {
    runs: BTreeMap<RouteName, RouteRuns>,
    /// Calls in the current window by route.
    calls: BTreeMap<RouteName, f64>,
    models: BTreeMap<RouteName, LeastSquares>,
    /// Calls per run, by the route of the run and the route of the calls.
    fanouts: BTreeMap<RouteName, BTreeMap<RouteName, f64>>,
    window_started_at: MonoTime,
}

impl FanoutEstimator {
    /// Several times the length of a run, so that few calls fall into another window than their
    /// run.
    const WINDOW: Duration = Duration::from_millis(500);
    /// Fraction of earlier windows' data retained per window; the memory is about 20 s.
    const RETAINED_FRACTION: f64 = 0.975;
    /// Maximum number of routes to distinguish. The cost grows with its square.
    const MAX_ROUTES: usize = 32;
    /// Estimates below this count as zero.
    const MIN_CALLS_PER_RUN: f64 = 0.1;

    /// Creates an estimator without data.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the start of a run.
    pub fn record_start(&mut self, route: &RouteName, now: MonoTime) {
        self.advance(now);
        let index = self.runs.len();
        if index >= Self::MAX_ROUTES && !self.runs.contains_key(route) {
            return;
        }
        let fresh = RouteRuns { index, ..RouteRuns::default() };
        let runs = self.runs.entry(route.clone()).or_insert(fresh);
        runs.run_count += 0.5;
    }

    /// Records the end of a run.
    pub fn record_end(&mut self, route: &RouteName, now: MonoTime) {
        self.advance(now);
        if let Some(runs) = self.runs.get_mut(route) {
            runs.run_count += 0.5;
        }
    }

    /// Records a call of the upstream on another route.
    pub fn record_call(&mut self, child: &RouteName, now: MonoTime) {
        self.advance(now);
        match self.calls.get_mut(child) {
            Some(count) => *count += 1.0,
            None => {
                self.calls.insert(child.clone(), 1.0);
            }
        }
    }

    /// Returns the number of calls that one run of `route` makes on each other route.
    pub fn fanouts<'a>(
        &'a self,
        route: &RouteName,
    ) -> impl Iterator<Item = (&'a RouteName, f64)> + use<'a> {
        let fanouts = self.fanouts.get(route).into_iter().flatten();
        fanouts.map(|(child, calls)| (child, *calls))
    }

    fn advance(&mut self, now: MonoTime) {
        if now.since(self.window_started_at) >= Self::WINDOW {
            self.window_started_at = now;
            self.end_window();
            self.solve();
        }
    }

    fn end_window(&mut self) {
        let mut run_counts = vec![0.0; self.runs.len()];
        for runs in self.runs.values_mut() {
            run_counts[runs.index] = std::mem::take(&mut runs.run_count);
        }
        for child in self.calls.keys() {
            self.models.entry(child.clone()).or_default();
        }
        for (child, model) in &mut self.models {
            let calls = self.calls.get_mut(child).map_or(0.0, std::mem::take);
            model.observe(&run_counts, calls, Self::RETAINED_FRACTION);
        }
    }

    fn solve(&mut self) {
        self.fanouts.clear();
        for (child, model) in &self.models {
            let coefficients = model.solve();
            for (route, runs) in &self.runs {
                let calls = coefficients.get(runs.index).copied().unwrap_or(0.0);
                if calls >= Self::MIN_CALLS_PER_RUN {
                    let fanouts = self.fanouts.entry(route.clone()).or_default();
                    fanouts.insert(child.clone(), calls);
                }
            }
        }
    }
}
