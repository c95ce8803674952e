use std::time::Duration;

use cuminarch_types::AccountName;

use crate::AccountUsage;

/// What a node knows of an account, for dumps.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountSummary {
    /// The account.
    pub account: AccountName,
    /// Number of parts of the allotment.
    pub parts: usize,
    /// Parts that this node holds.
    pub held: Vec<PartSummary>,
    /// Tokens that this node was handed and has not used, in thousandths of a request.
    pub tokens_milli: u64,
    /// Requests that wait for tokens.
    pub waiting_requests: usize,
    /// Time since the last request, if one came lately.
    pub last_request_age: Option<Duration>,
    /// Usage, if a holder has reported it recently.
    pub usage: Option<AccountUsage>,
}

/// A part that a node holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartSummary {
    /// Number of the part within the zone.
    pub shard: u8,
    /// Tokens in the bucket when it was last used, in thousandths of a request.
    pub level_milli: u64,
    /// Tokens that were handed out then and could still be used, in thousandths of a request.
    pub outstanding_milli: u64,
    /// Size of the bucket in thousandths of a request.
    pub burst_milli: u64,
    /// Refill in thousandths of a request per second.
    pub rate_milli_per_s: u64,
    /// Asks that wait for tokens of other holders.
    pub waiting_asks: usize,
    /// Time until the part refills, after a change of the holder; zero if it does.
    pub quarantine: Duration,
    /// Time since the bucket was last used.
    pub age: Duration,
}
