use std::fmt;

use cuminarch_types::{AccountName, Allotment, EndpointId};

/// A change that concerns allotments, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AllotmentNotice {
    /// A new policy lowered the allotment of an account.
    Lowered {
        /// The account.
        account: AccountName,
        /// The allotment until now.
        from: Allotment,
        /// The allotment from now on.
        to: Allotment,
    },
    /// The number of parts of an account's allotment that this node holds has changed.
    Held {
        /// The account.
        account: AccountName,
        /// Parts held until now.
        from_parts: usize,
        /// Parts held from now on.
        to_parts: usize,
    },
    /// A node did not answer an ask for tokens.
    Silent(EndpointId),
}

impl fmt::Display for AllotmentNotice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lowered { account, from, to } => write!(
                formatter,
                "account={account} rate={} was_rate={} burst_requests={} \
                 was_burst_requests={}",
                to.rate, from.rate, to.burst_requests, from.burst_requests,
            ),
            Self::Held { account, from_parts, to_parts } => write!(
                formatter,
                "account={account} held_parts={to_parts} was_held_parts={from_parts}"
            ),
            Self::Silent(endpoint) => write!(formatter, "endpoint={endpoint}"),
        }
    }
}
