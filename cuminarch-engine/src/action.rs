use std::net::SocketAddr;
use std::time::Duration;

use cuminarch_once::{BoundKey, StoredAnswer};
use cuminarch_protocol::{AllotmentDatagram, Receipt, RoutedCall, SuspicionDatagram};
use cuminarch_routing::Target;
use cuminarch_types::{AttemptId, Attempts, CallId, ClientKey, InstanceId, Rank};

use crate::{AllotmentNotice, QuarantineNotice, Refusal, RequestKey};

/// One attempt sent to another node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Forward {
    /// Destination.
    pub target: Target,
    /// Attempts that it may spend downstream.
    pub share: Attempts,
    /// Position in the refusal order.
    pub rank: Rank,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Whether it is idempotent by the policy.
    pub idempotent: bool,
    /// Idempotency key to send along.
    pub key: Option<RequestKey>,
    /// Properties of the route, if the call took one.
    pub routed: Option<RoutedCall>,
}

/// Command to the driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send the request to the local upstream.
    RunLocal {
        /// The call.
        call: CallId,
        /// Time until the deadline.
        remaining: Duration,
        /// Whether to return the whole answer when it ends.
        keep_answer: bool,
        /// The instance of the upstream that it is meant for, if known.
        instance: Option<InstanceId>,
    },
    /// Bind a client's key to this node on the platform.
    Claim {
        /// The call.
        call: CallId,
        /// The client's key.
        key: ClientKey,
        /// The bound key to bind it to.
        bound: BoundKey,
    },
    /// Send an attempt to another node.
    Forward {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
        /// Its destination and contents.
        forward: Box<Forward>,
    },
    /// Stream the answer of this attempt to the caller.
    Deliver {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send the caller this final answer; the call has ended.
    Refuse {
        /// The call.
        call: CallId,
        /// The answer.
        refusal: Refusal,
        /// Unspent part of the share.
        receipt: Receipt,
    },
    /// Send the caller the answer of an earlier run; the call has ended.
    Replay {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Box<StoredAnswer>,
        /// Unspent part of the share.
        receipt: Receipt,
    },
    /// A delivered call has ended.
    Close {
        /// The call.
        call: CallId,
        /// Unspent part of the share.
        receipt: Receipt,
    },
    /// Stop the local upstream's work on a call.
    CancelLocal {
        /// The call.
        call: CallId,
    },
    /// Stop an attempt at another node.
    CancelRemote {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send a datagram about allotments to another node; it may get lost.
    SendAllotment {
        /// Control address of the node.
        to: SocketAddr,
        /// The datagram.
        datagram: Box<AllotmentDatagram>,
    },
    /// Send a datagram about requests that crash endpoints to another node; it may get lost.
    SendSuspicions {
        /// Control address of the node.
        to: SocketAddr,
        /// The datagram.
        datagram: Box<SuspicionDatagram>,
    },
    /// Log a change that concerns allotments.
    Report(AllotmentNotice),
    /// Log a decision about requests that crash endpoints.
    ReportQuarantine(QuarantineNotice),
}

impl Action {
    /// Returns the call that the action belongs to, if it belongs to one.
    #[must_use]
    pub const fn call(&self) -> Option<CallId> {
        match self {
            Self::RunLocal { call, .. }
            | Self::Claim { call, .. }
            | Self::Forward { call, .. }
            | Self::Deliver { call, .. }
            | Self::Refuse { call, .. }
            | Self::Replay { call, .. }
            | Self::Close { call, .. }
            | Self::CancelLocal { call }
            | Self::CancelRemote { call, .. } => Some(*call),
            Self::SendAllotment { .. }
            | Self::SendSuspicions { .. }
            | Self::Report(_)
            | Self::ReportQuarantine(_) => None,
        }
    }
}
