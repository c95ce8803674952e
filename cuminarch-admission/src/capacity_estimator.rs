use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::MonoTime;

use crate::level_times::{RunSum, TimesByLevel};

/// Learns up to which concurrency an upstream gains throughput.
///
/// While more requests come than the limit lets in, a small part of the time runs with another
/// limit, lower or by one step higher. Because the limit decides the concurrency and changes at
/// fixed times, a disturbance of the upstream affects all limits alike; without excess requests the
/// concurrency follows from the speed of the upstream, and comparing run times would mistake a slow
/// moment for a limit.
#[derive(Clone, Debug)]
pub struct CapacityEstimator {
    slots: u32,
    /// Level of the learned limit.
    level: u32,
    times: TimesByLevel,
    /// Runs since the last evaluation, by level.
    runs: BTreeMap<u32, RunSum>,
    window: Window,
    /// Windows with excess requests since the last knee or restart.
    busy_window_count: u32,
}

/// A time with one limit.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    number: u32,
    started_at: MonoTime,
    /// Level to try instead of the learned one.
    probed_level: Option<u32>,
    /// Whether the limit has kept a request waiting.
    is_busy: bool,
}

impl CapacityEstimator {
    /// Steps between no request and all slots.
    const STEPS: u32 = 20;
    const MIN_WINDOW: Duration = Duration::from_millis(100);
    /// Length of a window of longer runs: those above a lower limit have to end first.
    const WINDOW_RUN_TIMES: f64 = 0.75;
    /// Busy windows in which the levels far below are tried.
    const SEARCH_WINDOWS: u32 = 48;
    /// Busy windows after which they are tried again.
    const SEARCH_INTERVAL_WINDOWS: u32 = 900;
    /// One of this many windows tries another level, during the search and later.
    const PROBE_INTERVALS: (u32, u32) = (4, 16);
    /// Distances of the levels that are tried, in turn; the second one only until it is known. A knee that is found far below is approached
    /// from there.
    const SEARCH_STEPS: [i32; 2] = [-4, 1];
    const LOCAL_STEPS: [i32; 2] = [1, -1];
    /// Windows between two evaluations.
    const WINDOWS_PER_EVALUATION: u32 = 4;
    /// Fraction of the samples that an evaluation leaves to the next one.
    const RETAINED_FRACTION: f64 = 0.97;
    /// Throughput that concurrency above a knee has to gain, as a natural logarithm, because it
    /// lengthens all runs.
    const MIN_GAIN_ABOVE_KNEE_LN: f64 = 0.05;
    /// Bound of one run, so that a single long one does not outweigh the others.
    const MAX_EXCESS_LN: f64 = 1.5;

    /// Creates an estimator for an upstream with this many slots.
    #[must_use]
    pub fn new(slots: u32, initial_limit: u32) -> Self {
        let mut estimator = Self {
            slots: slots.max(1),
            level: 1,
            times: TimesByLevel::default(),
            runs: BTreeMap::new(),
            window: Window::default(),
            busy_window_count: 0,
        };
        estimator.level = estimator.level_of(initial_limit);
        estimator
    }

    /// Returns the slots that the upstream states.
    #[must_use]
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the learned limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit_at(self.level)
    }

    /// Returns the limit to apply now.
    #[must_use]
    pub fn applied_limit(&self) -> u32 {
        self.window.probed_level.map_or_else(|| self.limit(), |level| self.limit_at(level))
    }

    /// Returns the fraction of the evidence that a search needs, in thousandths.
    #[must_use]
    pub fn confidence_milli(&self) -> u32 {
        self.busy_window_count.min(Self::SEARCH_WINDOWS) * 1_000 / Self::SEARCH_WINDOWS
    }

    /// Records that the limit keeps a request waiting.
    pub const fn record_excess(&mut self) {
        self.window.is_busy = true;
    }

    /// Returns `true` while the limit keeps requests waiting, so that it determines the
    /// concurrency.
    #[must_use]
    pub const fn is_busy(&self) -> bool {
        self.window.is_busy
    }

    /// Records a run that started with this concurrency while the limit kept others waiting.
    pub fn record(&mut self, concurrency: u32, excess_ln: f64) {
        let sample_ln = excess_ln.clamp(-Self::MAX_EXCESS_LN, Self::MAX_EXCESS_LN);
        self.runs.entry(self.level_of(concurrency)).or_default().add(sample_ln);
    }

    /// Starts the next window if the current one is over. Returns `true` if the learned limit
    /// changed.
    pub fn advance(&mut self, holding_time: Duration, now: MonoTime) -> bool {
        if now.since(self.window.started_at)
            < holding_time.mul_f64(Self::WINDOW_RUN_TIMES).max(Self::MIN_WINDOW)
        {
            return false;
        }
        let is_busy = self.window.is_busy;
        let number = self.window.number + u32::from(is_busy);
        self.window = Window { number, started_at: now, probed_level: None, is_busy: false };
        if !is_busy {
            return false;
        }
        self.busy_window_count += 1;
        if self.busy_window_count >= Self::SEARCH_INTERVAL_WINDOWS {
            self.busy_window_count = 0;
        }
        let previous = self.level;
        if number.is_multiple_of(Self::WINDOWS_PER_EVALUATION) {
            self.evaluate();
        }
        self.window.probed_level = self.level_to_probe(number);
        self.level != previous
    }

    fn evaluate(&mut self) {
        let mut runs = std::mem::take(&mut self.runs);
        let Some(own_runs) = runs.remove(&self.level) else { return };
        for (level, probe_runs) in runs {
            self.times.record(level, probe_runs, self.level, own_runs);
        }
        self.times.fade(Self::RETAINED_FRACTION);
        if let Some(level) = self.level_before_knee() {
            self.level = level;
            self.busy_window_count = self.busy_window_count.max(Self::SEARCH_WINDOWS);
        } else if self.times.may_rise(self.level) {
            self.level += 1;
        }
    }

    /// Returns the level of a knee below the current one, unless the concurrency above it gains
    /// throughput.
    fn level_before_knee(&self) -> Option<u32> {
        let knee = self.times.knee().filter(|knee| knee.level < self.level)?;
        let more_ln = self.ln_limit(self.level) - self.ln_limit(knee.level);
        let gain_ln = more_ln - knee.slowdown_ln;
        (gain_ln < Self::MIN_GAIN_ABOVE_KNEE_LN).then_some(knee.level)
    }

    fn level_to_probe(&self, number: u32) -> Option<u32> {
        let (frequent, rare) = Self::PROBE_INTERVALS;
        let is_unknown = |step: &i32| {
            let level = self.level.saturating_add_signed(*step);
            self.is_level(level) && !self.times.is_known(level)
        };
        let unknown_steps: Vec<i32> = Self::LOCAL_STEPS.into_iter().filter(is_unknown).collect();
        let (interval, steps) = if self.busy_window_count < Self::SEARCH_WINDOWS {
            let is_next_unknown = unknown_steps.contains(&1);
            (
                frequent,
                if is_next_unknown { &Self::SEARCH_STEPS[..] } else { &Self::SEARCH_STEPS[..1] },
            )
        } else if !unknown_steps.is_empty() {
            (frequent, unknown_steps.as_slice())
        } else {
            (rare, Self::LOCAL_STEPS.as_slice())
        };
        if !number.is_multiple_of(interval) {
            return None;
        }
        let turn = (number / interval) as usize;
        let level = self.level.saturating_add_signed(steps[turn % steps.len()]);
        self.is_level(level).then_some(level)
    }

    fn is_level(&self, level: u32) -> bool {
        (1..=self.step_count()).contains(&level)
    }

    fn ln_limit(&self, level: u32) -> f64 {
        f64::from(self.limit_at(level)).ln()
    }

    fn step_count(&self) -> u32 {
        self.slots.min(Self::STEPS)
    }

    fn level_of(&self, concurrency: u32) -> u32 {
        (concurrency * self.step_count()).div_ceil(self.slots).clamp(1, self.step_count())
    }

    fn limit_at(&self, level: u32) -> u32 {
        (self.slots * level / self.step_count()).max(1)
    }
}
