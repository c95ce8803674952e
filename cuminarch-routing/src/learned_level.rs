use std::time::Duration;

use cuminarch_types::{MonoTime, Rank};

/// An admission level that an answer carried back.
///
/// It holds for a moment and then sinks to nothing, so that requests are let
/// through as probes when no answer confirms it any more. Its age travels with
/// it from node to node, so that passing it on does not keep it alive.
#[derive(Clone, Copy, Debug, Default)]
pub struct LearnedLevel {
    level: Rank,
    observed_at: MonoTime,
}

impl LearnedLevel {
    /// Time for which the level holds unchanged.
    pub const HOLD: Duration = Duration::from_millis(300);
    /// Time after that in which it sinks to nothing.
    pub const DECAY: Duration = Duration::from_millis(700);

    /// A level that was in force at `noted`.
    #[must_use]
    pub const fn new(level: Rank, noted: MonoTime) -> Self {
        Self { level, observed_at: noted }
    }

    /// A level that was in force `age_ms` milliseconds ago.
    #[must_use]
    pub const fn from_age(level: Rank, age_ms: u32, now: MonoTime) -> Self {
        let age_us = age_ms as u64 * 1_000;
        Self::new(level, MonoTime::from_micros(now.as_micros().saturating_sub(age_us)))
    }

    /// The level as it was noted.
    #[must_use]
    pub const fn level(&self) -> Rank {
        self.level
    }

    /// Time since the level was in force, in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: MonoTime) -> u32 {
        u32::try_from(now.since(self.observed_at).as_millis()).unwrap_or(u32::MAX)
    }

    /// What is left of it.
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

    /// The one of which more is left.
    #[must_use]
    pub fn higher(self, other: Self, now: MonoTime) -> Self {
        if other.effective(now) > self.effective(now) { other } else { self }
    }
}
