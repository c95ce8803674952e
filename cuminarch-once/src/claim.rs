use cuminarch_types::ClientKey;

use crate::{BoundKey, ClaimEntry, ClaimSettings, ClaimShard, ClaimShardId};

/// Outcome of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The key is bound to the claimant.
    Granted,
    /// The key is bound to another process, or by an earlier claim of this one.
    HeldBy(BoundKey),
    /// The platform gave no definite answer; the claim may still take effect.
    Unavailable,
}

/// A shard as it was read; `Version` is the platform's version type.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardState<Version> {
    /// Version of the object, `None` if it does not exist.
    pub version: Option<Version>,
    /// The claims.
    pub shard: ClaimShard,
}

/// Next operation on the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep<Version> {
    /// Read the shard.
    Read,
    /// Write the shard if its version is still the one given.
    Write(ShardState<Version>),
    /// The claim has ended.
    Done(ClaimOutcome),
}

/// Result of an operation on the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimReply<Version> {
    /// The current shard.
    Read(ShardState<Version>),
    /// The write took effect.
    Written,
    /// The write did not take effect because of a concurrent one; holds the current shard if known.
    Conflict(Option<ShardState<Version>>),
    /// The write may have taken effect, or may still do so.
    Ambiguous,
    /// Nothing was read or written.
    Unavailable,
}

/// Binds a client's key to one process by a conditional write.
///
/// A key is granted only after a read has shown the claim in the shard, or its write was
/// acknowledged. A write with a lost answer is resolved by reading. A retried write is conditional
/// on the version that was read, so it cannot replace another claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    settings: ClaimSettings,
    entry: ClaimEntry,
    calls: u32,
}

impl Claim {
    /// Creates a claim of `key` for `bound`; `now_s` is the wall clock in seconds since the epoch.
    #[must_use]
    pub const fn new(settings: ClaimSettings, key: ClientKey, bound: BoundKey, now_s: u64) -> Self {
        Self { settings, entry: ClaimEntry { key, bound, claimed_s: now_s }, calls: 0 }
    }

    /// Returns the shard to read and write.
    #[must_use]
    pub fn shard(&self) -> ClaimShardId {
        ClaimShardId::of_key(&self.entry.key)
    }

    /// Returns the first operation.
    #[must_use]
    pub fn start<Version>(&mut self) -> ClaimStep<Version> {
        self.issue(ClaimStep::Read)
    }

    /// Returns the operation that follows a result from the platform.
    #[must_use]
    pub fn next<Version>(&mut self, reply: ClaimReply<Version>) -> ClaimStep<Version> {
        match reply {
            ClaimReply::Read(state) | ClaimReply::Conflict(Some(state)) => self.decide(state),
            ClaimReply::Written => ClaimStep::Done(ClaimOutcome::Granted),
            ClaimReply::Conflict(None) | ClaimReply::Ambiguous => self.issue(ClaimStep::Read),
            ClaimReply::Unavailable => ClaimStep::Done(ClaimOutcome::Unavailable),
        }
    }

    fn decide<Version>(&mut self, state: ShardState<Version>) -> ClaimStep<Version> {
        match state.shard.holder(&self.entry.key) {
            Some(bound) if *bound == self.entry.bound => ClaimStep::Done(ClaimOutcome::Granted),
            Some(bound) => ClaimStep::Done(ClaimOutcome::HeldBy(bound.clone())),
            None => match state.shard.with_claim(self.entry.clone(), &self.settings) {
                Some(shard) => {
                    self.issue(ClaimStep::Write(ShardState { version: state.version, shard }))
                }
                None => ClaimStep::Done(ClaimOutcome::Unavailable),
            },
        }
    }

    fn issue<Version>(&mut self, step: ClaimStep<Version>) -> ClaimStep<Version> {
        if self.calls >= self.settings.max_calls {
            return ClaimStep::Done(ClaimOutcome::Unavailable);
        }
        self.calls += 1;
        step
    }
}
