use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Fault;

/// One fault of a schedule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Step {
    /// When it begins, after the start of the callers.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// All faults of a run, in order; given by a seed alone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// The seed.
    pub seed: u64,
    /// Time in which callers send requests.
    pub length: Duration,
    /// The faults.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Faults that begin in each second, so that several overlap at most times.
    const FAULTS_PER_SECOND: u64 = 2;
    /// Shortest and longest time that a fault lasts, in milliseconds.
    const LASTS_MS: (u64, u64) = (100, 2_500);

    /// Draws the faults of a run of this length.
    #[must_use]
    pub fn from_seed(seed: u64, length: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX).max(1);
        let count = (length.as_secs() * Self::FAULTS_PER_SECOND).max(1);
        let (shortest, longest) = Self::LASTS_MS;
        let mut steps: Vec<Step> = (0..count)
            .map(|_| Step {
                at: Duration::from_millis(rng.random_range(0..length_ms)),
                lasts: Duration::from_millis(rng.random_range(shortest..longest)),
                fault: Fault::random(&mut rng),
            })
            .collect();
        steps.sort_by_key(|step| step.at);
        Self { seed, length, steps }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}, {} s", self.seed, self.length.as_secs())?;
        for step in &self.steps {
            let (at, lasts) = (step.at.as_secs_f64(), step.lasts.as_secs_f64());
            writeln!(formatter, "  {at:6.3} s for {lasts:.3} s: {}", step.fault)?;
        }
        Ok(())
    }
}
