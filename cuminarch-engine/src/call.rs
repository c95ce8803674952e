use std::collections::BTreeSet;
use std::time::Duration;

use cuminarch_attempts::AttemptBudget;
use cuminarch_config::Rule;
use cuminarch_once::{BoundKey, RequestFingerprint};
use cuminarch_protocol::RoutedCall;
use cuminarch_routing::{CallAttributes, LearnedLevel, Target};
use cuminarch_types::{
    AccountName, AttemptId, Attempts, CallId, ClientKey, EndpointId, MonoTime, Rank, RequestId,
    RequestIdentity, ServiceName,
};

use crate::credential::Credential;
use crate::token::TokenState;
use crate::{Destination, Refusal};

/// A call in progress.
#[derive(Clone, Debug)]
pub struct Call {
    pub root: RequestId,
    pub rule: Rule,
    pub rank: Rank,
    pub idempotent: bool,
    pub deadline: MonoTime,
    pub parent: Option<CallId>,
    pub children: BTreeSet<CallId>,
    pub downstream_time: DownstreamTime,
    /// Attempts that the call and all its downstream calls may spend.
    pub budget: AttemptBudget,
    /// Highest admission level encountered.
    pub highest_level: LearnedLevel,
    /// Whether it caused a call to another service.
    pub made_outbound_call: bool,
    pub key: Option<BoundKey>,
    /// Whether the request carries an idempotency key of any kind.
    pub has_key: bool,
    pub fingerprint: RequestFingerprint,
    /// Whether another node sent it; that node sends the final answer.
    pub is_remote: bool,
    /// Whether it is proven that no send with the key had run when this call arrived.
    pub not_run_proven: bool,
    /// Client's key while it is not bound.
    pub client_key: Option<ClientKey>,
    /// Whether the body can be sent again.
    pub replayable: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// Key of the client account, at the entry node.
    pub identity: Option<RequestIdentity>,
    pub credential: Option<Credential>,
    /// Properties of the route, if the call took one.
    pub routed: Option<RoutedCall>,
    /// The account whose allotment the call counts against, if it has one.
    pub allotted_account: Option<AccountName>,
    pub token: TokenState,
    /// Result of an attempt that may have run, while a token for another one is sought.
    pub earlier_refusal: Option<Box<Refusal>>,
    /// The client account that sent it, at the entry node.
    pub account: Option<AccountName>,
    /// What another node meant the call for.
    pub destination: Option<Destination>,
    /// Time until which its sender waits, if it stated one.
    pub stated_deadline: Option<MonoTime>,
    pub stage: Stage,
}

impl Call {
    /// Returns the time within which an answer is fully useful.
    pub fn objective(&self) -> Duration {
        let routed = self.routed.as_ref();
        let objective = routed.map(|routed| Duration::from_millis(routed.objective_ms.into()));
        objective.unwrap_or(self.rule.objective)
    }

    /// Returns the attributes that routing needs.
    pub const fn attributes(&self) -> CallAttributes {
        let can_probe = self.idempotent && self.replayable && !self.rule.protected;
        CallAttributes {
            rule: self.rule.number,
            rank: self.rank,
            can_probe,
            has_time_to_spare: false,
        }
    }
}

/// Total time with at least one child call in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct DownstreamTime {
    total: Duration,
    since: Option<MonoTime>,
}

impl DownstreamTime {
    /// Records that the first child call started.
    pub fn begin(&mut self, now: MonoTime) {
        self.since.get_or_insert(now);
    }

    /// Records that the last child call ended.
    pub fn end(&mut self, now: MonoTime) {
        if let Some(since) = self.since.take() {
            self.total += now.since(since);
        }
    }

    /// Returns the total so far.
    pub const fn total(&self) -> Duration {
        self.total
    }
}

/// Progress of a call.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Inbound: a claim of its client key is in progress.
    Claiming,
    /// Inbound: waiting for a slot.
    Waiting,
    /// Inbound: running since this time; `head_at` is set once the upstream has started to answer.
    Running { since: MonoTime, head_at: Option<MonoTime> },
    /// Outbound.
    Sending(Sending),
}

/// Attempts of an outbound call.
#[derive(Clone, Debug)]
pub struct Sending {
    pub service: ServiceName,
    pub tried: Vec<EndpointId>,
    pub retries: u32,
    /// Attempts that reached or may have reached an upstream.
    pub attempts_reaching_upstream: u32,
    /// Time of the next send, while no attempt is in flight.
    pub retry_at: Option<MonoTime>,
    /// Whether it waits for attempts held by its siblings.
    pub is_waiting_for_share: bool,
    pub share_wait_until: Option<MonoTime>,
    pub current: Option<InFlightAttempt>,
}

impl Sending {
    pub const fn new(service: ServiceName) -> Self {
        Self {
            service,
            tried: Vec::new(),
            retries: 0,
            attempts_reaching_upstream: 0,
            retry_at: None,
            is_waiting_for_share: false,
            share_wait_until: None,
            current: None,
        }
    }
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub struct InFlightAttempt {
    pub attempt: AttemptId,
    pub target: Box<Target>,
    pub share: Attempts,
    pub sent_at: MonoTime,
    pub delivering: bool,
    /// Whether the upstream's answer states a failure.
    pub is_failure: bool,
}
