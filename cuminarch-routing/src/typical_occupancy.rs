use std::time::Duration;

use cuminarch_types::MonoTime;

use crate::endpoint::Endpoint;

/// Mean of the occupancies that endpoints have reported lately, by which those are
/// judged of which no report is at hand.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanOccupancy {
    milli: f64,
    updated_at: MonoTime,
}

impl MeanOccupancy {
    /// One report moves the mean by this part of the difference at least.
    const MIN_SMOOTHING_FACTOR: f64 = 1.0 / 16.0;
    /// Time over which reports are averaged where they are rare.
    const AVERAGING_WINDOW: Duration = Duration::from_millis(500);

    /// Takes in a report, in thousandths.
    pub fn record(&mut self, milli: u32, now: MonoTime) {
        let gap = now.since(self.updated_at).as_secs_f64() / Self::AVERAGING_WINDOW.as_secs_f64();
        self.milli += (f64::from(milli) - self.milli) * gap.clamp(Self::MIN_SMOOTHING_FACTOR, 1.0);
        self.updated_at = now;
    }

    /// The mean in thousandths; none if nothing was reported lately.
    pub fn milli(&self, now: MonoTime) -> Option<f64> {
        let is_known = now.since(self.updated_at) <= Endpoint::OCCUPANCY_TTL;
        (is_known && self.updated_at > MonoTime::ZERO).then_some(self.milli)
    }
}
