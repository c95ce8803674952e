use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Fault;

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScheduledFault {
    /// When it begins, after the start of the callers.
    pub start_offset: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What it is.
    pub fault: Fault,
}

/// All faults of a run, in order; given by a seed alone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// The seed.
    pub seed: u64,
    /// Time in which callers send requests.
    pub duration: Duration,
    /// The faults.
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Faults that begin in each second, so that several overlap at most times.
    const FAULTS_PER_SECOND: u64 = 2;
    /// Shortest and longest time that a fault lasts, in milliseconds.
    const DURATION_RANGE_MS: (u64, u64) = (100, 2_500);

    /// Draws the faults of a run of this length.
    #[must_use]
    pub fn from_seed(seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
        let count = (length.as_secs() * Self::FAULTS_PER_SECOND).max(1);
        let (shortest, longest) = Self::DURATION_RANGE_MS;
        let mut steps: Vec<ScheduledFault> = (0..count)
            .map(|_| ScheduledFault {
                start_offset: Duration::from_millis(rng.random_range(0..length_ms)),
                duration: Duration::from_millis(rng.random_range(shortest..longest)),
                fault: Fault::random(&mut rng),
            })
            .collect();
        steps.sort_by_key(|step| step.start_offset);
        Self { seed, duration: length, faults: steps }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}, {} s", self.seed, self.duration.as_secs())?;
        for step in &self.faults {
            let (at, lasts) = (step.start_offset.as_secs_f64(), step.duration.as_secs_f64());
            writeln!(formatter, "  {at:6.3} s for {lasts:.3} s: {}", step.fault)?;
        }
        Ok(())
    }
}
