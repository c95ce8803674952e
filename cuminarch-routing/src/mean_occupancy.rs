use std::time::Duration;

use cuminarch_types::MonoTime;

use crate::endpoint::Endpoint;

/// Mean of the recently reported occupancies, used to estimate that of endpoints without a report.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanOccupancy {
    milli: f64,
    updated_at: MonoTime,
}

impl MeanOccupancy {
    /// Smallest smoothing factor of one report.
    const MIN_SMOOTHING_FACTOR: f64 = 1.0 / 16.0;
    /// Time over which rare reports are averaged.
    const AVERAGING_WINDOW: Duration = Duration::from_millis(500);

    /// Records a reported occupancy, in thousandths.
    pub fn record(&mut self, milli: u32, now: MonoTime) {
        let factor =
            now.since(self.updated_at).as_secs_f64() / Self::AVERAGING_WINDOW.as_secs_f64();
        self.milli +=
            (f64::from(milli) - self.milli) * factor.clamp(Self::MIN_SMOOTHING_FACTOR, 1.0);
        self.updated_at = now;
    }

    /// Returns the mean in thousandths, or `None` without a recent report.
    pub fn milli(&self, now: MonoTime) -> Option<f64> {
        let is_recent = now.since(self.updated_at) <= Endpoint::OCCUPANCY_TTL;
        (is_recent && self.updated_at > MonoTime::ZERO).then_some(self.milli)
    }
}
