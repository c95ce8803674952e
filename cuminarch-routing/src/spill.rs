use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Share of calls that leave the own availability zone because its endpoints
/// answer later than those of other zones.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spill {
    share_milli: u32,
    floor: Option<Duration>,
}

impl Spill {
    const STEP_MILLI: u32 = 25;
    const MAX_SHARE_MILLI: u32 = 950;
    /// Latency of the own zone over that of the others at which calls leave it, in percent.
    const REMOTE_LATENCY_PERCENT: u32 = 125;
    /// Latency over its floor at which other zones are tried at all, in percent.
    const FLOOR_LATENCY_PERCENT: u32 = 150;
    const SLACK: Duration = Duration::from_millis(1);
    /// The floor rises by one part in so many with each look.
    const FLOOR_DRIFT: u32 = 200;

    /// Whether the next call leaves the zone.
    pub fn should_spill(&self, rng: &mut ChaCha8Rng) -> bool {
        self.share_milli > 0 && rng.random_range(0..1_000) < self.share_milli
    }

    /// Takes in the mean latencies of the own zone and of the others.
    pub fn adapt(&mut self, near: Option<Duration>, far: Option<Duration>) {
        let Some(near) = near else { return };
        let floor = self.floor.map_or(near, |floor| (floor + floor / Self::FLOOR_DRIFT).min(near));
        self.floor = Some(floor);
        let bound = match far {
            Some(far) => far * Self::REMOTE_LATENCY_PERCENT / 100 + Self::SLACK,
            None => floor * Self::FLOOR_LATENCY_PERCENT / 100 + Self::SLACK,
        };
        if near > bound {
            self.share_milli = (self.share_milli + Self::STEP_MILLI).min(Self::MAX_SHARE_MILLI);
        } else {
            self.share_milli = self.share_milli.saturating_sub(Self::STEP_MILLI);
        }
    }
}
