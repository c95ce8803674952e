use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{MonoTime, RouteName};

/// Bounds the requests in flight by route after the start of an entry node, while nothing is known
/// of the services behind it.
///
/// The load it answers: a surge begins right after the start. The bound grows with each request
/// that is served, as in the slow start of TCP, and shrinks when one fails behind the entry.
#[derive(Clone, Debug, Default)]
pub struct StartRamp {
    started_at: Option<MonoTime>,
    routes: BTreeMap<RouteName, RouteRamp>,
}

#[derive(Clone, Copy, Debug)]
struct RouteRamp {
    limit: f64,
    in_flight: u32,
}

impl StartRamp {
    /// By then the answers report the shortages of a surge that began with the start.
    const DURATION: Duration = Duration::from_secs(3);
    /// Enough for a route with ten requests a second that take 0.4 s.
    const INITIAL_LIMIT: f64 = 4.0;
    const MIN_LIMIT: f64 = 1.0;
    /// Factor of the limit for a request that failed.
    const FAILURE_FACTOR: f64 = 0.8;

    /// Creates a ramp that begins with the first request.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns `true` and counts a request if it may start.
    pub fn admit(&mut self, route: &RouteName, now: MonoTime) -> bool {
        if self.is_over(now) {
            self.routes.clear();
            return true;
        }
        self.started_at.get_or_insert(now);
        let ramp = self
            .routes
            .entry(route.clone())
            .or_insert(RouteRamp { limit: Self::INITIAL_LIMIT, in_flight: 0 });
        let is_admitted = f64::from(ramp.in_flight) < ramp.limit;
        ramp.in_flight += u32::from(is_admitted);
        is_admitted
    }

    /// Records the end of a request that was admitted.
    pub fn record_end(&mut self, route: &RouteName, is_served: bool) {
        let Some(ramp) = self.routes.get_mut(route) else { return };
        ramp.in_flight = ramp.in_flight.saturating_sub(1);
        ramp.limit = if is_served {
            ramp.limit + 1.0
        } else {
            (ramp.limit * Self::FAILURE_FACTOR).max(Self::MIN_LIMIT)
        };
    }

    fn is_over(&self, now: MonoTime) -> bool {
        self.started_at.is_some_and(|started_at| now.since(started_at) >= Self::DURATION)
    }
}
