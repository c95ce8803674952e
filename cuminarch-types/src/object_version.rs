use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{ParseError, StoreEra};

/// Version of an object of the platform or of its whole store; each write increases it.
///
/// A store restored from a backup assigns the same numbers again. Versions are therefore
/// ordered by the era of the store first: numbers of different eras are not comparable.
///
/// ```
/// use cuminarch_types::{ObjectVersion, StoreEra};
///
/// let before = ObjectVersion::new(90).with_era(StoreEra::new(1));
/// let after = ObjectVersion::new(40).with_era(StoreEra::new(2));
/// assert!(before < after);
/// assert_eq!(after.to_string(), "2.40");
/// # assert_eq!("2.40".parse::<ObjectVersion>()?, after);
/// # Ok::<(), cuminarch_types::ParseError>(())
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(from = "Wire", into = "Wire")]
pub struct ObjectVersion {
    era: StoreEra,
    number: u64,
}

/// Serialized form of a version: stores without eras write only the number.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(untagged)]
enum Wire {
    Number(u64),
    OfEra(StoreEra, u64),
}

impl ObjectVersion {
    /// Creates a version of a store without eras.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self { era: StoreEra::new(0), number }
    }

    /// Sets the era in which the store assigned the number.
    #[must_use]
    pub const fn with_era(mut self, era: StoreEra) -> Self {
        self.era = era;
        self
    }

    /// Returns the number that the store assigned.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.number
    }

    /// Returns the era in which the store assigned the number.
    #[must_use]
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the next version in the same era, saturating.
    #[must_use]
    pub const fn next(self) -> Self {
        Self { era: self.era, number: self.number.saturating_add(1) }
    }
}

impl From<Wire> for ObjectVersion {
    fn from(wire: Wire) -> Self {
        match wire {
            Wire::Number(number) => Self::new(number),
            Wire::OfEra(era, number) => Self::new(number).with_era(era),
        }
    }
}

impl From<ObjectVersion> for Wire {
    fn from(version: ObjectVersion) -> Self {
        if version.era == StoreEra::default() {
            Self::Number(version.number)
        } else {
            Self::OfEra(version.era, version.number)
        }
    }
}

impl fmt::Display for ObjectVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era == StoreEra::default() {
            write!(formatter, "{}", self.number)
        } else {
            write!(formatter, "{}.{}", self.era, self.number)
        }
    }
}

impl FromStr for ObjectVersion {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let error =
            |_| ParseError::new("ObjectVersion", text, "it is not a number or an era and a number");
        let (era, number) = text.split_once('.').unwrap_or(("0", text));
        let number = number.parse().map_err(error)?;
        let era = era.parse().map(StoreEra::new).map_err(error)?;
        Ok(Self { era, number })
    }
}
