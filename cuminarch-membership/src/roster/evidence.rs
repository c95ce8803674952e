//! Evidence that the configuration in force is the latest one.

use std::time::Duration;

use cuminarch_types::MonoTime;

use super::Roster;
use crate::{ConfigCurrency, ConfigSource, FleetNotice};

/// Latest evidence that the store held no newer configuration.
#[derive(Debug, Default)]
pub struct Evidence {
    at: Option<MonoTime>,
    source: Option<ConfigSource>,
    /// Own reads of the configuration since then.
    pub reads: u32,
    pub failed_reads: u32,
    is_reported_old: bool,
}

impl Evidence {
    /// Returns the time at which the store held no newer configuration.
    pub const fn at(&self) -> Option<MonoTime> {
        self.at
    }

    fn age(&self, now: MonoTime) -> Option<Duration> {
        self.at.map(|at| now.since(at))
    }

    fn currency(&self, now: MonoTime) -> ConfigCurrency {
        let age_ms = self.age(now).map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
        ConfigCurrency {
            verified_age_ms: age_ms,
            verified_by: self.source.clone(),
            reads: self.reads,
            failed_reads: self.failed_reads,
        }
    }
}

impl Roster {
    /// Records that the store held no newer configuration at `at`.
    pub(super) fn config_verified(&mut self, at: MonoTime, source: ConfigSource, now: MonoTime) {
        if self.evidence.at.is_some_and(|held| held >= at) {
            return;
        }
        if self.evidence.is_reported_old && now.since(at) < self.settings.config_apply {
            let currency = self.config_currency(now);
            self.notice(FleetNotice::ConfigVerified(self.revision(), source.clone(), currency));
            self.evidence.is_reported_old = false;
        }
        self.evidence.at = Some(at);
        self.evidence.source = Some(source);
        self.evidence.reads = 0;
        self.evidence.failed_reads = 0;
    }

    /// Returns what is known about whether the configuration is the latest.
    pub(super) fn config_currency(&self, now: MonoTime) -> ConfigCurrency {
        self.evidence.currency(now)
    }

    /// Reports once that the configuration has not been verified for longer than a change may
    /// take to be in force.
    pub(super) fn report_unverified_config(&mut self, now: MonoTime) {
        let since = self.evidence.at.unwrap_or(self.started_at);
        let is_old = now.since(since) > self.settings.config_apply;
        if is_old && !std::mem::replace(&mut self.evidence.is_reported_old, is_old) {
            let currency = self.config_currency(now);
            self.notice(FleetNotice::ConfigUnverified(self.revision(), currency));
        }
    }
}
