use std::time::Duration;

use cuminarch_types::MonoTime;

/// Token bucket that limits the rate of calls to the platform.
#[derive(Clone, Debug)]
pub struct CallLimiter {
    tokens: f64,
    burst: f64,
    per_second: f64,
    filled_at: MonoTime,
}

impl CallLimiter {
    /// Creates a full bucket.
    pub const fn new(per_second: f64, burst: f64, now: MonoTime) -> Self {
        Self { tokens: burst, burst, per_second, filled_at: now }
    }

    /// Changes the rate and discards tokens above the new burst.
    pub fn set_rate(&mut self, per_second: f64, burst: f64, now: MonoTime) {
        self.fill(now);
        self.per_second = per_second;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes a token. Returns `false` if the bucket is empty.
    pub fn take(&mut self, now: MonoTime) -> bool {
        self.fill(now);
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }

    fn fill(&mut self, now: MonoTime) {
        let passed: Duration = now.since(self.filled_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.per_second).min(self.burst);
        self.filled_at = now;
    }
}
