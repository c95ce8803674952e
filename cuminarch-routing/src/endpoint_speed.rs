use std::time::Duration;

use cuminarch_types::MonoTime;

/// How much longer runs take at an endpoint than at its service on average, as natural logarithms.
///
/// Without reports, the recent value decays to the usual one of the endpoint, so that an endpoint
/// that was slow for a while is tried again, and one that is always slow is not. The usual value
/// decays to the mean of the service.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointSpeed {
    recent_ln: f64,
    usual_ln: f64,
    /// Time of the last report; `None` before the first one.
    reported_at: Option<MonoTime>,
}

impl EndpointSpeed {
    /// Time for which a report counts fully.
    const HOLD: Duration = Duration::from_millis(400);
    /// Time after [`Self::HOLD`] in which it decays.
    const DECAY: Duration = Duration::from_millis(1_200);
    /// Time over which the usual value is averaged.
    const USUAL_WINDOW: Duration = Duration::from_secs(30);
    /// Bound of the difference from the mean: factors of 50 say the same as of 20.
    const MAX_LN: f64 = 3.0;

    /// Records the difference of a reported run time from the mean of its route.
    pub fn record(&mut self, difference_ln: f64, now: MonoTime) {
        let difference_ln = difference_ln.clamp(-Self::MAX_LN, Self::MAX_LN);
        self.usual_ln = match self.reported_at {
            Some(at) => {
                let elapsed_s = now.since(at).as_secs_f64();
                let weight = (elapsed_s / Self::USUAL_WINDOW.as_secs_f64()).min(0.1);
                self.usual_ln + (difference_ln - self.usual_ln) * weight
            }
            None => difference_ln,
        };
        self.recent_ln = difference_ln;
        self.reported_at = Some(now);
    }

    /// Returns the difference that is assumed now.
    #[must_use]
    pub fn slowness_ln(&self, now: MonoTime) -> f64 {
        let Some(at) = self.reported_at else { return 0.0 };
        let age = now.since(at);
        let recent_weight = remaining(age.saturating_sub(Self::HOLD), Self::DECAY);
        let usual_ln = self.usual_ln * remaining(age, Self::USUAL_WINDOW);
        usual_ln + (self.recent_ln - usual_ln) * recent_weight
    }
}

/// Returns what is left after `age` of a value that decays to zero within `lifetime`.
fn remaining(age: Duration, lifetime: Duration) -> f64 {
    1.0 - (age.as_secs_f64() / lifetime.as_secs_f64()).min(1.0)
}
