use std::net::SocketAddr;

use cuminarch_once::{BoundKey, ClaimOutcome, StoredAnswer};
use cuminarch_protocol::{AllotmentDatagram, Member, Receipt, SuspicionDatagram, UpstreamRecord};
use cuminarch_types::{AttemptId, CallId};

use crate::{Arrival, Refusal};

/// Result of the claim of a client's key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The key is bound to this node.
    Granted,
    /// The key is bound to another process.
    HeldBy(BoundKey),
    /// The platform did not answer; it is unknown whether the key is bound.
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

/// How an answer of the local upstream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LocalEnd {
    /// The whole body was forwarded; contains the answer if it was small enough to store.
    Complete(Option<Box<StoredAnswer>>),
    /// The upstream closed the connection within the body.
    Broken,
}

/// Refusal by another node, with the unspent part of the share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RemoteRefusal {
    /// The refusal.
    pub refusal: Refusal,
    /// Whether that node's upstream received the call and turned it away.
    pub reached_upstream: bool,
    /// Unspent part of the share.
    pub receipt: Receipt,
    /// That node's statement about itself, if the call was meant for another endpoint.
    pub member: Option<Box<Member>>,
}

/// Input of [`Engine::handle`](crate::Engine::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A call arrived.
    Arrive(CallId, Box<Arrival>),
    /// A claim of a client's key ended.
    Claimed(CallId, ClaimResult),
    /// The local upstream started to answer.
    LocalHead(CallId),
    /// The answer of the local upstream ended.
    LocalEnd(CallId, LocalEnd),
    /// The local upstream did not answer.
    LocalFailed {
        /// The call.
        call: CallId,
        /// Whether any byte may have reached the upstream.
        sent: bool,
    },
    /// The local upstream turned the call away without running it.
    LocalTurnedAway(CallId),
    /// The process of the local upstream has ended: its connections broke and its address accepts
    /// no new ones.
    UpstreamEnded,
    /// The local upstream has registered.
    Upstream(Box<UpstreamRecord>),
    /// Another node started to forward an answer.
    RemoteHead {
        /// The call.
        call: CallId,
        /// Its attempt.
        attempt: AttemptId,
        /// Whether the upstream answers with an error.
        is_failure: bool,
    },
    /// The answer from another node ended.
    RemoteEnd {
        /// The call.
        call: CallId,
        /// Its attempt.
        attempt: AttemptId,
        /// Unspent part of the share; `None` if the link broke.
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
    /// The caller has cancelled the call.
    Cancel(CallId),
    /// A statement about a member was received.
    Member(Box<Member>),
    /// A datagram about allotments was received from this address.
    Allotment(SocketAddr, Box<AllotmentDatagram>),
    /// A datagram about requests that crash endpoints was received from this address.
    Suspicions(SocketAddr, Box<SuspicionDatagram>),
    /// All members have been stated, and this endpoint was one of them before the process started.
    Rejoined,
    /// Deadlines, retries and waiting calls may be due.
    Tick,
    /// Stop accepting new calls.
    Drain,
}

impl Event {
    /// Creates the event that a call arrived.
    #[must_use]
    pub fn arrive(call: CallId, arrival: Arrival) -> Self {
        Self::Arrive(call, Box::new(arrival))
    }
}
