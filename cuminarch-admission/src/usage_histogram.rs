use std::time::Duration;

use cuminarch_types::MonoTime;

use crate::sender_model::decay_factor;

/// Decayed numbers of requests by the usage of their accounts.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageHistogram {
    bins: [Bin; Self::BINS],
    decayed_at: MonoTime,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Bin {
    weight: f64,
    /// Sum of weight times usage, so that the mean usage of a bin is exact.
    weighted_usage: f64,
}

impl UsageHistogram {
    const BINS: usize = 32;
    const BINS_PER_OCTAVE: f64 = 3.0;
    /// Bin of usage 1; the first bin is a thirty-second of that, the last one 50 times.
    const UNIT_BIN: f64 = 15.0;
    /// Fraction retained per request: the requests of the last one or two seconds at an entry node
    /// with some dozens a second, and enough at one with a few.
    const RETAINED_FRACTION: f64 = 1.0 - 1.0 / 48.0;
    /// Time constant at a node with hardly any requests.
    const DECAY_TIME: Duration = Duration::from_secs(10);

    /// Creates an empty histogram.
    pub const fn new() -> Self {
        let empty = Bin { weight: 0.0, weighted_usage: 0.0 };
        Self { bins: [empty; Self::BINS], decayed_at: MonoTime::ZERO }
    }

    /// Counts a request.
    pub fn record(&mut self, usage: f64, now: MonoTime) {
        let elapsed = now.since(self.decayed_at);
        self.decayed_at = now;
        self.scale(decay_factor(elapsed, Self::DECAY_TIME) * Self::RETAINED_FRACTION);
        let position = Self::UNIT_BIN + usage.max(f64::MIN_POSITIVE).log2() * Self::BINS_PER_OCTAVE;
        let index = position.round().clamp(0.0, (Self::BINS - 1) as f64) as usize;
        self.bins[index].weight += 1.0;
        self.bins[index].weighted_usage += usage;
    }

    /// Adds the requests of another histogram, each with a weight.
    pub fn add_scaled(&mut self, other: &Self, weight: f64) {
        for (bin, added) in self.bins.iter_mut().zip(&other.bins) {
            bin.weight += added.weight * weight;
            bin.weighted_usage += added.weighted_usage * weight;
        }
    }

    /// Returns the highest mean usage of a bin.
    pub fn max_usage(&self) -> f64 {
        let usages = self.bins.iter().filter(|bin| bin.weight > 0.0).map(Bin::usage);
        usages.fold(0.0, f64::max)
    }

    /// Returns the mean of a function of the usage over all requests, or `None` without requests.
    pub fn mean(&self, value: impl Fn(f64) -> f64) -> Option<f64> {
        let filled = self.bins.iter().filter(|bin| bin.weight > 0.0);
        let (total, sum) = filled.fold((0.0, 0.0), |(total, sum), bin| {
            (total + bin.weight, sum + bin.weight * value(bin.usage()))
        });
        (total > 0.0).then(|| sum / total)
    }

    fn scale(&mut self, factor: f64) {
        for bin in &mut self.bins {
            bin.weight *= factor;
            bin.weighted_usage *= factor;
        }
    }
}

impl Bin {
    fn usage(&self) -> f64 {
        self.weighted_usage / self.weight
    }
}
