use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{AccountName, MonoTime};

use crate::AccountDemand;
use crate::sender_model::decay_factor;

/// Recent requests of one account at this node.
#[derive(Clone, Copy, Debug)]
struct CountedAccount {
    /// Decayed count; the true one is lower by at most `max_error`.
    count: f64,
    max_error: f64,
    /// Allotted rate per second.
    allotted_rate: Option<f64>,
    reported_usage: Option<f64>,
    /// How much the report still counts, from 0 to 1.
    confidence: f64,
}

impl CountedAccount {
    fn own_count(&self) -> f64 {
        (self.count - self.max_error).max(0.0)
    }
}

/// Estimates the usage of accounts relative to their allotted rates, from reports and from the
/// requests that this node received.
///
/// The estimate is the mean of a gamma distribution: the report, or without one the median of the
/// reported accounts, is the prior, and the requests at this node are the observation. Accounts
/// are counted with the Space-Saving sketch (Metwally et al., ICDT 2005), so the memory is bounded
/// for any number of accounts.
#[derive(Clone, Debug, Default)]
pub struct UsageEstimator {
    accounts: BTreeMap<AccountName, CountedAccount>,
    refreshed_at: MonoTime,
    /// Median usage of the accounts with a recent report.
    median_usage: Option<f64>,
    /// Expected count at this node for one request per second of allotted rate.
    count_per_rate: f64,
    /// Mean count at this node of the accounts without an allotment.
    mean_unallotted_count: f64,
}

impl UsageEstimator {
    /// Several times the accounts of a large deployment, in some tens of kilobytes.
    pub const MAX_ACCOUNTS: usize = 256;
    /// Time constant of the counts: long enough for a dozen requests at a node with four a second.
    const DECAY_TIME: Duration = Duration::from_secs(3);
    const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
    /// Observed requests that a recent report outweighs. It covers all nodes, so that it is more
    /// exact than the few requests seen here, but it may be wrong.
    const REPORT_WEIGHT_REQUESTS: f64 = 15.0;
    /// The same for the median that stands in for a missing report.
    const MEDIAN_WEIGHT_REQUESTS: f64 = 3.0;

    /// Returns the usage of the account that sent a request.
    pub fn usage(&self, demand: &AccountDemand<'_>, now: MonoTime) -> f64 {
        let median = self.median_usage.unwrap_or(1.0);
        let Some(account) = demand.account else { return median };
        let own_count = self.accounts.get(account).map_or(0.0, CountedAccount::own_count);
        let Some(rate) = demand.allotted_rate else {
            let weight = Self::MEDIAN_WEIGHT_REQUESTS;
            return median * (own_count + weight) / (self.mean_unallotted_count + weight);
        };
        let confidence = demand.usage.map_or(0.0, |report| report.confidence(now));
        let reported = demand.usage.map_or(median, |report| report.usage());
        let prior = (reported * confidence + median * (1.0 - confidence)).max(f64::EPSILON);
        let weight = Self::REPORT_WEIGHT_REQUESTS * confidence
            + Self::MEDIAN_WEIGHT_REQUESTS * (1.0 - confidence);
        (own_count + weight) / (self.count_per_rate * rate.get() + weight / prior)
    }

    /// Counts a request.
    pub fn record(&mut self, demand: &AccountDemand<'_>, now: MonoTime) {
        let Some(account) = demand.account else { return };
        if now.since(self.refreshed_at) >= Self::REFRESH_INTERVAL {
            self.refresh(now);
        }
        let is_new = !self.accounts.contains_key(account);
        let inherited_count =
            if is_new && self.accounts.len() >= Self::MAX_ACCOUNTS { self.evict() } else { 0.0 };
        let counted = self.accounts.entry(account.clone()).or_insert(CountedAccount {
            count: inherited_count,
            max_error: inherited_count,
            allotted_rate: None,
            reported_usage: None,
            confidence: 0.0,
        });
        counted.count += 1.0;
        counted.allotted_rate = demand.allotted_rate.map(|rate| rate.get());
        counted.reported_usage = demand.usage.map(|report| report.usage());
        counted.confidence = demand.usage.map_or(0.0, |report| report.confidence(now));
    }

    /// Returns the number of accounts that are counted.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Removes the account with the lowest count and returns that count.
    fn evict(&mut self) -> f64 {
        let lowest =
            self.accounts.iter().min_by(|left, right| left.1.count.total_cmp(&right.1.count));
        let Some((account, count)) = lowest.map(|(account, entry)| (account.clone(), entry.count))
        else {
            return 0.0;
        };
        self.accounts.remove(&account);
        count
    }

    /// Decays the counts and derives what the estimates need.
    fn refresh(&mut self, now: MonoTime) {
        let factor = decay_factor(now.since(self.refreshed_at), Self::DECAY_TIME);
        self.refreshed_at = now;
        let mut reported_usages = Vec::with_capacity(self.accounts.len());
        let (mut reported, mut allotted, mut unallotted) =
            (Totals::default(), Totals::default(), Totals::default());
        for entry in self.accounts.values_mut() {
            entry.count *= factor;
            entry.max_error *= factor;
            match (entry.allotted_rate, entry.reported_usage) {
                (Some(rate), Some(usage)) if entry.confidence > 0.0 => {
                    reported_usages.push(usage);
                    reported.add(entry.own_count(), rate * usage);
                    allotted.add(entry.own_count(), rate);
                }
                (Some(rate), _) => allotted.add(entry.own_count(), rate),
                (None, _) => unallotted.add(entry.own_count(), 1.0),
            }
        }
        reported_usages.sort_by(f64::total_cmp);
        self.median_usage = reported_usages.get(reported_usages.len() / 2).copied();
        self.count_per_rate =
            if self.median_usage.is_some() { reported.ratio() } else { allotted.ratio() };
        self.mean_unallotted_count = unallotted.ratio();
    }
}

/// Requests of several accounts, and the sum of what they are relative to.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    count: f64,
    reference: f64,
}

impl Totals {
    fn add(&mut self, count: f64, reference: f64) {
        self.count += count;
        self.reference += reference;
    }

    fn ratio(&self) -> f64 {
        if self.reference > 0.0 { self.count / self.reference } else { 0.0 }
    }
}
