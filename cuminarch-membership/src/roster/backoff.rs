//! Delays of calls to the store after failures, for each kind of call on its own.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::MonoTime;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::call_kind::CallKind;

#[derive(Clone, Copy, Debug, Default)]
struct Delay {
    failures: u32,
    until: MonoTime,
}

/// Times before which calls of a kind are not repeated.
#[derive(Debug, Default)]
pub struct Backoffs {
    delays: BTreeMap<CallKind, Delay>,
}

impl Backoffs {
    /// Base delay after failures; doubled with each consecutive failure.
    const INITIAL: Duration = Duration::from_millis(250);
    /// Maximum delay after a failure.
    const MAX: Duration = Duration::from_millis(1_600);

    /// Returns `true` if calls of this kind may start.
    pub fn is_over(&self, kind: CallKind, now: MonoTime) -> bool {
        self.delays.get(&kind).is_none_or(|delay| delay.until <= now)
    }

    /// Records a call that succeeded.
    pub fn succeeded(&mut self, kind: CallKind) {
        if let Some(delay) = self.delays.get_mut(&kind) {
            delay.failures = 0;
        }
    }

    /// Records a call that failed.
    pub fn failed(&mut self, kind: CallKind, now: MonoTime, rng: &mut ChaCha8Rng) {
        let delay = self.delays.entry(kind).or_default();
        delay.failures = delay.failures.saturating_add(1);
        self.extend(kind, now, rng);
    }

    /// Delays the next call by as much as after the last failure.
    pub fn extend(&mut self, kind: CallKind, now: MonoTime, rng: &mut ChaCha8Rng) {
        let delay = self.delays.entry(kind).or_default();
        let doubled = Self::INITIAL.saturating_mul(1 << delay.failures.min(8));
        let wait = doubled.min(Self::MAX).mul_f64(rng.random_range(0.5..1.0));
        delay.until = delay.until.max(now.after(wait));
    }

    /// Delays the next call of a kind by at most `wait`.
    pub fn shorten(&mut self, kind: CallKind, wait: Duration, now: MonoTime) {
        if let Some(delay) = self.delays.get_mut(&kind) {
            delay.until = delay.until.min(now.after(wait));
        }
    }

    /// Delays the next call of a kind by at least `wait`.
    pub fn delay(&mut self, kind: CallKind, wait: Duration, now: MonoTime) {
        let delay = self.delays.entry(kind).or_default();
        delay.until = delay.until.max(now.after(wait));
    }
}
