use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::RouteName;

#[derive(Clone, Copy, Debug)]
struct Mean {
    ln_us: f64,
    report_count: u32,
}

/// Mean of the run times of a service that its endpoints report, by route.
#[derive(Clone, Debug, Default)]
pub struct RunTimeMeans {
    routes: BTreeMap<RouteName, Mean>,
}

impl RunTimeMeans {
    /// Reports over which a mean is taken.
    const MAX_REPORT_COUNT: u32 = 128;

    /// Records a reported run time, and returns the logarithm of its ratio to the mean.
    pub fn record(&mut self, route: &RouteName, run_time_us: u32) -> f64 {
        let report_ln_us = f64::from(run_time_us.max(1)).ln();
        let Some(mean) = self.routes.get_mut(route) else {
            self.routes.insert(route.clone(), Mean { ln_us: report_ln_us, report_count: 1 });
            return 0.0;
        };
        mean.report_count = (mean.report_count + 1).min(Self::MAX_REPORT_COUNT);
        mean.ln_us += (report_ln_us - mean.ln_us) / f64::from(mean.report_count);
        report_ln_us - mean.ln_us
    }

    /// Returns the mean run time of a route.
    #[must_use]
    pub fn of(&self, route: &RouteName) -> Option<Duration> {
        let mean = self.routes.get(route)?;
        Some(Duration::from_secs_f64(mean.ln_us.exp() / 1e6))
    }
}
