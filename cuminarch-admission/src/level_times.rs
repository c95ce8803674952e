use std::collections::BTreeMap;

/// Run times at one level of concurrency, relative to what is usual.
#[derive(Clone, Copy, Debug, Default)]
struct LevelTimes {
    weight: f64,
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

/// Run times by level of concurrency.
#[derive(Clone, Debug, Default)]
pub struct TimesByLevel {
    levels: BTreeMap<u32, LevelTimes>,
}

impl TimesByLevel {
    /// Weight of a level below which it says nothing.
    const MIN_WEIGHT: f64 = 20.0;
    /// Multiple of its standard error that a slowdown has to exceed.
    const MIN_STANDARD_ERRORS: f64 = 4.0;
    /// Smallest slowdown that counts, as a natural logarithm.
    const MIN_SLOWDOWN_LN: f64 = 0.05;

    /// Records a run that started at this level.
    pub fn record(&mut self, level: u32, excess_ln: f64) {
        let times = self.levels.entry(level).or_default();
        times.weight += 1.0;
        let distance = excess_ln - times.mean_ln;
        times.mean_ln += distance / times.weight;
        times.squares += distance * (excess_ln - times.mean_ln);
    }

    /// Lets old samples fade.
    pub fn fade(&mut self, retained_fraction: f64) {
        for times in self.levels.values_mut() {
            times.weight *= retained_fraction;
            times.squares *= retained_fraction;
        }
        self.levels.retain(|_, times| times.weight >= 1.0);
    }

    /// Returns the highest level with enough samples.
    pub fn highest_known(&self) -> Option<u32> {
        self.known().map(|(level, _)| level).next_back()
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
