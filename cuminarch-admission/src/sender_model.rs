use std::time::Duration;

/// Models how the senders to a service react to the shortage that an endpoint reports.
///
/// During a surge through a long chain, reports travel up the chain in answers while requests
/// admitted earlier still travel down. An endpoint that assumed an immediate reaction would see the
/// same excess in each window, ask for more shedding each time, and then idle. The remedy is a
/// Smith predictor (1957). The senders' reaction time is unknown; the estimate grows when the
/// endpoint idles while requests are being shed.
#[derive(Clone, Copy, Debug)]
pub struct SenderModel {
    /// Shed fraction that the senders have probably applied, in thousandths.
    applied_milli: f64,
    /// Estimated reaction time of the senders.
    reaction_time: Duration,
    /// `true` once the endpoint is full, until idling has grown the reaction time.
    was_full: bool,
}

impl SenderModel {
    /// Minimum reaction time: some runs of a short chain.
    const MIN_REACTION_TIME: Duration = Duration::from_millis(800);
    /// Maximum reaction time; requests seldom take longer.
    const MAX_REACTION_TIME: Duration = Duration::from_millis(6_400);
    /// Growth of the reaction time when it proves too short.
    const GROWTH_FACTOR: u32 = 2;
    /// Time constant for the decay of that growth, because chains become faster again.
    const DECAY_TIME: Duration = Duration::from_secs(20);
    /// An endpoint is full from this load on, in thousandths.
    const FULL_LOAD_MILLI: u64 = 960;
    /// An endpoint is idle below this load, in thousandths.
    const IDLE_LOAD_MILLI: u64 = 850;
    /// Idling below this reported shortage says nothing about the reaction time, in thousandths.
    const MIN_SHORTAGE_MILLI: f64 = 50.0;

    /// Creates a model of senders that shed nothing.
    pub const fn new() -> Self {
        Self { applied_milli: 0.0, reaction_time: Self::MIN_REACTION_TIME, was_full: false }
    }

    /// Returns the estimated reaction time of the senders.
    pub const fn reaction_time(&self) -> Duration {
        self.reaction_time
    }

    /// Returns the fraction of the load that the senders still admit, in thousandths.
    pub const fn admitted_milli(&self) -> u64 {
        1_000 - self.applied_milli as u64
    }

    /// Returns `true` if an endpoint with this load, in thousandths, is idle.
    pub const fn is_idle(load_milli: u64) -> bool {
        load_milli < Self::IDLE_LOAD_MILLI
    }

    /// Updates the model with the load of the last window, in thousandths of the capacity, and the
    /// shortage reported during it.
    pub fn advance(&mut self, load_milli: u64, reported_milli: f64, elapsed: Duration) {
        self.adapt_reaction_time(load_milli, reported_milli, elapsed);
        let decay = decay_factor(elapsed, self.reaction_time);
        self.applied_milli = reported_milli + (self.applied_milli - reported_milli) * decay;
        if Self::is_idle(load_milli) {
            // Released load returns at the latest when the senders receive the report.
            self.applied_milli = self.applied_milli.min(reported_milli);
        }
    }

    /// Adapts the reaction time. An endpoint that goes from full to idle in spite of sufficient
    /// demand has requested too much shedding because it did not wait for the effect of earlier
    /// reports.
    fn adapt_reaction_time(&mut self, load_milli: u64, reported_milli: f64, elapsed: Duration) {
        let excess = self.reaction_time.saturating_sub(Self::MIN_REACTION_TIME);
        self.reaction_time =
            Self::MIN_REACTION_TIME + excess.mul_f64(decay_factor(elapsed, Self::DECAY_TIME));
        let demand_milli = load_milli.saturating_mul(1_000) / self.admitted_milli().max(1);
        let is_overshoot = Self::is_idle(load_milli) && demand_milli >= Self::FULL_LOAD_MILLI;
        if load_milli >= Self::FULL_LOAD_MILLI {
            self.was_full = true;
        } else if self.was_full && is_overshoot && reported_milli > Self::MIN_SHORTAGE_MILLI {
            self.was_full = false;
            self.reaction_time =
                (self.reaction_time * Self::GROWTH_FACTOR).min(Self::MAX_REACTION_TIME);
        }
    }
}

/// Returns the fraction of a difference that is left after `elapsed` if it decays exponentially.
pub fn decay_factor(elapsed: Duration, time_constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
