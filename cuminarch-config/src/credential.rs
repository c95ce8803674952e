use std::fmt;

use xxhash_rust::xxh3::xxh3_128_with_seed;

/// Digest of a key of a client account. Digests of different processes differ, so that one found in
/// a core file tells nothing about a key.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct CredentialDigest(u128);

impl CredentialDigest {
    /// Computes the digest of a key with the seed of the process.
    #[must_use]
    pub fn new(key: &[u8], seed: u64) -> Self {
        Self(xxh3_128_with_seed(key, seed))
    }
}

impl fmt::Debug for CredentialDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CredentialDigest(..)")
    }
}
