use std::collections::VecDeque;
use std::time::Duration;

use cuminarch_types::MonoTime;

use crate::PartSummary;
use crate::share::Share;

/// Token bucket of a part. Tokens in it and tokens that were handed out and may still be used
/// together never exceed the burst.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    rate_micro_per_s: u64,
    burst_micro: u64,
    level_micro: u64,
    /// Refill of less than a millionth of a token, in millionths of that.
    remainder: u64,
    /// Until when the level is up to date; in the future during a quarantine.
    filled_at: MonoTime,
    outstanding: VecDeque<(MonoTime, u64)>,
    outstanding_micro: u64,
}

impl Bucket {
    /// Creates an empty bucket that refills from `refills_from` on.
    pub(crate) const fn new(share: &Share, refills_from: MonoTime) -> Self {
        Self {
            rate_micro_per_s: share.rate_micro_per_s,
            burst_micro: share.burst_micro,
            level_micro: 0,
            remainder: 0,
            filled_at: refills_from,
            outstanding: VecDeque::new(),
            outstanding_micro: 0,
        }
    }

    /// Empties the bucket, which refills from `refills_from` on.
    pub(crate) fn quarantine(&mut self, refills_from: MonoTime) {
        self.level_micro = 0;
        self.remainder = 0;
        self.filled_at = self.filled_at.max(refills_from);
    }

    /// Refills from `refills_from` on, if not earlier.
    pub(crate) fn end_quarantine(&mut self, refills_from: MonoTime) {
        self.filled_at = self.filled_at.min(refills_from);
    }

    /// Applies a changed limit; the level is cut at once.
    pub(crate) fn resize(&mut self, share: &Share, now: MonoTime) {
        self.refill(now);
        self.rate_micro_per_s = share.rate_micro_per_s;
        self.burst_micro = share.burst_micro;
        self.remainder = 0;
        self.level_micro = self.level_micro.min(self.room_micro());
    }

    /// Brings the level up to date.
    pub(crate) fn refill(&mut self, now: MonoTime) {
        while self.outstanding.front().is_some_and(|(until, _)| *until <= now) {
            let expired = self.outstanding.pop_front().map_or(0, |(_, micro)| micro);
            self.outstanding_micro -= expired;
        }
        if now <= self.filled_at {
            return;
        }
        let elapsed = now.since(self.filled_at).as_micros();
        let gained = elapsed * u128::from(self.rate_micro_per_s) + u128::from(self.remainder);
        self.filled_at = now;
        self.remainder = u64::try_from(gained % 1_000_000).unwrap_or(0);
        let whole = u64::try_from(gained / 1_000_000).unwrap_or(u64::MAX);
        self.add(whole);
    }

    /// Adds tokens as far as the burst allows.
    pub(crate) fn add(&mut self, micro: u64) {
        self.level_micro = self.level_micro.saturating_add(micro).min(self.room_micro());
    }

    /// Takes tokens that may be used until `until`.
    pub(crate) fn take(&mut self, micro: u64, until: MonoTime) -> u64 {
        let taken = micro.min(self.level_micro);
        // Whole milliseconds bound the number of entries.
        let until = MonoTime::from_millis(until.as_micros().div_ceil(1_000));
        if taken > 0 {
            self.level_micro -= taken;
            self.outstanding_micro += taken;
            let place = self.outstanding.partition_point(|(known, _)| *known <= until);
            match place.checked_sub(1).and_then(|last| self.outstanding.get_mut(last)) {
                Some((known, micro)) if *known == until => *micro += taken,
                _ => self.outstanding.insert(place, (until, taken)),
            }
        }
        taken
    }

    pub(crate) const fn level_micro(&self) -> u64 {
        self.level_micro
    }

    /// Returns the time until the level reaches `micro`, as far as the burst allows that.
    pub(crate) fn time_to(&self, micro: u64, share: &Share, now: MonoTime) -> Duration {
        let missing = micro.saturating_sub(self.level_micro);
        self.filled_at.since(now) + share.refill_time(missing)
    }

    /// Describes the bucket as it was last used.
    pub(crate) fn summary(&self, shard: u8, waiting_asks: usize, now: MonoTime) -> PartSummary {
        PartSummary {
            shard,
            level_milli: self.level_micro / 1_000,
            outstanding_milli: self.outstanding_micro / 1_000,
            burst_milli: self.burst_micro / 1_000,
            rate_milli_per_s: self.rate_micro_per_s / 1_000,
            waiting_asks,
            quarantine: self.filled_at.since(now),
            age: now.since(self.filled_at),
        }
    }

    const fn room_micro(&self) -> u64 {
        self.burst_micro.saturating_sub(self.outstanding_micro)
    }
}
