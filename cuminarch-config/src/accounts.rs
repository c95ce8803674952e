//! Client accounts by their keys.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use std::sync::Arc;

use cuminarch_types::{AccountName, Allotment, ClassName, Priority};

use crate::class_order::ClassOrder;
use crate::{AccountEntry, CredentialDigest, Rule, SetAsideEntry};

/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// Class of its requests, which goes before the route's.
    pub class: Option<Arc<AccountClass>>,
}

/// Class of client accounts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccountClass {
    /// What the class sets for requests.
    pub rule: Rule,
    /// Priorities of the requests by those of their routes: among accounts of one class, the class of
    /// the route decides.
    pub priorities: BTreeMap<Priority, Priority>,
}

/// A key that an account holds.
#[derive(Clone, Copy, Debug)]
pub struct HeldKey<'a> {
    /// The account.
    pub account: &'a Account,
    /// Digest of the key.
    pub digest: CredentialDigest,
}

/// The accounts of a policy and an index of their keys, which holds digests only.
#[derive(Clone, Debug, Default)]
pub struct AccountIndex {
    digest_seed: u64,
    accounts: Vec<Account>,
    /// Sorted by digest; the number is a position in `accounts`.
    holders: Vec<(CredentialDigest, usize)>,
    /// Keys of accounts that were set aside.
    set_aside_keys: BTreeSet<CredentialDigest>,
    /// Whether the sheet has a list of accounts, or any account was set aside.
    requires_key: bool,
}

impl Account {
    /// Returns the rule of the account's requests on a route with this rule.
    #[must_use]
    pub fn rule(&self, route: &Rule) -> Rule {
        match &self.class {
            Some(class) => {
                let rule = class.rule.clone().with_route_limits(route);
                let priority = class.priorities.get(&route.priority).copied();
                Rule { priority: priority.unwrap_or(rule.priority), ..rule }
            }
            None => route.clone(),
        }
    }
}

impl AccountIndex {
    pub(crate) fn new(
        entries: Option<&[AccountEntry]>,
        classes: &BTreeMap<&ClassName, Rule>,
        order: &ClassOrder,
        digest_seed: u64,
    ) -> Self {
        let requires_key = entries.is_some();
        let entries = entries.unwrap_or_default();
        let of_accounts: BTreeMap<&ClassName, Arc<AccountClass>> = classes
            .iter()
            .map(|(name, rule)| {
                let priorities = order.of_account_class(name);
                (*name, Arc::new(AccountClass { rule: rule.clone(), priorities }))
            })
            .collect();
        let to_account = |entry: &AccountEntry| Account {
            name: entry.name.clone(),
            class: entry.class.as_ref().and_then(|class| of_accounts.get(class)).cloned(),
        };
        let accounts = entries.iter().map(to_account).collect();
        let mut holders: Vec<_> = entries
            .iter()
            .enumerate()
            .flat_map(|(position, entry)| entry.keys.iter().map(move |key| (key, position)))
            .map(|(key, position)| (CredentialDigest::new(key.as_bytes(), digest_seed), position))
            .collect();
        holders.sort_unstable();
        Self { digest_seed, accounts, holders, set_aside_keys: BTreeSet::new(), requires_key }
    }

    /// Adds the keys of accounts that were set aside.
    pub(crate) fn with_set_aside(mut self, entries: &[SetAsideEntry]) -> Self {
        let keys = entries.iter().flat_map(|entry| &entry.keys);
        let digests = keys.map(|key| CredentialDigest::new(key.as_bytes(), self.digest_seed));
        self.set_aside_keys = digests.collect();
        self.requires_key |= entries.iter().any(|entry| entry.is_account);
        self
    }

    /// Returns `true` if requests need a key, also if there is no valid one.
    #[must_use]
    pub const fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Returns `true` if a key belongs to an account that was set aside, and to no other.
    #[must_use]
    pub fn is_set_aside(&self, key: &[u8]) -> bool {
        let digest = CredentialDigest::new(key, self.digest_seed);
        self.set_aside_keys.contains(&digest) && self.holder(digest).is_none()
    }

    /// Returns the number of accounts.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the account that holds a key.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<HeldKey<'_>> {
        let digest = CredentialDigest::new(key, self.digest_seed);
        self.holder(digest).map(|account| HeldKey { account, digest })
    }

    /// Returns the account that holds the key with this digest.
    #[must_use]
    pub fn holder(&self, digest: CredentialDigest) -> Option<&Account> {
        let position = self.position(|found| found.cmp(&digest))?;
        self.accounts.get(position)
    }

    fn position(&self, mut compare: impl FnMut(&CredentialDigest) -> Ordering) -> Option<usize> {
        let found = self.holders.binary_search_by(|(digest, _)| compare(digest)).ok()?;
        self.holders.get(found).map(|(_, position)| *position)
    }
}

/// Returns the allotments of the accounts that have one.
pub(crate) fn allotments(entries: &[AccountEntry]) -> BTreeMap<AccountName, Allotment> {
    let limited = entries.iter().filter(|entry| entry.rate_per_s.get() > 0.0);
    let allotment = |entry: &AccountEntry| Allotment {
        rate: entry.rate_per_s,
        burst_requests: entry.burst_requests,
    };
    limited.map(|entry| (entry.name.clone(), allotment(entry))).collect()
}

#[cfg(test)]
mod tests;
