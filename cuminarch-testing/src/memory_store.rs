use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cuminarch_platform::{
    CallCounter, CallCounts, CallKind, Clock, HttpObjectStore, Listing, Object, ObjectPath,
    ObjectStore, ObjectVersion, PlatformError, Precondition, SystemClock,
};

use crate::store_limits::RateLimiter;
use crate::{PlatformFault, StoreLimits};

/// Everything a store held at one moment.
#[derive(Clone, Debug, Default)]
pub struct StoreSnapshot {
    objects: BTreeMap<ObjectPath, Object>,
    last_version: u64,
}

#[derive(Debug, Default)]
struct Inner {
    content: StoreSnapshot,
    fault: PlatformFault,
    disconnected_clients: BTreeSet<String>,
    limits: Option<RateLimiter>,
    /// Counts restores, so that waiting watches notice them.
    restore_count: u64,
}

#[derive(Debug, Default)]
struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
    counter: CallCounter,
    clock: SystemClock,
}

/// Object store in memory, with faults on command.
///
/// Clones share the objects; [`MemoryStore::for_caller`] gives a handle whose
/// caller can be cut off on its own.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    shared: Arc<Shared>,
    client: String,
}

impl MemoryStore {
    /// An empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A handle on the same store for a named caller.
    #[must_use]
    pub fn for_client(&self, caller: impl Into<String>) -> Self {
        Self { shared: Arc::clone(&self.shared), client: caller.into() }
    }

    /// Sets what is wrong from now on.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.lock().fault = fault;
        self.shared.changed.notify_all();
    }

    /// Cuts a caller off from the store, or ends the cut.
    pub fn set_disconnected(&self, caller: &str, is_cut: bool) {
        let mut inner = self.lock();
        if is_cut {
            inner.disconnected_clients.insert(caller.to_owned());
        } else {
            inner.disconnected_clients.remove(caller);
        }
        self.shared.changed.notify_all();
    }

    /// Refuses calls above the given rates from now on; none lifts the limits.
    pub fn set_limits(&self, limits: Option<StoreLimits>) {
        let now = self.shared.clock.now();
        self.lock().limits = limits.map(|limits| RateLimiter::new(limits, now));
    }

    /// Everything the store holds.
    #[must_use]
    pub fn snapshot(&self) -> StoreSnapshot {
        self.lock().content.clone()
    }

    /// Goes back to an earlier state, its versions included.
    pub fn restore(&self, snapshot: &StoreSnapshot) {
        let mut inner = self.lock();
        inner.content = snapshot.clone();
        inner.restore_count += 1;
        self.shared.changed.notify_all();
    }

    /// Number of calls so far, a waiting watch counting as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        let counts = self.counts();
        counts.total() + counts.refused
    }

    /// Calls so far by kind; those above a rate count as refused.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.shared.counter.counts()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin_call(&self, kind: CallKind) -> Result<MutexGuard<'_, Inner>, PlatformError> {
        let mut inner = self.lock();
        let now = self.shared.clock.now();
        if !inner.admit(kind, now) {
            self.shared.counter.count_refused();
            return Err(PlatformError::RateLimited);
        }
        self.shared.counter.count(kind);
        if let PlatformFault::Slow(delay) = inner.fault {
            drop(inner);
            std::thread::sleep(delay);
            inner = self.lock();
        }
        inner.check_reachable(&self.client)?;
        Ok(inner)
    }

    fn write<T>(
        &self,
        path: &ObjectPath,
        expect: Precondition,
        change: impl FnOnce(&mut StoreSnapshot) -> T,
    ) -> Result<T, PlatformError> {
        let mut inner = self.begin_call(CallKind::Write)?;
        inner.check_precondition(path, expect)?;
        inner.content.last_version += 1;
        let value = change(&mut inner.content);
        self.shared.changed.notify_all();
        match inner.fault {
            PlatformFault::LoseAnswers => {
                Err(PlatformError::Ambiguous { reason: "told to lose answers".to_owned() })
            }
            _ => Ok(value),
        }
    }
}

impl Inner {
    fn admit(&mut self, kind: CallKind, now: cuminarch_types::MonoTime) -> bool {
        match (&mut self.limits, kind) {
            (None, _) => true,
            (Some(limits), CallKind::Write) => limits.admit_write(now),
            (Some(limits), _) => limits.admit_read(now),
        }
    }

    fn check_reachable(&self, caller: &str) -> Result<(), PlatformError> {
        let reason = match self.fault {
            PlatformFault::Down => "told to be down",
            _ if self.disconnected_clients.contains(caller) => {
                "told to be cut off from this caller"
            }
            _ => return Ok(()),
        };
        Err(PlatformError::Unavailable { reason: reason.to_owned() })
    }

    fn check_precondition(
        &self,
        path: &ObjectPath,
        expect: Precondition,
    ) -> Result<(), PlatformError> {
        let current = self.content.objects.get(path);
        let fits = match expect {
            Precondition::Any => true,
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => {
                current.is_some_and(|object| object.version == version)
            }
        };
        if fits {
            return Ok(());
        }
        Err(PlatformError::Conflict { path: path.clone(), current: current.cloned().map(Box::new) })
    }

    fn listing(&self, prefix: &ObjectPath, after: ObjectVersion) -> Listing {
        let objects = self
            .content
            .objects
            .values()
            .filter(|object| object.path.as_str().starts_with(prefix.as_str()))
            .filter(|object| object.version > after)
            .cloned()
            .collect();
        Listing { version: ObjectVersion::new(self.content.last_version), objects }
    }
}

impl ObjectStore for MemoryStore {
    fn get(&self, path: &ObjectPath) -> Result<Option<Object>, PlatformError> {
        Ok(self.begin_call(CallKind::Get)?.content.objects.get(path).cloned())
    }

    fn put(
        &self,
        path: &ObjectPath,
        value: &str,
        expect: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        let max_bytes = HttpObjectStore::MAX_VALUE_BYTES;
        if value.len() > max_bytes {
            return Err(PlatformError::TooLarge { len_bytes: value.len(), max_bytes });
        }
        self.write(path, expect, |content| {
            let version = ObjectVersion::new(content.last_version);
            let object = Object { path: path.clone(), version, value: value.to_owned() };
            content.objects.insert(path.clone(), object);
            version
        })
    }

    fn delete(&self, path: &ObjectPath, expect: Precondition) -> Result<(), PlatformError> {
        self.write(path, expect, |content| {
            content.objects.remove(path);
        })
    }

    fn list(&self, prefix: &ObjectPath) -> Result<Listing, PlatformError> {
        Ok(self.begin_call(CallKind::List)?.listing(prefix, ObjectVersion::default()))
    }

    fn watch(
        &self,
        prefix: &ObjectPath,
        after: ObjectVersion,
        timeout: Duration,
    ) -> Result<Listing, PlatformError> {
        let until = Instant::now() + timeout;
        let mut inner = self.begin_call(CallKind::Watch)?;
        let restores = inner.restore_count;
        loop {
            inner.check_reachable(&self.client)?;
            let listing = inner.listing(prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            let is_back = listing.version < after || inner.restore_count != restores;
            if !listing.objects.is_empty() || is_back || left.is_zero() {
                return Ok(listing);
            }
            let waited = self.shared.changed.wait_timeout(inner, left);
            inner = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
