use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cuminarch_platform::Clock;
use cuminarch_types::MonoTime;

/// Clock that moves only when told to, or by its waits, which take no real time.
#[derive(Debug, Default)]
pub struct ManualClock {
    micros: AtomicU64,
}

impl ManualClock {
    /// A clock at zero.
    #[must_use]
    pub const fn new() -> Self {
        Self { micros: AtomicU64::new(0) }
    }

    /// Moves the clock on.
    pub fn advance(&self, span: Duration) {
        let span_us = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.micros.fetch_add(span_us, Ordering::Relaxed);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> MonoTime {
        MonoTime::from_micros(self.micros.load(Ordering::Relaxed))
    }

    fn sleep(&self, span: Duration) {
        self.advance(span);
    }
}
