use std::sync::Arc;
use std::time::Duration;

use cuminarch_attempts::RetryBudgetSettings;
use cuminarch_config::Policy;
use cuminarch_engine::{ClaimResult, EngineSummary};
use cuminarch_protocol::{Member, UpstreamRecord};
use cuminarch_types::CallId;
use flume::Sender;

/// Command from another thread to the data thread.
#[derive(Debug)]
pub enum DataCommand {
    /// Apply a policy.
    Policy(Arc<Policy>),
    /// Update a member.
    Member(Box<Member>),
    /// Apply what an earlier process of the node knew about the upstream.
    UpstreamHistory(Box<UpstreamRecord>),
    /// Nothing more is known about the upstream.
    UpstreamHistoryComplete,
    /// Nothing can be found out about the upstream; only later registrations count.
    UpstreamHistoryUnknown,
    /// The upstream has to register once more before it may be taken for ready.
    UpstreamUnconfirmed,
    /// The next process of the node will know of this departure of the upstream.
    UpstreamRecorded(Box<UpstreamRecord>),
    /// Return the result of a claim.
    Claimed(CallId, ClaimResult),
    /// Report the node as not ready, but continue to serve calls that end in time.
    Leave {
        /// Time within which callers turn to other nodes.
        linger: Duration,
        /// Time until the process ends.
        timeout: Duration,
    },
    /// The members are known, and this endpoint was one of them before the process started.
    Rejoined,
    /// Refuse new calls.
    Drain,
    /// Apply new retry budget settings.
    RetryBudget(RetryBudgetSettings),
    /// Return a summary of the engine's state.
    Summary(Sender<EngineSummary>),
    /// Stop once no call is in progress, or after this timeout.
    Stop(Duration),
}
