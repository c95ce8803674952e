use std::time::Duration;

use cuminarch_types::StoreEra;

use crate::{Listing, Object, ObjectPath, ObjectVersion, PlatformError, Precondition};

/// What the system needs of the platform. Each method is one counted call.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    fn get(&self, path: &ObjectPath) -> Result<Option<Object>, PlatformError>;

    /// Writes an object if it is as expected, and returns its new version.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Conflict`] when it is not as expected, and
    /// with [`PlatformError::Ambiguous`] when the write may have taken effect.
    fn put(
        &self,
        path: &ObjectPath,
        value: &str,
        expect: Precondition,
    ) -> Result<ObjectVersion, PlatformError>;

    /// Removes an object if it is as expected; removing none is no fault.
    ///
    /// # Errors
    ///
    /// As for [`ObjectStore::put`].
    fn delete(&self, path: &ObjectPath, expect: Precondition) -> Result<(), PlatformError>;

    /// Reads all objects whose path begins with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    fn list(&self, prefix: &ObjectPath) -> Result<Listing, PlatformError>;

    /// The same as [`ObjectStore::list`], but what it returns may be some seconds old,
    /// where the platform gives that at a lower price.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    fn list_allow_stale(&self, prefix: &ObjectPath) -> Result<Listing, PlatformError> {
        self.list(prefix)
    }

    /// Latest era of the store that any of its answers has named, also those that were
    /// errors. Stores that never come back from a copy name none.
    fn latest_era(&self) -> StoreEra {
        StoreEra::default()
    }

    /// Waits until an object under `prefix` has a version above `after`, or
    /// `timeout` has passed, and returns the objects changed since, if any.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    fn watch(
        &self,
        prefix: &ObjectPath,
        after: ObjectVersion,
        timeout: Duration,
    ) -> Result<Listing, PlatformError>;
}
