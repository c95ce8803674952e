use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{EndpointId, MonoTime};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Result of merging a statement into the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// The statement was stored.
    Newer,
    /// The statement is already stored, or was not stored: the table is full, or an
    /// unknown member has gone.
    Same,
    /// A later statement is already stored.
    Older,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Arc<Member>,
    changed_at: MonoTime,
}

/// The latest statement about each member, with digests to compare tables.
///
/// Members that have gone are kept for a while as tombstones, to keep a late
/// statement from bringing them back; the digests do not include them.
#[derive(Clone, Debug)]
pub struct MemberTable {
    members: BTreeMap<EndpointId, Entry>,
    buckets: [u64; Self::BUCKETS],
}

impl Default for MemberTable {
    fn default() -> Self {
        Self::new()
    }
}

impl MemberTable {
    /// Number of buckets whose digests are compared.
    pub const BUCKETS: usize = 32;
    /// Maximum number of endpoints, including tombstones.
    pub const MAX_MEMBERS: usize = 8_192;

    /// Creates an empty table.
    #[must_use]
    pub const fn new() -> Self {
        Self { members: BTreeMap::new(), buckets: [0; Self::BUCKETS] }
    }

    /// Merges a statement into the table.
    pub fn merge(&mut self, member: &Arc<Member>, now: MonoTime) -> MergeOutcome {
        let bucket = bucket_of(&member.endpoint);
        let is_full = self.members.len() >= Self::MAX_MEMBERS;
        match self.members.get_mut(&member.endpoint) {
            Some(entry) if member.supersedes(&entry.member) => {
                self.buckets[bucket] ^= digest_of(&entry.member) ^ digest_of(member);
                *entry = Entry { member: Arc::clone(member), changed_at: now };
                MergeOutcome::Newer
            }
            Some(entry) if entry.member.supersedes(member) => MergeOutcome::Older,
            Some(_) => MergeOutcome::Same,
            None if member.state == MemberState::Gone => MergeOutcome::Same,
            None if is_full => MergeOutcome::Same,
            None => {
                self.buckets[bucket] ^= digest_of(member);
                let entry = Entry { member: Arc::clone(member), changed_at: now };
                self.members.insert(member.endpoint.clone(), entry);
                MergeOutcome::Newer
            }
        }
    }

    /// Removes members that have been gone for longer than `span`. Returns their number.
    pub fn remove_expired_tombstones(&mut self, span: Duration, now: MonoTime) -> usize {
        let before = self.members.len();
        self.members.retain(|_, entry| {
            entry.member.state != MemberState::Gone || now.since(entry.changed_at) <= span
        });
        before - self.members.len()
    }

    /// Returns the statement about an endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointId) -> Option<&Arc<Member>> {
        self.members.get(endpoint).map(|entry| &entry.member)
    }

    /// Returns when the statement about an endpoint was stored.
    #[must_use]
    pub fn changed_at(&self, endpoint: &EndpointId) -> Option<MonoTime> {
        self.members.get(endpoint).map(|entry| entry.changed_at)
    }

    /// Iterates over all statements in order of endpoint.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.values().map(|entry| &entry.member)
    }

    /// Returns the number of endpoints, including those that have gone.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns `true` if the table has no endpoints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns the digest of all members that have not gone.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |digest, bucket| digest ^ bucket)
    }

    /// Returns the digest of each bucket.
    #[must_use]
    pub const fn buckets(&self) -> &[u64; Self::BUCKETS] {
        &self.buckets
    }

    /// Returns the statements in buckets whose digest differs from the given one.
    #[must_use]
    pub fn differing(&self, buckets: &[u64]) -> Vec<Arc<Member>> {
        let differs = |member: &Arc<Member>| {
            let bucket = bucket_of(&member.endpoint);
            buckets.get(bucket) != Some(&self.buckets[bucket])
        };
        self.iter().filter(|member| differs(member)).cloned().collect()
    }

    /// Returns the memory in bytes of one entry, including text stored inline.
    #[must_use]
    pub const fn bytes_per_member() -> usize {
        size_of::<Member>() + 2 * size_of::<usize>() + size_of::<Entry>() + size_of::<EndpointId>()
    }
}

fn bucket_of(endpoint: &EndpointId) -> usize {
    let hash = xxh3_64(endpoint.as_str().as_bytes());
    usize::try_from(hash % MemberTable::BUCKETS as u64).unwrap_or(0)
}

fn digest_of(member: &Member) -> u64 {
    if member.state == MemberState::Gone {
        return 0;
    }
    let mut bytes = [0_u8; 13];
    bytes[..8].copy_from_slice(&member.incarnation.get().to_le_bytes());
    bytes[8..12].copy_from_slice(&member.statement.to_le_bytes());
    bytes[12] = member.state as u8;
    xxh3_64_with_seed(member.endpoint.as_str().as_bytes(), xxh3_64(&bytes))
}
