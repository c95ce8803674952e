use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::MonoTime;

use crate::{Backoff, Listing, Object, ObjectPath, ObjectVersion, PlatformError};

/// Next step of a [`PrefixWatcher`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchStep {
    /// List all objects.
    List,
    /// Watch for changes after a version.
    Watch {
        /// Last known version of the store.
        after: ObjectVersion,
    },
    /// Wait before the next step.
    Wait(Duration),
}

/// A change under the watched prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchChange {
    /// An object is new or has another version.
    Put(Object),
    /// An object was removed.
    Removed(ObjectPath),
}

/// Tracks the objects under a prefix with watches, and with listings where watches do not
/// suffice: at the start, after failures, when the store's version decreases, and at intervals,
/// because a watch may miss changes and does not report removals. Repeated reports of a change
/// are dropped; they are recognised by version and value, because a restored store assigns the
/// same versions again.
#[derive(Clone, Debug)]
pub struct PrefixWatcher {
    after: Option<ObjectVersion>,
    known_objects: BTreeMap<ObjectPath, Object>,
    listed_at: MonoTime,
    resync_interval: Duration,
    delay: Option<Duration>,
    backoff: Backoff,
}

impl PrefixWatcher {
    /// Creates a watcher that knows no objects and lists at least once per interval.
    #[must_use]
    pub const fn new(resync_interval: Duration, backoff: Backoff) -> Self {
        Self {
            after: None,
            known_objects: BTreeMap::new(),
            listed_at: MonoTime::ZERO,
            resync_interval,
            delay: None,
            backoff,
        }
    }

    /// Returns the next step. A wait is returned once.
    pub fn next_step(&mut self, now: MonoTime) -> WatchStep {
        if let Some(delay) = self.delay.take() {
            return WatchStep::Wait(delay);
        }
        match self.after {
            Some(after) if now.since(self.listed_at) < self.resync_interval => {
                WatchStep::Watch { after }
            }
            _ => WatchStep::List,
        }
    }

    /// Applies the result of [`WatchStep::List`] and returns the changes.
    pub fn on_list(
        &mut self,
        result: Result<Listing, PlatformError>,
        now: MonoTime,
    ) -> Vec<WatchChange> {
        let Some(listing) = self.handle_result(result) else { return Vec::new() };
        self.listed_at = now;
        self.after = Some(listing.version);
        let is_listed =
            |path: &ObjectPath| listing.objects.iter().any(|object| object.path == *path);
        let removed: Vec<ObjectPath> =
            self.known_objects.keys().filter(|path| !is_listed(path)).cloned().collect();
        self.known_objects.retain(|path, _| !removed.contains(path));
        let mut changes: Vec<WatchChange> = removed.into_iter().map(WatchChange::Removed).collect();
        changes.extend(self.record_changes(listing.objects));
        changes
    }

    /// Applies the result of [`WatchStep::Watch`] and returns the changes.
    pub fn on_watch(&mut self, result: Result<Listing, PlatformError>) -> Vec<WatchChange> {
        let Some(listing) = self.handle_result(result) else { return Vec::new() };
        if self.after.is_some_and(|after| listing.version < after) {
            self.after = None;
            return Vec::new();
        }
        self.after = Some(listing.version);
        self.record_changes(listing.objects)
    }

    fn handle_result(&mut self, result: Result<Listing, PlatformError>) -> Option<Listing> {
        match result {
            Ok(listing) => {
                self.backoff.reset();
                Some(listing)
            }
            Err(_) => {
                self.after = None;
                self.delay = Some(self.backoff.next_delay());
                None
            }
        }
    }

    fn record_changes(&mut self, objects: Vec<Object>) -> Vec<WatchChange> {
        let mut changes = Vec::new();
        for object in objects {
            if self.known_objects.get(&object.path) != Some(&object) {
                self.known_objects.insert(object.path.clone(), object.clone());
                changes.push(WatchChange::Put(object));
            }
        }
        changes
    }
}
