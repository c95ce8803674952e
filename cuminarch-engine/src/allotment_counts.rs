use std::collections::BTreeMap;

use cuminarch_allotment::TokenDecision;
use cuminarch_types::AccountName;
use serde::Serialize;

/// Decisions about the requests of an account at this node.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct AllotmentCounts {
    /// Requests and repeats that got a token.
    pub granted: u64,
    /// Requests refused because the allotment was used up.
    pub exceeded: u64,
    /// Requests refused because no holder of the allotment could be reached.
    pub unavailable: u64,
    /// Tokens returned because their request did not run.
    pub given_back: u64,
}

/// What a node knows of the allotment of an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct AllotmentState {
    /// Number of parts of the allotment.
    pub parts: usize,
    /// Parts that this node holds.
    pub held_parts: usize,
    /// Tokens in these parts when they were last used, in thousandths of a request.
    pub held_tokens_milli: u64,
    /// Tokens that this node was handed and has not used, in thousandths of a request.
    pub own_tokens_milli: u64,
    /// Arriving requests relative to the allotted rate in thousandths, as a holder reported them.
    pub usage_milli: Option<u32>,
    /// Age of that report in milliseconds.
    pub usage_age_ms: Option<u64>,
}

/// State of the allotments for dumps and metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct AllotmentSummary {
    /// Decisions by account, for the first [`AllotmentSummary::MAX_ACCOUNTS`] accounts that sent
    /// requests.
    pub accounts: BTreeMap<AccountName, AllotmentCounts>,
    /// Decisions about all other accounts.
    pub others: AllotmentCounts,
    /// What this node knows of accounts that it holds a part of or gets requests of, at most
    /// [`AllotmentSummary::MAX_ACCOUNTS`].
    pub states: BTreeMap<AccountName, AllotmentState>,
    /// Accounts that have an allotment.
    pub allotted_accounts: usize,
    /// Requests that wait for an answer of a holder.
    pub waiting: usize,
    /// Datagrams dropped because their sender is not the member that they name.
    pub ignored_datagrams: u64,
}

impl AllotmentSummary {
    /// Bounds the size of dumps and metrics.
    pub const MAX_ACCOUNTS: usize = 64;

    /// Returns the decisions about all accounts together.
    #[must_use]
    pub fn total(&self) -> AllotmentCounts {
        let mut total = self.others;
        for counts in self.accounts.values() {
            total.granted += counts.granted;
            total.exceeded += counts.exceeded;
            total.unavailable += counts.unavailable;
            total.given_back += counts.given_back;
        }
        total
    }

    pub(crate) fn record(&mut self, account: &AccountName, decision: TokenDecision) {
        let counts = self.counts_mut(account);
        match decision {
            TokenDecision::Granted => counts.granted += 1,
            TokenDecision::Exceeded { .. } => counts.exceeded += 1,
            TokenDecision::Unavailable { .. } => counts.unavailable += 1,
            TokenDecision::Waiting => {}
        }
    }

    pub(crate) fn counts_mut(&mut self, account: &AccountName) -> &mut AllotmentCounts {
        let is_counted = self.accounts.contains_key(account);
        if !is_counted && self.accounts.len() >= Self::MAX_ACCOUNTS {
            return &mut self.others;
        }
        self.accounts.entry(account.clone()).or_default()
    }
}
