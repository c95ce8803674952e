//! Paths of the platform objects that hold the configuration, its status and the members.

use cuminarch_platform::ObjectPath;
use cuminarch_types::{ChangeId, Revision};

/// The document accepted last.
pub const CURRENT_CONFIG: &str = "config/current";
/// Prefix of the documents accepted before, by revision.
pub const CONFIG_HISTORY: &str = "config/history";
/// Prefix of the status reports of the availability zones.
pub const ZONE_STATUS: &str = "status";
/// Prefix of the member lists of the availability zones.
pub const MEMBERS: &str = "members";

/// Creates a path from a text that is known to be valid.
///
/// # Panics
///
/// Panics if the text is not a valid path.
#[must_use]
pub fn object_path(text: &str) -> ObjectPath {
    ObjectPath::new(text).expect("a valid path")
}

/// Returns the history path of a revision; paths sort by revision.
#[must_use]
pub fn history_path(revision: Revision) -> ObjectPath {
    object_path(&format!("{CONFIG_HISTORY}/{:020}", revision.get()))
}

/// Returns the history path of a document whose revision is already used by another change, which
/// happens only after the store was restored from a backup.
#[must_use]
pub fn history_path_with_change(revision: Revision, change: &ChangeId) -> ObjectPath {
    object_path(&format!("{CONFIG_HISTORY}/{:020}-{change}", revision.get()))
}
