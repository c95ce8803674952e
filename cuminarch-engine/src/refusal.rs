use std::time::Duration;

use compact_str::CompactString;
use cuminarch_once::BoundKey;
use cuminarch_types::Outcome;

/// Why a call gets no answer from its upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The node is shutting down.
    Draining,
    /// The endpoint is at its limit.
    Overloaded,
    /// A downstream service is at its limit.
    OverloadedBehind,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// The attempt budget is exhausted.
    BudgetExhausted,
    /// The call is a retry, and the retry budget of the endpoint is exhausted.
    RetriesExhausted,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The parent call has ended.
    ParentEnded,
    /// The upstream or the connection to it failed.
    UpstreamFailed,
    /// The process of the upstream ended while it ran the call.
    UpstreamEnded,
    /// The call was meant for another service or another lifetime of the upstream.
    Misdirected,
    /// The request has crashed several endpoints.
    Quarantined,
    /// The upstream turned the call away.
    TurnedAway,
    /// The upstream has not registered, or has left.
    UpstreamAbsent,
    /// The key belongs to a request that is running.
    KeyInProgress,
    /// The key belongs to a request that has run; its answer is no longer stored.
    KeyAlreadyRun,
    /// It is unknown whether the key's request has run.
    KeyUnknown,
    /// The key belongs to a different request.
    KeyConflict,
    /// The key table is full.
    KeysExhausted,
    /// The key could not be claimed on the platform.
    ClaimUnavailable,
    /// The key is bound to another endpoint.
    KeyBoundElsewhere,
    /// The client account no longer holds the key that the request came with.
    CredentialWithdrawn,
    /// The client account has used up its allotment.
    AllotmentExceeded,
    /// No holder of the client account's allotment can be reached.
    AllotmentUnavailable,
    /// The node has found no configuration yet and must not serve without one.
    NoConfiguration,
}

impl RefusalReason {
    /// Returns `true` if another attempt may soon succeed.
    #[must_use]
    pub const fn may_retry(self) -> bool {
        !matches!(
            self,
            Self::ClaimUnavailable
                | Self::AllotmentExceeded
                | Self::AllotmentUnavailable
                | Self::Quarantined
        )
    }

    /// Returns the text for logs and callers.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::Overloaded => "overloaded",
            Self::OverloadedBehind => "overloaded-behind",
            Self::NoEndpoint => "no-endpoint",
            Self::BudgetExhausted => "budget-exhausted",
            Self::RetriesExhausted => "retries-exhausted",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::ParentEnded => "parent-ended",
            Self::UpstreamFailed => "upstream-failed",
            Self::UpstreamEnded => "upstream-ended",
            Self::Misdirected => "misdirected",
            Self::Quarantined => "quarantined",
            Self::TurnedAway => "turned-away",
            Self::UpstreamAbsent => "upstream-absent",
            Self::KeyInProgress => "key-in-progress",
            Self::KeyAlreadyRun => "key-already-run",
            Self::KeyUnknown => "key-unknown",
            Self::KeyConflict => "key-conflict",
            Self::KeysExhausted => "keys-exhausted",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::KeyBoundElsewhere => "key-bound-elsewhere",
            Self::CredentialWithdrawn => "credential-withdrawn",
            Self::AllotmentExceeded => "allotment-exceeded",
            Self::AllotmentUnavailable => "allotment-unavailable",
            Self::NoConfiguration => "no-configuration",
        }
    }

    /// Every reason.
    pub const ALL: [Self; 25] = [
        Self::Draining,
        Self::Overloaded,
        Self::OverloadedBehind,
        Self::NoEndpoint,
        Self::BudgetExhausted,
        Self::RetriesExhausted,
        Self::DeadlineExceeded,
        Self::ParentEnded,
        Self::UpstreamFailed,
        Self::UpstreamEnded,
        Self::Misdirected,
        Self::Quarantined,
        Self::TurnedAway,
        Self::UpstreamAbsent,
        Self::KeyInProgress,
        Self::KeyAlreadyRun,
        Self::KeyUnknown,
        Self::KeyConflict,
        Self::KeysExhausted,
        Self::ClaimUnavailable,
        Self::KeyBoundElsewhere,
        Self::CredentialWithdrawn,
        Self::AllotmentExceeded,
        Self::AllotmentUnavailable,
        Self::NoConfiguration,
    ];

    /// Returns the reason for which [`RefusalReason::as_str`] returns `text`.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == text)
    }
}

/// The final answer to a call that gets no answer from its upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the request may have run; `Completed` only for a key that has run.
    pub outcome: Outcome,
    /// The reason.
    pub reason: RefusalReason,
    /// Delay after which a new attempt makes sense.
    pub retry_after: Option<Duration>,
    /// The process that the request's key is bound to.
    pub bound_to: Option<BoundKey>,
    /// Values that led to the refusal, for logs.
    pub detail: CompactString,
}

impl Refusal {
    const fn new(outcome: Outcome, reason: RefusalReason) -> Self {
        let detail = CompactString::const_new("");
        Self { outcome, reason, retry_after: None, bound_to: None, detail }
    }

    /// Creates the refusal of a request that provably did not run.
    #[must_use]
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self::new(Outcome::NotRun, reason)
    }

    /// Creates the refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self::new(Outcome::Unknown, reason)
    }

    /// Sets the delay after which a new attempt makes sense.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets the values that led to the refusal, for logs.
    #[must_use]
    pub fn with_detail(mut self, detail: CompactString) -> Self {
        self.detail = detail;
        self
    }

    /// Sets the process that the request's key is bound to.
    #[must_use]
    pub fn with_bound_to(mut self, key: BoundKey) -> Self {
        self.bound_to = Some(key);
        self
    }
}
