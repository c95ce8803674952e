use std::time::Duration;

use cuminarch_types::{ConcurrencyLimit, MonoTime};

/// Part of an endpoint's load that has to be kept away for the rest to fit.
///
/// Answers the load of a surge that lasts: from window to window the offered
/// work is compared with what the slots can do, the requests that already stay
/// away taken into account. It rises and falls by a part of the difference, so
/// that senders which hear of it late do not make it swing.
#[derive(Clone, Debug)]
pub struct Shortage {
    since: MonoTime,
    offered: Duration,
    milli: u32,
}

impl Shortage {
    /// Length of a window; long enough for some dozen requests of a small endpoint.
    const WINDOW: Duration = Duration::from_millis(100);
    /// Part of its slots that an endpoint can use at most, as work comes unevenly.
    const USABLE_MILLI: u64 = 960;
    /// Time in which a backlog is to be worked off.
    const BACKLOG_TIME: Duration = Duration::from_millis(300);
    /// Part of the difference that one window leaves to the next.
    const KEPT: f64 = 0.75;
    /// Value below which a falling shortage is over, in thousandths.
    const LEAST_MILLI: f64 = 4.0;
    /// Most that is ever kept away, so that some requests go on to show recovery.
    const MOST_MILLI: u32 = 950;

    /// No shortage.
    pub const fn new() -> Self {
        Self { since: MonoTime::ZERO, offered: Duration::ZERO, milli: 0 }
    }

    /// Notes work that a request brings.
    pub fn offered(&mut self, holding: Duration) {
        self.offered += holding;
    }

    /// The part in thousandths.
    pub fn milli(&self) -> u16 {
        u16::try_from(self.milli).unwrap_or(u16::MAX)
    }

    /// Adapts the value if the window is over.
    pub fn advance(&mut self, capacity: ConcurrencyLimit, backlog: Duration, now: MonoTime) {
        let age = now.since(self.since);
        if age < Self::WINDOW {
            return;
        }
        let slots = u128::from(capacity.get().max(1));
        let able_us = (age.as_micros() * slots).max(1);
        let drained_us = backlog.as_micros() * age.as_micros() / Self::BACKLOG_TIME.as_micros();
        let asked_us = self.offered.as_micros() + drained_us;
        let load_milli = u64::try_from(asked_us * 1_000 / able_us).unwrap_or(u64::MAX).max(1);
        let passed_milli = u64::from(1_000 - self.milli);
        let fitting_milli = passed_milli * Self::USABLE_MILLI / load_milli;
        let wanted = 1_000_u64.saturating_sub(fitting_milli).min(u64::from(Self::MOST_MILLI));
        // Without calls nothing advances the value, so one call may end many windows.
        let windows = age.as_secs_f64() / Self::WINDOW.as_secs_f64();
        let difference = wanted as f64 - f64::from(self.milli);
        let moved = wanted as f64 - difference * Self::KEPT.powf(windows);
        let is_over = moved < Self::LEAST_MILLI && difference < 0.0;
        self.milli = if is_over { 0 } else { moved as u32 };
        self.since = now;
        self.offered = Duration::ZERO;
    }
}
