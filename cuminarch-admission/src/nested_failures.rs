use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{MonoTime, RouteName, ServiceName};

use crate::ServiceShortage;

/// Estimates the shortage of downstream services from the nested calls that got no answer.
///
/// The load it answers: the room of a service shrinks at once, because a zone is cut off or its
/// endpoints turn calls away. Endpoints that cannot be reached report no shortage, and a request
/// whose nested call fails was run for nothing. The fraction of failed calls is shed in addition to
/// what is shed already; without failures it is released in growing steps.
#[derive(Clone, Debug, Default)]
pub struct NestedFailures {
    routes: BTreeMap<RouteName, RouteFailures>,
}

#[derive(Clone, Debug)]
struct RouteFailures {
    service: ServiceName,
    window_started_at: MonoTime,
    ended: u32,
    failed: u32,
    /// Fraction to shed.
    shed: f64,
    /// Time of the last increase.
    raised_at: MonoTime,
    /// Fraction to release after the next window without failures.
    release_step: f64,
    /// Smoothed time of a call that was answered.
    call_time: Duration,
}

impl NestedFailures {
    /// Two windows pass within the half second in which a failure has to count.
    const WINDOW: Duration = Duration::from_millis(200);
    /// After an increase, the failures of this time may stem from requests admitted before it: the
    /// time of a report up the chain and of a request down it.
    const REACTION_TIME: Duration = Duration::from_millis(1_000);
    /// Minimum number of calls in a window for a meaningful fraction.
    const MIN_WINDOW_CALLS: u32 = 16;
    /// Below this fraction failed there is no shortage, because the next attempts succeed.
    const MIN_FAILED_FRACTION: f64 = 0.05;
    /// Below this fraction failed, some of what is shed is released.
    const MAX_CLEAN_FRACTION: f64 = 0.01;
    /// Part of the remaining load that is shed beyond the failed fraction, so that the releases
    /// that probe for room stay within the room for some windows.
    const MARGIN: f64 = 0.05;
    const MIN_RELEASE_STEP: f64 = 0.005;
    const RELEASE_GROWTH: f64 = 1.5;
    /// Maximum shed fraction, so that some requests remain to show recovery.
    const MAX_SHED: f64 = 0.9;
    /// Weight of a call in the smoothed time.
    const CALL_TIME_WEIGHT: f64 = 0.1;

    /// Creates an estimate of no shortage.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the end of a nested call on `route` to `service`; `call_time` is `None` if it got no
    /// answer.
    pub fn record_end(
        &mut self,
        route: &RouteName,
        service: &ServiceName,
        call_time: Option<Duration>,
        now: MonoTime,
    ) {
        let failures = self.routes.entry(route.clone()).or_insert_with(|| RouteFailures {
            service: service.clone(),
            window_started_at: now,
            ended: 0,
            failed: 0,
            shed: 0.0,
            raised_at: MonoTime::ZERO,
            release_step: Self::MIN_RELEASE_STEP,
            call_time: Duration::ZERO,
        });
        failures.advance(now);
        failures.ended = failures.ended.saturating_add(1);
        match call_time {
            Some(call_time) => failures.record_call_time(call_time),
            None => failures.failed = failures.failed.saturating_add(1),
        }
    }

    /// Returns the shortage behind a route, if there is one.
    #[must_use]
    pub fn shortage(&self, route: &RouteName, now: MonoTime) -> Option<ServiceShortage> {
        let failures = self.routes.get(route).filter(|failures| failures.shed > 0.0)?;
        Some(ServiceShortage {
            service: failures.service.clone(),
            shed_milli: failures.shed * 1_000.0,
            noted_at: now,
            call_cost: failures.call_time,
        })
    }
}

impl RouteFailures {
    /// Closes the window if it is over.
    fn advance(&mut self, now: MonoTime) {
        let age = now.since(self.window_started_at);
        if age < NestedFailures::WINDOW {
            return;
        }
        let failed_fraction = f64::from(self.failed) / f64::from(self.ended.max(1));
        if failed_fraction >= NestedFailures::MIN_FAILED_FRACTION {
            if self.ended < NestedFailures::MIN_WINDOW_CALLS {
                return;
            }
            self.raise(failed_fraction, now);
        } else if failed_fraction >= NestedFailures::MAX_CLEAN_FRACTION {
            self.release_step = NestedFailures::MIN_RELEASE_STEP;
        } else {
            let windows = age.as_secs_f64() / NestedFailures::WINDOW.as_secs_f64();
            self.release(windows);
        }
        self.window_started_at = now;
        self.ended = 0;
        self.failed = 0;
    }

    fn raise(&mut self, failed_fraction: f64, now: MonoTime) {
        self.release_step = NestedFailures::MIN_RELEASE_STEP;
        if now.since(self.raised_at) < NestedFailures::REACTION_TIME {
            return;
        }
        self.raised_at = now;
        let kept = (1.0 - self.shed) * (1.0 - failed_fraction) * (1.0 - NestedFailures::MARGIN);
        self.shed = (1.0 - kept).min(NestedFailures::MAX_SHED);
    }

    fn release(&mut self, windows: f64) {
        self.shed = (self.shed - self.release_step * windows).max(0.0);
        self.release_step *= NestedFailures::RELEASE_GROWTH;
        if self.shed <= 0.0 {
            self.release_step = NestedFailures::MIN_RELEASE_STEP;
        }
    }

    fn record_call_time(&mut self, call_time: Duration) {
        let weight = if self.call_time.is_zero() { 1.0 } else { NestedFailures::CALL_TIME_WEIGHT };
        self.call_time = self.call_time.mul_f64(1.0 - weight) + call_time.mul_f64(weight);
    }
}
