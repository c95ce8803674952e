use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cuminarch_platform::Clock;
use cuminarch_types::MonoTime;

/// Virtual clock: it advances only by [`ManualClock::advance`] and by sleeps, which
/// return immediately.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_us: AtomicU64,
}

impl ManualClock {
    /// Creates a clock at zero.
    #[must_use]
    pub const fn new() -> Self {
        Self { now_us: AtomicU64::new(0) }
    }

    /// Advances the clock.
    pub fn advance(&self, span: Duration) {
        let span_us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.now_us.fetch_add(span_us, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> MonoTime {
        MonoTime::from_micros(self.now_us.load(Ordering::Relaxed))
    }

    fn sleep(&self, span: Duration) {
        self.advance(span);
    }
}
