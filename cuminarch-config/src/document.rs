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

impl ConfigDocument {
    /// Largest document in bytes, the largest value of the platform.
    pub const MAX_BYTES: usize = 1024 * 1024;

    /// Room for everything in a document but its sheet, in bytes.
    const FRAMING_BYTES: usize = 256;

    /// Size of a document in JSON that holds `sheet`, in bytes, never too small.
    #[must_use]
    pub fn framed_len_bytes(sheet: &str) -> usize {
        let escaped: usize = sheet.chars().map(Self::escaped_len_bytes).sum();
        escaped + Self::FRAMING_BYTES
    }

    /// Length of a character in a JSON string, in bytes.
    const fn escaped_len_bytes(letter: char) -> usize {
        match letter {
            '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
            '\0'..='\u{1f}' => 6,
            _ => letter.len_utf8(),
        }
    }
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
