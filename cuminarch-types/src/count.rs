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
            /// None at all.
            pub const ZERO: Self = Self(0);

            /// Sum, saturating at the largest count.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Difference, saturating at zero.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }
    };
}

count_type!(
    /// A number of attempts, each one send of a call to an upstream.
    Attempts,
    u32
);
count_type!(
    /// A size in bytes.
    ByteCount,
    u64
);
count_type!(
    /// Largest number of requests that an endpoint runs at once.
    ConcurrencyLimit,
    u32
);

/// A rate of events in events per second; finite and not negative.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RatePerSecond(f64);

impl RatePerSecond {
    /// Wraps a rate; values that are negative or not finite become zero.
    #[must_use]
    pub const fn new(value: f64) -> Self {
        if value.is_finite() && value > 0.0 { Self(value) } else { Self(0.0) }
    }

    /// Events per second.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
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
