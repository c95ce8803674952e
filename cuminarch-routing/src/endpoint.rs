use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_protocol::{Member, MemberState, UpstreamRecord};
use cuminarch_types::{ConcurrencyLimit, MonoTime, RatePerSecond, RuleNumber};

use crate::endpoint_signals::EndpointSignals;
use crate::endpoint_speed::EndpointSpeed;
use crate::{CallAttributes, CallResult, CapacityBelief, LearnedLevel, Target};

/// Exclusion of an endpoint from ordinary calls until its next probe.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    probe_at: MonoTime,
    duration: Duration,
}

/// State that this node tracks for one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub member: Member,
    first_seen: MonoTime,
    in_flight: u32,
    consecutive_failures: u32,
    latency: Option<Duration>,
    /// Last reply of its node, or the first send after an idle time, if that is later.
    silent_since: MonoTime,
    answered_at: Option<MonoTime>,
    ejection: Option<Ejection>,
    ramp_started_at: Option<MonoTime>,
    levels: BTreeMap<RuleNumber, LearnedLevel>,
    occupancy: Option<Occupancy>,
    /// Error ratio of its answers at `error_ratio_updated_at`.
    error_ratio: f64,
    error_ratio_updated_at: MonoTime,
    /// No ordinary calls before this time, because its node accepted no work or was unreachable.
    backoff_until: MonoTime,
    /// Consecutive failed attempts to reach its node.
    connect_failures: u32,
    /// End of the warm-up of its upstream.
    warm_up_until: MonoTime,
    /// What its upstream stated in its answers.
    pub signals: EndpointSignals,
    /// Speed relative to its service, from its reports.
    pub speed: EndpointSpeed,
    /// Calls that it runs concurrently, if it has reported that.
    pub learned_limit: Option<u32>,
    /// Whether another endpoint answered at its address.
    is_misplaced: bool,
}

/// Last occupancy that the endpoint reported.
#[derive(Clone, Copy, Debug)]
struct Occupancy {
    milli: u32,
    reported_at: MonoTime,
    /// Calls sent since the report.
    sent_since: u32,
}

impl Endpoint {
    /// Consecutive failures after which an endpoint is ejected.
    const FAILURES_TO_EJECT: u32 = 3;
    /// An endpoint is ejected if its latency exceeds the median by this factor.
    const SLOW_FACTOR: u32 = 4;
    /// Added to the latency limit, to ignore small differences.
    const SLOW_SLACK: Duration = Duration::from_millis(50);
    /// Calls that must be in flight at a silent endpoint before it counts as stalled.
    const STALLED_CALLS: u32 = 4;
    const INITIAL_EJECTION: Duration = Duration::from_millis(500);
    pub const MAX_EJECTION: Duration = Duration::from_secs(4);
    /// Time after an answer in which reports that the endpoint is suspect are ignored.
    const ANSWER_TTL: Duration = Duration::from_secs(2);
    /// Time in which the share of a new endpoint grows to the full one.
    const RAMP: Duration = Duration::from_secs(4);
    /// Initial share of a new endpoint, in thousandths.
    const INITIAL_SHARE_MILLI: u128 = 100;
    /// One sample moves the mean latency by the difference divided by this.
    const LATENCY_SMOOTHING_DIVISOR: u32 = 8;

    /// Smoothing factor of the error ratio, for each answer.
    const ERROR_SMOOTHING_FACTOR: f64 = 0.06;
    /// An endpoint is ejected if its error ratio exceeds the lowest one by more than this.
    const MAX_EXCESS_ERROR_RATIO: f64 = 0.25;
    /// Error ratio above which run times say nothing.
    const MAX_ERROR_RATIO_OF_RUN_TIMES: f64 = 0.05;
    /// Time in which the error ratio of an endpoint without calls decays to zero: the longest time
    /// until an ejected endpoint is probed.
    const ERROR_DECAY: Duration = Self::MAX_EJECTION;
    /// Delay before a node that accepted no work gets calls again.
    const NOT_ACCEPTING_BACKOFF: Duration = Duration::from_millis(700);
    /// Smallest number of slots assumed for an endpoint with a rate limit.
    const MIN_USABLE_SLOTS: f64 = 0.1;
    /// Occupancy below which it has room for more calls, in thousandths.
    const ROOM_THRESHOLD_MILLI: u32 = 900;
    /// Time after which a reported occupancy is ignored.
    pub const OCCUPANCY_TTL: Duration = Duration::from_secs(2);

    /// Creates an endpoint without any history.
    pub fn new(member: Member) -> Self {
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
            signals: EndpointSignals::default(),
            speed: EndpointSpeed::default(),
            learned_limit: None,
            is_misplaced: false,
        }
    }

    /// Sets when it was first seen; its share grows from then on.
    pub fn with_first_seen(mut self, first_seen: MonoTime) -> Self {
        self.first_seen = first_seen;
        self.ramp_started_at = Some(first_seen);
        self.start_warm_up(&self.member.clone(), first_seen);
        self
    }

    /// Keeps what an earlier process of the endpoint is known to have answered.
    pub fn with_signals(mut self, signals: EndpointSignals) -> Self {
        self.signals = signals;
        self
    }

    pub fn target(&self) -> Target {
        Target {
            endpoint: self.member.endpoint.clone(),
            incarnation: self.member.incarnation,
            data_address: self.member.data_address,
            lifetime: self.member.upstream.as_ref().and_then(UpstreamRecord::lifetime),
            rate_limit: self.rate_limit(),
        }
    }

    /// Returns the rate limit that its upstream states, if any.
    pub fn rate_limit(&self) -> Option<RatePerSecond> {
        self.signals.rate_limit(self.member.upstream.as_ref())
    }

    /// Returns what is believed of its capacity, if it has reported that.
    pub fn capacity_belief(&self, now: MonoTime) -> Option<CapacityBelief<'_>> {
        Some(CapacityBelief {
            endpoint: &self.member.endpoint,
            limit: ConcurrencyLimit::new(self.learned_limit?),
            speed_milli: self.speed.speed_milli(now),
            age: self.speed.age(now)?,
        })
    }

    /// Returns `true` if it gets ordinary calls and has free slots, as far as is known.
    pub fn has_room(&self, now: MonoTime) -> bool {
        let is_usable = self.takes_work() && self.is_healthy(now);
        is_usable && self.occupancy_milli(0, now) < Self::ROOM_THRESHOLD_MILLI
    }

    /// Returns `true` if it left or was declared gone.
    pub const fn is_gone(&self) -> bool {
        matches!(self.member.state, MemberState::Gone)
    }

    /// Returns `true` if it may be sent new work at all.
    pub fn takes_work(&self) -> bool {
        self.member.takes_work()
            && !self.is_misplaced
            && !self.signals.is_leaving(self.member.upstream.as_ref())
    }

    /// Records that the node at the address of this target refused a call as not meant for it.
    pub fn record_misdirected(&mut self, target: &Target) {
        let current = self.target();
        let is_current = (current.incarnation, &current.lifetime, current.data_address)
            == (target.incarnation, &target.lifetime, target.data_address);
        self.is_misplaced |= is_current;
    }

    /// Returns `true` if it gets ordinary calls. A report that it is suspect only counts while this
    /// node has no recent answer from it.
    pub fn is_healthy(&self, now: MonoTime) -> bool {
        let is_trusted = self.member.state == MemberState::Active || self.has_answered(now);
        let is_on_trial = self.connect_failures > 0 && self.in_flight > 0;
        is_trusted && self.ejection.is_none() && now >= self.backoff_until && !is_on_trial
    }

    /// Returns its recent error ratio, which decays while it gets no calls.
    pub fn error_ratio(&self, now: MonoTime) -> f64 {
        let age =
            now.since(self.error_ratio_updated_at).as_secs_f64() / Self::ERROR_DECAY.as_secs_f64();
        self.error_ratio * (1.0 - age).max(0.0)
    }

    /// Returns `true` if it fails so many calls that its run times say nothing of its speed: failing
    /// is faster than running.
    pub fn is_failing(&self, now: MonoTime) -> bool {
        self.error_ratio(now) > Self::MAX_ERROR_RATIO_OF_RUN_TIMES
    }

    /// Returns `true` if its error ratio exceeds `lowest_ratio`, that of the best endpoint, by too
    /// much.
    pub fn has_excess_errors(&self, lowest_ratio: f64, now: MonoTime) -> bool {
        self.error_ratio(now) > lowest_ratio + Self::MAX_EXCESS_ERROR_RATIO
    }

    pub const fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns `true` if one call may be sent to test whether it has recovered.
    pub fn is_probe_due(&self, now: MonoTime) -> bool {
        let is_due = self.ejection.is_none_or(|ejection| ejection.probe_at <= now);
        let is_silent = now.since(self.silent_since) >= Self::INITIAL_EJECTION;
        self.takes_work() && !self.is_healthy(now) && is_due && self.in_flight == 0 && is_silent
    }

    pub fn level(&self, rule: RuleNumber) -> LearnedLevel {
        self.levels.get(&rule).copied().unwrap_or_default()
    }

    pub fn admits(&self, attributes: CallAttributes, now: MonoTime) -> bool {
        attributes.rank >= self.level(attributes.rule).effective(now)
    }

    pub fn record_level(&mut self, rule: RuleNumber, level: LearnedLevel) {
        self.levels.insert(rule, level);
    }

    pub fn forget_levels(&mut self) {
        self.levels.clear();
    }

    /// Returns the mean time to an answer, or the current silence if that is longer.
    pub fn latency(&self, now: MonoTime) -> Option<Duration> {
        let silence = self.silence(now);
        match self.latency {
            Some(latency) => Some(latency.max(silence)),
            None => (silence > Duration::ZERO).then_some(silence),
        }
    }

    /// Returns the cost of one more call: the latency times the calls then in flight.
    pub fn cost(&self, typical_latency: Duration, now: MonoTime) -> Duration {
        self.latency(now).unwrap_or(typical_latency) * (self.in_flight + 1)
    }

    /// Returns the share of its traffic that it may take now, in thousandths.
    pub fn ramp_milli(&self, now: MonoTime) -> u32 {
        let Some(from) = self.ramp_started_at else { return 1_000 };
        let ramp_milli = now.since(from).as_micros() * 1_000 / Self::RAMP.as_micros();
        u32::try_from(ramp_milli.clamp(Self::INITIAL_SHARE_MILLI, 1_000)).unwrap_or(1_000)
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

    /// Records the occupancy that its node reports, in thousandths.
    pub const fn record_occupancy(&mut self, milli: u32, now: MonoTime) {
        self.occupancy = Some(Occupancy { milli, reported_at: now, sent_since: 0 });
    }

    /// Returns `true` if its node reports how many calls the upstream runs concurrently.
    pub const fn reports_slots(&self) -> bool {
        self.member.upstream.is_some()
    }

    /// Returns the occupancy caused by calls of this node alone, in thousandths of its slots.
    pub fn in_flight_occupancy_milli(&self) -> u32 {
        self.occupancy_of(self.in_flight)
    }

    /// Returns the occupancy that this number of calls causes, in thousandths.
    fn occupancy_of(&self, calls: u32) -> u32 {
        (f64::from(calls) * 1_000.0 / self.usable_slots()) as u32
    }

    /// Returns the slots that calls can occupy: with a rate limit, as many as run concurrently at
    /// that rate.
    fn usable_slots(&self) -> f64 {
        let stated_slots = || self.member.upstream.as_ref().map_or(0, |upstream| upstream.slots);
        let slots = self.learned_limit.unwrap_or_else(stated_slots);
        let slots = f64::from(slots.max(1));
        match (self.rate_limit(), self.latency) {
            (Some(rate), Some(latency)) => {
                slots.min(rate.get() * latency.as_secs_f64()).max(Self::MIN_USABLE_SLOTS)
            }
            _ => slots,
        }
    }

    /// Estimates how many of its slots are taken now, in thousandths; `typical_milli` is assumed
    /// without a recent report.
    pub fn occupancy_milli(&self, typical_milli: u32, now: MonoTime) -> u32 {
        let in_flight_milli = self.in_flight_occupancy_milli();
        let Some(occupancy) = self.occupancy else { return typical_milli.max(in_flight_milli) };
        let age = now.since(occupancy.reported_at).as_secs_f64();
        let weight = 1.0 - age / Self::OCCUPANCY_TTL.as_secs_f64();
        if weight <= 0.0 {
            return typical_milli.max(in_flight_milli);
        }
        // The report decays, so that nodes that avoided the endpoint return one by one instead of
        // all together when it expires.
        let reported_milli = occupancy.milli + self.occupancy_of(occupancy.sent_since);
        ((f64::from(reported_milli) * weight) as u32).max(in_flight_milli)
    }

    /// Returns `true` while its upstream warms up after a start.
    pub fn is_warming_up(&self, now: MonoTime) -> bool {
        now < self.warm_up_until
    }

    /// Applies a newer statement about the same process.
    pub fn update_member(&mut self, member: Member, now: MonoTime) {
        let instance = |member: &Member| {
            member.upstream.as_ref().map(|upstream| (upstream.started_at_ms, upstream.state))
        };
        let place = |member: &Member| {
            let lifetime = member.upstream.as_ref().and_then(UpstreamRecord::lifetime);
            (lifetime, member.data_address)
        };
        if place(&member) != place(&self.member) {
            self.is_misplaced = false;
        }
        if instance(&member) != instance(&self.member) {
            self.backoff_until = MonoTime::ZERO;
            self.connect_failures = 0;
            self.ejection = None;
            self.consecutive_failures = 0;
            self.error_ratio = 0.0;
            self.speed = EndpointSpeed::default();
            self.learned_limit = None;
            self.start_warm_up(&member, now);
        }
        self.member = member;
    }

    fn start_warm_up(&mut self, member: &Member, now: MonoTime) {
        let warm_up_ms = member.upstream.as_ref().map_or(0, |upstream| upstream.warm_up_ms);
        self.warm_up_until = now.after(Duration::from_millis(u64::from(warm_up_ms)));
    }

    pub fn record_result(&mut self, result: CallResult, now: MonoTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match result {
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
                let backoff = Self::INITIAL_EJECTION * (1 << self.connect_failures.min(4));
                self.backoff_until = now.after(backoff.min(Self::MAX_EJECTION));
            }
            CallResult::UpstreamError => {
                self.connect_failures = 0;
                self.silent_since = now;
                self.consecutive_failures = 0;
                let ratio = self.error_ratio(now);
                self.error_ratio = ratio + (1.0 - ratio) * Self::ERROR_SMOOTHING_FACTOR;
                self.error_ratio_updated_at = now;
            }
            CallResult::Cancelled => {}
            CallResult::Unanswered => self.consecutive_failures += 1,
        }
    }

    /// Returns `true` if it fails or does not answer; `median` is the median latency of its service.
    pub fn has_stopped(&self, median: Option<Duration>, now: MonoTime) -> bool {
        let is_stalled = |median| {
            self.in_flight >= Self::STALLED_CALLS && self.silence(now) > Self::slow_limit(median)
        };
        self.consecutive_failures >= Self::FAILURES_TO_EJECT || median.is_some_and(is_stalled)
    }

    /// Returns `true` if its answers take much longer than the median of its service.
    pub fn is_slow(&self, median: Option<Duration>) -> bool {
        let limit = median.map(Self::slow_limit);
        self.latency.is_some_and(|latency| limit.is_some_and(|limit| latency > limit))
    }

    fn slow_limit(median: Duration) -> Duration {
        median * Self::SLOW_FACTOR + Self::SLOW_SLACK
    }

    /// Excludes it from ordinary calls.
    pub fn eject(&mut self, now: MonoTime) {
        let duration = self.ejection.map_or(Self::INITIAL_EJECTION, |last| last.duration * 2);
        let duration = duration.min(Self::MAX_EJECTION);
        self.ejection = Some(Ejection { probe_at: now.after(duration), duration });
        self.consecutive_failures = 0;
        self.latency = None;
        self.error_ratio = 0.0;
    }

    /// Readmits it to ordinary calls, with a share that grows again.
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
        let divisor = Self::LATENCY_SMOOTHING_DIVISOR;
        self.latency = Some(match self.latency {
            Some(mean) => (mean * (divisor - 1) + latency) / divisor,
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
