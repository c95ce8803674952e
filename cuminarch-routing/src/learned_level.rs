use std::time::Duration;

use cuminarch_types::{MonoTime, Rank};

/// An admission level that an answer carried back.
///
/// It holds for a moment and then sinks to nothing, so that requests are let
/// through as probes when no answer confirms it any more.
#[derive(Clone, Copy, Debug, Default)]
pub struct LearnedLevel {
    level: Rank,
    noted: MonoTime,
}

impl LearnedLevel {
    /// Time for which the level holds unchanged.
    pub const HOLD: Duration = Duration::from_millis(300);
    /// Time after that in which it sinks to nothing.
    pub const DECAY: Duration = Duration::from_millis(700);

    /// A level learned now.
    #[must_use]
    pub const fn new(level: Rank, noted: MonoTime) -> Self {
        Self { level, noted }
    }

    /// What is left of it.
    #[must_use]
    pub fn at(&self, now: MonoTime) -> Rank {
        let age = now.since(self.noted);
        if age <= Self::HOLD {
            return self.level;
        }
        let left = Self::DECAY.saturating_sub(age - Self::HOLD);
        let scaled = u128::from(self.level.get()) * left.as_micros() / Self::DECAY.as_micros();
        Rank::new(u16::try_from(scaled).unwrap_or(u16::MAX))
    }
}
