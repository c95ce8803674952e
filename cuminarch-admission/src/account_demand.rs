use std::time::Duration;

use cuminarch_types::{AccountName, MonoTime, RatePerSecond};

/// Requests of a client account over all nodes, as reported to this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedUsage {
    /// Arriving requests relative to the allotted rate, in thousandths.
    pub usage_milli: u32,
    /// Time of the report.
    pub reported_at: MonoTime,
}

impl ReportedUsage {
    /// A report counts in full for this time. An entry node hears of an account with each of its
    /// requests, which are some seconds apart for a small account.
    const FULL_CONFIDENCE_DURATION: Duration = Duration::from_secs(5);
    /// After that time, the confidence decays to zero within this time.
    const DECAY_DURATION: Duration = Duration::from_secs(10);

    /// Returns the usage relative to the allotted rate.
    #[must_use]
    pub fn usage(&self) -> f64 {
        f64::from(self.usage_milli) / 1_000.0
    }

    /// Returns how much the report still counts, from 0 to 1.
    #[must_use]
    pub fn confidence(&self, now: MonoTime) -> f64 {
        let excess_age = now.since(self.reported_at).saturating_sub(Self::FULL_CONFIDENCE_DURATION);
        (1.0 - excess_age.as_secs_f64() / Self::DECAY_DURATION.as_secs_f64()).clamp(0.0, 1.0)
    }
}

/// Whose request it is, and what is known of that account.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountDemand<'a> {
    /// The account; `None` on public routes.
    pub account: Option<&'a AccountName>,
    /// The allotted rate, if the account has an allotment.
    pub allotted_rate: Option<RatePerSecond>,
    /// The latest report of its usage.
    pub usage: Option<ReportedUsage>,
}

impl<'a> AccountDemand<'a> {
    /// Creates the demand of a request without an account.
    #[must_use]
    pub const fn anonymous() -> Self {
        Self { account: None, allotted_rate: None, usage: None }
    }

    /// Creates the demand of an account without an allotment.
    #[must_use]
    pub const fn of_account(account: &'a AccountName) -> Self {
        Self { account: Some(account), allotted_rate: None, usage: None }
    }

    /// Sets the allotted rate.
    #[must_use]
    pub const fn with_allotted_rate(mut self, rate: Option<RatePerSecond>) -> Self {
        self.allotted_rate = rate;
        self
    }

    /// Sets the latest report of the usage.
    #[must_use]
    pub const fn with_usage(mut self, usage: Option<ReportedUsage>) -> Self {
        self.usage = usage;
        self
    }
}
