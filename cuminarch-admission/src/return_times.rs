use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{AccountName, MonoTime, Priority, RouteName};

/// A refused request whose caller may return.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusedRequest {
    /// The account that sent it.
    pub account: Option<AccountName>,
    /// Its route.
    pub route: RouteName,
    /// Its class.
    pub priority: Priority,
    /// Time until which the caller waits, if it stated one.
    pub stated_deadline: Option<MonoTime>,
}

/// Times at which refused callers were told to return. Each has room for one request.
///
/// A return bears no mark. It is recognised by its account and route, by its time, and by the
/// deadline that its caller states: a returning caller states what is left of its time, so the
/// deadline is that of the refused request.
#[derive(Clone, Debug, Default)]
pub struct ReturnTimes {
    promises: BTreeMap<MonoTime, RefusedRequest>,
}

impl ReturnTimes {
    /// Bounds the memory to some hundred kilobytes.
    pub const MAX_PROMISES: usize = 1_024;
    /// A promise holds for this time after the caller was told to return, which covers a new
    /// connection and a busy caller.
    const GRACE_DURATION: Duration = Duration::from_millis(250);
    /// A caller whose timer is early is recognised up to this long before its time.
    const EARLY_TOLERANCE: Duration = Duration::from_millis(5);
    /// Stated deadlines of the two attempts may differ by this much, for the time on the way and
    /// the rounding of both statements.
    const DEADLINE_TOLERANCE: Duration = Duration::from_millis(25);
    /// Distance of the times of two classes.
    const MIN_GAP: Duration = Duration::from_micros(1);

    /// Promises room at a time from `earliest` to `latest` at least `spacing` away from those of
    /// the same class, starting the search at `from`. Returns `None` if there is none.
    pub fn promise(
        &mut self,
        request: RefusedRequest,
        (earliest, from, latest): (MonoTime, MonoTime, MonoTime),
        spacing: Duration,
    ) -> Option<MonoTime> {
        if self.promises.len() >= Self::MAX_PROMISES || latest < earliest {
            return None;
        }
        let time = self
            .free_time(request.priority, (from, latest), spacing)
            .or_else(|| self.free_time(request.priority, (earliest, from), spacing))?;
        self.promises.insert(time, request);
        Some(time)
    }

    /// Returns `true` and spends the promise if a request is the return of a refused one.
    pub fn redeem(&mut self, request: &RefusedRequest, now: MonoTime) -> bool {
        self.expire(now);
        let latest = now.after(Self::EARLY_TOLERANCE);
        let due = self.promises.range(..=latest);
        let found = due.clone().find(|(_, promise)| Self::is_return(promise, request));
        let Some(time) = found.map(|(time, _)| *time) else { return false };
        self.promises.remove(&time);
        true
    }

    /// Returns the number of outstanding promises.
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    fn is_return(promise: &RefusedRequest, request: &RefusedRequest) -> bool {
        let is_same_deadline = match (promise.stated_deadline, request.stated_deadline) {
            (Some(first), Some(second)) => {
                let difference = first.since(second).max(second.since(first));
                difference <= Self::DEADLINE_TOLERANCE
            }
            (None, None) => true,
            _ => false,
        };
        is_same_deadline && promise.account == request.account && promise.route == request.route
    }

    /// Returns the first time in an interval that is far enough from the other promises.
    fn free_time(
        &self,
        priority: Priority,
        (from, until): (MonoTime, MonoTime),
        spacing: Duration,
    ) -> Option<MonoTime> {
        let mut time = from;
        let margin_micros = u64::try_from(spacing.as_micros()).unwrap_or(u64::MAX);
        let first = MonoTime::from_micros(from.as_micros().saturating_sub(margin_micros));
        for (taken, promise) in self.promises.range(first..) {
            let gap = if promise.priority == priority { spacing } else { Self::MIN_GAP };
            if taken.since(time).max(time.since(*taken)) < gap {
                time = taken.after(gap);
            }
            if time > until {
                return None;
            }
        }
        (time <= until).then_some(time)
    }

    /// Drops the promises whose callers did not return.
    fn expire(&mut self, now: MonoTime) {
        while let Some((time, _)) = self.promises.first_key_value()
            && now > time.after(Self::GRACE_DURATION)
        {
            self.promises.pop_first();
        }
    }
}
