//! Status reports of zones.

use cuminarch_config::ZoneStatus;
use cuminarch_types::{EndpointId, Revision, ZoneName};

/// Returns the status report of a zone with one member.
pub fn status_of(zone: &str, revision: u64, sequence: u64) -> ZoneStatus {
    ZoneStatus {
        zone: ZoneName::new(zone).unwrap(),
        relay: EndpointId::new("katalog-1").unwrap(),
        sequence,
        lowest_revision: Revision::new(revision),
        highest_revision: Revision::new(revision),
        members: 1,
        members_in_force: 1,
    }
}
