use std::time::Duration;

use cuminarch_types::MonoTime;

use crate::endpoint::Endpoint;

/// Mean of the occupancies that endpoints have reported lately, by which those are
/// judged of which no report is at hand.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalOccupancy {
    milli: f64,
    noted_at: MonoTime,
}

impl TypicalOccupancy {
    /// One report moves the mean by this part of the difference at least.
    const LEAST_WEIGHT: f64 = 1.0 / 16.0;
    /// Time over which reports are averaged where they are rare.
    const MEMORY: Duration = Duration::from_millis(500);

    /// Takes in a report, in thousandths.
    pub fn note(&mut self, milli: u32, now: MonoTime) {
        let gap = now.since(self.noted_at).as_secs_f64() / Self::MEMORY.as_secs_f64();
        self.milli += (f64::from(milli) - self.milli) * gap.clamp(Self::LEAST_WEIGHT, 1.0);
        self.noted_at = now;
    }

    /// The mean in thousandths; none if nothing was reported lately.
    pub fn milli(&self, now: MonoTime) -> Option<f64> {
        let is_known = now.since(self.noted_at) <= Endpoint::OCCUPANCY_LIFETIME;
        (is_known && self.noted_at > MonoTime::ZERO).then_some(self.milli)
    }
}
