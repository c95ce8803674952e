use std::fmt;
use std::str::FromStr;

use cuminarch_types::ParseError;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Digest of a request, to distinguish a resend from another request with the same idempotency key.
///
/// It guards against client errors, not against forgery.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Maximum size of a body that is included. Whether a longer one is available depends on the
    /// path of a request, which must not make two sends of it differ.
    pub const MAX_BODY_BYTES: usize = 16 * 1024;

    /// Returns the digest of a body, or `None` if it is too long to be included.
    #[must_use]
    pub fn body_digest(body: &[u8]) -> Option<u64> {
        (body.len() <= Self::MAX_BODY_BYTES).then(|| xxh3_64(body))
    }

    /// Creates the digest of a method, a path with its query, and the digest of the body if there
    /// is one.
    #[must_use]
    pub fn new(method: &str, target: &str, body_digest: Option<u64>) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method, target] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        if let Some(digest) = body_digest {
            hasher.update(&digest.to_le_bytes());
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseError::new("RequestFingerprint", text, "it is not hexadecimal"))
    }
}
