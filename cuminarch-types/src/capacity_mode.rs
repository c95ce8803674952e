use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Where the number of requests that an endpoint takes well comes from.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CapacityMode {
    /// From the slots that the upstream states.
    #[default]
    Stated,
    /// From measured throughput and times, up to the stated slots.
    Learned,
}

impl CapacityMode {
    /// Returns the name used in settings.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stated => "stated",
            Self::Learned => "learned",
        }
    }
}

impl fmt::Display for CapacityMode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for CapacityMode {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let found = [Self::Stated, Self::Learned].into_iter().find(|mode| mode.as_str() == text);
        found.ok_or_else(|| ParseError::new("CapacityMode", text, "there is no such mode"))
    }
}
