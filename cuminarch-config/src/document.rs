use cuminarch_types::{ChangeId, EndpointId, Revision, ZoneName};
use serde::{Deserialize, Serialize};

/// One accepted change of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Its revision; one above that of the document it replaced, or more.
    pub revision: Revision,
    /// Identifies the change, so that a write whose answer was lost is recognised.
    pub change: ChangeId,
    /// The sheet as YAML text.
    pub sheet: String,
}

/// What the relay of an availability zone reports to the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: ZoneName,
    /// Who reports.
    pub relay: EndpointId,
    /// Rises with each report of this relay process.
    pub sequence: u64,
    /// Lowest revision in force at a member of the zone.
    pub lowest_revision: Revision,
    /// Highest revision in force at a member of the zone.
    pub highest_revision: Revision,
    /// Members of the zone that take work.
    pub members: u32,
    /// Those of them that have the highest revision in force.
    pub members_in_force: u32,
}
