use std::fmt;

use cuminarch_types::{AccountName, Allotment};

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
}

impl fmt::Display for AllotmentNotice {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Lowered { account, from, to } => write!(
                formatter,
                "account={account} rate_per_s={} was_rate_per_s={} burst_requests={} \
                 was_burst_requests={}",
                to.rate, from.rate, to.burst_requests, from.burst_requests,
            ),
        }
    }
}
