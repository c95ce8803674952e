use std::time::Duration;

use cuminarch_types::{MonoTime, Rank};

/// An admission level reported in an answer.
///
/// It holds for a moment and then decays to zero, to admit requests as probes if no answer confirms
/// it any more. Its age is forwarded from node to node, so that forwarding does not refresh it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LearnedLevel {
    level: Rank,
    observed_at: MonoTime,
}

impl LearnedLevel {
    /// Time for which the level stays unchanged.
    pub const HOLD: Duration = Duration::from_millis(300);
    /// Time after [`Self::HOLD`] in which it decays to zero.
    pub const DECAY: Duration = Duration::from_millis(700);

    /// Creates a level that was in force at `observed_at`.
    #[must_use]
    pub const fn new(level: Rank, noted: MonoTime) -> Self {
        Self { level, observed_at: noted }
    }

    /// Creates a level that was in force `age_ms` milliseconds ago.
    #[must_use]
    pub const fn from_age(level: Rank, age_ms: u32, now: MonoTime) -> Self {
        let age_us = age_ms as u64 * 1_000;
        Self::new(level, MonoTime::from_micros(now.as_micros().saturating_sub(age_us)))
    }

    /// Returns the level as it was observed, without decay.
    #[must_use]
    pub const fn level(&self) -> Rank {
        self.level
    }

    /// Returns the time since the level was in force, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: MonoTime) -> u32 {
        u32::try_from(now.since(self.observed_at).as_millis()).unwrap_or(u32::MAX)
    }

    /// Returns the level after its decay until `now`.
    #[must_use]
    pub fn effective(&self, now: MonoTime) -> Rank {
        let age = now.since(self.observed_at);
        if age <= Self::HOLD {
            return self.level;
        }
        let left = Self::DECAY.saturating_sub(age - Self::HOLD);
        let scaled = u128::from(self.level.get()) * left.as_micros() / Self::DECAY.as_micros();
        Rank::new(u16::try_from(scaled).unwrap_or(u16::MAX))
    }

    /// Returns the level that is higher after decay.
    #[must_use]
    pub fn higher(self, other: Self, now: MonoTime) -> Self {
        if other.effective(now) > self.effective(now) { other } else { self }
    }
}
