use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cuminarch_platform::{
    CallCounter, CallCounts, CallKind, Clock, HttpObjectStore, Listing, Object, ObjectPath,
    ObjectStore, ObjectVersion, PlatformError, Precondition, SystemClock,
};

use crate::store_limits::RateLimiter;
use crate::{PlatformFault, StoreLimits};

/// The complete state of a store at one point in time.
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
    /// Number of restores; ends waiting watches when it changes.
    restore_count: u64,
}

#[derive(Debug, Default)]
struct Shared {
    inner: Mutex<Inner>,
    changed: Condvar,
    counter: CallCounter,
    clock: SystemClock,
}

/// In-memory object store with fault injection.
///
/// Clones share the objects; [`MemoryStore::for_client`] returns a handle whose
/// client can be disconnected separately.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    shared: Arc<Shared>,
    client: String,
}

impl MemoryStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a handle to the same store for a named client.
    #[must_use]
    pub fn for_client(&self, client: impl Into<String>) -> Self {
        Self { shared: Arc::clone(&self.shared), client: client.into() }
    }

    /// Sets the fault that applies from now on.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.lock().fault = fault;
        self.shared.changed.notify_all();
    }

    /// Disconnects a client from the store or reconnects it.
    pub fn set_disconnected(&self, client: &str, is_disconnected: bool) {
        let mut inner = self.lock();
        if is_disconnected {
            inner.disconnected_clients.insert(client.to_owned());
        } else {
            inner.disconnected_clients.remove(client);
        }
        self.shared.changed.notify_all();
    }

    /// Refuses calls above the given rates from now on; `None` removes the limits.
    pub fn set_limits(&self, limits: Option<StoreLimits>) {
        let now = self.shared.clock.now();
        self.lock().limits = limits.map(|limits| RateLimiter::new(limits, now));
    }

    /// Returns a copy of the complete state.
    #[must_use]
    pub fn snapshot(&self) -> StoreSnapshot {
        self.lock().content.clone()
    }

    /// Restores an earlier state, including its versions.
    pub fn restore(&self, snapshot: &StoreSnapshot) {
        let mut inner = self.lock();
        inner.content = snapshot.clone();
        inner.restore_count += 1;
        self.shared.changed.notify_all();
    }

    /// Returns the number of calls so far, refused ones included; a watch counts once.
    #[must_use]
    pub fn calls(&self) -> u64 {
        let counts = self.counts();
        counts.total() + counts.refused
    }

    /// Returns the calls so far by kind; those above a rate limit count as refused.
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
        precondition: Precondition,
        change: impl FnOnce(&mut StoreSnapshot) -> T,
    ) -> Result<T, PlatformError> {
        let mut inner = self.begin_call(CallKind::Write)?;
        inner.check_precondition(path, precondition)?;
        inner.content.last_version += 1;
        let value = change(&mut inner.content);
        self.shared.changed.notify_all();
        match inner.fault {
            PlatformFault::LoseAnswers => {
                Err(PlatformError::Ambiguous { reason: "fault injection: answer lost".to_owned() })
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

    fn check_reachable(&self, client: &str) -> Result<(), PlatformError> {
        let reason = match self.fault {
            PlatformFault::Down => "fault injection: platform down",
            _ if self.disconnected_clients.contains(client) => {
                "fault injection: client disconnected"
            }
            _ => return Ok(()),
        };
        Err(PlatformError::Unavailable { reason: reason.to_owned() })
    }

    fn check_precondition(
        &self,
        path: &ObjectPath,
        precondition: Precondition,
    ) -> Result<(), PlatformError> {
        let current = self.content.objects.get(path);
        let is_met = match precondition {
            Precondition::Any => true,
            Precondition::Absent => current.is_none(),
            Precondition::Version(version) => {
                current.is_some_and(|object| object.version == version)
            }
        };
        if is_met {
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
        precondition: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        let max_bytes = HttpObjectStore::MAX_VALUE_BYTES;
        if value.len() > max_bytes {
            return Err(PlatformError::TooLarge { len_bytes: value.len(), max_bytes });
        }
        self.write(path, precondition, |content| {
            let version = ObjectVersion::new(content.last_version);
            let object = Object { path: path.clone(), version, value: value.to_owned() };
            content.objects.insert(path.clone(), object);
            version
        })
    }

    fn delete(&self, path: &ObjectPath, precondition: Precondition) -> Result<(), PlatformError> {
        self.write(path, precondition, |content| {
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
        let deadline = Instant::now() + timeout;
        let mut inner = self.begin_call(CallKind::Watch)?;
        let restore_count = inner.restore_count;
        loop {
            inner.check_reachable(&self.client)?;
            let listing = inner.listing(prefix, after);
            let remaining = deadline.saturating_duration_since(Instant::now());
            let is_restored = listing.version < after || inner.restore_count != restore_count;
            if !listing.objects.is_empty() || is_restored || remaining.is_zero() {
                return Ok(listing);
            }
            let waited = self.shared.changed.wait_timeout(inner, remaining);
            inner = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
