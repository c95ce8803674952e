use std::fmt;
use std::str::FromStr;

use cuminarch_types::{ClientKey, ParseError};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::BoundKey;

/// Number of the platform object that holds the claim of a client's key.
///
/// Written as five hexadecimal digits. The hash function must never change, because every process
/// has to compute the same number for a key.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClaimShardId(u32);

impl ClaimShardId {
    const BITS: u32 = 20;

    /// Returns the shard of a key.
    #[must_use]
    pub fn of_key(key: &ClientKey) -> Self {
        let hash = xxh3_64(key.as_str().as_bytes());
        Self((hash >> (u64::BITS - Self::BITS)) as u32)
    }
}

impl fmt::Display for ClaimShardId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:05x}", self.0)
    }
}

impl FromStr for ClaimShardId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match u32::from_str_radix(text, 16) {
            Ok(number) if number >> Self::BITS == 0 => Ok(Self(number)),
            _ => Err(ParseError::new("ClaimShardId", text, "it is not 1 to 5 hexadecimal digits")),
        }
    }
}

/// One claim: the process that may run the requests of a client's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimEntry {
    /// The client's key.
    pub key: ClientKey,
    /// The process that it is bound to.
    pub bound: BoundKey,
    /// Time of the claim, in seconds since the epoch by the claimant's clock.
    pub claimed_s: u64,
}

/// The claims of all keys of one shard, stored in one platform object.
///
/// Expired claims are removed when a new one is written, so that expiry costs no separate call.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    /// The claims in the order of their writes.
    pub entries: Vec<ClaimEntry>,
}

/// Limits of the claims on the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// Minimum age in seconds before a claim may be dropped.
    pub retention_s: u64,
    /// Number of claims that a shard keeps even if they have expired.
    pub keep_entries: usize,
    /// Maximum number of claims in a shard; further ones are not granted.
    pub max_entries: usize,
    /// Maximum number of platform calls per claim.
    pub max_calls: u32,
}

impl ClaimSettings {
    /// Creates the default settings: one day of retention, 8 kept, 3000 at most, 6 calls.
    #[must_use]
    pub const fn new() -> Self {
        Self { retention_s: 24 * 3_600, keep_entries: 8, max_entries: 3_000, max_calls: 6 }
    }
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self::new()
    }
}

impl ClaimShard {
    /// Returns the process that a key is bound to, if it is claimed.
    #[must_use]
    pub fn holder(&self, key: &ClientKey) -> Option<&BoundKey> {
        self.entries.iter().find(|entry| entry.key == *key).map(|entry| &entry.bound)
    }

    /// Returns the shard with `claim` added and expired claims removed, or `None` if it is full.
    #[must_use]
    pub fn with_claim(&self, claim: ClaimEntry, settings: &ClaimSettings) -> Option<Self> {
        let now_s = claim.claimed_s;
        let is_expired = |entry: &ClaimEntry| entry.claimed_s + settings.retention_s <= now_s;
        let mut excess = (self.entries.len() + 1).saturating_sub(settings.keep_entries);
        let mut entries = Vec::with_capacity(self.entries.len() + 1);
        for entry in &self.entries {
            if excess > 0 && is_expired(entry) {
                excess -= 1;
            } else {
                entries.push(entry.clone());
            }
        }
        entries.push(claim);
        (entries.len() <= settings.max_entries).then_some(Self { entries })
    }
}
