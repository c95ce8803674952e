use std::time::Duration;

use cuminarch_types::{ConcurrencyLimit, MonoTime};

use crate::AdmissionSettings;

/// Adaptive concurrency limit from the service time that the node measures.
///
/// Samples are gathered in windows. While the mean of a window stays within a
/// tolerance of the service time without queueing, the limit rises as far as
/// it is used; beyond, it falls by the gradient between both, as in Netflix's
/// *concurrency-limits* and TCP Vegas (Brakmo et al., SIGCOMM 1994).
///
/// A fall that does not shorten the service time shows that the upstream
/// itself became slower, not that requests queue in it: the measured time then
/// becomes the new reference and the limit rises again. A limit that is in use
/// for long is lowered for one window, so that queueing in the upstream never
/// becomes the reference.
#[derive(Clone, Debug)]
pub struct Limiter {
    settings: AdmissionSettings,
    limit_milli: u64,
    reference: Option<Duration>,
    window: Window,
    phase: Phase,
    changed_at: MonoTime,
    probed_at: MonoTime,
}

/// Samples since the last change.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    since: Option<MonoTime>,
    sum: Duration,
    samples: u32,
    max_running: usize,
}

/// What the limiter is doing.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The limit rises as far as it is used.
    Steady,
    /// The limit falls; what it was before, and the mean then.
    Falling { limit_milli: u64, mean: Duration },
    /// The limit is low for one window, to see the service time without queueing.
    Probing { limit_milli: u64 },
}

impl Limiter {
    const MIN_WINDOW: Duration = Duration::from_millis(100);
    const MAX_WINDOW: Duration = Duration::from_secs(1);
    const FULL_WINDOW_SAMPLES: u32 = 40;
    /// Mean service time over the reference at which the limit stays, in percent.
    const TOLERANCE_PERCENT: u32 = 145;
    const MAX_RISE_PERCENT: u64 = 125;
    const MIN_FALL_PERCENT: u64 = 75;
    /// Share of the limit that must be in use for it to rise, in percent.
    const MIN_USED_PERCENT: u64 = 80;
    /// A fall is judged once the limit is below this share of where it began.
    const FALL_EVALUATION_PERCENT: u64 = 55;
    /// The upstream became slower if the mean is still above this share.
    const UNCHANGED_MEAN_PERCENT: u32 = 85;
    /// Least time between two probes of a limit that is in use.
    const PROBE_INTERVAL: Duration = Duration::from_secs(10);
    const PROBE_PERCENT: u64 = 55;
    /// A gradient below this shows that requests may queue in the upstream.
    const QUEUEING_PERCENT: u64 = 120;
    /// A probe's mean counts with this margin, as few samples scatter.
    const PROBE_MARGIN_PERCENT: u32 = 115;

    /// A limiter of a cold endpoint.
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        let limit_milli = settings.initial_limit.get() as u64 * 1_000;
        let window = Window { since: None, sum: Duration::ZERO, samples: 0, max_running: 0 };
        Self {
            settings,
            limit_milli,
            reference: None,
            window,
            phase: Phase::Steady,
            changed_at: MonoTime::ZERO,
            probed_at: MonoTime::ZERO,
        }
    }

    /// The limit in force.
    #[must_use]
    pub fn limit(&self) -> ConcurrencyLimit {
        ConcurrencyLimit::new(u32::try_from(self.limit_milli / 1_000).unwrap_or(u32::MAX))
    }

    /// Mean service time without queueing, if it is known.
    #[must_use]
    pub const fn reference(&self) -> Option<Duration> {
        self.reference
    }

    /// Notes the service time of one request that began at `began` and ended
    /// while `running` ran. One that began under an earlier limit shows nothing.
    pub fn observe(
        &mut self,
        service_time: Duration,
        began: MonoTime,
        running: usize,
        now: MonoTime,
    ) {
        if began < self.changed_at {
            return;
        }
        let since = *self.window.since.get_or_insert(now);
        self.window.sum += service_time;
        self.window.samples += 1;
        self.window.max_running = self.window.max_running.max(running);
        let age = now.since(since);
        let is_full = self.window.samples >= Self::FULL_WINDOW_SAMPLES && age >= Self::MIN_WINDOW;
        if is_full || age >= Self::MAX_WINDOW {
            let window = std::mem::take(&mut self.window);
            self.adapt(window.sum / window.samples, window.max_running, now);
        }
    }

    fn adapt(&mut self, mean: Duration, most_running: usize, now: MonoTime) {
        let mean = mean.max(Duration::from_micros(1));
        let known = self.reference;
        let reference = self.learn(mean);
        let target = reference * Self::TOLERANCE_PERCENT / 100;
        let gradient_percent = (target.as_micros() * 100 / mean.as_micros()) as u64;
        let is_used =
            most_running as u64 * 1_000 * 100 >= self.limit_milli * Self::MIN_USED_PERCENT;
        if let Phase::Probing { limit_milli } = self.phase {
            self.phase = Phase::Steady;
            self.probed_at = now;
            let reference = known.unwrap_or(mean);
            self.reference = Some(reference.min(mean * Self::PROBE_MARGIN_PERCENT / 100));
            return self.set(limit_milli, now);
        }
        if gradient_percent < 100 {
            return self.fall(mean, gradient_percent, now);
        }
        self.phase = Phase::Steady;
        if most_running as u64 * 1_000 * 100 <= self.limit_milli * Self::PROBE_PERCENT {
            self.probed_at = now;
        }
        let may_queue = is_used && gradient_percent < Self::QUEUEING_PERCENT;
        if may_queue && now.since(self.probed_at) >= Self::PROBE_INTERVAL {
            self.phase = Phase::Probing { limit_milli: self.limit_milli };
            self.scale(Self::PROBE_PERCENT, now);
        } else if is_used {
            self.scale(gradient_percent.min(Self::MAX_RISE_PERCENT), now);
        }
    }

    fn fall(&mut self, mean: Duration, gradient_percent: u64, now: MonoTime) {
        let began = match self.phase {
            Phase::Falling { limit_milli, mean } => (limit_milli, mean),
            _ => (self.limit_milli, mean),
        };
        let (limit_milli, mean_before) = began;
        self.phase = Phase::Falling { limit_milli, mean: mean_before };
        if self.limit_milli * 100 > limit_milli * Self::FALL_EVALUATION_PERCENT {
            self.scale(gradient_percent.max(Self::MIN_FALL_PERCENT), now);
        } else if mean > mean_before * Self::UNCHANGED_MEAN_PERCENT / 100 {
            self.reference = Some(mean);
            self.phase = Phase::Steady;
            self.set(limit_milli, now);
        } else {
            self.phase = Phase::Falling { limit_milli: self.limit_milli, mean };
        }
    }

    /// Takes a mean into the reference, which only ever falls here.
    fn learn(&mut self, mean: Duration) -> Duration {
        let reference = match self.reference {
            Some(reference) if mean < reference => (reference + mean) / 2,
            Some(reference) => reference,
            None => mean,
        };
        self.reference = Some(reference);
        reference
    }

    fn scale(&mut self, percent: u64, now: MonoTime) {
        self.set(self.limit_milli * percent / 100, now);
    }

    fn set(&mut self, limit_milli: u64, now: MonoTime) {
        let min_milli = u64::from(self.settings.min_limit.get()) * 1_000;
        let max_milli = u64::from(self.settings.max_limit.get()) * 1_000;
        self.limit_milli = limit_milli.clamp(min_milli, max_milli);
        self.changed_at = now;
    }
}
