//! One line for each unusual decision on a request, bounded in number.

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

/// Decides which decisions are written, so that a surge does not become one of log
/// lines as well.
#[derive(Debug)]
pub struct LogRateLimiter {
    buckets: RefCell<BTreeMap<NodeEvent, Bucket>>,
}

impl LogRateLimiter {
    /// Lines of one event per second in the long run; with a dozen events some ten
    /// kilobytes a second at most.
    const LINES_PER_S: f64 = 5.0;
    /// Lines of one event at once.
    const BURST: f64 = 20.0;

    pub fn new() -> Self {
        Self { buckets: RefCell::new(BTreeMap::new()) }
    }

    /// Whether a line may be written; if so, how many of its event were left out
    /// since the last one.
    pub fn admit(&self, event: NodeEvent) -> Option<u64> {
        let now = Instant::now();
        let mut buckets = self.buckets.borrow_mut();
        let full = Bucket { tokens: Self::BURST, filled_at: now, suppressed: 0 };
        let bucket = buckets.entry(event).or_insert(full);
        let passed: Duration = now.duration_since(bucket.filled_at);
        bucket.filled_at = now;
        bucket.tokens = (bucket.tokens + passed.as_secs_f64() * Self::LINES_PER_S).min(Self::BURST);
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}
