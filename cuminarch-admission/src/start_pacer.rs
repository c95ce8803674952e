use std::time::Duration;

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

/// Paces the starts of requests at the rate limit that the upstream states, if it states one.
///
/// The limit holds for all callers together. The node beside the upstream starts all of its
/// requests and so enforces the limit without agreement between nodes.
///
/// An upstream measures its load over some seconds, and after a new limit that time includes
/// requests from before. The rate stays below the limit for a settling time where that is needed to
/// make up for them.
///
/// ```
/// use std::time::Duration;
/// use cuminarch_admission::StartPacer;
/// use cuminarch_types::{MonoTime, RatePerSecond};
///
/// let mut pacer = StartPacer::new();
/// let now = MonoTime::from_millis(1);
/// assert!(pacer.may_start(now));
/// pacer.record_limit(Some(RatePerSecond::new(2.0)), now);
/// assert!(!pacer.may_start(now));
/// assert!(pacer.may_start(now.after(Duration::from_millis(500))));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StartPacer {
    limit: Option<Limit>,
    /// Whether the upstream has answered in its current lifetime.
    has_answered: bool,
    starts: RecentStarts,
    /// Time at which the next request is due; requests may start [`Self::BURST`] earlier.
    next_start_at: MonoTime,
}

/// A rate limit in force.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: RatePerSecond,
    /// Time of the last answer that stated it; `None` if only another node knows of it.
    stated_at: Option<MonoTime>,
    settling_rate: RatePerSecond,
    settled_at: MonoTime,
}

impl StartPacer {
    /// Time over which an upstream measures its load.
    const WINDOW: Duration = RecentStarts::MAX_AGE;
    /// Time within which the load has to comply with a new limit.
    const SETTLING_TIME: Duration = Duration::from_secs(3);
    /// Requests in a window relative to the limit, at the end of the settling time.
    const MAX_SETTLING_LOAD_RATIO: f64 = 1.25;
    /// Requests that are due within this time may start together.
    const BURST: Duration = Duration::from_millis(250);
    /// Requests are started at this rate even if the limit is lower: only answers show its end.
    const MIN_RATE_PER_S: f64 = 0.5;
    /// Time after which an answer without a limit ends the last one that was stated. Answers on
    /// different connections may be read out of order.
    const LIFT_DELAY: Duration = Duration::from_millis(500);

    /// Creates a pacer without a limit.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            limit: None,
            has_answered: false,
            starts: RecentStarts::new(),
            next_start_at: MonoTime::ZERO,
        }
    }

    /// Returns the limit in force.
    #[must_use]
    pub fn limit(&self) -> Option<RatePerSecond> {
        self.limit.map(|limit| limit.rate)
    }

    /// Returns `true` if a request may start now.
    #[must_use]
    pub fn may_start(&self, now: MonoTime) -> bool {
        self.wait(1, now).is_zero()
    }

    /// Returns the time until the request with this number, counted from 1, may start.
    #[must_use]
    pub fn wait(&self, number: u32, now: MonoTime) -> Duration {
        let Some(limit) = &self.limit else { return Duration::ZERO };
        let due_at = self.next_start_at.after(limit.interval(now) * number.saturating_sub(1));
        due_at.since(now.after(Self::BURST))
    }

    /// Returns the number of slots that requests occupy at the limit, given their holding time.
    #[must_use]
    pub fn usable_slots(&self, slots: u32, holding_time: Duration) -> f64 {
        let slots = f64::from(slots);
        let Some(limit) = &self.limit else { return slots };
        slots.min(limit.rate.get() * holding_time.as_secs_f64())
    }

    /// Records the start of a request.
    pub fn record_start(&mut self, now: MonoTime) {
        self.starts.record(now);
        if let Some(limit) = &self.limit {
            self.next_start_at = self.next_start_at.max(now).after(limit.interval(now));
        }
    }

    /// Records the limit of an answer, `None` if it states none. Returns the change, if any.
    pub fn record_limit(
        &mut self,
        rate: Option<RatePerSecond>,
        now: MonoTime,
    ) -> Option<RateLimitChange> {
        self.has_answered = true;
        let previous = self.limit();
        match (rate, &mut self.limit) {
            (Some(rate), Some(limit)) if limit.rate == rate => limit.stated_at = Some(now),
            (Some(rate), _) => self.begin(rate, Some(now), now),
            (None, Some(limit)) if limit.may_end(now) => self.limit = None,
            (None, _) => {}
        }
        self.change_since(previous, now)
    }

    /// Applies the limit that another node knows of, until the upstream answers. Returns the
    /// change, if any.
    pub fn adopt_limit(&mut self, rate: RatePerSecond, now: MonoTime) -> Option<RateLimitChange> {
        if self.has_answered || self.limit.is_some() {
            return None;
        }
        self.begin(rate, None, now);
        self.change_since(None, now)
    }

    fn change_since(
        &self,
        previous: Option<RatePerSecond>,
        now: MonoTime,
    ) -> Option<RateLimitChange> {
        let current = self.limit();
        (previous != current).then(|| RateLimitChange {
            previous,
            current,
            recent_starts: self.starts.within(Self::WINDOW, now),
        })
    }

    /// Forgets the limit of an upstream that has ended.
    pub fn clear_limit(&mut self) {
        self.has_answered = false;
        self.limit = None;
    }

    fn begin(&mut self, rate: RatePerSecond, stated_at: Option<MonoTime>, now: MonoTime) {
        let settling_rate = self.settling_rate(rate, now);
        let settled_at = now.after(Self::SETTLING_TIME);
        let limit = Limit { rate, stated_at, settling_rate, settled_at };
        if self.limit.is_none() {
            self.next_start_at = now.after(limit.interval(now));
        }
        self.limit = Some(limit);
    }

    /// Returns the rate at which the load of the window complies at the end of the settling time,
    /// including the requests that were started before.
    fn settling_rate(&self, rate: RatePerSecond, now: MonoTime) -> RatePerSecond {
        let remembered_time = Self::WINDOW.saturating_sub(Self::SETTLING_TIME);
        let earlier_starts = f64::from(self.starts.within(remembered_time, now));
        let window_starts = rate.get() * Self::WINDOW.as_secs_f64() * Self::MAX_SETTLING_LOAD_RATIO;
        let settling_per_s = (window_starts - earlier_starts) / Self::SETTLING_TIME.as_secs_f64();
        RatePerSecond::new(settling_per_s.min(rate.get()))
    }
}

impl Limit {
    /// Returns `true` if an answer without a limit ends it.
    fn may_end(&self, now: MonoTime) -> bool {
        self.stated_at.is_none_or(|stated_at| now.since(stated_at) >= StartPacer::LIFT_DELAY)
    }

    /// Returns the time between two starts.
    fn interval(&self, now: MonoTime) -> Duration {
        let rate = if now < self.settled_at { self.settling_rate } else { self.rate };
        Duration::from_secs_f64(1.0 / rate.get().max(StartPacer::MIN_RATE_PER_S))
    }
}
