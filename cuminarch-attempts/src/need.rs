use cuminarch_types::Attempts;

/// Learns how many attempts the calls to one target spend beneath themselves,
/// so that a share covers the need and leaves the rest to sibling calls.
#[derive(Clone, Debug, Default)]
pub struct NeedEstimator {
    peak_milli: Option<u64>,
}

impl NeedEstimator {
    /// Attempts kept back while the need is unknown.
    const RESERVE: Attempts = Attempts::new(2);
    /// Attempts on top of the learned need.
    const SLACK: u32 = 2;

    /// An estimator that knows nothing yet.
    #[must_use]
    pub const fn new() -> Self {
        Self { peak_milli: None }
    }

    /// Notes the attempts that one finished call spent beneath itself.
    pub fn observe(&mut self, spent: Attempts) {
        let spent_milli = u64::from(spent.get()) * 1_000;
        let decayed = self.peak_milli.map_or(0, |peak| peak - peak / 64);
        self.peak_milli = Some(decayed.max(spent_milli));
    }

    /// The share to ask for when `held` attempts are at hand.
    #[must_use]
    pub fn share(&self, held: Attempts) -> Attempts {
        match self.peak_milli {
            None => held.saturating_sub(Self::RESERVE),
            Some(peak_milli) => {
                let need = u32::try_from(peak_milli.div_ceil(1_000)).unwrap_or(u32::MAX);
                Attempts::new(need.saturating_add(need / 2).saturating_add(Self::SLACK)).min(held)
            }
        }
    }
}
