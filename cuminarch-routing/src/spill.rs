use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Share of the calls that spill over because the endpoints of the own availability zone answer
/// later than those of other zones.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spill {
    share_milli: u32,
    floor: Option<Duration>,
}

impl Spill {
    const STEP_MILLI: u32 = 25;
    const MAX_SHARE_MILLI: u32 = 950;
    /// Latency of the own zone, relative to that of the others, above which calls spill over, in
    /// percent.
    const REMOTE_LATENCY_PERCENT: u32 = 125;
    /// Latency relative to its floor above which other zones are tried while their latency is
    /// unknown, in percent.
    const FLOOR_LATENCY_PERCENT: u32 = 150;
    const SLACK: Duration = Duration::from_millis(1);
    /// With each check, the floor rises by itself divided by this.
    const FLOOR_DRIFT: u32 = 200;

    /// Returns `true` if the next call leaves the zone.
    pub fn should_spill(&self, rng: &mut ChaCha8Rng) -> bool {
        self.share_milli > 0 && rng.random_range(0..1_000) < self.share_milli
    }

    /// Adapts the share to the mean latencies of the own zone and of the others.
    pub fn adapt(&mut self, local: Option<Duration>, remote: Option<Duration>) {
        let Some(local) = local else { return };
        let floor =
            self.floor.map_or(local, |floor| (floor + floor / Self::FLOOR_DRIFT).min(local));
        self.floor = Some(floor);
        let limit = match remote {
            Some(remote) => remote * Self::REMOTE_LATENCY_PERCENT / 100 + Self::SLACK,
            None => floor * Self::FLOOR_LATENCY_PERCENT / 100 + Self::SLACK,
        };
        if local > limit {
            self.share_milli = (self.share_milli + Self::STEP_MILLI).min(Self::MAX_SHARE_MILLI);
        } else {
            self.share_milli = self.share_milli.saturating_sub(Self::STEP_MILLI);
        }
    }
}
