use std::collections::BTreeMap;

/// Run times at one level of concurrency, relative to what is usual.
#[derive(Clone, Copy, Debug, Default)]
struct LevelTimes {
    weight: f64,
    /// Mean logarithm, relative to the first level that was known.
    mean_ln: f64,
    /// Sum of the squared distances from the mean.
    squares: f64,
}

/// A level above which runs take longer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Knee {
    /// Last level before runs take longer.
    pub level: u32,
    /// By how much they do, as a natural logarithm.
    pub slowdown_ln: f64,
}

/// Logarithms of run times, summed up.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunSum {
    pub count: u32,
    pub sum_ln: f64,
    pub sum_squares: f64,
}

impl RunSum {
    /// Adds one run.
    pub fn add(&mut self, excess_ln: f64) {
        self.count += 1;
        self.sum_ln += excess_ln;
        self.sum_squares += excess_ln * excess_ln;
    }

    fn mean_ln(&self) -> Option<f64> {
        (self.count > 0).then(|| self.sum_ln / f64::from(self.count))
    }

    /// Returns the sum of the squared distances from the mean.
    fn squares(&self) -> f64 {
        let mean_ln = self.mean_ln().unwrap_or_default();
        (self.sum_squares - mean_ln * self.sum_ln).max(0.0)
    }
}

/// Run times by level of concurrency.
#[derive(Clone, Debug, Default)]
pub struct TimesByLevel {
    levels: BTreeMap<u32, LevelTimes>,
}

impl TimesByLevel {
    /// Bound of the difference of two groups of runs, for a disturbance that affects one of them.
    const MAX_DIFFERENCE_LN: f64 = 0.6;
    /// Weight that a level needs before the limit rises to it.
    const MIN_RISE_WEIGHT: f64 = 250.0;
    /// Slowdown of a level to which the limit does not rise, as a natural logarithm.
    const MAX_RISE_SLOWDOWN_LN: f64 = 0.1;
    /// Weight of a level below which it says nothing.
    const MIN_WEIGHT: f64 = 20.0;
    /// Multiple of its standard error that a slowdown has to exceed.
    const MIN_STANDARD_ERRORS: f64 = 4.0;
    /// Smallest slowdown that counts, as a natural logarithm.
    const MIN_SLOWDOWN_LN: f64 = 0.05;

    /// Records run times at one level together with those at another at about the same time.
    pub fn record(&mut self, level: u32, runs: RunSum, reference: u32, reference_runs: RunSum) {
        let (Some(mean_ln), Some(reference_mean_ln)) = (runs.mean_ln(), reference_runs.mean_ln())
        else {
            return;
        };
        let reference_ln = self.levels.get(&reference).map_or(0.0, |times| times.mean_ln);
        let difference_ln =
            (mean_ln - reference_mean_ln).clamp(-Self::MAX_DIFFERENCE_LN, Self::MAX_DIFFERENCE_LN);
        self.add(reference, reference_ln, reference_runs);
        self.add(level, reference_ln + difference_ln, runs);
    }

    fn add(&mut self, level: u32, mean_ln: f64, runs: RunSum) {
        let added = LevelTimes { weight: f64::from(runs.count), mean_ln, squares: runs.squares() };
        let times = self.levels.entry(level).or_default();
        *times = times.joined(&added);
    }

    /// Returns `true` if enough runs at this level are known to decide whether to rise to it.
    pub fn is_known(&self, level: u32) -> bool {
        self.levels.get(&level).is_some_and(|times| times.weight >= Self::MIN_RISE_WEIGHT)
    }

    /// Returns `true` if the next level is known not to be slower.
    pub fn may_rise(&self, level: u32) -> bool {
        let (Some(own), Some(above)) = (self.levels.get(&level), self.levels.get(&(level + 1)))
        else {
            return false;
        };
        self.is_known(level + 1) && above.mean_ln - own.mean_ln < Self::MAX_RISE_SLOWDOWN_LN
    }

    /// Lets old samples fade.
    pub fn fade(&mut self, retained_fraction: f64) {
        for times in self.levels.values_mut() {
            times.weight *= retained_fraction;
            times.squares *= retained_fraction;
        }
        self.levels.retain(|_, times| times.weight >= 1.0);
    }

    /// Returns the split of the levels at which the run times differ most, if they do with
    /// certainty.
    pub fn knee(&self) -> Option<Knee> {
        let total = self.known().fold(LevelTimes::default(), |sum, (_, times)| sum.joined(times));
        let mut below = LevelTimes::default();
        let mut best: Option<(f64, Knee)> = None;
        for (level, times) in self.known() {
            below = below.joined(times);
            let above = total.without(&below);
            if above.weight < Self::MIN_WEIGHT {
                break;
            }
            let slowdown_ln = above.mean_ln - below.mean_ln;
            let inverse_weights = 1.0 / below.weight + 1.0 / above.weight;
            let variance = (below.squares + above.squares.max(0.0)) / total.weight;
            let standard_error = (variance * inverse_weights).sqrt();
            let explained = slowdown_ln * slowdown_ln / inverse_weights;
            let is_certain = slowdown_ln > Self::MIN_SLOWDOWN_LN
                && slowdown_ln > standard_error * Self::MIN_STANDARD_ERRORS;
            if is_certain && best.is_none_or(|(most, _)| explained > most) {
                best = Some((explained, Knee { level, slowdown_ln }));
            }
        }
        best.map(|(_, knee)| knee)
    }

    fn known(&self) -> impl DoubleEndedIterator<Item = (u32, &LevelTimes)> {
        let levels = self.levels.iter().map(|(level, times)| (*level, times));
        levels.filter(|(_, times)| times.weight >= Self::MIN_WEIGHT)
    }
}

impl LevelTimes {
    fn joined(&self, other: &Self) -> Self {
        let weight = self.weight + other.weight;
        let distance = other.mean_ln - self.mean_ln;
        Self {
            weight,
            mean_ln: self.mean_ln + distance * other.weight / weight,
            squares: self.squares
                + other.squares
                + distance * distance * self.weight * other.weight / weight,
        }
    }

    /// Returns what is left of a joined one without a part of it.
    fn without(&self, part: &Self) -> Self {
        let weight = self.weight - part.weight;
        if weight <= 0.0 {
            return Self::default();
        }
        let mean_ln = (self.mean_ln * self.weight - part.mean_ln * part.weight) / weight;
        let distance = part.mean_ln - mean_ln;
        let between = distance * distance * part.weight * weight / self.weight;
        Self { weight, mean_ln, squares: self.squares - part.squares - between }
    }
}
