use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{MonoTime, RouteName};

/// Logarithmic means of the run times of one route. A mean of logarithms shows a change of speed by
/// the same amount for every route, and is little affected by the few very long runs.
#[derive(Clone, Copy, Debug)]
struct RouteTimes {
    /// Recent mean, in ln of seconds.
    recent_ln_s: f64,
    /// Mean over [`RunTimes::BASE_WINDOW`], in ln of seconds.
    base_ln_s: f64,
    run_count: u32,
    updated_at: MonoTime,
    /// Latest start among the runs that have ended.
    latest_start: MonoTime,
}

/// Typical run times of an upstream by route.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    routes: BTreeMap<RouteName, RouteTimes>,
}

impl RunTimes {
    /// Time after which a sample counts fully less than `1/e`, for the recent mean.
    const RECENT_WINDOW: Duration = Duration::from_millis(250);
    /// The same for the mean that run times are compared with.
    const BASE_WINDOW: Duration = Duration::from_secs(10);
    /// Bounds of the weight of one sample in the recent mean.
    const RECENT_WEIGHTS: (f64, f64) = (1.0 / 32.0, 0.4);
    /// Least weight of a run that started before others that have ended: it shows the speed of an
    /// earlier time.
    const MIN_OLD_START_WEIGHT: f64 = 0.2;
    /// Runs after which the recent mean is reported.
    const MIN_RUN_COUNT: u32 = 4;
    const MIN_RUN_TIME_S: f64 = 1e-5;

    /// Records a run, and returns how much longer it took than is usual for its route, as a natural
    /// logarithm.
    pub fn record(&mut self, route: &RouteName, started_at: MonoTime, now: MonoTime) -> f64 {
        let run_time = now.since(started_at);
        let sample_ln_s = run_time.as_secs_f64().max(Self::MIN_RUN_TIME_S).ln();
        let Some(known) = self.routes.get_mut(route) else {
            let times = RouteTimes {
                recent_ln_s: sample_ln_s,
                base_ln_s: sample_ln_s,
                run_count: 1,
                updated_at: now,
                latest_start: started_at,
            };
            self.routes.insert(route.clone(), times);
            return 0.0;
        };
        let elapsed_s = now.since(known.updated_at).as_secs_f64();
        known.run_count = known.run_count.saturating_add(1);
        known.updated_at = now;
        let first_runs_weight = 1.0 / f64::from(known.run_count);
        let excess_ln = sample_ln_s - known.base_ln_s;
        let base_weight = (elapsed_s / Self::BASE_WINDOW.as_secs_f64()).min(0.1);
        known.base_ln_s += excess_ln * base_weight.max(first_runs_weight);
        let (least, most) = Self::RECENT_WEIGHTS;
        let recent_weight = (elapsed_s / Self::RECENT_WINDOW.as_secs_f64()).clamp(least, most);
        let lag_s = known.latest_start.since(started_at).as_secs_f64();
        let old_start_weight = (-lag_s / Self::RECENT_WINDOW.as_secs_f64()).exp();
        known.latest_start = known.latest_start.max(started_at);
        let recent_weight = recent_weight * old_start_weight.max(Self::MIN_OLD_START_WEIGHT);
        known.recent_ln_s +=
            (sample_ln_s - known.recent_ln_s) * recent_weight.max(first_runs_weight);
        excess_ln
    }

    /// Returns the recent typical run time of a route, once enough runs have ended.
    pub fn recent(&self, route: &RouteName) -> Option<Duration> {
        let known = self.routes.get(route)?;
        let is_known = known.run_count >= Self::MIN_RUN_COUNT;
        is_known.then(|| Duration::from_secs_f64(known.recent_ln_s.exp().min(3_600.0)))
    }
}
