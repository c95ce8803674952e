use std::collections::BTreeSet;
use std::time::Duration;

use cuminarch_attempts::AttemptBudget;
use cuminarch_config::Rule;
use cuminarch_once::{BoundKey, RequestFingerprint};
use cuminarch_protocol::RoutedCall;
use cuminarch_routing::{CallAttributes, LearnedLevel};
use cuminarch_types::{
    AttemptId, Attempts, CallId, ClientKey, EndpointId, MonoTime, Rank, RequestId, ServiceName,
};

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
    /// Attempts that the call and everything beneath it may spend.
    pub budget: AttemptBudget,
    /// Highest admission level met.
    pub highest_level: LearnedLevel,
    /// Whether a call to another service was made for it.
    pub made_outbound_call: bool,
    pub key: Option<BoundKey>,
    /// Whether the request carries an idempotency key of any kind.
    pub has_key: bool,
    pub fingerprint: RequestFingerprint,
    /// Whether another node sent it, which gives the final answer itself.
    pub is_remote: bool,
    /// Whether no send of the key had run it when this call arrived.
    pub not_run_proven: bool,
    /// Client's own key, as long as it is not bound.
    pub client_key: Option<ClientKey>,
    /// Whether the body can be sent again.
    pub replayable: bool,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// What the route says, if the call took one.
    pub routed: Option<RoutedCall>,
    pub stage: Stage,
}

impl Call {
    /// Time within which an answer is of full use.
    pub fn objective(&self) -> Duration {
        let routed = self.routed.as_ref();
        let objective = routed.map(|routed| Duration::from_millis(routed.objective_ms.into()));
        objective.unwrap_or(self.rule.objective)
    }

    /// What routing needs to know of the call.
    pub const fn attributes(&self) -> CallAttributes {
        let can_probe = self.idempotent && self.replayable && !self.rule.protected;
        CallAttributes { rule: self.rule.number, rank: self.rank, can_probe }
    }
}

/// Time in which at least one child was under way.
#[derive(Clone, Copy, Debug, Default)]
pub struct DownstreamTime {
    total: Duration,
    since: Option<MonoTime>,
}

impl DownstreamTime {
    /// Notes that the first child began.
    pub fn begin(&mut self, now: MonoTime) {
        self.since.get_or_insert(now);
    }

    /// Notes that the last child ended.
    pub fn end(&mut self, now: MonoTime) {
        if let Some(since) = self.since.take() {
            self.total += now.since(since);
        }
    }

    /// Time so far.
    pub const fn total(&self) -> Duration {
        self.total
    }
}

/// How far a call has come.
#[derive(Clone, Debug)]
pub enum Stage {
    /// Inbound: its client key is being claimed.
    Claiming,
    /// Inbound: waits for a slot.
    Waiting,
    /// Inbound: runs since this time; the upstream may have begun to answer.
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
    /// Attempts that an upstream has seen or may have seen.
    pub attempts_reaching_upstream: u32,
    /// When it is sent next, as long as nothing is under way.
    pub retry_at: Option<MonoTime>,
    /// Whether it waits for attempts that its siblings hold.
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

/// An attempt under way.
#[derive(Clone, Debug)]
pub struct InFlightAttempt {
    pub attempt: AttemptId,
    pub endpoint: EndpointId,
    pub share: Attempts,
    pub sent_at: MonoTime,
    pub delivering: bool,
}
