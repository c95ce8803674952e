use std::time::Duration;

/// What the senders of a service do with the shortage that an endpoint reports.
///
/// Answers the load of a surge through a long chain: answers carry the report up the
/// chain, and requests that were under way still come down it. An endpoint that took its
/// report for done at once would see the same excess again in each window, ask for more
/// to be kept away each time, and then idle (the remedy is Smith's predictor, 1957). The
/// time that senders need is not known; it grows when the endpoint is seen to idle
/// although requests stay away.
#[derive(Clone, Copy, Debug)]
pub struct SenderModel {
    /// What they have probably put into force, in thousandths.
    applied_milli: f64,
    /// Time that they seem to need.
    reaction_time: Duration,
    /// Whether the endpoint was full when it was last full or idle.
    was_full: bool,
}

impl SenderModel {
    /// Shortest time in which senders react: some runs of a short chain.
    const MIN_REACTION_TIME: Duration = Duration::from_millis(800);
    /// Longest time that is ever supposed; requests seldom take longer.
    const MAX_REACTION_TIME: Duration = Duration::from_millis(6_400);
    /// Factor by which the time grows when it proves too short.
    const GROWTH_FACTOR: u32 = 2;
    /// Time in which what it has grown is forgotten, as chains become faster again.
    const DECAY_TIME: Duration = Duration::from_secs(20);
    /// Load from which an endpoint is full, in thousandths.
    const FULL_LOAD_MILLI: u64 = 960;
    /// Load below which it idles, in thousandths.
    const IDLE_LOAD_MILLI: u64 = 850;
    /// Shortage below which idling shows nothing, in thousandths.
    const MIN_SHORTAGE_MILLI: f64 = 50.0;

    /// Senders that keep nothing away.
    pub const fn new() -> Self {
        Self { applied_milli: 0.0, reaction_time: Self::MIN_REACTION_TIME, was_full: false }
    }

    /// Time that they seem to need to react to a report.
    pub const fn reaction_time(&self) -> Duration {
        self.reaction_time
    }

    /// Part of what they have that still comes, in thousandths.
    pub const fn admitted_milli(&self) -> u64 {
        1_000 - self.applied_milli as u64
    }

    /// Whether an endpoint with this load, in thousandths, has room to spare.
    pub const fn is_idle(load_milli: u64) -> bool {
        load_milli < Self::IDLE_LOAD_MILLI
    }

    /// Takes in the load of the last window, in thousandths of what the endpoint can do,
    /// and the shortage that was reported meanwhile.
    pub fn advance(&mut self, load_milli: u64, reported_milli: f64, elapsed: Duration) {
        self.adapt_reaction_time(load_milli, reported_milli, elapsed);
        let left = decay_factor(elapsed, self.reaction_time);
        self.applied_milli = reported_milli + (self.applied_milli - reported_milli) * left;
        if Self::is_idle(load_milli) {
            // What is asked back comes at the latest when the senders hear of it.
            self.applied_milli = self.applied_milli.min(reported_milli);
        }
    }

    /// An endpoint that goes from full to idle although enough is wanted of it has asked for
    /// too much, as it did not wait for what it asked before.
    fn adapt_reaction_time(&mut self, load_milli: u64, reported_milli: f64, elapsed: Duration) {
        let grown = self.reaction_time.saturating_sub(Self::MIN_REACTION_TIME);
        self.reaction_time =
            Self::MIN_REACTION_TIME + grown.mul_f64(decay_factor(elapsed, Self::DECAY_TIME));
        let wanted_milli = load_milli.saturating_mul(1_000) / self.admitted_milli().max(1);
        let is_overdone = Self::is_idle(load_milli) && wanted_milli >= Self::FULL_LOAD_MILLI;
        if load_milli >= Self::FULL_LOAD_MILLI {
            self.was_full = true;
        } else if self.was_full && is_overdone && reported_milli > Self::MIN_SHORTAGE_MILLI {
            self.was_full = false;
            self.reaction_time =
                (self.reaction_time * Self::GROWTH_FACTOR).min(Self::MAX_REACTION_TIME);
        }
    }
}

/// Part of a difference that is left after some time, if it fades with that time constant.
pub fn decay_factor(elapsed: Duration, time: Duration) -> f64 {
    (-elapsed.as_secs_f64() / time.as_secs_f64()).exp()
}
