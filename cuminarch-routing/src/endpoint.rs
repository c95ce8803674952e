use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{MonoTime, RuleNumber};

use crate::{CallAttributes, CallResult, LearnedLevel, Target};

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
    consecutive_failures: u32,
    latency: Option<Duration>,
    /// When the node last heard of it, or began to wait for it.
    silent_since: MonoTime,
    answered_at: Option<MonoTime>,
    ejection: Option<Ejection>,
    ramp_started_at: Option<MonoTime>,
    levels: BTreeMap<RuleNumber, LearnedLevel>,
    occupancy: Option<Occupancy>,
    /// Part of its answers that were failures when the last one came.
    error_ratio: f64,
    error_ratio_updated_at: MonoTime,
    /// Until when it takes no work, by the word of its node.
    backoff_until: MonoTime,
    /// Tries to reach its node that failed, since the last that did not.
    connect_failures: u32,
    /// Until when its upstream is slow after a start.
    warm_up_until: MonoTime,
}

/// Occupancy that an endpoint reported.
#[derive(Clone, Copy, Debug)]
struct Occupancy {
    milli: u32,
    reported_at: MonoTime,
    /// Calls that the node has sent since.
    sent_since: u32,
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
    const INITIAL_EJECTION: Duration = Duration::from_millis(500);
    pub const MAX_EJECTION: Duration = Duration::from_secs(4);
    /// Time in which a suspect endpoint that answered is not taken for suspect.
    const ANSWER_TTL: Duration = Duration::from_secs(2);
    /// Time over which a new endpoint gets its full share.
    const RAMP: Duration = Duration::from_secs(4);
    /// Share that a new endpoint gets at once, in thousandths.
    const INITIAL_SHARE_MILLI: u128 = 100;
    /// One sample moves the mean latency by this part of the difference.
    const LATENCY_SMOOTHING_DIVISOR: u32 = 8;

    /// One answer moves the part of failures by this part of the difference.
    const ERROR_SMOOTHING_FACTOR: f64 = 0.06;
    /// An endpoint is ejected when its part of failures exceeds that of the
    /// others by this much.
    const MAX_EXCESS_ERROR_RATIO: f64 = 0.25;
    /// Time in which failures are forgotten of an endpoint that gets no calls: that
    /// after which an ejected one is tried again at the latest.
    const ERROR_DECAY: Duration = Self::MAX_EJECTION;
    /// Time after which a node that took no work is asked again.
    const NOT_ACCEPTING_BACKOFF: Duration = Duration::from_millis(700);
    /// Time after which a reported occupancy says nothing any more.
    pub const OCCUPANCY_TTL: Duration = Duration::from_secs(2);

    /// An endpoint of which nothing was seen yet.
    pub const fn new(member: Member) -> Self {
        Self {
            member,
            first_seen: MonoTime::ZERO,
            in_flight: 0,
            consecutive_failures: 0,
            latency: None,
            silent_since: MonoTime::ZERO,
            answered_at: None,
            ejection: None,
            ramp_started_at: None,
            levels: BTreeMap::new(),
            occupancy: None,
            error_ratio: 0.0,
            error_ratio_updated_at: MonoTime::ZERO,
            backoff_until: MonoTime::ZERO,
            connect_failures: 0,
            warm_up_until: MonoTime::ZERO,
        }
    }

    /// Sets since when it is known, from when on it gets its share gradually.
    pub fn with_first_seen(mut self, first_seen: MonoTime) -> Self {
        self.first_seen = first_seen;
        self.ramp_started_at = Some(first_seen);
        self.start_warm_up(&self.member.clone(), first_seen);
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
        self.member.takes_work()
    }

    /// Whether it gets ordinary calls. A report that it is suspect only counts
    /// while the node itself has no recent answer of it.
    pub fn is_healthy(&self, now: MonoTime) -> bool {
        let is_trusted = self.member.state == MemberState::Active || self.has_answered(now);
        let is_on_trial = self.connect_failures > 0 && self.in_flight > 0;
        is_trusted && self.ejection.is_none() && now >= self.backoff_until && !is_on_trial
    }

    /// Part of its answers that were failures lately.
    pub fn error_ratio(&self, now: MonoTime) -> f64 {
        let age =
            now.since(self.error_ratio_updated_at).as_secs_f64() / Self::ERROR_DECAY.as_secs_f64();
        self.error_ratio * (1.0 - age).max(0.0)
    }

    /// Whether it fails clearly more often than the others do.
    pub fn has_excess_errors(&self, typical_part: f64, now: MonoTime) -> bool {
        self.error_ratio(now) > typical_part + Self::MAX_EXCESS_ERROR_RATIO
    }

    pub const fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Whether one call may be sent to see if it is well again.
    pub fn is_probe_due(&self, now: MonoTime) -> bool {
        let is_due = self.ejection.is_none_or(|ejection| ejection.probe_at <= now);
        let is_silent = now.since(self.silent_since) >= Self::INITIAL_EJECTION;
        self.takes_work() && !self.is_healthy(now) && is_due && self.in_flight == 0 && is_silent
    }

    pub fn level(&self, rule: RuleNumber) -> LearnedLevel {
        self.levels.get(&rule).copied().unwrap_or_default()
    }

    pub fn admits(&self, kind: CallAttributes, now: MonoTime) -> bool {
        kind.rank >= self.level(kind.rule).effective(now)
    }

    pub fn record_level(&mut self, rule: RuleNumber, level: LearnedLevel) {
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
        let Some(from) = self.ramp_started_at else { return 1_000 };
        let grown = now.since(from).as_micros() * 1_000 / Self::RAMP.as_micros();
        u32::try_from(grown.clamp(Self::INITIAL_SHARE_MILLI, 1_000)).unwrap_or(1_000)
    }

    pub fn record_sent(&mut self, now: MonoTime) {
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
        if let Some(occupancy) = &mut self.occupancy {
            occupancy.sent_since += 1;
        }
    }

    /// Takes in the occupancy that its node reports, in thousandths.
    pub const fn record_occupancy(&mut self, milli: u32, now: MonoTime) {
        self.occupancy = Some(Occupancy { milli, reported_at: now, sent_since: 0 });
    }

    /// Whether its node reports how many calls the upstream runs at once.
    pub const fn reports_slots(&self) -> bool {
        self.member.upstream.is_some()
    }

    /// Part of its slots that calls of the own node take, in thousandths.
    pub fn in_flight_occupancy_milli(&self) -> u32 {
        self.in_flight * 1_000 / self.slots()
    }

    fn slots(&self) -> u32 {
        self.member.upstream.as_ref().map_or(0, |upstream| upstream.slots).max(1)
    }

    /// Part of its slots that are probably taken now, in thousandths; `typical_milli`
    /// as long as no report of its own is at hand.
    pub fn occupancy_milli(&self, typical_milli: u32, now: MonoTime) -> u32 {
        let own_milli = self.in_flight_occupancy_milli();
        let Some(occupancy) = self.occupancy else { return typical_milli.max(own_milli) };
        let age = now.since(occupancy.reported_at).as_secs_f64();
        let left = 1.0 - age / Self::OCCUPANCY_TTL.as_secs_f64();
        if left <= 0.0 {
            return typical_milli.max(own_milli);
        }
        // Fades, so that nodes which turned elsewhere come back one by one and not
        // all at once when the report has become too old.
        let reported_milli = occupancy.milli + occupancy.sent_since * 1_000 / self.slots();
        ((f64::from(reported_milli) * left) as u32).max(own_milli)
    }

    /// Whether its upstream is still slow after a start.
    pub fn is_warming_up(&self, now: MonoTime) -> bool {
        now < self.warm_up_until
    }

    /// Takes in a statement about the same process.
    pub fn update_member(&mut self, member: Member, now: MonoTime) {
        let instance = |member: &Member| {
            member.upstream.as_ref().map(|upstream| (upstream.started_at_ms, upstream.state))
        };
        if instance(&member) != instance(&self.member) {
            self.backoff_until = MonoTime::ZERO;
            self.connect_failures = 0;
            self.ejection = None;
            self.consecutive_failures = 0;
            self.error_ratio = 0.0;
            self.start_warm_up(&member, now);
        }
        self.member = member;
    }

    fn start_warm_up(&mut self, member: &Member, now: MonoTime) {
        let warm_up_ms = member.upstream.as_ref().map_or(0, |upstream| upstream.warm_up_ms);
        self.warm_up_until = now.after(Duration::from_millis(u64::from(warm_up_ms)));
    }

    pub fn record_result(&mut self, sample: CallResult, now: MonoTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match sample {
            CallResult::Answered(latency) => self.record_answer(latency, now),
            CallResult::Refused => {
                self.connect_failures = 0;
                self.silent_since = now;
                self.consecutive_failures = 0;
            }
            CallResult::NotAccepting => {
                self.connect_failures = 0;
                self.silent_since = now;
                self.backoff_until = now.after(Self::NOT_ACCEPTING_BACKOFF);
            }
            CallResult::Unreachable => {
                self.connect_failures = self.connect_failures.saturating_add(1);
                let pause = Self::INITIAL_EJECTION * (1 << self.connect_failures.min(4));
                self.backoff_until = now.after(pause.min(Self::MAX_EJECTION));
            }
            CallResult::UpstreamError => {
                self.connect_failures = 0;
                self.silent_since = now;
                self.consecutive_failures = 0;
                let part = self.error_ratio(now);
                self.error_ratio = part + (1.0 - part) * Self::ERROR_SMOOTHING_FACTOR;
                self.error_ratio_updated_at = now;
            }
            CallResult::Cancelled => {}
            CallResult::Unanswered => self.consecutive_failures += 1,
        }
    }

    /// Whether it should be ejected, `median` being that of its service.
    pub fn is_outlier(&self, median: Option<Duration>, now: MonoTime) -> bool {
        if self.consecutive_failures >= Self::FAILURES_TO_EJECT {
            return true;
        }
        let Some(median) = median else { return false };
        let limit = median * Self::SLOW_FACTOR + Self::SLOW_SLACK;
        let is_stalled = self.in_flight >= Self::STALLED_CALLS && self.silence(now) > limit;
        is_stalled || self.latency.is_some_and(|latency| latency > limit)
    }

    /// Takes it out of the ordinary choice.
    pub fn eject(&mut self, now: MonoTime) {
        let length = self.ejection.map_or(Self::INITIAL_EJECTION, |last| last.length * 2);
        let length = length.min(Self::MAX_EJECTION);
        self.ejection = Some(Ejection { probe_at: now.after(length), length });
        self.consecutive_failures = 0;
        self.latency = None;
        self.error_ratio = 0.0;
    }

    /// Puts it back, with a share that grows anew.
    pub fn restore(&mut self, now: MonoTime) {
        self.ejection = None;
        self.ramp_started_at = Some(now);
    }

    fn record_answer(&mut self, latency: Duration, now: MonoTime) {
        self.consecutive_failures = 0;
        self.connect_failures = 0;
        self.error_ratio = self.error_ratio(now) * (1.0 - Self::ERROR_SMOOTHING_FACTOR);
        self.error_ratio_updated_at = now;
        self.silent_since = now;
        self.answered_at = Some(now);
        let weight = Self::LATENCY_SMOOTHING_DIVISOR;
        self.latency = Some(match self.latency {
            Some(mean) => (mean * (weight - 1) + latency) / weight,
            None => latency,
        });
    }

    fn has_answered(&self, now: MonoTime) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) <= Self::ANSWER_TTL)
    }

    fn silence(&self, now: MonoTime) -> Duration {
        if self.in_flight == 0 { Duration::ZERO } else { now.since(self.silent_since) }
    }
}
