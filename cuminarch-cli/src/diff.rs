use std::fmt;

use serde::Serialize;
use similar::TextDiff;

use crate::redaction::Redaction;

/// Line-by-line differences between two sheets, without the keys of client accounts.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct SheetDiff {
    /// The differences in unified diff format; empty if there are none.
    pub unified: String,
}

impl SheetDiff {
    /// Compares two texts; the names appear in the header of the diff.
    #[must_use]
    pub fn between(old: &str, new: &str, old_name: &str, new_name: &str) -> Self {
        let diff = TextDiff::from_lines(old, new);
        let mut unified = diff.unified_diff();
        let unified = unified.header(old_name, new_name).to_string();
        Self { unified: Redaction::of_sheets([old, new]).apply(&unified) }
    }

    /// Returns `true` if the texts are equal.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.unified.is_empty()
    }
}

impl fmt::Display for SheetDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return writeln!(formatter, "no differences");
        }
        formatter.write_str(&self.unified)
    }
}
