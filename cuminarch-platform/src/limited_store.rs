use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cuminarch_types::{RatePerSecond, StoreEra};

use crate::{
    CallCounter, CallCounts, CallKind, Clock, Listing, Object, ObjectPath, ObjectStore,
    ObjectVersion, PlatformError, Precondition, TokenBucket,
};

/// Object store that holds calls back above a rate, also right after an outage.
///
/// A call without a token fails at once with [`PlatformError::RateLimited`] and
/// reaches no one; the caller tries again later.
#[derive(Clone)]
pub struct RateLimitedStore {
    inner: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
    bucket: Arc<Mutex<TokenBucket>>,
    counter: Arc<CallCounter>,
}

impl RateLimitedStore {
    /// Lets through `rate` calls a second and `burst` calls at once.
    #[must_use]
    pub fn new(
        inner: Arc<dyn ObjectStore>,
        clock: Arc<dyn Clock>,
        rate: RatePerSecond,
        burst: u32,
    ) -> Self {
        let bucket = TokenBucket::new(rate, burst, clock.now());
        let bucket = Arc::new(Mutex::new(bucket));
        Self { inner, clock, bucket, counter: Arc::default() }
    }

    /// Calls so far, by kind.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.counter.counts()
    }

    fn admit(&self, kind: CallKind) -> Result<&dyn ObjectStore, PlatformError> {
        let now = self.clock.now();
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        if bucket.try_take(now) {
            self.counter.count(kind);
            return Ok(self.inner.as_ref());
        }
        self.counter.count_refused();
        Err(PlatformError::RateLimited)
    }
}

impl ObjectStore for RateLimitedStore {
    fn get(&self, path: &ObjectPath) -> Result<Option<Object>, PlatformError> {
        self.admit(CallKind::Get)?.get(path)
    }

    fn put(
        &self,
        path: &ObjectPath,
        value: &str,
        expect: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        self.admit(CallKind::Write)?.put(path, value, expect)
    }

    fn delete(&self, path: &ObjectPath, expect: Precondition) -> Result<(), PlatformError> {
        self.admit(CallKind::Write)?.delete(path, expect)
    }

    fn list(&self, prefix: &ObjectPath) -> Result<Listing, PlatformError> {
        self.admit(CallKind::List)?.list(prefix)
    }

    fn list_allow_stale(&self, prefix: &ObjectPath) -> Result<Listing, PlatformError> {
        self.admit(CallKind::List)?.list_allow_stale(prefix)
    }

    fn latest_era(&self) -> StoreEra {
        self.inner.latest_era()
    }

    fn watch(
        &self,
        prefix: &ObjectPath,
        after: ObjectVersion,
        timeout: Duration,
    ) -> Result<Listing, PlatformError> {
        self.admit(CallKind::Watch)?.watch(prefix, after, timeout)
    }
}
