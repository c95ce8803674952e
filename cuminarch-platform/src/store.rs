use std::time::Duration;

use cuminarch_types::StoreEra;

use crate::{Listing, Object, ObjectPath, ObjectVersion, PlatformError, Precondition};

/// The object store of the platform. Each read, write, listing and watch is one counted call.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    fn get(&self, path: &ObjectPath) -> Result<Option<Object>, PlatformError>;

    /// Writes an object if it meets the precondition, and returns its new version.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Conflict`] if the precondition does not hold, and with
    /// [`PlatformError::Ambiguous`] if the write may have taken effect.
    fn put(
        &self,
        path: &ObjectPath,
        value: &str,
        precondition: Precondition,
    ) -> Result<ObjectVersion, PlatformError>;

    /// Removes an object if it meets the precondition. Removing an absent object is not an error.
    ///
    /// # Errors
    ///
    /// As for [`ObjectStore::put`].
    fn delete(&self, path: &ObjectPath, precondition: Precondition) -> Result<(), PlatformError>;

    /// Reads all objects whose path begins with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    fn list(&self, prefix: &ObjectPath) -> Result<Listing, PlatformError>;

    /// Same as [`ObjectStore::list`], but the result may be some seconds old if the platform offers
    /// that at a lower cost.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    fn list_allow_stale(&self, prefix: &ObjectPath) -> Result<Listing, PlatformError> {
        self.list(prefix)
    }

    /// Returns the latest era of the store in any of its answers, including errors. Stores that
    /// are never restored from a backup have none.
    fn latest_era(&self) -> StoreEra {
        StoreEra::default()
    }

    /// Waits until an object under `prefix` has a version above `after`, or until `timeout` has
    /// passed, and returns the objects changed since `after`, if any.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    fn watch(
        &self,
        prefix: &ObjectPath,
        after: ObjectVersion,
        timeout: Duration,
    ) -> Result<Listing, PlatformError>;
}
