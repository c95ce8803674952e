use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Secret by which a client account is recognised. Only a sheet contains it as text; `Debug`,
/// `Display` and parse errors hide it.
///
/// At most [`ApiKey::MAX_BYTES`] visible ASCII characters without spaces.
#[derive(Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct ApiKey(CompactString);

impl ApiKey {
    /// Maximum length in bytes.
    pub const MAX_BYTES: usize = 256;
    /// Printed instead of a key.
    pub const HIDDEN: &str = "<hidden>";

    /// Creates a key from text.
    ///
    /// # Errors
    ///
    /// Returns an error without the text if it is empty, too long or has other characters.
    pub fn new(text: impl AsRef<str>) -> Result<Self, ParseError> {
        let text = text.as_ref();
        Self::check(text).map_err(|reason| ParseError::new("ApiKey", Self::HIDDEN, reason))?;
        Ok(Self(CompactString::from(text)))
    }

    /// Returns the bytes of the key, for comparison and digests only.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }

    /// Returns `true` if the bytes have the form of a key.
    #[must_use]
    pub fn is_well_formed(bytes: &[u8]) -> bool {
        std::str::from_utf8(bytes).is_ok_and(|text| Self::check(text).is_ok())
    }

    fn check(text: &str) -> Result<(), &'static str> {
        if text.is_empty() {
            return Err("it is empty");
        }
        if text.len() > Self::MAX_BYTES {
            return Err("it is longer than 256 bytes");
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("only visible ASCII characters are allowed");
        }
        Ok(())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(Self::HIDDEN)
    }
}

impl fmt::Display for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(Self::HIDDEN)
    }
}

impl FromStr for ApiKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        Self::new(text)
    }
}

impl TryFrom<CompactString> for ApiKey {
    type Error = ParseError;

    fn try_from(text: CompactString) -> Result<Self, ParseError> {
        Self::new(text)
    }
}

impl From<ApiKey> for CompactString {
    fn from(key: ApiKey) -> Self {
        key.0
    }
}
