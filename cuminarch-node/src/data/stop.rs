//! Decides which calls a node that is being stopped still passes on.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use cuminarch_admission::LongestRuns;
use cuminarch_types::{MonoTime, RouteName};

use crate::metrics::Direction;

/// Times of a stop.
#[derive(Clone, Copy, Debug)]
struct StopTimes {
    /// When callers have turned to other nodes.
    callers_leave_at: MonoTime,
    /// When all answers have to be complete.
    answers_by: MonoTime,
}

/// Passes on only calls whose answers come in time.
#[derive(Debug, Default)]
pub struct StopGuard {
    outbound: RefCell<LongestRuns>,
    inbound: RefCell<LongestRuns>,
    times: Cell<Option<StopTimes>>,
}

impl StopGuard {
    /// Time before the end at which answers have to be complete, so that they are written, too.
    const ANSWER_MARGIN: Duration = Duration::from_millis(250);

    /// Begins a stop that takes at most `timeout`; callers turn to other nodes within `linger`.
    pub fn begin(&self, linger: Duration, timeout: Duration, now: MonoTime) {
        let answers_by = now.after(timeout.saturating_sub(Self::ANSWER_MARGIN));
        self.times.set(Some(StopTimes { callers_leave_at: now.after(linger), answers_by }));
    }

    /// Returns `true` once a stop has begun.
    pub const fn has_begun(&self) -> bool {
        self.times.get().is_some()
    }

    /// Records a call that was answered.
    pub fn record(&self, direction: Direction, route: &RouteName, duration: Duration) {
        self.runs(direction).borrow_mut().record(route, duration);
    }

    /// Returns `true` if the answer to a call that is given up after `limit` may come too late.
    pub fn is_too_late(
        &self,
        direction: Direction,
        route: &RouteName,
        limit: Duration,
        now: MonoTime,
    ) -> bool {
        let Some(times) = self.times.get() else { return false };
        let left = times.answers_by.since(now);
        !self.runs(direction).borrow().will_end_within(left, route, limit)
    }

    /// Returns the time after which a refused caller reaches another node.
    pub fn time_until_callers_leave(&self, now: MonoTime) -> Duration {
        self.times.get().map_or(Duration::ZERO, |times| times.callers_leave_at.since(now))
    }

    const fn runs(&self, direction: Direction) -> &RefCell<LongestRuns> {
        match direction {
            Direction::Inbound => &self.inbound,
            Direction::Outbound => &self.outbound,
        }
    }
}
