use std::time::Duration;

use cuminarch_types::ConcurrencyLimit;

use crate::AdmissionSettings;

/// Adaptive concurrency limit: rises while latency stays near its floor, falls
/// by a factor when it does not.
#[derive(Clone, Debug)]
pub struct Limiter {
    settings: AdmissionSettings,
    limit_milli: u64,
    floor: Option<Duration>,
}

impl Limiter {
    const TOLERANCE: u32 = 3;
    const FLOOR_SLACK: Duration = Duration::from_millis(5);

    /// A limiter of a cold endpoint.
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        let limit_milli = settings.initial_limit.get() as u64 * 1_000;
        Self { settings, limit_milli, floor: None }
    }

    /// The limit in force.
    #[must_use]
    pub fn limit(&self) -> ConcurrencyLimit {
        ConcurrencyLimit::new(u32::try_from(self.limit_milli / 1_000).unwrap_or(u32::MAX))
    }

    /// Notes the time that one request took while `running` requests ran.
    pub fn observe(&mut self, latency: Duration, running: usize) {
        let floor = self.floor.map_or(latency, |floor| {
            let drifted = floor + (latency.saturating_sub(floor)) / 1_000;
            drifted.min(latency)
        });
        self.floor = Some(floor);
        let min_milli = u64::from(self.settings.min_limit.get()) * 1_000;
        let max_milli = u64::from(self.settings.max_limit.get()) * 1_000;
        let is_slow = latency > floor * Self::TOLERANCE + Self::FLOOR_SLACK;
        let is_used = running as u64 * 2_000 >= self.limit_milli;
        if is_slow {
            self.limit_milli = (self.limit_milli - self.limit_milli / 50).max(min_milli);
        } else if is_used {
            self.limit_milli = (self.limit_milli + 200).min(max_milli);
        }
    }
}
