use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use cuminarch_types::{ObjectVersion, ParseError};
use serde::{Deserialize, Serialize};

/// Path of an object: segments joined by `/`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct ObjectPath(CompactString);

impl ObjectPath {
    /// Maximum length of a path in bytes.
    pub const MAX_BYTES: usize = 256;

    /// Creates a path from text.
    ///
    /// # Errors
    ///
    /// Fails if the text is longer than [`Self::MAX_BYTES`], or if a segment is empty or contains
    /// characters other than ASCII letters, digits, `-`, `_`, `.` and `:`.
    pub fn new(text: impl AsRef<str>) -> Result<Self, ParseError> {
        let text = text.as_ref();
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
        let is_segment = |segment: &str| !segment.is_empty() && segment.bytes().all(is_allowed);
        if text.len() > Self::MAX_BYTES || !text.split('/').all(is_segment) {
            return Err(ParseError::new("ObjectPath", text, "it is not segments joined by '/'"));
        }
        Ok(Self(CompactString::from(text)))
    }

    /// Returns the path as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for ObjectPath {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        Self::new(text)
    }
}

impl TryFrom<CompactString> for ObjectPath {
    type Error = ParseError;

    fn try_from(text: CompactString) -> Result<Self, ParseError> {
        Self::new(text)
    }
}

impl From<ObjectPath> for CompactString {
    fn from(path: ObjectPath) -> Self {
        path.0
    }
}

/// An object of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// Path of the object.
    pub path: ObjectPath,
    /// Version of the object.
    pub version: ObjectVersion,
    /// Value of the object.
    pub value: String,
}

/// Condition on the current object under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// No condition.
    Any,
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
}

/// Objects under a prefix at one point in time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Listing {
    /// Version of the store at that time.
    pub version: ObjectVersion,
    /// Objects in order of path.
    pub objects: Vec<Object>,
}
