use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cuminarch_types::{RatePerSecond, StoreEra};

use crate::{
    CallCounter, CallCounts, CallKind, Clock, Listing, Object, ObjectPath, ObjectStore,
    ObjectVersion, PlatformError, Precondition, TokenBucket,
};

/// Object store that refuses calls above a rate, also right after an outage.
///
/// A call without a token fails immediately with [`PlatformError::RateLimited`] and is not sent;
/// the caller tries again later.
#[derive(Clone)]
pub struct RateLimitedStore {
    inner: Arc<dyn ObjectStore>,
    clock: Arc<dyn Clock>,
    bucket: Arc<Mutex<TokenBucket>>,
    counter: Arc<CallCounter>,
}

impl RateLimitedStore {
    /// Creates a store that admits `rate` calls per second and bursts of `burst` calls.
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

    /// Returns the number of calls so far, by kind.
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
        precondition: Precondition,
    ) -> Result<ObjectVersion, PlatformError> {
        self.admit(CallKind::Write)?.put(path, value, precondition)
    }

    fn delete(&self, path: &ObjectPath, precondition: Precondition) -> Result<(), PlatformError> {
        self.admit(CallKind::Write)?.delete(path, precondition)
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
