use cuminarch_types::Attempts;

/// Estimates how many attempts the calls to one target spend beneath themselves, so that a share
/// covers the demand and leaves the rest to sibling calls.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    peak_milli: Option<u64>,
}

impl DemandEstimator {
    /// The margin is the remaining attempts divided by this. It is kept back while the demand is
    /// unknown, and added to a share once it is known.
    const MARGIN_DIVISOR: u32 = 16;

    /// Creates an estimator without data.
    #[must_use]
    pub const fn new() -> Self {
        Self { peak_milli: None }
    }

    /// Records the attempts that one answered call spent beneath itself.
    pub fn observe(&mut self, spent: Attempts) {
        let spent_milli = u64::from(spent.get()) * 1_000;
        let decayed = self.peak_milli.map_or(0, |peak| peak - peak / 64);
        self.peak_milli = Some(decayed.max(spent_milli));
    }

    /// Returns `true` if the demand is known and `left` attempts cover it.
    #[must_use]
    pub fn is_covered_by(&self, left: Attempts) -> bool {
        self.demand().is_some_and(|demand| demand <= left)
    }

    /// Returns the share of `left` attempts to delegate to a call.
    #[must_use]
    pub fn share(&self, left: Attempts) -> Attempts {
        let margin = Attempts::new(left.get() / Self::MARGIN_DIVISOR);
        match self.demand() {
            None => left.saturating_sub(margin),
            Some(demand) => {
                let half = Attempts::new(demand.get() / 2);
                demand.saturating_add(half).saturating_add(margin).min(left)
            }
        }
    }

    fn demand(&self) -> Option<Attempts> {
        let demand = self.peak_milli?.div_ceil(1_000);
        Some(Attempts::new(u32::try_from(demand).unwrap_or(u32::MAX)))
    }
}
