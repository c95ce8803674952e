use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{MonoTime, RuleNumber};

use crate::{CallKind, CallSample, LearnedLevel, Target};

/// Why an endpoint gets no ordinary calls, and until when.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    probe_at: MonoTime,
    length: Duration,
}

/// What the node has seen of one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub member: Member,
    first_seen: MonoTime,
    in_flight: u32,
    failures: u32,
    latency: Option<Duration>,
    /// When the node last heard of it, or began to wait for it.
    heard_at: MonoTime,
    answered_at: Option<MonoTime>,
    ejection: Option<Ejection>,
    ramp_from: Option<MonoTime>,
    levels: BTreeMap<RuleNumber, LearnedLevel>,
}

impl Endpoint {
    /// Failures in a row after which an endpoint is ejected.
    const FAILURES_TO_EJECT: u32 = 3;
    /// An endpoint is ejected when it is slower than the median by this factor.
    const SLOW_FACTOR: u32 = 4;
    /// Slowness below this is never a reason to eject.
    const SLOW_SLACK: Duration = Duration::from_millis(50);
    /// Calls that must wait for a silent endpoint before it counts as stalled.
    const STALLED_CALLS: u32 = 4;
    const FIRST_EJECTION: Duration = Duration::from_millis(500);
    const LONGEST_EJECTION: Duration = Duration::from_secs(4);
    /// Time in which a suspect endpoint that answered is not taken for suspect.
    const ANSWER_LIFETIME: Duration = Duration::from_secs(2);
    /// Time over which a new endpoint gets its full share.
    const RAMP: Duration = Duration::from_secs(4);
    /// Share that a new endpoint gets at once, in thousandths.
    const FIRST_SHARE_MILLI: u128 = 100;
    /// One sample moves the mean latency by this part of the difference.
    const LATENCY_WEIGHT: u32 = 8;

    /// An endpoint of which nothing was seen yet.
    pub const fn new(member: Member) -> Self {
        Self {
            member,
            first_seen: MonoTime::ZERO,
            in_flight: 0,
            failures: 0,
            latency: None,
            heard_at: MonoTime::ZERO,
            answered_at: None,
            ejection: None,
            ramp_from: None,
            levels: BTreeMap::new(),
        }
    }

    /// Sets since when it is known, from when on it gets its share gradually.
    pub const fn with_first_seen(mut self, first_seen: MonoTime) -> Self {
        self.first_seen = first_seen;
        self.ramp_from = Some(first_seen);
        self
    }

    pub fn target(&self) -> Target {
        Target {
            endpoint: self.member.endpoint.clone(),
            incarnation: self.member.incarnation,
            data_address: self.member.data_address,
        }
    }

    /// Whether it left or was given up.
    pub const fn is_gone(&self) -> bool {
        matches!(self.member.state, MemberState::Gone)
    }

    /// Whether it may be sent new work at all.
    pub fn takes_work(&self) -> bool {
        self.member.state <= MemberState::Suspect
    }

    /// Whether it gets ordinary calls. A report that it is suspect only counts
    /// while the node itself has no recent answer of it.
    pub fn is_healthy(&self, now: MonoTime) -> bool {
        let is_trusted = self.member.state == MemberState::Active || self.has_answered(now);
        is_trusted && self.ejection.is_none()
    }

    pub const fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether one call may be sent to see if it is well again.
    pub fn wants_probe(&self, now: MonoTime) -> bool {
        let is_due = self.ejection.is_none_or(|ejection| ejection.probe_at <= now);
        let is_silent = now.since(self.heard_at) >= Self::FIRST_EJECTION;
        self.takes_work() && !self.is_healthy(now) && is_due && self.in_flight == 0 && is_silent
    }

    pub fn level(&self, rule: RuleNumber) -> LearnedLevel {
        self.levels.get(&rule).copied().unwrap_or_default()
    }

    pub fn admits(&self, kind: CallKind, now: MonoTime) -> bool {
        kind.rank >= self.level(kind.rule).at(now)
    }

    pub fn note_level(&mut self, rule: RuleNumber, level: LearnedLevel) {
        self.levels.insert(rule, level);
    }

    pub fn forget_levels(&mut self) {
        self.levels.clear();
    }

    /// Mean time to an answer, or the present silence if that is longer.
    pub fn latency(&self, now: MonoTime) -> Option<Duration> {
        let silence = self.silence(now);
        match self.latency {
            Some(latency) => Some(latency.max(silence)),
            None => (silence > Duration::ZERO).then_some(silence),
        }
    }

    /// Cost of one more call: the latency times the calls that it would share it with.
    pub fn cost(&self, typical: Duration, now: MonoTime) -> Duration {
        self.latency(now).unwrap_or(typical) * (self.in_flight + 1)
    }

    /// Share of its traffic that it may take now, in thousandths.
    pub fn ramp_milli(&self, now: MonoTime) -> u32 {
        let Some(from) = self.ramp_from else { return 1_000 };
        let grown = now.since(from).as_micros() * 1_000 / Self::RAMP.as_micros();
        u32::try_from(grown.clamp(Self::FIRST_SHARE_MILLI, 1_000)).unwrap_or(1_000)
    }

    pub fn started(&mut self, now: MonoTime) {
        if self.in_flight == 0 {
            self.heard_at = now;
        }
        self.in_flight += 1;
    }

    pub fn finished(&mut self, sample: CallSample, now: MonoTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match sample {
            CallSample::Answered(latency) => self.answered(latency, now),
            CallSample::Refused => {
                self.heard_at = now;
                self.failures = 0;
            }
            CallSample::Withdrawn => {}
            CallSample::Failed => self.failures += 1,
        }
    }

    /// Whether it should be ejected, `median` being that of its service.
    pub fn is_outlier(&self, median: Option<Duration>, now: MonoTime) -> bool {
        if self.failures >= Self::FAILURES_TO_EJECT {
            return true;
        }
        let Some(median) = median else { return false };
        let limit = median * Self::SLOW_FACTOR + Self::SLOW_SLACK;
        let is_stalled = self.in_flight >= Self::STALLED_CALLS && self.silence(now) > limit;
        is_stalled || self.latency.is_some_and(|latency| latency > limit)
    }

    /// Takes it out of the ordinary choice.
    pub fn eject(&mut self, now: MonoTime) {
        let length = self.ejection.map_or(Self::FIRST_EJECTION, |last| last.length * 2);
        let length = length.min(Self::LONGEST_EJECTION);
        self.ejection = Some(Ejection { probe_at: now.after(length), length });
        self.failures = 0;
        self.latency = None;
    }

    /// Puts it back, with a share that grows anew.
    pub fn restore(&mut self, now: MonoTime) {
        self.ejection = None;
        self.ramp_from = Some(now);
    }

    fn answered(&mut self, latency: Duration, now: MonoTime) {
        self.failures = 0;
        self.heard_at = now;
        self.answered_at = Some(now);
        let weight = Self::LATENCY_WEIGHT;
        self.latency = Some(match self.latency {
            Some(mean) => (mean * (weight - 1) + latency) / weight,
            None => latency,
        });
    }

    fn has_answered(&self, now: MonoTime) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) <= Self::ANSWER_LIFETIME)
    }

    fn silence(&self, now: MonoTime) -> Duration {
        if self.in_flight == 0 { Duration::ZERO } else { now.since(self.heard_at) }
    }
}
