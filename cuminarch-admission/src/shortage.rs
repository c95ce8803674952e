use std::time::Duration;

use cuminarch_types::{ConcurrencyLimit, DisabledMechanisms, Mechanism, MonoTime};

use crate::senders::{SenderModel, decay_factor};

/// Part of an endpoint's load that has to be kept away for the rest to fit.
///
/// Answers the load of a surge that lasts: from window to window the offered
/// work is compared with what the slots can do, the requests that already stay
/// away taken into account, as far as [`Senders`] have probably heard of it. It rises
/// and falls by a part of the difference, so that unsteady load does not make it swing.
///
/// An upstream that turns part of its work away has less room than its slots say,
/// however few of them are taken. What it turns away counts as short, too; otherwise
/// the requests above go on to be admitted, and fail when their calls do. One that
/// turns all of it away says nothing of its service: its calls go elsewhere.
#[derive(Clone, Debug)]
pub struct Shortage {
    window_started_at: MonoTime,
    offered_work: Duration,
    value_milli: u32,
    senders: SenderModel,
    /// Requests that the upstream has run in this window, and that it has turned away.
    completed: u32,
    turned_away: u32,
    /// Part of the requests that the upstream has turned away lately.
    turned_away_fraction: f64,
    counts_turned_away: bool,
}

impl Shortage {
    /// Length of a window; long enough for some dozen requests of a small endpoint.
    const WINDOW: Duration = Duration::from_millis(100);
    /// Part of its slots that an endpoint can use at most, as work comes unevenly.
    const MAX_UTILISATION_MILLI: u64 = 960;
    /// Time in which the value follows, as part of that in which senders react; shorter,
    /// as they wait for it.
    const SMOOTHING_TIME_RATIO: f64 = 0.45;
    /// The same while the endpoint idles: a surge that is over is not to be felt longer.
    const IDLE_SMOOTHING_TIME_RATIO: f64 = 0.15;
    /// Part that one window leaves to the next of what was turned away before.
    const TURNED_AWAY_RETAINED_FRACTION: f64 = 0.75;
    /// Value below which a falling shortage is over, in thousandths.
    const MIN_SHORTAGE_MILLI: f64 = 4.0;
    /// Most that is ever kept away, so that some requests go on to show recovery.
    const MAX_SHORTAGE_MILLI: u32 = 950;

    /// No shortage.
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

    /// Switches mechanisms off.
    pub fn with_disabled(mut self, disabled: &DisabledMechanisms) -> Self {
        self.counts_turned_away = !disabled.contains(Mechanism::TurnedAwayShortage);
        self
    }

    /// Part turned away below which nothing is short: repeats make up for that.
    const MIN_TURNED_AWAY_FRACTION: f64 = 0.15;
    /// Requests in a window that say something of the part turned away.
    const MIN_WINDOW_REQUESTS: u32 = 4;

    /// Notes a request that the upstream has run.
    pub const fn record_end(&mut self) {
        self.completed = self.completed.saturating_add(1);
    }

    /// Notes a request that the upstream has turned away.
    pub fn record_turned_away(&mut self) {
        self.turned_away += u32::from(self.counts_turned_away);
    }

    /// Notes work that a request brings.
    pub fn record_offer(&mut self, holding: Duration) {
        self.offered_work += holding;
    }

    /// The part in thousandths.
    pub fn value_milli(&self) -> u16 {
        let is_turning_away = self.turned_away_fraction >= Self::MIN_TURNED_AWAY_FRACTION;
        let turned_milli =
            if is_turning_away { (self.turned_away_fraction * 1_000.0) as u32 } else { 0 };
        let milli = self.value_milli.max(turned_milli.min(Self::MAX_SHORTAGE_MILLI));
        u16::try_from(milli).unwrap_or(u16::MAX)
    }

    /// Takes in what the upstream did with its requests in a window.
    fn update_turned_away_fraction(&mut self, kept: f64) {
        let requests = self.completed + self.turned_away;
        if requests >= Self::MIN_WINDOW_REQUESTS {
            let part = f64::from(self.turned_away) / f64::from(requests);
            let part = if self.completed > 0 { part } else { 0.0 };
            self.turned_away_fraction += (part - self.turned_away_fraction) * (1.0 - kept);
        } else {
            self.turned_away_fraction *= kept;
        }
        self.completed = 0;
        self.turned_away = 0;
    }

    /// Adapts the value if the window is over.
    pub fn advance(&mut self, capacity: ConcurrencyLimit, backlog: Duration, now: MonoTime) {
        let age = now.since(self.window_started_at);
        if age < Self::WINDOW {
            return;
        }
        let slots = u128::from(capacity.get().max(1));
        let able_us = (age.as_micros() * slots).max(1);
        // A backlog grows until the senders react, and is worked off in as much time.
        let drained_us =
            backlog.as_micros() * age.as_micros() / self.senders.reaction_time().as_micros();
        let asked_us = self.offered_work.as_micros() + drained_us;
        let load_milli = u64::try_from(asked_us * 1_000 / able_us).unwrap_or(u64::MAX).max(1);
        self.senders.advance(load_milli, f64::from(self.value_milli), age);
        let fitting_milli =
            self.senders.admitted_milli() * Self::MAX_UTILISATION_MILLI / load_milli;
        let wanted =
            1_000_u64.saturating_sub(fitting_milli).min(u64::from(Self::MAX_SHORTAGE_MILLI));
        // Without calls nothing advances the value, so one call may end many windows.
        let windows = age.as_secs_f64() / Self::WINDOW.as_secs_f64();
        self.update_turned_away_fraction(Self::TURNED_AWAY_RETAINED_FRACTION.powf(windows));
        let difference = wanted as f64 - f64::from(self.value_milli);
        let is_idle = SenderModel::is_idle(load_milli);
        let follow_part =
            if is_idle { Self::IDLE_SMOOTHING_TIME_RATIO } else { Self::SMOOTHING_TIME_RATIO };
        let follow_time = self.senders.reaction_time().mul_f64(follow_part);
        let moved = wanted as f64 - difference * decay_factor(age, follow_time);
        let is_over = moved < Self::MIN_SHORTAGE_MILLI && difference < 0.0;
        self.value_milli = if is_over { 0 } else { moved as u32 };
        self.window_started_at = now;
        self.offered_work = Duration::ZERO;
    }
}
