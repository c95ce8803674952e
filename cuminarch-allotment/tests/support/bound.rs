use cuminarch_types::{Allotment, MonoTime};

/// One token bucket over all nodes. Fed with all requests it is the reference for what is allowed;
/// fed with the granted ones, starting full, it is negative if and only if some window has more
/// than rate x window + burst.
#[derive(Clone, Debug)]
pub struct OneBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    at: MonoTime,
}

impl OneBucket {
    pub fn full(limit: Allotment) -> Self {
        let burst = f64::from(limit.burst_requests);
        Self { rate_per_s: limit.rate.get(), burst, level: burst, at: MonoTime::ZERO }
    }

    /// Returns one of `count` equal parts. A part of less than a token could grant nothing, so each
    /// has one, although their sum then exceeds the burst.
    pub fn part(limit: Allotment, count: usize) -> Self {
        let burst = (f64::from(limit.burst_requests) / count as f64).max(1.0);
        let rate_per_s = limit.rate.get() / count as f64;
        Self { rate_per_s, burst, level: burst, at: MonoTime::ZERO }
    }

    /// Returns the level after a refill.
    pub fn level(&mut self, now: MonoTime) -> f64 {
        let gained = now.since(self.at).as_secs_f64() * self.rate_per_s;
        self.level = (self.level + gained).min(self.burst);
        self.at = now;
        self.level
    }

    /// Takes a token if there is one.
    pub fn try_take(&mut self, now: MonoTime) -> bool {
        let has_token = self.level(now) >= 1.0 - 1e-6;
        if has_token {
            self.level -= 1.0;
        }
        has_token
    }

    /// Takes a token; returns whether the bound still holds.
    pub fn spend(&mut self, now: MonoTime) -> bool {
        self.level(now);
        self.level -= 1.0;
        self.level >= -1e-6
    }

    /// Applies a limit from now on.
    pub fn set_limit(&mut self, limit: Allotment, now: MonoTime) {
        self.level(now);
        self.rate_per_s = limit.rate.get();
        self.burst = f64::from(limit.burst_requests);
        self.level = self.level.min(self.burst);
    }
}
