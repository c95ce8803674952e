//! Counts, sizes and rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;
use crate::number::number_type;

macro_rules! count_type {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        number_type!($(#[$doc])* $name, $repr);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Returns the sum, saturating at the maximum.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Returns the difference, saturating at zero.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }
    };
}

count_type!(
    /// A number of attempts; each sends a call to an upstream once.
    Attempts,
    u32
);
count_type!(
    /// A size in bytes.
    ByteCount,
    u64
);
count_type!(
    /// Maximum number of requests that an endpoint runs concurrently.
    ConcurrencyLimit,
    u32
);

/// A rate of events in events per second; finite and not negative.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(from = "f64", into = "f64")]
pub struct RatePerSecond(f64);

// The value is never NaN.
impl Eq for RatePerSecond {}

impl RatePerSecond {
    /// Creates a rate; negative and non-finite values become zero.
    #[must_use]
    pub const fn new(value: f64) -> Self {
        if value.is_finite() && value > 0.0 { Self(value) } else { Self(0.0) }
    }

    /// Returns the number of events per second.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl From<f64> for RatePerSecond {
    fn from(value: f64) -> Self {
        Self::new(value)
    }
}

impl From<RatePerSecond> for f64 {
    fn from(rate: RatePerSecond) -> Self {
        rate.0
    }
}

impl fmt::Display for RatePerSecond {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}

impl FromStr for RatePerSecond {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        match number.parse::<f64>() {
            Ok(value) if value.is_finite() && value >= 0.0 => Ok(Self(value)),
            _ => Err(ParseError::new("RatePerSecond", text, "it is not a rate")),
        }
    }
}
