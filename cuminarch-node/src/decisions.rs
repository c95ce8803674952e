//! Rate limit of the log lines about refusals and failures of requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::event::NodeEvent;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
    suppressed: u64,
}

/// Token buckets, one for each event, that limit log lines, so that a surge of requests does not
/// cause a surge of log lines.
#[derive(Debug)]
pub struct LogRateLimiter {
    buckets: RefCell<BTreeMap<NodeEvent, Bucket>>,
}

impl LogRateLimiter {
    /// Sustained rate of lines of one event; with a dozen events at most about 10 kB/s.
    const LINES_PER_S: f64 = 5.0;
    /// Maximum burst of lines of one event.
    const BURST: f64 = 20.0;

    pub fn new() -> Self {
        Self { buckets: RefCell::new(BTreeMap::new()) }
    }

    /// Returns the number of lines of this event that were suppressed since the last one, or `None`
    /// if the line must not be written.
    pub fn admit(&self, event: NodeEvent) -> Option<u64> {
        let now = Instant::now();
        let mut buckets = self.buckets.borrow_mut();
        let full = Bucket { tokens: Self::BURST, filled_at: now, suppressed: 0 };
        let bucket = buckets.entry(event).or_insert(full);
        let elapsed: Duration = now.duration_since(bucket.filled_at);
        bucket.filled_at = now;
        bucket.tokens =
            (bucket.tokens + elapsed.as_secs_f64() * Self::LINES_PER_S).min(Self::BURST);
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}
