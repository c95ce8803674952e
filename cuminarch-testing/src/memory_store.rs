use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cuminarch_platform::{
    Expect, Listing, Object, ObjectPath, ObjectStore, ObjectVersion, PlatformError,
};

/// What is wrong with the platform at the moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PlatformFault {
    /// Nothing.
    #[default]
    None,
    /// Every call fails.
    Down,
    /// Writes take effect, but their answers are lost.
    LoseAnswers,
}

#[derive(Debug, Default)]
struct Inner {
    objects: BTreeMap<ObjectPath, Object>,
    last_version: u64,
    fault: PlatformFault,
    calls: u64,
}

/// Object store in memory, with faults on command.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    shared: Arc<(Mutex<Inner>, Condvar)>,
}

impl MemoryStore {
    /// An empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets what is wrong from now on.
    pub fn set_fault(&self, fault: PlatformFault) {
        self.lock().fault = fault;
        self.shared.1.notify_all();
    }

    /// Number of calls so far, a waiting watch counting as one.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin(&self) -> Result<MutexGuard<'_, Inner>, PlatformError> {
        let mut inner = self.lock();
        inner.calls += 1;
        match inner.fault {
            PlatformFault::Down => {
                Err(PlatformError::Unavailable { reason: "told to be down".to_owned() })
            }
            PlatformFault::None | PlatformFault::LoseAnswers => Ok(inner),
        }
    }
}

impl Inner {
    fn check(&self, path: &ObjectPath, expect: Expect) -> Result<(), PlatformError> {
        let current = self.objects.get(path);
        let fits = match expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Version(version) => current.is_some_and(|object| object.version == version),
        };
        if fits {
            return Ok(());
        }
        Err(PlatformError::Conflict { path: path.clone(), current: current.cloned().map(Box::new) })
    }

    fn answer<T>(&self, value: T) -> Result<T, PlatformError> {
        match self.fault {
            PlatformFault::LoseAnswers => {
                Err(PlatformError::Ambiguous { reason: "told to lose answers".to_owned() })
            }
            PlatformFault::Down | PlatformFault::None => Ok(value),
        }
    }

    fn listing(&self, prefix: &ObjectPath, after: ObjectVersion) -> Listing {
        let objects = self
            .objects
            .values()
            .filter(|object| object.path.as_str().starts_with(prefix.as_str()))
            .filter(|object| object.version > after)
            .cloned()
            .collect();
        Listing { version: ObjectVersion::new(self.last_version), objects }
    }
}

impl ObjectStore for MemoryStore {
    fn get(&self, path: &ObjectPath) -> Result<Option<Object>, PlatformError> {
        Ok(self.begin()?.objects.get(path).cloned())
    }

    fn put(
        &self,
        path: &ObjectPath,
        value: &str,
        expect: Expect,
    ) -> Result<ObjectVersion, PlatformError> {
        let mut inner = self.begin()?;
        inner.check(path, expect)?;
        inner.last_version += 1;
        let version = ObjectVersion::new(inner.last_version);
        let object = Object { path: path.clone(), version, value: value.to_owned() };
        inner.objects.insert(path.clone(), object);
        self.shared.1.notify_all();
        inner.answer(version)
    }

    fn delete(&self, path: &ObjectPath, expect: Expect) -> Result<(), PlatformError> {
        let mut inner = self.begin()?;
        inner.check(path, expect)?;
        inner.last_version += 1;
        inner.objects.remove(path);
        self.shared.1.notify_all();
        inner.answer(())
    }

    fn list(&self, prefix: &ObjectPath) -> Result<Listing, PlatformError> {
        Ok(self.begin()?.listing(prefix, ObjectVersion::default()))
    }

    fn watch(
        &self,
        prefix: &ObjectPath,
        after: ObjectVersion,
        timeout: Duration,
    ) -> Result<Listing, PlatformError> {
        let until = Instant::now() + timeout;
        let mut inner = self.begin()?;
        loop {
            let listing = inner.listing(prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !listing.objects.is_empty() || left.is_zero() {
                return Ok(listing);
            }
            if inner.fault == PlatformFault::Down {
                return Err(PlatformError::Unavailable { reason: "told to be down".to_owned() });
            }
            inner =
                self.shared.1.wait_timeout(inner, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
