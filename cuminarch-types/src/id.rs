//! Numeric ids.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;
use crate::number::number_type;

macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        number_type!($(#[$doc])* $name, $repr);

        impl $name {
            /// Returns the next number, saturating at the maximum.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }
    };
}

id_type!(
    /// Identifies an attempt of a call, unique within a node incarnation.
    AttemptId,
    u64
);
id_type!(
    /// Identifies a call that a node handles, unique within a node incarnation.
    CallId,
    u64
);
id_type!(
    /// Distinguishes successive processes of the same endpoint; a later process has a higher one.
    Incarnation,
    u64
);
id_type!(
    /// Position of a rule in the sheet, from 1; 0 denotes the default class.
    RuleNumber,
    u32
);
id_type!(
    /// Revision of the configuration; a higher one replaces a lower one, never the reverse.
    Revision,
    u64
);

id_type!(
    /// Number of times the platform's store was restored from a backup.
    StoreEra,
    u64
);

/// Number of a send among the sends of one request by its client, from 1.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ResendNumber(u32);

impl ResendNumber {
    /// The first send of a request.
    pub const FIRST: Self = Self(1);

    /// Creates the number of a send; zero counts as the first.
    #[must_use]
    pub const fn new(value: u32) -> Self {
        if value == 0 { Self::FIRST } else { Self(value) }
    }

    /// Returns the number, at least 1.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl Default for ResendNumber {
    fn default() -> Self {
        Self::FIRST
    }
}

impl fmt::Display for ResendNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for ResendNumber {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.parse::<u32>() {
            Ok(value) if value > 0 => Ok(Self(value)),
            _ => Err(ParseError::new("ResendNumber", text, "it is not a number from 1")),
        }
    }
}

/// Identifies a member's request throughout the chain of calls that it causes.
///
/// Formatted as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestId(u128);

impl RequestId {
    /// Creates an id from a number.
    #[must_use]
    pub const fn new(value: u128) -> Self {
        Self(value)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.is_empty() || text.len() > 32 || !is_hex {
            return Err(ParseError::new("RequestId", text, "it is not 1 to 32 hexadecimal digits"));
        }
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new("RequestId", text, "it is not a hexadecimal number"))
    }
}
