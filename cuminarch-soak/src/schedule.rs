use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Fault;

/// A fault with its time in a schedule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ScheduledFault {
    /// Time from the start of the callers to the start of the fault.
    pub start_offset: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// All faults of a run, in order; determined by seed and duration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Schedule {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time during which callers send requests.
    pub duration: Duration,
    /// The faults.
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Faults that begin in each second; usually several overlap.
    const FAULTS_PER_SECOND: u64 = 2;
    /// Minimum and maximum duration of a fault.
    const DURATION_RANGE_MS: (u64, u64) = (100, 2_500);

    /// Creates the schedule of a run of this duration.
    #[must_use]
    pub fn from_seed(seed: u64, duration: Duration) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX).max(1);
        let count = (duration.as_secs() * Self::FAULTS_PER_SECOND).max(1);
        let (min_ms, max_ms) = Self::DURATION_RANGE_MS;
        let mut faults: Vec<ScheduledFault> = (0..count)
            .map(|_| ScheduledFault {
                start_offset: Duration::from_millis(rng.random_range(0..duration_ms)),
                duration: Duration::from_millis(rng.random_range(min_ms..max_ms)),
                fault: Fault::random(&mut rng),
            })
            .collect();
        faults.sort_by_key(|scheduled| scheduled.start_offset);
        Self { seed, duration, faults }
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}, {} s", self.seed, self.duration.as_secs())?;
        for scheduled in &self.faults {
            let (start_s, duration_s) =
                (scheduled.start_offset.as_secs_f64(), scheduled.duration.as_secs_f64());
            writeln!(formatter, "  {start_s:6.3} s for {duration_s:.3} s: {}", scheduled.fault)?;
        }
        Ok(())
    }
}
