//! Order in which requests are refused.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{ParseError, RequestId};

/// Position of a class in the refusal order; 0 is refused first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Priority(u8);

impl Priority {
    /// The priority that is refused last.
    pub const HIGHEST: Self = Self(63);

    /// Creates a priority from a position, capped at [`Priority::HIGHEST`].
    #[must_use]
    pub const fn new(value: u8) -> Self {
        if value > Self::HIGHEST.0 { Self::HIGHEST } else { Self(value) }
    }

    /// Returns the position.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for Priority {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.parse::<u8>() {
            Ok(value) if value <= Self::HIGHEST.0 => Ok(Self(value)),
            _ => Err(ParseError::new("Priority", text, "it is not a number from 0 to 63")),
        }
    }
}

/// Total order of requests for refusal: by class priority, then by a hash of the
/// root request id, which makes all services refuse the same root requests.
///
/// An endpoint refuses every request whose rank is below its admission level,
/// which is itself a rank. The scheme follows DAGOR (Zhou et al., SoCC 2018).
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Rank(u16);

impl Rank {
    /// Number of hash buckets within one priority.
    pub const BUCKETS: u16 = 128;
    /// The lowest rank; as an admission level it admits every request.
    pub const MIN: Self = Self(0);
    /// The highest rank that a request can have.
    pub const MAX: Self = Self((Priority::HIGHEST.0 as u16 + 1) * Self::BUCKETS - 1);

    /// Creates a rank from its raw value, capped at [`Rank::MAX`].
    #[must_use]
    pub const fn new(value: u16) -> Self {
        if value > Self::MAX.0 { Self::MAX } else { Self(value) }
    }

    /// Returns the rank of a request with the given priority and root request.
    #[must_use]
    pub const fn of_request(priority: Priority, root: RequestId) -> Self {
        let folded = (root.get() >> 64) as u64 ^ root.get() as u64;
        let mixed = folded.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let bucket = (mixed >> 57) as u16 % Self::BUCKETS;
        Self(priority.get() as u16 * Self::BUCKETS + bucket)
    }

    /// Returns the lowest rank of a priority.
    #[must_use]
    pub const fn floor_of(priority: Priority) -> Self {
        Self(priority.get() as u16 * Self::BUCKETS)
    }

    /// Returns the priority of this rank.
    #[must_use]
    pub const fn priority(self) -> Priority {
        Priority::new((self.0 / Self::BUCKETS) as u8)
    }

    /// Returns the raw value.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for Rank {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text.parse::<u16>() {
            Ok(value) if value <= Self::MAX.0 => Ok(Self(value)),
            _ => Err(ParseError::new("Rank", text, "it is not a rank")),
        }
    }
}
