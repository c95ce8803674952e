use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::MonoTime;

use crate::{Backoff, Listing, Object, ObjectPath, ObjectVersion, PlatformError};

/// What a follower of a prefix does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchStep {
    /// Read all objects.
    List,
    /// Wait for a change after a version.
    Watch {
        /// Version of the store that is known.
        after: ObjectVersion,
    },
    /// Do nothing for a while.
    Wait(Duration),
}

/// A change under the followed prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchChange {
    /// An object is new or has another version.
    Put(Object),
    /// An object is gone.
    Removed(ObjectPath),
}

/// Follows the objects under a prefix by watches, and by listings where watches
/// do not suffice: at the start, after failures, when the store's version goes
/// back, and at intervals, because a watch may miss changes and reports no
/// removals. Repeated reports are passed on once; they are told by version and
/// value, since a store that went back gives the same versions again.
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
    /// A follower that knows nothing and lists at least once per interval.
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

    /// What to do next. A wait is asked for once.
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

    /// Takes in the result of [`WatchStep::List`].
    pub fn on_list(
        &mut self,
        result: Result<Listing, PlatformError>,
        now: MonoTime,
    ) -> Vec<WatchChange> {
        let Some(listing) = self.handle_result(result) else { return Vec::new() };
        self.listed_at = now;
        self.after = Some(listing.version);
        let is_there =
            |path: &ObjectPath| listing.objects.iter().any(|object| object.path == *path);
        let gone: Vec<ObjectPath> =
            self.known_objects.keys().filter(|path| !is_there(path)).cloned().collect();
        self.known_objects.retain(|path, _| !gone.contains(path));
        let mut changes: Vec<WatchChange> = gone.into_iter().map(WatchChange::Removed).collect();
        changes.extend(self.record_changes(listing.objects));
        changes
    }

    /// Takes in the result of [`WatchStep::Watch`].
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
