use std::fmt::Debug;
use std::time::Duration;

use cuminarch_types::{CallId, ConcurrencyLimit, MonoTime, Rank, RouteName};

use crate::{Admission, OfferReply, QueueEvent, StartPacer};

/// A request offered to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Identifier of the call.
    pub call: CallId,
    /// Position in the refusal order.
    pub rank: Rank,
    /// Number of classes that are refused after the request's own class.
    pub more_urgent_classes: u8,
    /// Time after which an answer is useless.
    pub deadline: MonoTime,
    /// The route of the request, if it has one.
    pub route: Option<RouteName>,
    /// `true` if the call serves a request that is already running elsewhere, whose work is lost if
    /// the call is refused.
    pub is_nested: bool,
    /// Time within which an answer is fully useful.
    pub objective: Duration,
}

/// What an endpoint takes well, as measured at its node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LearnedCapacity {
    /// Requests that it runs concurrently at most.
    pub limit: ConcurrencyLimit,
    /// Part of the evidence that the limit needs, in thousandths.
    pub confidence_milli: u32,
}

/// Decides which requests one endpoint runs, queues or refuses.
pub trait AdmissionControl: Debug + Send {
    /// Decides on an incoming request.
    fn offer(&mut self, request: &AdmissionRequest, now: MonoTime) -> OfferReply;

    /// Frees the slot of a request and returns decisions on queued requests. `latency` is the time
    /// in the upstream without nested calls, or `None` if it is not a valid sample.
    fn finish(&mut self, call: CallId, latency: Option<Duration>, now: MonoTime)
    -> Vec<QueueEvent>;

    /// Cancels a queued or running request.
    fn cancel(&mut self, call: CallId, now: MonoTime) -> Vec<QueueEvent>;

    /// Starts queued requests while there is room and refuses those that cannot finish in time.
    fn poll(&mut self, now: MonoTime) -> Vec<QueueEvent>;

    /// Refuses all queued requests because the endpoint accepts no new work.
    fn refuse_waiting(&mut self) -> Vec<QueueEvent>;

    /// Sets the number of concurrent requests that the endpoint states.
    fn set_capacity(&mut self, capacity: ConcurrencyLimit);

    /// Returns the pacer of the starts.
    fn pacer(&self) -> &StartPacer;

    /// Returns the pacer of the starts, to record what the upstream states.
    fn pacer_mut(&mut self) -> &mut StartPacer;

    /// Returns the admission level. Requests of a lower rank are refused immediately unless there
    /// is room.
    fn level(&self) -> Rank;

    /// Returns the maximum number of concurrent requests.
    fn limit(&self) -> ConcurrencyLimit;

    /// Returns the number of running requests.
    fn running(&self) -> usize;

    /// Returns the number of queued requests.
    fn waiting(&self) -> usize;

    /// Frees the slot of a request that the upstream has turned away without running it.
    fn finish_turned_away(&mut self, call: CallId, now: MonoTime) -> Vec<QueueEvent> {
        self.finish(call, None, now)
    }

    /// Returns running and queued requests relative to those that may run concurrently, in
    /// thousandths.
    fn occupancy_milli(&self) -> u32 {
        let calls = (self.running() + self.waiting()) as u64;
        let milli = calls * 1_000 / u64::from(self.limit().get().max(1));
        u32::try_from(milli).unwrap_or(u32::MAX)
    }

    /// Returns the fraction of the offered load that exceeds the capacity, in thousandths.
    fn shortage_milli(&self) -> u16;

    /// Returns the mean time for which a request of this route occupies a slot.
    fn holding_time(&self, route: &RouteName) -> Duration;

    /// Returns what the endpoint takes well, if that is learned.
    fn learned_capacity(&self) -> Option<LearnedCapacity> {
        None
    }

    /// Returns the recent typical run time of a route, if that is learned.
    fn run_time(&self, _route: &RouteName) -> Option<Duration> {
        None
    }
}

impl AdmissionControl for Admission {
    fn offer(&mut self, request: &AdmissionRequest, now: MonoTime) -> OfferReply {
        Self::offer(self, request.call, request.rank, request.deadline, now)
    }

    fn finish(
        &mut self,
        call: CallId,
        latency: Option<Duration>,
        now: MonoTime,
    ) -> Vec<QueueEvent> {
        Self::finish(self, call, latency, now)
    }

    fn cancel(&mut self, call: CallId, now: MonoTime) -> Vec<QueueEvent> {
        Self::cancel(self, call, now)
    }

    fn poll(&mut self, now: MonoTime) -> Vec<QueueEvent> {
        Self::poll(self, now)
    }

    /// Keeps queued requests: with this control, an endpoint that accepts no new work finishes
    /// them.
    fn refuse_waiting(&mut self) -> Vec<QueueEvent> {
        Vec::new()
    }

    fn set_capacity(&mut self, _capacity: ConcurrencyLimit) {}

    fn pacer(&self) -> &StartPacer {
        Self::pacer(self)
    }

    fn pacer_mut(&mut self) -> &mut StartPacer {
        Self::pacer_mut(self)
    }

    fn level(&self) -> Rank {
        Self::level(self)
    }

    fn limit(&self) -> ConcurrencyLimit {
        Self::limit(self)
    }

    fn running(&self) -> usize {
        Self::running(self)
    }

    fn waiting(&self) -> usize {
        Self::waiting(self)
    }

    fn shortage_milli(&self) -> u16 {
        0
    }

    fn holding_time(&self, _route: &RouteName) -> Duration {
        Duration::ZERO
    }
}
