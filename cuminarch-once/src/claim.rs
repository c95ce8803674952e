use cuminarch_types::ClientKey;

use crate::{BoundKey, ClaimEntry, ClaimSettings, ClaimShard, ClaimShardId};

/// How a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The key is bound to the claimant.
    Granted,
    /// The key is bound to another process, or by an earlier claim of this one.
    HeldBy(BoundKey),
    /// The platform gave no clear answer; the claim may still take effect.
    Unavailable,
}

/// A shard as it was read; `Version` is whatever the platform's versions are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardState<Version> {
    /// The version of the object, none if it does not exist.
    pub version: Option<Version>,
    /// The claims.
    pub shard: ClaimShard,
}

/// What to ask of the platform next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep<Version> {
    /// Read the shard.
    Read,
    /// Write the shard if its version is still the one given.
    Write(ShardState<Version>),
    /// The claim is over.
    Done(ClaimOutcome),
}

/// What the platform answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimReply<Version> {
    /// The shard as it is.
    Read(ShardState<Version>),
    /// The write took effect.
    Written,
    /// The write did not take effect, for another came first; the shard if known.
    Conflict(Option<ShardState<Version>>),
    /// The write may have taken effect, or may still do so.
    Ambiguous,
    /// Nothing was read or written.
    Unavailable,
}

/// Binds a client's key to one process by a conditional write.
///
/// A key is granted only once the shard was seen to hold the claim, or its
/// write was acknowledged. A write whose answer is lost is settled by reading;
/// a repeated write is conditional on the version that was read, so that it
/// cannot replace the claim of another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claim {
    settings: ClaimSettings,
    entry: ClaimEntry,
    calls: u32,
}

impl Claim {
    /// A claim of `key` for `bound`; `now_s` is the wall clock in seconds
    /// since the epoch.
    #[must_use]
    pub const fn new(settings: ClaimSettings, key: ClientKey, bound: BoundKey, now_s: u64) -> Self {
        Self { settings, entry: ClaimEntry { key, bound, claimed_s: now_s }, calls: 0 }
    }

    /// The shard to read and write.
    #[must_use]
    pub fn shard(&self) -> ClaimShardId {
        ClaimShardId::of_key(&self.entry.key)
    }

    /// The first step.
    #[must_use]
    pub fn start<Version>(&mut self) -> ClaimStep<Version> {
        self.issue(ClaimStep::Read)
    }

    /// The step that follows an answer of the platform.
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
