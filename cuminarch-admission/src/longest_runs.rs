use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::RouteName;

/// Longest of the last calls of one route, in two generations.
#[derive(Clone, Copy, Debug, Default)]
struct RecentLongest {
    longest: Duration,
    previous_longest: Duration,
    calls: u32,
    previous_calls: u32,
}

/// Tells whether a call will be answered within the time that is left, by the longest of the last
/// calls of its route.
///
/// For a process that is being stopped: a call that takes longer would be cut off.
#[derive(Clone, Debug, Default)]
pub struct LongestRuns {
    routes: BTreeMap<RouteName, RecentLongest>,
}

impl LongestRuns {
    /// Number of calls of a generation. The longest of so many is exceeded by one call in as many.
    const GENERATION_CALLS: u32 = 500;
    /// Number of calls below which the longest says too little.
    const MIN_CALLS: u32 = 50;

    /// Creates an empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time from the arrival of a call to the end of its answer.
    pub fn record(&mut self, route: &RouteName, duration: Duration) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.clone(), RecentLongest::default());
        }
        let Some(recent) = self.routes.get_mut(route) else { return };
        if recent.calls >= Self::GENERATION_CALLS {
            recent.previous_longest = std::mem::take(&mut recent.longest);
            recent.previous_calls = std::mem::take(&mut recent.calls);
        }
        recent.longest = recent.longest.max(duration);
        recent.calls += 1;
    }

    /// Returns `true` if a call will be answered within `left`. `limit` is the time after which it
    /// is given up; it decides where too few calls are known.
    #[must_use]
    pub fn will_end_within(&self, left: Duration, route: &RouteName, limit: Duration) -> bool {
        let expected = self.routes.get(route).and_then(RecentLongest::get);
        expected.unwrap_or(limit) <= left
    }
}

impl RecentLongest {
    fn get(&self) -> Option<Duration> {
        let is_known = self.calls + self.previous_calls >= LongestRuns::MIN_CALLS;
        is_known.then(|| self.longest.max(self.previous_longest))
    }
}
