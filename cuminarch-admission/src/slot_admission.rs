use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminarch_types::{
    CallId, CapacityMode, ConcurrencyLimit, DisabledMechanisms, Mechanism, MonoTime, Rank,
    RouteName,
};

use crate::run_times::RunTimes;
use crate::shortage::Shortage;
use crate::{
    AdmissionControl, AdmissionDecision, AdmissionRequest, CapacityEstimator, LearnedCapacity,
    OfferReply, QueueEvent, StartPacer,
};

/// Target start time and call; the smallest key starts first.
type QueueKey = (MonoTime, CallId);

#[derive(Clone, Debug)]
struct Running {
    route: Option<RouteName>,
    since: MonoTime,
    /// Running requests at the start, itself included, if the limit determined their number.
    concurrency: Option<u32>,
}

#[derive(Clone, Debug)]
struct Waiting {
    route: Option<RouteName>,
    queue_key: QueueKey,
    latest_start: MonoTime,
    is_nested: bool,
}

/// Admission control of an endpoint that states its number of concurrent requests.
///
/// During a surge, the endpoint gets as many requests as it has slots, so that none queues inside
/// it, where priority does not apply. Other requests queue here by the time at which they have to
/// start for a fully useful answer, so a request with a short objective does not wait behind calls
/// with time to spare. This time is postponed for callers' requests, and further for less urgent
/// classes, so that nested calls come first when equally short of time. A request that would wait
/// too long is refused immediately, while its caller can still go elsewhere.
///
/// With [`CapacityMode::Learned`], the number of slots in use follows from measured throughput and
/// run times.
#[derive(Clone, Debug)]
pub struct SlotAdmission {
    capacity: ConcurrencyLimit,
    running: BTreeMap<CallId, Running>,
    waiting: BTreeMap<CallId, Waiting>,
    queue: BTreeSet<QueueKey>,
    holding_times: BTreeMap<RouteName, Duration>,
    /// `None` until the first run has ended.
    mean_holding_time: Option<Duration>,
    shortage: Shortage,
    pacer: StartPacer,
    disabled: DisabledMechanisms,
    /// `None` unless capacity is learned.
    run_times: Option<RunTimes>,
    /// `None` until the slots are known, or unless the limit is learned.
    estimator: Option<CapacityEstimator>,
}

impl SlotAdmission {
    /// Slots of an endpoint that has not stated its capacity.
    const DEFAULT_CAPACITY: ConcurrencyLimit = ConcurrencyLimit::new(16);
    /// Percentage of the stated slots to use: many servers become slower shortly before they are
    /// full, which costs more than the extra slots gain.
    const USED_SLOTS_PERCENT: u32 = 94;
    /// Holding time for predicted waits until one has been measured.
    const DEFAULT_HOLDING_TIME: Duration = Duration::from_millis(50);
    /// A sample moves the mean by the difference divided by this.
    const HOLDING_TIME_SMOOTHING_DIVISOR: u32 = 16;
    /// Maximum number of queued requests. Bounds memory only; the wait is too long well before.
    const MAX_WAITING: usize = 2_048;
    /// A request is postponed by its slack divided by this for each class below nested calls.
    /// Queued requests wait for less than that, so classes with the same objective start one after
    /// the other.
    const CLASS_STEP_DIVISOR: u32 = 4;
    /// A caller's request may wait for its objective divided by this. The rest is for its run and
    /// for a retry elsewhere.
    const WAIT_DIVISOR: u32 = 4;
    /// Time until the refusal of a queued request reaches its entry node: the longest time between
    /// two polls and the way back. Later, the entry node has to assume that the request has run.
    const REFUSAL_TIME: Duration = Duration::from_millis(30);

    /// Creates the admission control of an endpoint whose slots are not yet known.
    #[must_use]
    pub fn new() -> Self {
        Self {
            capacity: Self::DEFAULT_CAPACITY,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            queue: BTreeSet::new(),
            holding_times: BTreeMap::new(),
            mean_holding_time: None,
            shortage: Shortage::new(),
            pacer: StartPacer::new(),
            disabled: DisabledMechanisms::default(),
            run_times: None,
            estimator: None,
        }
    }

    /// Sets where the number of slots in use comes from.
    #[must_use]
    pub fn with_capacity_mode(mut self, mode: CapacityMode) -> Self {
        self.run_times = (mode == CapacityMode::Learned).then(RunTimes::default);
        self
    }

    /// Disables mechanisms.
    #[must_use]
    pub fn with_disabled(mut self, disabled: DisabledMechanisms) -> Self {
        self.shortage = Shortage::new().with_disabled(&disabled);
        self.disabled = disabled;
        self
    }

    /// Returns `true` if a request may start. Urgent ones do not start above the learned limit.
    fn has_room(&self, is_urgent: bool, now: MonoTime) -> bool {
        let limit = match &self.estimator {
            Some(estimator) if is_urgent => estimator.applied_limit().min(estimator.limit()),
            Some(estimator) => estimator.applied_limit(),
            None => self.capacity.get(),
        };
        self.running.len() < limit as usize && self.pacer.may_start(now)
    }

    /// Learns from the time that has passed.
    fn advance_estimator(&mut self, now: MonoTime) {
        let holding_time = self.mean_holding_time();
        let Some(estimator) = &mut self.estimator else { return };
        if !self.queue.is_empty() {
            estimator.record_excess();
        }
        if estimator.advance(holding_time, now) {
            self.capacity = ConcurrencyLimit::new(estimator.limit());
        }
    }

    /// Returns the number of slots that can be occupied within the rate limit, in thousandths.
    fn usable_slots_milli(&self) -> u32 {
        let slots = self.pacer.usable_slots(self.capacity.get(), self.mean_holding_time());
        ((slots * 1_000.0) as u32).max(1)
    }

    fn mean_holding_time(&self) -> Duration {
        self.mean_holding_time.unwrap_or(Self::DEFAULT_HOLDING_TIME)
    }

    fn expected_holding_time(&self, route: Option<&RouteName>) -> Duration {
        let known = route.and_then(|route| self.holding_times.get(route)).copied();
        known.unwrap_or_else(|| self.mean_holding_time())
    }

    /// Sets the slots in use, unless the same ones were stated before and their use is learned.
    fn set_stated_capacity(&mut self, stated: ConcurrencyLimit, used: ConcurrencyLimit) {
        let is_known = self.estimator.as_ref().is_some_and(|known| known.slots() == stated.get());
        if is_known {
            return;
        }
        self.capacity = used;
        let learns = self.run_times.is_some() && !self.disabled.contains(Mechanism::LearnedLimit);
        self.estimator = learns.then(|| CapacityEstimator::new(stated.get(), used.get()));
    }

    /// Predicts the time until the request with this key starts.
    fn predicted_wait(&self, queue_key: QueueKey, now: MonoTime) -> Duration {
        let ahead = self.queue.range(..queue_key).count() + 1;
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let wait_for_slot = self.mean_holding_time() * ahead / self.capacity.get().max(1);
        wait_for_slot.max(self.pacer.wait(ahead, now))
    }

    fn latest_start(&self, request: &AdmissionRequest, now: MonoTime) -> MonoTime {
        let holding = self.expected_holding_time(request.route.as_ref());
        let time_left = request.deadline.since(now).saturating_sub(holding + Self::REFUSAL_TIME);
        let may_wait_until_deadline =
            request.is_nested || self.disabled.contains(Mechanism::WaitRefusal);
        let max_wait = if may_wait_until_deadline {
            time_left
        } else {
            time_left.min(request.objective / Self::WAIT_DIVISOR)
        };
        now.after(max_wait)
    }

    /// Returns the queue key of a request that arrives now.
    fn queue_key_of(&self, request: &AdmissionRequest, now: MonoTime) -> QueueKey {
        let holding = self.expected_holding_time(request.route.as_ref());
        let slack = request.objective.saturating_sub(holding);
        let classes = if self.disabled.contains(Mechanism::ClassOrder) {
            0
        } else {
            request.more_urgent_classes
        };
        let steps = if request.is_nested { 0 } else { 1 + u32::from(classes) };
        let postponement = slack * steps / Self::CLASS_STEP_DIVISOR;
        (now.after(slack + postponement), request.call)
    }

    fn start(&mut self, call: CallId, route: Option<RouteName>, now: MonoTime) {
        self.pacer.record_start(now);
        let is_limited = self.estimator.as_ref().is_some_and(CapacityEstimator::is_busy);
        let concurrency = u32::try_from(self.running.len() + 1).ok().filter(|_| is_limited);
        self.running.insert(call, Running { route, since: now, concurrency });
    }

    fn dequeue(&mut self, call: CallId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&call)?;
        self.queue.remove(&waiting.queue_key);
        Some(waiting)
    }

    /// Updates the mean holding times with a completed request.
    fn update_holding_time(&mut self, ended: &Running, now: MonoTime) {
        let sample = now.since(ended.since);
        let smooth = |mean: Duration| {
            (mean * (Self::HOLDING_TIME_SMOOTHING_DIVISOR - 1) + sample)
                / Self::HOLDING_TIME_SMOOTHING_DIVISOR
        };
        self.mean_holding_time = Some(smooth(self.mean_holding_time()));
        if let Some(route) = &ended.route {
            let mean = self.holding_times.get(route).map_or(sample, |mean| smooth(*mean));
            self.holding_times.insert(route.clone(), mean);
        }
        self.learn(ended, now);
    }

    fn learn(&mut self, ended: &Running, now: MonoTime) {
        let (Some(run_times), Some(route)) = (&mut self.run_times, &ended.route) else { return };
        let excess_ln = run_times.record(route, ended.since, now);
        if let (Some(estimator), Some(concurrency)) = (&mut self.estimator, ended.concurrency) {
            estimator.record(concurrency, excess_ln);
        }
    }

    /// Adds a request to the offered work. Before the first run has ended, its holding time is
    /// unknown; an assumed one would report a shortage for an endpoint that turns every request
    /// away immediately.
    fn record_offered_work(&mut self, request: &AdmissionRequest, now: MonoTime) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let backlog = self.mean_holding_time.unwrap_or_default() * waiting;
        self.shortage.advance(self.usable_slots_milli(), backlog, now);
        if self.mean_holding_time.is_some() {
            self.shortage.record_offer(self.expected_holding_time(request.route.as_ref()));
        }
    }
}

impl Default for SlotAdmission {
    fn default() -> Self {
        Self::new()
    }
}

impl AdmissionControl for SlotAdmission {
    fn offer(&mut self, request: &AdmissionRequest, now: MonoTime) -> OfferReply {
        self.record_offered_work(request, now);
        self.advance_estimator(now);
        if self.has_room(request.is_nested, now) && self.queue.is_empty() {
            self.start(request.call, request.route.clone(), now);
            return OfferReply { decision: AdmissionDecision::Run, evicted: None };
        }
        let queue_key = self.queue_key_of(request, now);
        let wait = self.predicted_wait(queue_key, now);
        let latest_start = self.latest_start(request, now);
        if self.queue.len() >= Self::MAX_WAITING || now.after(wait) > latest_start {
            let decision = AdmissionDecision::Refuse { retry_after: wait };
            return OfferReply { decision, evicted: None };
        }
        self.queue.insert(queue_key);
        let waiting = Waiting {
            route: request.route.clone(),
            queue_key,
            latest_start,
            is_nested: request.is_nested,
        };
        self.waiting.insert(request.call, waiting);
        OfferReply { decision: AdmissionDecision::Wait, evicted: None }
    }

    fn finish(
        &mut self,
        call: CallId,
        latency: Option<Duration>,
        now: MonoTime,
    ) -> Vec<QueueEvent> {
        if let Some(ended) = self.running.remove(&call)
            && latency.is_some()
        {
            self.shortage.record_end();
            self.update_holding_time(&ended, now);
        }
        self.poll(now)
    }

    fn finish_turned_away(&mut self, call: CallId, now: MonoTime) -> Vec<QueueEvent> {
        if self.running.contains_key(&call) {
            self.shortage.record_turned_away();
        }
        self.finish(call, None, now)
    }

    fn cancel(&mut self, call: CallId, now: MonoTime) -> Vec<QueueEvent> {
        self.dequeue(call);
        self.finish(call, None, now)
    }

    fn poll(&mut self, now: MonoTime) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        let is_late = |waiting: &Waiting| waiting.latest_start < now;
        let late: Vec<CallId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| is_late(waiting))
            .map(|(call, _)| *call)
            .collect();
        for call in late {
            self.dequeue(call);
            events.push(QueueEvent::Refuse(call));
        }
        self.advance_estimator(now);
        while let Some((_, call)) = self.queue.first().copied() {
            let is_urgent = self.waiting.get(&call).is_some_and(|waiting| waiting.is_nested);
            if !self.has_room(is_urgent, now) {
                break;
            }
            let route = self.dequeue(call).and_then(|waiting| waiting.route);
            self.start(call, route, now);
            events.push(QueueEvent::Run(call));
        }
        events
    }

    fn refuse_waiting(&mut self) -> Vec<QueueEvent> {
        self.queue.clear();
        std::mem::take(&mut self.waiting).into_keys().map(QueueEvent::Refuse).collect()
    }

    fn set_capacity(&mut self, capacity: ConcurrencyLimit) {
        if capacity > ConcurrencyLimit::ZERO {
            let has_reserve = !self.disabled.contains(Mechanism::SlotReserve);
            let used_percent = if has_reserve { Self::USED_SLOTS_PERCENT } else { 100 };
            let percent_slots = capacity.get().saturating_mul(used_percent);
            let used_slots = (percent_slots + 50) / 100;
            self.set_stated_capacity(capacity, ConcurrencyLimit::new(used_slots.max(1)));
        }
    }

    fn pacer(&self) -> &StartPacer {
        &self.pacer
    }

    fn pacer_mut(&mut self) -> &mut StartPacer {
        &mut self.pacer
    }

    fn level(&self) -> Rank {
        Rank::MIN
    }

    fn limit(&self) -> ConcurrencyLimit {
        self.capacity
    }

    fn running(&self) -> usize {
        self.running.len()
    }

    fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn occupancy_milli(&self) -> u32 {
        let calls = (self.running.len() + self.waiting.len()) as u64;
        let milli = calls * 1_000_000 / u64::from(self.usable_slots_milli());
        u32::try_from(milli).unwrap_or(u32::MAX)
    }

    fn shortage_milli(&self) -> u16 {
        self.shortage.value_milli()
    }

    fn holding_time(&self, route: &RouteName) -> Duration {
        self.expected_holding_time(Some(route))
    }

    fn learned_capacity(&self) -> Option<LearnedCapacity> {
        self.run_times.as_ref()?;
        let confidence = self.estimator.as_ref().map(CapacityEstimator::confidence_milli);
        let confidence_milli = confidence.unwrap_or_default();
        Some(LearnedCapacity { limit: self.capacity, confidence_milli })
    }

    fn run_time(&self, route: &RouteName) -> Option<Duration> {
        self.run_times.as_ref()?.recent(route)
    }
}
