use std::fmt;
use std::str::FromStr;

use compact_str::{CompactString, ToCompactString};
use cuminarch_types::{EndpointId, Incarnation, ParseError};
use serde::{Deserialize, Serialize};

/// An idempotency key whose request only one process may run.
///
/// Written as `ck1:<endpoint>:<incarnation>:<minted_ms>:<serial>`.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct BoundKey {
    /// The endpoint that may run the request.
    pub endpoint: EndpointId,
    /// The process of that endpoint.
    pub incarnation: Incarnation,
    /// Age of the process when it minted the key, in milliseconds.
    pub minted_ms: u64,
    /// Distinguishes keys of one process.
    pub serial: u64,
}

impl BoundKey {
    const PREFIX: &'static str = "ck1";

    /// Returns `true` if a text has the prefix of a bound key.
    #[must_use]
    pub fn is_bound(text: &str) -> bool {
        text.starts_with("ck1:")
    }
}

impl fmt::Display for BoundKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { endpoint, incarnation, minted_ms, serial } = self;
        write!(formatter, "{}:{endpoint}:{incarnation}:{minted_ms}:{serial}", Self::PREFIX)
    }
}

impl FromStr for BoundKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let malformed = || ParseError::new("BoundKey", text, "it is not ck1:endpoint:n:n:n");
        let mut parts = text.split(':');
        if parts.next() != Some(Self::PREFIX) {
            return Err(malformed());
        }
        let endpoint = parts.next().ok_or_else(malformed)?.parse()?;
        let mut number = || parts.next().and_then(|part| part.parse::<u64>().ok());
        let incarnation = Incarnation::new(number().ok_or_else(malformed)?);
        let minted_ms = number().ok_or_else(malformed)?;
        let serial = number().ok_or_else(malformed)?;
        if parts.next().is_some() {
            return Err(malformed());
        }
        Ok(Self { endpoint, incarnation, minted_ms, serial })
    }
}

impl TryFrom<CompactString> for BoundKey {
    type Error = ParseError;

    fn try_from(text: CompactString) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<BoundKey> for CompactString {
    fn from(key: BoundKey) -> Self {
        key.to_compact_string()
    }
}
