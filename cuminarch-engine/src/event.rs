use cuminarch_once::{BoundKey, ClaimOutcome, StoredAnswer};
use cuminarch_protocol::{Member, Receipt, UpstreamRecord};
use cuminarch_types::{AttemptId, CallId};

use crate::{Arrival, Refusal};

/// How the claim of a client's key ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The key is bound to this node.
    Granted,
    /// The key is bound to another process.
    HeldBy(BoundKey),
    /// The platform did not answer; whether the key is bound is not known.
    Unavailable,
}

impl From<ClaimOutcome> for ClaimResult {
    fn from(outcome: ClaimOutcome) -> Self {
        match outcome {
            ClaimOutcome::Granted => Self::Granted,
            ClaimOutcome::HeldBy(key) => Self::HeldBy(key),
            ClaimOutcome::Unavailable => Self::Unavailable,
        }
    }
}

/// How an answer of the own upstream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LocalEnd {
    /// The whole body was passed on; the answer if it was small enough to keep.
    Complete(Option<Box<StoredAnswer>>),
    /// The upstream broke off within the body.
    Broken,
}

/// Refusal of another node, with what it leaves of the share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RemoteRefusal {
    /// The refusal.
    pub refusal: Refusal,
    /// Whether the upstream there saw the call and turned it away itself.
    pub reached_upstream: bool,
    /// What is left of the share.
    pub receipt: Receipt,
}

/// Something that happened; fed to [`Engine::handle`](crate::Engine::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A call arrived.
    Arrive(CallId, Box<Arrival>),
    /// A claim of a client's key ended.
    Claimed(CallId, ClaimResult),
    /// The own upstream began to answer.
    LocalHead(CallId),
    /// The answer of the own upstream ended.
    LocalEnd(CallId, LocalEnd),
    /// The own upstream did not answer.
    LocalFailed {
        /// The call.
        call: CallId,
        /// Whether any byte may have reached the upstream.
        sent: bool,
    },
    /// The own upstream turned the call away without running it.
    LocalTurnedAway(CallId),
    /// The own upstream has registered.
    Upstream(Box<UpstreamRecord>),
    /// Another node began to pass on an answer.
    RemoteHead {
        /// The call.
        call: CallId,
        /// Its attempt.
        attempt: AttemptId,
        /// Whether the upstream answers that it failed.
        is_failure: bool,
    },
    /// The answer from another node ended.
    RemoteEnd {
        /// The call.
        call: CallId,
        /// Its attempt.
        attempt: AttemptId,
        /// What is left of the share; none if the link broke.
        receipt: Option<Receipt>,
    },
    /// Another node refused an attempt.
    RemoteRefused(CallId, AttemptId, Box<RemoteRefusal>),
    /// An attempt got no answer.
    RemoteLost {
        /// The call.
        call: CallId,
        /// Its attempt.
        attempt: AttemptId,
        /// Whether any byte may have reached the other node.
        sent: bool,
    },
    /// The caller no longer wants the answer.
    Cancel(CallId),
    /// Something is known of a member.
    Member(Box<Member>),
    /// Time has passed.
    Tick,
    /// Take no new calls.
    Drain,
}

impl Event {
    /// A call arrived.
    #[must_use]
    pub fn arrive(call: CallId, arrival: Arrival) -> Self {
        Self::Arrive(call, Box::new(arrival))
    }
}
