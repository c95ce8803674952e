use std::time::Duration;

use cuminarch_types::MonoTime;

use crate::level_times::TimesByLevel;

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
    /// Recent mean of all run times relative to the usual ones, as a natural logarithm.
    pace_ln: f64,
    pace_updated_at: MonoTime,
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
    /// Busy windows in which the levels far below are tried.
    const SEARCH_WINDOWS: u32 = 48;
    /// Busy windows after which they are tried again.
    const SEARCH_INTERVAL_WINDOWS: u32 = 900;
    /// One of this many windows tries another level, during the search and later.
    const PROBE_INTERVALS: (u32, u32) = (4, 16);
    /// Distances of the levels that are tried, in turn.
    const SEARCH_STEPS: [i32; 6] = [-4, 1, -2, -5, -1, -3];
    const LOCAL_STEPS: [i32; 2] = [1, -1];
    /// Windows between two evaluations.
    const WINDOWS_PER_EVALUATION: u32 = 4;
    /// Fraction of the samples that an evaluation leaves to the next one.
    const RETAINED_FRACTION: f64 = 0.95;
    /// Throughput that another limit has to gain, as a natural logarithm.
    const MIN_GAIN_LN: f64 = 0.02;
    const PACE_WINDOW: Duration = Duration::from_secs(1);
    /// Bound of one sample, so that a disturbance of a moment does not outweigh the rest.
    const MAX_EXCESS_LN: f64 = 1.5;

    /// Creates an estimator for an upstream with this many slots.
    #[must_use]
    pub fn new(slots: u32, initial_limit: u32) -> Self {
        let mut estimator = Self {
            slots: slots.max(1),
            level: 1,
            times: TimesByLevel::default(),
            pace_ln: 0.0,
            pace_updated_at: MonoTime::ZERO,
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
    pub fn record(&mut self, concurrency: u32, excess_ln: f64, now: MonoTime) {
        let elapsed_s = now.since(self.pace_updated_at).as_secs_f64();
        self.pace_updated_at = now;
        let weight = (elapsed_s / Self::PACE_WINDOW.as_secs_f64()).min(1.0);
        self.pace_ln += (excess_ln - self.pace_ln) * weight;
        let sample_ln =
            (excess_ln - self.pace_ln).clamp(-Self::MAX_EXCESS_LN, Self::MAX_EXCESS_LN);
        self.times.record(self.level_of(concurrency), sample_ln);
    }

    /// Starts the next window if the current one is over. Returns `true` if the learned limit
    /// changed.
    pub fn advance(&mut self, holding_time: Duration, now: MonoTime) -> bool {
        if now.since(self.window.started_at) < holding_time.max(Self::MIN_WINDOW) {
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
        let highest = self.times.highest_known().unwrap_or(0).max(self.level);
        let best = match self.times.knee() {
            Some(knee) => {
                let gain_ln = self.ln_limit(knee.level) + knee.slowdown_ln - self.ln_limit(highest);
                if gain_ln > Self::MIN_GAIN_LN { knee.level } else { highest }
            }
            None => highest,
        };
        self.times.fade(Self::RETAINED_FRACTION);
        match best.cmp(&self.level) {
            std::cmp::Ordering::Less => {
                self.level = best;
                self.busy_window_count = self.busy_window_count.max(Self::SEARCH_WINDOWS);
            }
            std::cmp::Ordering::Greater => self.level += 1,
            std::cmp::Ordering::Equal => {}
        }
    }

    fn level_to_probe(&self, number: u32) -> Option<u32> {
        let (search_interval, later_interval) = Self::PROBE_INTERVALS;
        let is_searching = self.busy_window_count < Self::SEARCH_WINDOWS;
        let interval = if is_searching { search_interval } else { later_interval };
        if !number.is_multiple_of(interval) {
            return None;
        }
        let turn = (number / interval) as usize;
        let steps = if is_searching { Self::SEARCH_STEPS.as_slice() } else { &Self::LOCAL_STEPS };
        let level = self.level.saturating_add_signed(steps[turn % steps.len()]);
        (level >= 1 && level <= self.step_count() && level != self.level).then_some(level)
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
