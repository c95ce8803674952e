use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{MonoTime, Rank};

/// Adapts the admission level of one endpoint once per window.
///
/// While requests wait too long or are refused for lack of capacity, the level rises to the point
/// where the requests offered above it match the number started. Otherwise it falls in doubling
/// steps, so that refusals do not outlast their cause. The scheme follows DAGOR (Zhou et al., SoCC
/// 2018), which moves the level by fixed shares.
#[derive(Clone, Debug)]
pub struct LevelControl {
    target_wait: Duration,
    level: Rank,
    step: u16,
    window_started_at: MonoTime,
    offers: u32,
    starts: u32,
    refusals: u32,
    /// Requests that were offered while there was no room.
    offers_without_room: u32,
    total_wait: Duration,
    offered_milli: BTreeMap<Rank, u64>,
    started_milli: u64,
}

impl LevelControl {
    const MIN_WINDOW: Duration = Duration::from_millis(100);
    const MAX_WINDOW: Duration = Duration::from_millis(500);
    const FULL_WINDOW_OFFERS: u32 = 20;
    const INITIAL_STEP: u16 = 2;
    const MAX_STEP: u16 = 256;
    /// Percentage of the counts retained per window.
    const RETAINED_PERCENT: u64 = 75;
    const MIN_COUNT_MILLI: u64 = 50;
    /// If more than this percentage of offers finds no room, the level does not fall.
    const STEADY_CROWDED_PERCENT: u32 = 30;
    /// Enough steps to lower any level to the minimum.
    const MAX_STEPS_PER_WINDOW: u128 = 40;

    /// Creates a control that admits everything.
    #[must_use]
    pub const fn new(target_wait: Duration) -> Self {
        Self {
            target_wait,
            level: Rank::MIN,
            step: Self::INITIAL_STEP,
            window_started_at: MonoTime::ZERO,
            offers: 0,
            starts: 0,
            refusals: 0,
            offers_without_room: 0,
            total_wait: Duration::ZERO,
            offered_milli: BTreeMap::new(),
            started_milli: 0,
        }
    }

    /// Returns the current level.
    #[must_use]
    pub const fn level(&self) -> Rank {
        self.level
    }

    /// Records an offered request and whether it found room.
    pub fn record_offer(&mut self, rank: Rank, has_room: bool) {
        self.offers += 1;
        self.offers_without_room += u32::from(!has_room);
        *self.offered_milli.entry(rank).or_default() += 1_000;
    }

    /// Records a started request and the time it was queued.
    pub fn record_start(&mut self, waited: Duration) {
        self.starts += 1;
        self.started_milli += 1_000;
        self.total_wait += waited;
    }

    /// Records a request refused for lack of capacity.
    pub const fn record_refusal(&mut self) {
        self.refusals += 1;
    }

    /// Adapts the level if the window is over.
    pub fn advance(&mut self, now: MonoTime) {
        let age = now.since(self.window_started_at);
        if age < Self::MIN_WINDOW {
            return;
        }
        let is_overloaded = self.refusals > 0 || self.total_wait > self.target_wait * self.starts;
        if !is_overloaded
            && self.offers_without_room * 100 > self.offers * Self::STEADY_CROWDED_PERCENT
        {
            self.step = Self::INITIAL_STEP;
        } else if !is_overloaded {
            self.lower_level(age);
        } else if self.offers >= Self::FULL_WINDOW_OFFERS || age >= Self::MAX_WINDOW {
            self.step = Self::INITIAL_STEP;
            self.level = self.level.max(self.fitting_level());
        } else {
            return;
        }
        self.open_window(now);
    }

    /// Lowers the level once for each window without overload.
    fn lower_level(&mut self, age: Duration) {
        let windows = age.as_micros() / Self::MIN_WINDOW.as_micros();
        for _ in 0..windows.min(Self::MAX_STEPS_PER_WINDOW) {
            self.level = Rank::new(self.level.get().saturating_sub(self.step));
            self.step = (self.step * 2).min(Self::MAX_STEP);
        }
    }

    /// Returns the lowest level above which no more requests are offered than were started.
    fn fitting_level(&self) -> Rank {
        let mut above_milli = 0;
        let mut level = Rank::MAX;
        for (rank, count_milli) in self.offered_milli.iter().rev() {
            above_milli += count_milli;
            if above_milli > self.started_milli {
                let next = Rank::new(rank.get() + 1);
                return next.min(level);
            }
            level = *rank;
        }
        Rank::MIN
    }

    fn open_window(&mut self, now: MonoTime) {
        self.window_started_at = now;
        self.offers = 0;
        self.starts = 0;
        self.refusals = 0;
        self.offers_without_room = 0;
        self.total_wait = Duration::ZERO;
        self.started_milli = self.started_milli * Self::RETAINED_PERCENT / 100;
        self.offered_milli.retain(|_, count_milli| {
            *count_milli = *count_milli * Self::RETAINED_PERCENT / 100;
            *count_milli >= Self::MIN_COUNT_MILLI
        });
    }
}
