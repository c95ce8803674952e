use std::fmt;

use cuminarch_types::{ChangeId, EndpointId, Revision, ZoneName};
use serde::{Deserialize, Serialize};

/// An accepted change of the configuration.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Revision; higher than that of the document it replaced.
    pub revision: Revision,
    /// Identifies the change, to recognise a write whose answer was lost.
    pub change: ChangeId,
    /// The sheet as YAML text.
    pub sheet: String,
}

/// Without the sheet, which may hold keys of client accounts.
impl fmt::Debug for ConfigDocument {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ConfigDocument")
            .field("revision", &self.revision)
            .field("change", &self.change)
            .field("sheet_len_bytes", &self.sheet.len())
            .finish()
    }
}

impl ConfigDocument {
    /// Maximum size of a document in bytes; the platform's limit for a value.
    pub const MAX_BYTES: usize = 1024 * 1024;

    /// Upper bound on the size of a document without its sheet, in bytes.
    const FRAMING_BYTES: usize = 256;

    /// Returns an upper bound on the size of a JSON document with this sheet, in bytes.
    #[must_use]
    pub fn framed_len_bytes(sheet: &str) -> usize {
        let escaped: usize = sheet.chars().map(Self::escaped_len_bytes).sum();
        escaped + Self::FRAMING_BYTES
    }

    /// Returns the length of a character in a JSON string, in bytes.
    const fn escaped_len_bytes(character: char) -> usize {
        match character {
            '"' | '\\' | '\n' | '\r' | '\t' | '\u{8}' | '\u{c}' => 2,
            '\0'..='\u{1f}' => 6,
            _ => character.len_utf8(),
        }
    }
}

/// Status that the relay of an availability zone reports to the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneStatus {
    /// The availability zone.
    pub zone: ZoneName,
    /// The relay that reports.
    pub relay: EndpointId,
    /// Sequence number; rises with each report of this relay process.
    pub sequence: u64,
    /// Lowest revision in force at a member of the zone.
    pub lowest_revision: Revision,
    /// Highest revision in force at a member of the zone.
    pub highest_revision: Revision,
    /// Number of members of the zone that take work.
    pub members: u32,
    /// Number of those members that have the highest revision in force.
    pub members_in_force: u32,
}
