use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{MonoTime, RouteName};

use crate::least_squares::LeastSquares;

#[derive(Clone, Copy, Debug, Default)]
struct RouteRuns {
    /// Place of the route among the known ones.
    index: usize,
    /// Starts and ends of runs in the present window, each half a run: calls come
    /// between the two.
    run_count: f64,
}

/// How many calls one run of each route makes, learned from an upstream whose
/// calls do not say which run they belong to.
///
/// From window to window, the calls on each route are explained by the runs of
/// each route that passed in it, by least squares: routes that do not always come
/// in the same proportion are told apart.
#[derive(Clone, Debug, Default)]
pub struct FanoutEstimator {
    runs: BTreeMap<RouteName, RouteRuns>,
    /// Calls in the present window by route.
    calls: BTreeMap<RouteName, f64>,
    models: BTreeMap<RouteName, LeastSquares>,
    /// Calls of one run, by its route and that of the calls.
    fanouts: BTreeMap<RouteName, BTreeMap<RouteName, f64>>,
    window_started_at: MonoTime,
}

impl FanoutEstimator {
    /// Length of a window; several times that of a run, so that few calls fall into
    /// another window than their run.
    const WINDOW: Duration = Duration::from_millis(500);
    /// Part of what is known that one window leaves to the next: a memory of some
    /// twenty seconds.
    const RETAINED_FRACTION: f64 = 0.975;
    /// Most routes that are told apart; the work grows with their square.
    const MAX_ROUTES: usize = 32;
    /// Calls of one run below which a route is taken to make none.
    const MIN_CALLS_PER_RUN: f64 = 0.1;

    /// Nothing learned.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a run of a route began.
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

    /// Notes that a run of a route ended.
    pub fn record_end(&mut self, route: &RouteName, now: MonoTime) {
        self.advance(now);
        if let Some(runs) = self.runs.get_mut(route) {
            runs.run_count += 0.5;
        }
    }

    /// Notes that the upstream made a call on another route.
    pub fn record_call(&mut self, child: &RouteName, now: MonoTime) {
        self.advance(now);
        match self.calls.get_mut(child) {
            Some(count) => *count += 1.0,
            None => {
                self.calls.insert(child.clone(), 1.0);
            }
        }
    }

    /// Calls on each other route that one run of `route` makes.
    pub fn fanouts<'a>(
        &'a self,
        route: &RouteName,
    ) -> impl Iterator<Item = (&'a RouteName, f64)> + use<'a> {
        let weights = self.fanouts.get(route).into_iter().flatten();
        weights.map(|(child, calls)| (child, *calls))
    }

    fn advance(&mut self, now: MonoTime) {
        if now.since(self.window_started_at) >= Self::WINDOW {
            self.window_started_at = now;
            self.end_window();
            self.solve();
        }
    }

    fn end_window(&mut self) {
        let mut passed = vec![0.0; self.runs.len()];
        for runs in self.runs.values_mut() {
            passed[runs.index] = std::mem::take(&mut runs.run_count);
        }
        for child in self.calls.keys() {
            self.models.entry(child.clone()).or_default();
        }
        for (child, model) in &mut self.models {
            let calls = self.calls.get_mut(child).map_or(0.0, std::mem::take);
            model.observe(&passed, calls, Self::RETAINED_FRACTION);
        }
    }

    fn solve(&mut self) {
        self.fanouts.clear();
        for (child, model) in &self.models {
            let coefficients = model.solve();
            for (route, runs) in &self.runs {
                let calls = coefficients.get(runs.index).copied().unwrap_or(0.0);
                if calls >= Self::MIN_CALLS_PER_RUN {
                    let weights = self.fanouts.entry(route.clone()).or_default();
                    weights.insert(child.clone(), calls);
                }
            }
        }
    }
}
