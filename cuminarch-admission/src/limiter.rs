use std::time::Duration;

use cuminarch_types::{ConcurrencyLimit, MonoTime};

use crate::AdmissionSettings;

/// Adaptive concurrency limit based on the measured service time.
///
/// Samples are collected in windows. While the mean of a window is within a tolerance of the
/// service time without queueing, the limit rises as far as it is used; otherwise it falls by the
/// ratio of the two, as in Netflix's *concurrency-limits* and TCP Vegas (Brakmo et al., SIGCOMM
/// 1994).
///
/// If lowering the limit does not shorten the service time, the upstream itself became slower and
/// requests do not queue in it: the measured time becomes the new reference and the limit rises
/// again. A limit in prolonged use is lowered for one window, so that queueing in the upstream
/// never becomes the reference.
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

/// Samples of the current window.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    since: Option<MonoTime>,
    sum: Duration,
    samples: u32,
    max_running: usize,
}

/// State of the limit adaptation.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The limit rises as far as it is used.
    Steady,
    /// The limit falls; holds the limit and the mean at the start of the fall.
    Falling { limit_milli: u64, mean: Duration },
    /// The limit is lowered for one window to measure the service time without queueing; holds the
    /// limit to restore.
    Probing { limit_milli: u64 },
}

impl Limiter {
    const MIN_WINDOW: Duration = Duration::from_millis(100);
    const MAX_WINDOW: Duration = Duration::from_secs(1);
    const FULL_WINDOW_SAMPLES: u32 = 40;
    /// Tolerated mean service time, as a percentage of the reference.
    const TOLERANCE_PERCENT: u32 = 145;
    const MAX_RISE_PERCENT: u64 = 125;
    const MIN_FALL_PERCENT: u64 = 75;
    /// Percentage of the limit that must be in use for it to rise.
    const MIN_USED_PERCENT: u64 = 80;
    /// A fall is evaluated once the limit is below this percentage of its initial value.
    const FALL_EVALUATION_PERCENT: u64 = 55;
    /// The upstream became slower if the mean is still above this percentage after a fall.
    const UNCHANGED_MEAN_PERCENT: u32 = 85;
    /// Minimum time between two probes of a limit that is in use.
    const PROBE_INTERVAL: Duration = Duration::from_secs(10);
    const PROBE_PERCENT: u64 = 55;
    /// A gradient below this percentage means that requests may queue in the upstream.
    const QUEUEING_PERCENT: u64 = 120;
    /// Margin on the mean of a probe, because few samples scatter.
    const PROBE_MARGIN_PERCENT: u32 = 115;

    /// Creates the limiter of a cold endpoint.
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

    /// Returns the current limit.
    #[must_use]
    pub fn limit(&self) -> ConcurrencyLimit {
        ConcurrencyLimit::new(u32::try_from(self.limit_milli / 1_000).unwrap_or(u32::MAX))
    }

    /// Returns the mean service time without queueing, if known.
    #[must_use]
    pub const fn reference(&self) -> Option<Duration> {
        self.reference
    }

    /// Records the service time of a request that began at `began` and ended while `running`
    /// requests ran. Requests that began under an earlier limit are ignored.
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

    fn adapt(&mut self, mean: Duration, max_running: usize, now: MonoTime) {
        let mean = mean.max(Duration::from_micros(1));
        let previous_reference = self.reference;
        let reference = self.update_reference(mean);
        let target = reference * Self::TOLERANCE_PERCENT / 100;
        let gradient_percent = (target.as_micros() * 100 / mean.as_micros()) as u64;
        let is_used = max_running as u64 * 1_000 * 100 >= self.limit_milli * Self::MIN_USED_PERCENT;
        if let Phase::Probing { limit_milli } = self.phase {
            self.phase = Phase::Steady;
            self.probed_at = now;
            let reference = previous_reference.unwrap_or(mean);
            self.reference = Some(reference.min(mean * Self::PROBE_MARGIN_PERCENT / 100));
            return self.set(limit_milli, now);
        }
        if gradient_percent < 100 {
            return self.fall(mean, gradient_percent, now);
        }
        self.phase = Phase::Steady;
        if max_running as u64 * 1_000 * 100 <= self.limit_milli * Self::PROBE_PERCENT {
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
        let start = match self.phase {
            Phase::Falling { limit_milli, mean } => (limit_milli, mean),
            _ => (self.limit_milli, mean),
        };
        let (limit_milli, mean_before) = start;
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

    /// Updates the reference with a mean; the reference only falls here.
    fn update_reference(&mut self, mean: Duration) -> Duration {
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
