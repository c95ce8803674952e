//! Names of the objects that hold the configuration and its status.

use cuminarch_platform::ObjectPath;
use cuminarch_types::{ChangeId, Revision};

/// The document that was accepted last.
pub const CURRENT_CONFIG: &str = "config/current";
/// Documents that were accepted before, by revision.
pub const CONFIG_HISTORY: &str = "config/history";
/// What each availability zone has in force.
pub const ZONE_STATUS: &str = "status";
/// Announcements of endpoints.
pub const MEMBERS: &str = "members";

/// A path made of known parts.
///
/// # Panics
///
/// Panics when the text is no path, which none of the callers' texts can be.
#[must_use]
pub fn object_path(text: &str) -> ObjectPath {
    ObjectPath::new(text).expect("a valid path")
}

/// Where the document of a revision is kept; its name sorts by revision.
#[must_use]
pub fn history_path(revision: Revision) -> ObjectPath {
    object_path(&format!("{CONFIG_HISTORY}/{:020}", revision.get()))
}

/// Where a document is kept whose revision another change has taken already,
/// which happens only when the store went back in time.
#[must_use]
pub fn history_path_with_change(revision: Revision, change: &ChangeId) -> ObjectPath {
    object_path(&format!("{CONFIG_HISTORY}/{:020}-{change}", revision.get()))
}
