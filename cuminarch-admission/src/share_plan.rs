use crate::usage_histogram::UsageHistogram;

/// Division of the room of one class among accounts by weighted max-min: each account is served up
/// to the same usage, its level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharePlan {
    /// Fraction of the class's requests to serve.
    meant_fraction: f64,
    /// Usage up to which an account is served.
    level: f64,
}

impl SharePlan {
    /// Smallest served fraction of an account, relative to that of the class. Half is promised to
    /// whoever asks its usual rate; the rest allows for the uneven arrival of few requests.
    const MIN_SERVED_RATIO: f64 = 0.6;
    /// The same for an account with any usage.
    const MIN_HOT_SERVED_RATIO: f64 = 0.3;
    /// Usage up to which the first of the two holds: an account that keeps to its allotment may be
    /// believed to ask this much.
    const MAX_DOUBTED_USAGE: f64 = 2.0;
    /// Halvings of the interval that contains the level; the error is below the noise of any load.
    const SEARCH_STEPS: u32 = 20;

    /// Serves everything.
    pub const ALL: Self = Self { meant_fraction: 1.0, level: f64::INFINITY };

    /// Creates a plan that serves a fraction of the requests counted in `usages`. The level is that
    /// for the fraction times `correction`.
    pub fn new(usages: &UsageHistogram, meant_fraction: f64, correction: f64) -> Self {
        if meant_fraction >= 1.0 {
            return Self::ALL;
        }
        let target = (meant_fraction * correction).min(1.0);
        let (mut low, mut high) = (0.0, usages.max_usage());
        for _ in 0..Self::SEARCH_STEPS {
            let level = (low + high) / 2.0;
            let plan = Self { meant_fraction, level };
            let served = usages.mean(|usage| plan.served_fraction_of(usage));
            if served.is_some_and(|served| served < target) {
                low = level;
            } else {
                high = level;
            }
        }
        Self { meant_fraction, level: high }
    }

    /// Returns the fraction of the class's requests to serve.
    pub const fn meant_fraction(&self) -> f64 {
        self.meant_fraction
    }

    /// Returns the served fraction of the requests of an account.
    pub fn served_fraction_of(&self, usage: f64) -> f64 {
        let hot_ratio = Self::MIN_SERVED_RATIO * Self::MAX_DOUBTED_USAGE / usage;
        let min_ratio = hot_ratio.clamp(Self::MIN_HOT_SERVED_RATIO, Self::MIN_SERVED_RATIO);
        let min_fraction = self.meant_fraction * min_ratio;
        let fraction = if usage > self.level { self.level / usage } else { 1.0 };
        fraction.max(min_fraction)
    }

    /// Returns the usage up to which an account is served.
    pub const fn level(&self) -> f64 {
        self.level
    }
}
