use cuminarch_types::Attempts;

/// Learns how many attempts the calls to one target spend beneath themselves,
/// so that a share covers the need and leaves the rest to sibling calls.
#[derive(Clone, Debug, Default)]
pub struct DemandEstimator {
    peak_milli: Option<u64>,
}

impl DemandEstimator {
    /// Part of what is left that a call keeps back while the need is unknown,
    /// and that a share takes on top of a known need.
    const MARGIN_DIVISOR: u32 = 16;

    /// An estimator that knows nothing yet.
    #[must_use]
    pub const fn new() -> Self {
        Self { peak_milli: None }
    }

    /// Notes the attempts that one answered call spent beneath itself.
    pub fn observe(&mut self, spent: Attempts) {
        let spent_milli = u64::from(spent.get()) * 1_000;
        let decayed = self.peak_milli.map_or(0, |peak| peak - peak / 64);
        self.peak_milli = Some(decayed.max(spent_milli));
    }

    /// Whether `left` attempts are known to suffice beneath a call.
    #[must_use]
    pub fn is_covered_by(&self, left: Attempts) -> bool {
        self.demand().is_some_and(|need| need <= left)
    }

    /// The share to lend to a call out of `left` attempts.
    #[must_use]
    pub fn share(&self, left: Attempts) -> Attempts {
        let margin = Attempts::new(left.get() / Self::MARGIN_DIVISOR);
        match self.demand() {
            None => left.saturating_sub(margin),
            Some(need) => {
                let half = Attempts::new(need.get() / 2);
                need.saturating_add(half).saturating_add(margin).min(left)
            }
        }
    }

    fn demand(&self) -> Option<Attempts> {
        let need = self.peak_milli?.div_ceil(1_000);
        Some(Attempts::new(u32::try_from(need).unwrap_or(u32::MAX)))
    }
}
