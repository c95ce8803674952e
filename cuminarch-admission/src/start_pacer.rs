use cuminarch_types::{MonoTime, RatePerSecond};

use crate::recent_starts::RecentStarts;

/// Change of the rate limit of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RateLimitChange {
    /// The limit until now.
    pub previous: Option<RatePerSecond>,
    /// The limit from now on.
    pub current: Option<RatePerSecond>,
    /// Requests started at the upstream in the last four seconds.
    pub recent_starts: u32,
}

/// Tracks the rate limit that an upstream states and the requests that it gets.
#[derive(Clone, Debug, Default)]
pub struct StartPacer {
    limit: Option<RatePerSecond>,
    starts: RecentStarts,
}

impl StartPacer {
    /// Creates a pacer without a limit.
    #[must_use]
    pub const fn new() -> Self {
        Self { limit: None, starts: RecentStarts::new() }
    }

    /// Returns the limit in force.
    #[must_use]
    pub const fn limit(&self) -> Option<RatePerSecond> {
        self.limit
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: MonoTime) {
        self.starts.record(now);
    }

    /// Records the limit of an answer, `None` if it states none. Returns the change, if any.
    pub fn record_limit(
        &mut self,
        limit: Option<RatePerSecond>,
        now: MonoTime,
    ) -> Option<RateLimitChange> {
        if limit == self.limit {
            return None;
        }
        let recent_starts = self.starts.within(RecentStarts::MAX_AGE, now);
        let previous = std::mem::replace(&mut self.limit, limit);
        Some(RateLimitChange { previous, current: limit, recent_starts })
    }
}
