use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Kind of a call to the platform.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallKind {
    /// Reading one object.
    Get,
    /// Writing or removing one object.
    Write,
    /// Reading all objects under a prefix.
    List,
    /// Waiting for a change; counts as one call however long it waits.
    Watch,
}

/// Number of calls to the platform so far, by kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Objects read.
    pub gets: u64,
    /// Objects written or removed.
    pub writes: u64,
    /// Listings.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Calls that a rate limit refused.
    pub refused: u64,
}

impl CallCounts {
    /// Returns the number of calls that were not refused.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.gets + self.writes + self.lists + self.watches
    }
}

/// Counts calls from several threads.
#[derive(Debug, Default)]
pub struct CallCounter {
    gets: AtomicU64,
    writes: AtomicU64,
    lists: AtomicU64,
    watches: AtomicU64,
    refused: AtomicU64,
}

impl CallCounter {
    /// Counts one call.
    pub fn count(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Get => &self.gets,
            CallKind::Write => &self.writes,
            CallKind::List => &self.lists,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts one call that a rate limit refused.
    pub fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CallCounts {
            gets: read(&self.gets),
            writes: read(&self.writes),
            lists: read(&self.lists),
            watches: read(&self.watches),
            refused: read(&self.refused),
        }
    }
}
