use std::collections::VecDeque;
use std::time::Duration;

use cuminarch_types::MonoTime;

/// Number of requests started in the recent past, at a resolution of [`Self::BUCKET`].
#[derive(Clone, Debug, Default)]
pub struct RecentStarts {
    /// Bucket number and starts in it, oldest first.
    buckets: VecDeque<(u64, u32)>,
}

impl RecentStarts {
    const BUCKET: Duration = Duration::from_millis(100);
    /// Longest time for which starts are counted.
    pub const MAX_AGE: Duration = Duration::from_secs(4);

    /// Creates a count of zero.
    pub const fn new() -> Self {
        Self { buckets: VecDeque::new() }
    }

    /// Counts a start.
    pub fn record(&mut self, now: MonoTime) {
        let bucket = Self::bucket_of(now);
        match self.buckets.back_mut() {
            Some((latest, count)) if *latest >= bucket => *count += 1,
            _ => self.buckets.push_back((bucket, 1)),
        }
        let oldest = bucket.saturating_sub(Self::buckets_in(Self::MAX_AGE));
        while self.buckets.front().is_some_and(|(bucket, _)| *bucket < oldest) {
            self.buckets.pop_front();
        }
    }

    /// Returns the number of starts within `age`, at most [`Self::MAX_AGE`].
    pub fn within(&self, age: Duration, now: MonoTime) -> u32 {
        let oldest = Self::bucket_of(now).saturating_sub(Self::buckets_in(age));
        let recent = self.buckets.iter().rev().take_while(|(bucket, _)| *bucket > oldest);
        recent.map(|(_, count)| count).sum()
    }

    const fn bucket_of(time: MonoTime) -> u64 {
        time.as_micros() / Self::BUCKET.as_micros() as u64
    }

    const fn buckets_in(age: Duration) -> u64 {
        (age.as_micros() / Self::BUCKET.as_micros()) as u64
    }
}
