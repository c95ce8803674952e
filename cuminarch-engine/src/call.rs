use std::collections::BTreeSet;

use cuminarch_attempts::Budget;
use cuminarch_config::Rule;
use cuminarch_once::{BoundKey, RequestFingerprint};
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
    /// Attempts that the call and everything beneath it may spend.
    pub budget: Budget,
    /// Highest admission level met.
    pub level: Rank,
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
    pub maybe_ran: bool,
    pub stage: Stage,
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
    /// When it is sent next, as long as nothing is under way.
    pub retry_at: Option<MonoTime>,
    /// Whether it waits for attempts that its siblings hold.
    pub is_short: bool,
    pub share_wait_until: Option<MonoTime>,
    pub current: Option<Flight>,
}

impl Sending {
    pub const fn new(service: ServiceName) -> Self {
        Self {
            service,
            tried: Vec::new(),
            retries: 0,
            retry_at: None,
            is_short: false,
            share_wait_until: None,
            current: None,
        }
    }
}

/// An attempt under way.
#[derive(Clone, Debug)]
pub struct Flight {
    pub attempt: AttemptId,
    pub endpoint: EndpointId,
    pub share: Attempts,
    pub sent_at: MonoTime,
    pub delivering: bool,
}
