use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminarch_types::{
    CallId, ConcurrencyLimit, DisabledMechanisms, Mechanism, MonoTime, Rank, RouteName,
};

use crate::shortage::Shortage;
use crate::{AdmissionControl, AdmissionDecision, AdmissionRequest, OfferReply, QueueEvent};

/// Place in the queue; the least is started first.
type QueueKey = (MonoTime, CallId);

#[derive(Clone, Debug)]
struct Running {
    route: Option<RouteName>,
    since: MonoTime,
}

#[derive(Clone, Debug)]
struct Waiting {
    route: Option<RouteName>,
    queue_key: QueueKey,
    latest_start: MonoTime,
}

/// Admission of an endpoint that states how many requests it runs at once.
///
/// Answers the load of a surge: the endpoint gets as many requests as it has
/// slots, so that none queues within it, where no order of urgency holds.
/// Others wait here by the time at which they have to start for an answer of full use:
/// a request with a short objective does not stand behind calls that can wait. That time
/// is put off for callers' requests, and more for the less urgent classes, so that calls
/// of runs under way come first where they have as little time.
/// A request that would wait too long is refused at once, while its caller can
/// still turn elsewhere.
#[derive(Clone, Debug)]
pub struct SlotAdmission {
    capacity: ConcurrencyLimit,
    running: BTreeMap<CallId, Running>,
    waiting: BTreeMap<CallId, Waiting>,
    queue: BTreeSet<QueueKey>,
    holding_times: BTreeMap<RouteName, Duration>,
    /// None before the first run has ended.
    mean_holding_time: Option<Duration>,
    shortage: Shortage,
    disabled: DisabledMechanisms,
}

impl SlotAdmission {
    /// Slots of an endpoint that has not stated them.
    const DEFAULT_CAPACITY: ConcurrencyLimit = ConcurrencyLimit::new(16);
    /// Part of its slots in percent that an endpoint gets filled: many servers
    /// become slower shortly before they are full, which costs more than it gains.
    const USED_SLOTS_PERCENT: u32 = 94;
    /// Holding time by which waits are predicted as long as none is known.
    const DEFAULT_HOLDING_TIME: Duration = Duration::from_millis(50);
    /// One sample moves a mean holding time by this part of the difference.
    const HOLDING_TIME_SMOOTHING_DIVISOR: u32 = 16;
    /// Most requests that wait; bounds memory, long before it the wait is too long.
    const MAX_WAITING: usize = 2_048;
    /// Each class below calls of runs under way is put off by this part of its slack. What
    /// waits at all waits for less than that, so that classes with the same objective
    /// start one after the other.
    const CLASS_STEP_DIVISOR: u32 = 4;
    /// Part of its objective that a request which runs nowhere yet may wait. The
    /// rest is for its run and for a second try elsewhere.
    const WAIT_DIVISOR: u32 = 4;

    /// Admission of an endpoint whose slots are not known yet.
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
            disabled: DisabledMechanisms::default(),
        }
    }

    /// Switches mechanisms off.
    #[must_use]
    pub fn with_disabled(mut self, disabled: DisabledMechanisms) -> Self {
        self.shortage = Shortage::new().with_disabled(&disabled);
        self.disabled = disabled;
        self
    }

    fn has_room(&self) -> bool {
        self.running.len() < self.capacity.get() as usize
    }

    fn mean_holding_time(&self) -> Duration {
        self.mean_holding_time.unwrap_or(Self::DEFAULT_HOLDING_TIME)
    }

    fn expected_holding_time(&self, route: Option<&RouteName>) -> Duration {
        let known = route.and_then(|route| self.holding_times.get(route)).copied();
        known.unwrap_or_else(|| self.mean_holding_time())
    }

    /// Time until a request at this place is started.
    fn predicted_wait(&self, place: QueueKey) -> Duration {
        let ahead = self.queue.range(..place).count() + 1;
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.mean_holding_time() * ahead / self.capacity.get().max(1)
    }

    fn latest_start(&self, request: &AdmissionRequest, now: MonoTime) -> MonoTime {
        let holding = self.expected_holding_time(request.route.as_ref());
        let left = request.deadline.since(now).saturating_sub(holding);
        let is_patient = request.is_nested || self.disabled.contains(Mechanism::WaitRefusal);
        let patience =
            if is_patient { left } else { left.min(request.objective / Self::WAIT_DIVISOR) };
        now.after(patience)
    }

    /// Place of a request that arrives now.
    fn queue_key_of(&self, request: &AdmissionRequest, now: MonoTime) -> QueueKey {
        let holding = self.expected_holding_time(request.route.as_ref());
        let slack = request.objective.saturating_sub(holding);
        let classes = if self.disabled.contains(Mechanism::ClassOrder) {
            0
        } else {
            request.more_urgent_classes
        };
        let steps = if request.is_nested { 0 } else { 1 + u32::from(classes) };
        let put_off = slack * steps / Self::CLASS_STEP_DIVISOR;
        (now.after(slack + put_off), request.call)
    }

    fn start(&mut self, call: CallId, route: Option<RouteName>, now: MonoTime) {
        self.running.insert(call, Running { route, since: now });
    }

    fn dequeue(&mut self, call: CallId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&call)?;
        self.queue.remove(&waiting.queue_key);
        Some(waiting)
    }

    /// Learns from a request that held a slot to its end.
    fn update_holding_time(&mut self, ended: &Running, now: MonoTime) {
        let held = now.since(ended.since);
        let mix = |mean: Duration| {
            (mean * (Self::HOLDING_TIME_SMOOTHING_DIVISOR - 1) + held)
                / Self::HOLDING_TIME_SMOOTHING_DIVISOR
        };
        self.mean_holding_time = Some(mix(self.mean_holding_time()));
        if let Some(route) = &ended.route {
            let mean = self.holding_times.get(route).map_or(held, |mean| mix(*mean));
            self.holding_times.insert(route.clone(), mean);
        }
    }

    /// Adds a request to the offered work. Before the first run has ended there is
    /// no holding time to tell it by: an assumed one would make an endpoint seem
    /// short that turns every request away at once.
    fn record_offered_work(&mut self, request: &AdmissionRequest, now: MonoTime) {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let backlog = self.mean_holding_time.unwrap_or_default() * waiting;
        self.shortage.advance(self.capacity, backlog, now);
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
        if self.has_room() && self.queue.is_empty() {
            self.start(request.call, request.route.clone(), now);
            return OfferReply { decision: AdmissionDecision::Run, evicted: None };
        }
        let place = self.queue_key_of(request, now);
        let wait = self.predicted_wait(place);
        let latest_start = self.latest_start(request, now);
        if self.queue.len() >= Self::MAX_WAITING || now.after(wait) > latest_start {
            let decision = AdmissionDecision::Refuse { retry_after: wait };
            return OfferReply { decision, evicted: None };
        }
        self.queue.insert(place);
        let waiting = Waiting { route: request.route.clone(), queue_key: place, latest_start };
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
        while self.has_room() {
            let Some((_, call)) = self.queue.first().copied() else { break };
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
            let filled_percent = if has_reserve { Self::USED_SLOTS_PERCENT } else { 100 };
            let percent_slots = capacity.get().saturating_mul(filled_percent);
            let filled = (percent_slots + 50) / 100;
            self.capacity = ConcurrencyLimit::new(filled.max(1));
        }
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

    fn shortage_milli(&self) -> u16 {
        self.shortage.value_milli()
    }

    fn holding_time(&self, route: &RouteName) -> Duration {
        self.expected_holding_time(Some(route))
    }
}
