use std::time::Duration;

use compact_str::CompactString;
use cuminarch_once::BoundKey;
use cuminarch_types::Outcome;

/// Why a call has no answer of its upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The node is shutting down.
    Draining,
    /// The endpoint is at its limit.
    Overloaded,
    /// A service further down the chain is at its limit.
    OverloadedBehind,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// The attempt budget is exhausted.
    BudgetExhausted,
    /// The call is a repeat, and the endpoint lets no more of those through.
    RetriesExhausted,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The call that this one belongs to is over.
    ParentEnded,
    /// The upstream or the way to it failed.
    UpstreamFailed,
    /// The upstream turned the call away.
    TurnedAway,
    /// The upstream has not registered, or has left.
    UpstreamAbsent,
    /// The key belongs to a request that is running.
    KeyInProgress,
    /// The key belongs to a request that has run; its answer is no longer held.
    KeyAlreadyRun,
    /// Whether the key's request has run cannot be shown.
    KeyUnknown,
    /// The key belongs to another request.
    KeyConflict,
    /// No more keys can be held.
    KeysExhausted,
    /// The key could not be claimed on the platform.
    ClaimUnavailable,
    /// The key is bound to another endpoint.
    KeyBoundElsewhere,
}

impl RefusalReason {
    /// Whether another attempt may fare better soon.
    #[must_use]
    pub const fn may_retry(self) -> bool {
        !matches!(self, Self::ClaimUnavailable)
    }

    /// Text for logs and callers.
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
            Self::TurnedAway => "turned-away",
            Self::UpstreamAbsent => "upstream-absent",
            Self::KeyInProgress => "key-in-progress",
            Self::KeyAlreadyRun => "key-already-run",
            Self::KeyUnknown => "key-unknown",
            Self::KeyConflict => "key-conflict",
            Self::KeysExhausted => "keys-exhausted",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::KeyBoundElsewhere => "key-bound-elsewhere",
        }
    }

    /// Every reason.
    pub const ALL: [Self; 18] = [
        Self::Draining,
        Self::Overloaded,
        Self::OverloadedBehind,
        Self::NoEndpoint,
        Self::BudgetExhausted,
        Self::RetriesExhausted,
        Self::DeadlineExceeded,
        Self::ParentEnded,
        Self::UpstreamFailed,
        Self::TurnedAway,
        Self::UpstreamAbsent,
        Self::KeyInProgress,
        Self::KeyAlreadyRun,
        Self::KeyUnknown,
        Self::KeyConflict,
        Self::KeysExhausted,
        Self::ClaimUnavailable,
        Self::KeyBoundElsewhere,
    ];

    /// The reason that [`RefusalReason::as_str`] writes as `text`.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == text)
    }
}

/// The final answer to a call that has none of its upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Whether the request may have run; never `Completed` but for a key that has run.
    pub outcome: Outcome,
    /// Why.
    pub reason: RefusalReason,
    /// Time after which a new attempt makes sense.
    pub retry_after: Option<Duration>,
    /// The process that the request's key is bound to.
    pub bound_to: Option<BoundKey>,
    /// What decided it, for logs.
    pub detail: CompactString,
}

impl Refusal {
    const fn new(outcome: Outcome, reason: RefusalReason) -> Self {
        let detail = CompactString::const_new("");
        Self { outcome, reason, retry_after: None, bound_to: None, detail }
    }

    /// A request that provably did not run.
    #[must_use]
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self::new(Outcome::NotRun, reason)
    }

    /// A request that may have run.
    #[must_use]
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self::new(Outcome::Unknown, reason)
    }

    /// Sets the time after which a new attempt makes sense.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets what decided it, for logs.
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
