use cuminarch_types::MonoTime;

const INTERVAL_MICROS: u64 = 1_000_000;

/// Rate of events over the last one to two seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Meter {
    started_at: MonoTime,
    current: u64,
    previous: u64,
}

impl Meter {
    pub(crate) const fn add(&mut self, events: u32, now: MonoTime) {
        self.roll(now);
        self.current += events as u64;
    }

    /// Returns the rate in thousandths of an event per second.
    pub(crate) const fn rate_milli(&mut self, now: MonoTime) -> u64 {
        self.roll(now);
        let passed = now.as_micros().saturating_sub(self.started_at.as_micros());
        let weighed = self.previous * (INTERVAL_MICROS - passed) / 1_000;
        (self.current * (INTERVAL_MICROS / 1_000) + weighed) * 1_000_000 / INTERVAL_MICROS
    }

    const fn roll(&mut self, now: MonoTime) {
        let passed = now.as_micros().saturating_sub(self.started_at.as_micros());
        if passed < INTERVAL_MICROS {
            return;
        }
        self.previous = if passed < 2 * INTERVAL_MICROS { self.current } else { 0 };
        self.current = 0;
        self.started_at = MonoTime::from_micros(
            self.started_at.as_micros() + passed / INTERVAL_MICROS * INTERVAL_MICROS,
        );
    }
}
