use std::time::Duration;

use cuminarch_types::{DisabledMechanisms, Mechanism, MonoTime};

use crate::sender_model::{SenderModel, decay_factor};

/// Estimates the fraction of an endpoint's load that has to be shed for the rest to fit.
///
/// For a sustained surge, each window compares the offered work with the capacity of the slots and
/// accounts for requests that the senders already shed, as predicted by [`SenderModel`]. The
/// estimate is smoothed so that uneven load does not make it oscillate.
///
/// An upstream that turns part of its work away has less capacity than its slots say, however few
/// of them are occupied. The fraction turned away therefore counts as shortage too; otherwise the
/// parent requests would still be admitted and fail with their calls. An upstream that turns
/// everything away says nothing about its service, because its calls go to other endpoints.
#[derive(Clone, Debug)]
pub struct Shortage {
    window_started_at: MonoTime,
    offered_work: Duration,
    value_milli: u32,
    senders: SenderModel,
    /// Requests that the upstream completed in this window, and those that it turned away.
    completed: u32,
    turned_away: u32,
    /// Smoothed fraction of the requests that the upstream turned away.
    turned_away_fraction: f64,
    counts_turned_away: bool,
}

impl Shortage {
    /// Long enough for some dozen requests of a small endpoint.
    const WINDOW: Duration = Duration::from_millis(100);
    /// Maximum achievable utilisation of the slots, because work arrives unevenly.
    const MAX_UTILISATION_MILLI: u64 = 960;
    /// Smoothing time as a fraction of the senders' reaction time; shorter because the senders wait
    /// for the value.
    const SMOOTHING_TIME_RATIO: f64 = 0.45;
    /// The same for an idle endpoint, to release load quickly after a surge.
    const IDLE_SMOOTHING_TIME_RATIO: f64 = 0.15;
    /// Fraction of the smoothed turned-away fraction retained per window.
    const TURNED_AWAY_RETAINED_FRACTION: f64 = 0.75;
    /// A falling shortage below this value ends, in thousandths.
    const MIN_SHORTAGE_MILLI: f64 = 4.0;
    /// Maximum shortage, so that some requests remain to show recovery.
    const MAX_SHORTAGE_MILLI: u32 = 950;

    /// Creates an estimate of no shortage.
    pub const fn new() -> Self {
        Self {
            window_started_at: MonoTime::ZERO,
            offered_work: Duration::ZERO,
            value_milli: 0,
            senders: SenderModel::new(),
            completed: 0,
            turned_away: 0,
            turned_away_fraction: 0.0,
            counts_turned_away: true,
        }
    }

    /// Disables mechanisms.
    pub fn with_disabled(mut self, disabled: &DisabledMechanisms) -> Self {
        self.counts_turned_away = !disabled.contains(Mechanism::TurnedAwayShortage);
        self
    }

    /// Below this fraction turned away there is no shortage, because retries make up for it.
    const MIN_TURNED_AWAY_FRACTION: f64 = 0.15;
    /// Minimum number of requests in a window for a meaningful fraction.
    const MIN_WINDOW_REQUESTS: u32 = 4;

    /// Records a request that the upstream completed.
    pub const fn record_end(&mut self) {
        self.completed = self.completed.saturating_add(1);
    }

    /// Records a request that the upstream turned away.
    pub fn record_turned_away(&mut self) {
        self.turned_away += u32::from(self.counts_turned_away);
    }

    /// Records the expected holding time of an offered request.
    pub fn record_offer(&mut self, holding: Duration) {
        self.offered_work += holding;
    }

    /// Returns the fraction to shed, in thousandths.
    pub fn value_milli(&self) -> u16 {
        let is_turning_away = self.turned_away_fraction >= Self::MIN_TURNED_AWAY_FRACTION;
        let turned_away_milli =
            if is_turning_away { (self.turned_away_fraction * 1_000.0) as u32 } else { 0 };
        let milli = self.value_milli.max(turned_away_milli.min(Self::MAX_SHORTAGE_MILLI));
        u16::try_from(milli).unwrap_or(u16::MAX)
    }

    /// Updates the fraction turned away at the end of a window.
    fn update_turned_away_fraction(&mut self, retained_fraction: f64) {
        let requests = self.completed + self.turned_away;
        if requests >= Self::MIN_WINDOW_REQUESTS {
            let fraction = f64::from(self.turned_away) / f64::from(requests);
            let fraction = if self.completed > 0 { fraction } else { 0.0 };
            self.turned_away_fraction +=
                (fraction - self.turned_away_fraction) * (1.0 - retained_fraction);
        } else {
            self.turned_away_fraction *= retained_fraction;
        }
        self.completed = 0;
        self.turned_away = 0;
    }

    /// Adapts the value if the window is over. `slots_milli` is the number of usable slots in
    /// thousandths.
    pub fn advance(&mut self, slots_milli: u32, backlog: Duration, now: MonoTime) {
        let age = now.since(self.window_started_at);
        if age < Self::WINDOW {
            return;
        }
        let capacity_us = (age.as_micros() * u128::from(slots_milli) / 1_000).max(1);
        // A backlog grows until the senders react, and is drained in the same time.
        let drained_us =
            backlog.as_micros() * age.as_micros() / self.senders.reaction_time().as_micros();
        let demand_us = self.offered_work.as_micros() + drained_us;
        let load_milli = u64::try_from(demand_us * 1_000 / capacity_us).unwrap_or(u64::MAX).max(1);
        self.senders.advance(load_milli, f64::from(self.value_milli), age);
        let fitting_milli =
            self.senders.admitted_milli() * Self::MAX_UTILISATION_MILLI / load_milli;
        let target_milli =
            1_000_u64.saturating_sub(fitting_milli).min(u64::from(Self::MAX_SHORTAGE_MILLI));
        // Without calls nothing advances the value, so one call may end many windows.
        let windows = age.as_secs_f64() / Self::WINDOW.as_secs_f64();
        self.update_turned_away_fraction(Self::TURNED_AWAY_RETAINED_FRACTION.powf(windows));
        let difference = target_milli as f64 - f64::from(self.value_milli);
        let is_idle = SenderModel::is_idle(load_milli);
        let smoothing_ratio =
            if is_idle { Self::IDLE_SMOOTHING_TIME_RATIO } else { Self::SMOOTHING_TIME_RATIO };
        let smoothing_time = self.senders.reaction_time().mul_f64(smoothing_ratio);
        let smoothed = target_milli as f64 - difference * decay_factor(age, smoothing_time);
        let is_ended = smoothed < Self::MIN_SHORTAGE_MILLI && difference < 0.0;
        self.value_milli = if is_ended { 0 } else { smoothed as u32 };
        self.window_started_at = now;
        self.offered_work = Duration::ZERO;
    }
}
