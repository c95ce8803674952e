use std::time::Duration;

use cuminarch_types::{ConcurrencyLimit, Disabled, Mechanism, MonoTime};

use crate::senders::{Senders, left_after};

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
    since: MonoTime,
    offered: Duration,
    milli: u32,
    senders: Senders,
    /// Requests that the upstream has run in this window, and that it has turned away.
    ended: u32,
    turned_away: u32,
    /// Part of the requests that the upstream has turned away lately.
    turned_part: f64,
    counts_turned_away: bool,
}

impl Shortage {
    /// Length of a window; long enough for some dozen requests of a small endpoint.
    const WINDOW: Duration = Duration::from_millis(100);
    /// Part of its slots that an endpoint can use at most, as work comes unevenly.
    const USABLE_MILLI: u64 = 960;
    /// Time in which the value follows, as part of that in which senders react; shorter,
    /// as they wait for it.
    const FOLLOW_PART: f64 = 0.45;
    /// The same while the endpoint idles: a surge that is over is not to be felt longer.
    const IDLE_FOLLOW_PART: f64 = 0.15;
    /// Part that one window leaves to the next of what was turned away before.
    const TURNED_KEPT: f64 = 0.75;
    /// Value below which a falling shortage is over, in thousandths.
    const LEAST_MILLI: f64 = 4.0;
    /// Most that is ever kept away, so that some requests go on to show recovery.
    const MOST_MILLI: u32 = 950;

    /// No shortage.
    pub const fn new() -> Self {
        Self {
            since: MonoTime::ZERO,
            offered: Duration::ZERO,
            milli: 0,
            senders: Senders::new(),
            ended: 0,
            turned_away: 0,
            turned_part: 0.0,
            counts_turned_away: true,
        }
    }

    /// Switches mechanisms off.
    pub fn with_disabled(mut self, disabled: &Disabled) -> Self {
        self.counts_turned_away = !disabled.has(Mechanism::TurnedAwayShortage);
        self
    }

    /// Part turned away below which nothing is short: repeats make up for that.
    const LEAST_TURNED_PART: f64 = 0.15;
    /// Requests in a window that say something of the part turned away.
    const LEAST_REQUESTS: u32 = 4;

    /// Notes a request that the upstream has run.
    pub const fn ended(&mut self) {
        self.ended = self.ended.saturating_add(1);
    }

    /// Notes a request that the upstream has turned away.
    pub fn turned_away(&mut self) {
        self.turned_away += u32::from(self.counts_turned_away);
    }

    /// Notes work that a request brings.
    pub fn offered(&mut self, holding: Duration) {
        self.offered += holding;
    }

    /// The part in thousandths.
    pub fn milli(&self) -> u16 {
        let is_turning_away = self.turned_part >= Self::LEAST_TURNED_PART;
        let turned_milli = if is_turning_away { (self.turned_part * 1_000.0) as u32 } else { 0 };
        let milli = self.milli.max(turned_milli.min(Self::MOST_MILLI));
        u16::try_from(milli).unwrap_or(u16::MAX)
    }

    /// Takes in what the upstream did with its requests in a window.
    fn note_turned_part(&mut self, kept: f64) {
        let requests = self.ended + self.turned_away;
        if requests >= Self::LEAST_REQUESTS {
            let part = f64::from(self.turned_away) / f64::from(requests);
            let part = if self.ended > 0 { part } else { 0.0 };
            self.turned_part += (part - self.turned_part) * (1.0 - kept);
        } else {
            self.turned_part *= kept;
        }
        self.ended = 0;
        self.turned_away = 0;
    }

    /// Adapts the value if the window is over.
    pub fn advance(&mut self, capacity: ConcurrencyLimit, backlog: Duration, now: MonoTime) {
        let age = now.since(self.since);
        if age < Self::WINDOW {
            return;
        }
        let slots = u128::from(capacity.get().max(1));
        let able_us = (age.as_micros() * slots).max(1);
        // A backlog grows until the senders react, and is worked off in as much time.
        let drained_us =
            backlog.as_micros() * age.as_micros() / self.senders.reaction().as_micros();
        let asked_us = self.offered.as_micros() + drained_us;
        let load_milli = u64::try_from(asked_us * 1_000 / able_us).unwrap_or(u64::MAX).max(1);
        self.senders.advance(load_milli, f64::from(self.milli), age);
        let fitting_milli = self.senders.passed_milli() * Self::USABLE_MILLI / load_milli;
        let wanted = 1_000_u64.saturating_sub(fitting_milli).min(u64::from(Self::MOST_MILLI));
        // Without calls nothing advances the value, so one call may end many windows.
        let windows = age.as_secs_f64() / Self::WINDOW.as_secs_f64();
        self.note_turned_part(Self::TURNED_KEPT.powf(windows));
        let difference = wanted as f64 - f64::from(self.milli);
        let is_idle = Senders::is_idle(load_milli);
        let follow_part = if is_idle { Self::IDLE_FOLLOW_PART } else { Self::FOLLOW_PART };
        let follow_time = self.senders.reaction().mul_f64(follow_part);
        let moved = wanted as f64 - difference * left_after(age, follow_time);
        let is_over = moved < Self::LEAST_MILLI && difference < 0.0;
        self.milli = if is_over { 0 } else { moved as u32 };
        self.since = now;
        self.offered = Duration::ZERO;
    }
}
