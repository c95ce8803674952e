//! Evidence that the configuration in force is the latest one.

use std::time::Duration;

use cuminarch_protocol::Heartbeat;
use cuminarch_types::{EndpointId, MonoTime};

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
    /// Time after which a reply to a heartbeat no longer arrives: a link without a reply is closed
    /// before.
    const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
    /// Maximum number of questions to one member whose replies are awaited.
    const MAX_QUESTIONS: usize = 8;
    /// Maximum number of members that an announcement reaches directly.
    const MAX_ANNOUNCEMENTS: usize = 16;
    /// Difference of ages for which it is worth to ask a member, relative to the time limit for a
    /// configuration to be in force.
    const MIN_GAIN_RATIO: f64 = 0.25;
    /// Minimum interval between two announcements of own evidence, relative to the same limit.
    const SHARE_INTERVAL_RATIO: f64 = 0.2;

    /// Notes that a member was asked for its state.
    pub(super) fn note_question(&mut self, to: &EndpointId, now: MonoTime) {
        let asked_at = &mut self.peers.entry(to.clone()).or_default().asked_at;
        asked_at.retain(|at| now.since(*at) < Self::REPLY_TIMEOUT);
        // Without a place for it, the next replies count from earlier questions, which is safe.
        if asked_at.len() < Self::MAX_QUESTIONS {
            asked_at.push_back(now);
        }
    }

    pub(super) fn link_lost(&mut self, member: &EndpointId, now: MonoTime) {
        if let Some(peer) = self.peers.get_mut(member) {
            peer.asked_at.clear();
            peer.lost_at = Some(now);
        }
    }

    /// Returns the time of a member's evidence if it states any for this configuration, given when
    /// the statement was made.
    fn stated_time(&self, heartbeat: &Heartbeat, made_at: MonoTime) -> Option<MonoTime> {
        let age_ms = heartbeat.verified_age_ms.filter(|_| heartbeat.revision <= self.revision())?;
        let micros = made_at.as_micros().saturating_sub(u64::from(age_ms) * 1_000);
        Some(MonoTime::from_micros(micros))
    }

    fn is_gain(&self, at: MonoTime) -> bool {
        let min_gain = self.settings.config_apply.mul_f64(Self::MIN_GAIN_RATIO);
        self.evidence.at.is_none_or(|held| held.after(min_gain) <= at)
    }

    /// Asks a member that states later evidence. The statement itself proves nothing: it may have
    /// been on its way for long.
    pub(super) fn request_evidence(
        &mut self,
        from: &EndpointId,
        heartbeat: &Heartbeat,
        now: MonoTime,
    ) {
        if self.stated_time(heartbeat, now).is_some_and(|at| self.is_gain(at)) {
            self.send_heartbeat(from, now);
        }
    }

    /// Adopts the evidence in a reply of a member, as of the time at which the member was asked.
    pub(super) fn evidence_received(
        &mut self,
        from: &EndpointId,
        heartbeat: &Heartbeat,
        now: MonoTime,
    ) {
        let asked_at = self.peers.get_mut(from).and_then(|peer| peer.asked_at.pop_front());
        let Some(asked_at) = asked_at else { return };
        let Some(at) = self.stated_time(heartbeat, asked_at) else { return };
        let is_gain = self.is_gain(at);
        self.config_verified(at, ConfigSource::Member(from.clone()), now);
        if is_gain && self.zone_members() > Self::MAX_ANNOUNCEMENTS {
            self.announce_evidence(Self::FAN_OUT, now);
        }
    }

    /// Announces own evidence in the zone.
    pub(super) fn share_evidence(&mut self, now: MonoTime) {
        let interval = self.settings.config_apply.mul_f64(Self::SHARE_INTERVAL_RATIO);
        if now.since(self.evidence_shared_at) >= interval {
            self.evidence_shared_at = now;
            self.announce_evidence(Self::MAX_ANNOUNCEMENTS, now);
        }
    }

    fn announce_evidence(&mut self, count: usize, now: MonoTime) {
        let zone = self.own.zone.clone();
        for peer in self.random_members(count, None, |member| member.zone == zone) {
            self.send_heartbeat(&peer, now);
        }
    }

    fn zone_members(&self) -> usize {
        self.table.iter().filter(|member| member.zone == self.own.zone).count()
    }

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
