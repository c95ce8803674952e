//! Reads the announced endpoints from the platform.

use std::sync::Arc;

use cuminarch_membership::ZoneMembers;
use cuminarch_platform::ObjectStore;
use cuminarch_protocol::Member;

use crate::CliError;
use crate::paths::{MEMBERS, object_path};

/// Reads all endpoints that the relays of the zones have written to the platform.
///
/// # Errors
///
/// Returns an error if the platform does not answer.
pub fn read_members(store: &dyn ObjectStore) -> Result<Vec<Arc<Member>>, CliError> {
    let listing = store.list(&object_path(MEMBERS))?;
    let zones = listing
        .objects
        .iter()
        .filter_map(|object| serde_json::from_str::<ZoneMembers>(&object.value).ok());
    Ok(zones.flat_map(|zone| zone.members).collect())
}
