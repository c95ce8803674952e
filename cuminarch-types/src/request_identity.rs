use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ParseError;
use crate::number::number_type;

/// Digest of what a request asks for: the same for each attempt of the request at any host, and
/// different for another path, client account or body.
///
/// Formatted as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Creates a digest from a number.
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

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for RequestDigest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let is_hex = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = u128::from_str_radix(text, 16).ok().filter(|_| is_hex && text.len() <= 32);
        let error =
            || ParseError::new("RequestDigest", text, "it is not 1 to 32 hexadecimal digits");
        value.map(Self).ok_or_else(error)
    }
}

number_type!(
    /// Digest of the header fields of a request, which tells requests with the same
    /// [`RequestDigest`] apart.
    RequestVariant,
    u64
);

/// What a request asks for, and the header fields that it comes with.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestIdentity {
    /// What it asks for.
    pub request: RequestDigest,
    /// Its header fields.
    pub variant: RequestVariant,
}
