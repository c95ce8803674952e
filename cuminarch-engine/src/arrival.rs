use std::time::Duration;

use cuminarch_config::{CredentialDigest, Rule};
use cuminarch_once::{BoundKey, RequestFingerprint};
use cuminarch_protocol::RoutedCall;
use cuminarch_types::{
    AccountName, Attempts, CallId, ClientKey, Rank, RequestId, RequestIdentity, ResendNumber,
    ServiceName,
};

use crate::Destination;

/// Direction of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Direction {
    /// To the upstream beside this node.
    Inbound,
    /// To another service, through the node of one of its endpoints.
    Outbound(ServiceName),
}

/// Idempotency key of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestKey {
    /// Minted by a node and bound to one process.
    Bound(BoundKey),
    /// Chosen by the client; bound by a claim on the platform.
    Client(ClientKey),
}

/// A call that arrives at the node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Its direction.
    pub direction: Direction,
    /// The caller's original request.
    pub root: RequestId,
    /// The inbound call that caused it, for calls of the local upstream.
    pub parent: Option<CallId>,
    /// Attempts that it may spend downstream; `None` at the entry node.
    pub share: Option<Attempts>,
    /// Position in the refusal order, assigned by the entry node.
    pub rank: Option<Rank>,
    /// Number of this send of the request by its client.
    pub resend: ResendNumber,
    /// Whether the client numbers its sends. If not, a send with a key is not assumed to be the
    /// first one.
    pub is_numbered: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Time until the deadline, if the caller states it.
    pub remaining: Option<Duration>,
    /// Whether it is idempotent by the sender's policy.
    pub idempotent: bool,
    /// Idempotency key.
    pub key: Option<RequestKey>,
    /// Whether its body can be sent again.
    pub replayable: bool,
    /// Digest of the body, to detect a different request with the same key.
    pub body_digest: Option<u64>,
    /// Properties of the route, if the call took one.
    pub routed: Option<RoutedCall>,
    /// The rule of the route or of the client account, at the entry node; without one, the policy
    /// decides.
    pub rule: Option<Rule>,
    /// The client account that sent it, at the entry node; nested calls have none.
    pub account: Option<AccountName>,
    /// Digest of the account's key without which the request must not run, at the entry node.
    pub credential: Option<CredentialDigest>,
    /// Identity by which the request is recognized when it returns, if the driver computes it.
    pub identity: Option<RequestIdentity>,
    /// What another node means the call for.
    pub destination: Option<Destination>,
}

impl Arrival {
    /// Creates a call to the upstream beside this node.
    #[must_use]
    pub fn inbound(root: RequestId, method: &str, target: &str) -> Self {
        Self {
            direction: Direction::Inbound,
            root,
            parent: None,
            share: None,
            rank: None,
            resend: ResendNumber::FIRST,
            is_numbered: false,
            method: method.to_owned(),
            target: target.to_owned(),
            remaining: None,
            idempotent: true,
            key: None,
            replayable: true,
            body_digest: None,
            routed: None,
            rule: None,
            account: None,
            credential: None,
            identity: None,
            destination: None,
        }
    }

    /// Creates a call to another service.
    #[must_use]
    pub fn outbound(service: ServiceName, root: RequestId, method: &str, target: &str) -> Self {
        let direction = Direction::Outbound(service);
        Self { direction, ..Self::inbound(root, method, target) }
    }

    /// Sets the inbound call that caused this call.
    #[must_use]
    pub fn with_parent(mut self, parent: Option<CallId>) -> Self {
        self.parent = parent;
        self
    }

    /// Sets the share of attempts and the rank that another node assigned.
    #[must_use]
    pub fn with_share(mut self, share: Attempts, rank: Rank) -> Self {
        self.share = Some(share);
        self.rank = Some(rank);
        self
    }

    /// Sets the number of this send, as stated by the client.
    #[must_use]
    pub fn with_resend(self, resend: ResendNumber) -> Self {
        self.with_send(Some(resend))
    }

    /// Sets the number of this send, if the client numbers its sends.
    #[must_use]
    pub fn with_send(mut self, send: Option<ResendNumber>) -> Self {
        self.resend = send.unwrap_or_default();
        self.is_numbered = send.is_some();
        self
    }

    /// Sets the digest of the body.
    #[must_use]
    pub const fn with_body_digest(mut self, body_digest: Option<u64>) -> Self {
        self.body_digest = body_digest;
        self
    }

    /// Sets the time until the deadline.
    #[must_use]
    pub fn with_remaining(mut self, remaining: Option<Duration>) -> Self {
        self.remaining = remaining;
        self
    }

    /// Sets whether it is idempotent by the sender's policy.
    #[must_use]
    pub fn with_idempotent(mut self, idempotent: bool) -> Self {
        self.idempotent = idempotent;
        self
    }

    /// Sets whether the body can be sent again.
    #[must_use]
    pub fn with_replayable(mut self, replayable: bool) -> Self {
        self.replayable = replayable;
        self
    }

    /// Sets the properties of the route.
    #[must_use]
    pub fn with_routed(mut self, routed: Option<RoutedCall>) -> Self {
        self.routed = routed;
        self
    }

    /// Sets the route's rule.
    #[must_use]
    pub fn with_rule(mut self, rule: Rule) -> Self {
        self.rule = Some(rule);
        self
    }

    /// Sets the client account.
    #[must_use]
    pub fn with_account(mut self, account: Option<AccountName>) -> Self {
        self.account = account;
        self
    }

    /// Sets the digest of the key without which the request must not run.
    #[must_use]
    pub const fn with_credential(mut self, credential: Option<CredentialDigest>) -> Self {
        self.credential = credential;
        self
    }

    /// Sets the identity by which the request is recognized when it returns.
    #[must_use]
    pub const fn with_identity(mut self, identity: Option<RequestIdentity>) -> Self {
        self.identity = identity;
        self
    }

    /// Sets what another node means the call for.
    #[must_use]
    pub fn with_destination(mut self, destination: Destination) -> Self {
        self.destination = Some(destination);
        self
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn with_key(mut self, key: Option<RequestKey>) -> Self {
        self.key = key;
        self
    }

    /// Returns a digest of the method, target and body.
    #[must_use]
    pub fn fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint::new(&self.method, &self.target, self.body_digest)
    }

    /// Returns `true` if the client states that it has not sent the request before.
    #[must_use]
    pub fn is_first_send(&self) -> bool {
        self.is_numbered && self.resend == ResendNumber::FIRST
    }
}
