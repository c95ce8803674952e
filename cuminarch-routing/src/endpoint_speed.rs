use std::time::Duration;

use cuminarch_types::MonoTime;

/// Change of the speed of an endpoint relative to its service, in thousandths.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpeedChange {
    /// The speed until now.
    pub previous_milli: u32,
    /// The speed from now on.
    pub current_milli: u32,
}

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
    report_count: u32,
    /// Value at the last change that was noted, and its time.
    noted_ln: f64,
    noted_at: MonoTime,
}

impl EndpointSpeed {
    /// Time for which a report counts fully.
    const HOLD: Duration = Duration::from_millis(200);
    /// Time after [`Self::HOLD`] in which it decays.
    const DECAY: Duration = Duration::from_millis(700);
    /// Time in which the usual value decays.
    const USUAL_DECAY: Duration = Duration::from_secs(30);
    /// Reports over which the first usual value is averaged.
    const FIRST_REPORT_COUNT: u32 = 16;
    /// Later change of the usual value per second, whatever the difference, so that a slow moment
    /// does not become usual.
    const USUAL_CHANGE_PER_S: f64 = 0.005;
    /// Difference from the usual value that the noise of a few runs explains, and that is ignored.
    const NOISE_LN: f64 = 0.15;
    /// Logarithm of 1.2: a change by a fifth is noted.
    const MIN_NOTED_CHANGE_LN: f64 = 0.182;
    const NOTED_INTERVAL: Duration = Duration::from_secs(1);
    /// Bound of the difference from the mean: factors of 50 say the same as of 20.
    const MAX_LN: f64 = 3.0;

    /// Records the difference of a reported run time from the mean of its route.
    pub fn record(&mut self, difference_ln: f64, now: MonoTime) {
        let difference_ln = difference_ln.clamp(-Self::MAX_LN, Self::MAX_LN);
        self.report_count = self.report_count.saturating_add(1);
        let excess_ln = difference_ln - self.usual_ln;
        self.usual_ln += match self.reported_at {
            Some(at) if self.report_count > Self::FIRST_REPORT_COUNT => {
                let elapsed_s = now.since(at).as_secs_f64().min(1.0);
                let most_ln = Self::USUAL_CHANGE_PER_S * elapsed_s;
                excess_ln.clamp(-most_ln, most_ln)
            }
            _ => excess_ln / f64::from(self.report_count),
        };
        self.recent_ln = difference_ln;
        self.reported_at = Some(now);
    }

    /// Returns the change since the last one that was noted, if it is more than a fifth. At most one
    /// a second is noted.
    pub fn take_change(&mut self, now: MonoTime) -> Option<SpeedChange> {
        let (previous_ln, current_ln) = (self.noted_ln, self.slowness_ln(now));
        let is_large = (current_ln - previous_ln).abs() > Self::MIN_NOTED_CHANGE_LN;
        if !is_large || now.since(self.noted_at) < Self::NOTED_INTERVAL {
            return None;
        }
        self.noted_ln = current_ln;
        self.noted_at = now;
        Some(SpeedChange {
            previous_milli: to_speed_milli(previous_ln),
            current_milli: to_speed_milli(current_ln),
        })
    }

    /// Returns the speed that is assumed now, in thousandths of the mean of the service.
    pub fn speed_milli(&self, now: MonoTime) -> u32 {
        to_speed_milli(self.slowness_ln(now))
    }

    /// Returns the time since the last report.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        self.reported_at.map(|at| now.since(at))
    }

    /// Returns the difference that is assumed now.
    #[must_use]
    pub fn slowness_ln(&self, now: MonoTime) -> f64 {
        let Some(at) = self.reported_at else { return 0.0 };
        let age = now.since(at);
        let recent_weight = remaining(age.saturating_sub(Self::HOLD), Self::DECAY);
        let usual_ln = self.usual_ln * remaining(age, Self::USUAL_DECAY);
        let change_ln = self.recent_ln - self.usual_ln;
        let change_ln = (change_ln.abs() - Self::NOISE_LN).max(0.0).copysign(change_ln);
        usual_ln + change_ln * recent_weight
    }
}

fn to_speed_milli(slowness_ln: f64) -> u32 {
    ((-slowness_ln).exp() * 1_000.0) as u32
}

/// Returns what is left after `age` of a value that decays to zero within `lifetime`.
fn remaining(age: Duration, lifetime: Duration) -> f64 {
    1.0 - (age.as_secs_f64() / lifetime.as_secs_f64()).min(1.0)
}
