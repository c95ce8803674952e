use std::fmt::Debug;
use std::time::Duration;

use cuminarch_types::{CallId, ConcurrencyLimit, MonoTime, Rank, RouteName};

use crate::{Admission, OfferReply, QueueEvent};

/// A request that asks to run at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// The call.
    pub call: CallId,
    /// Place in the refusal order.
    pub rank: Rank,
    /// Number of classes that are refused after its own.
    pub more_urgent_classes: u8,
    /// When an answer is of no use any more.
    pub deadline: MonoTime,
    /// The route that it took, if it took one.
    pub route: Option<RouteName>,
    /// Whether it serves a request that already runs elsewhere, whose work is
    /// lost if it is refused.
    pub is_nested: bool,
    /// Time within which an answer is of full use.
    pub objective: Duration,
}

/// Decides which requests run at one endpoint, which wait and which are refused.
pub trait AdmissionControl: Debug + Send {
    /// Decides on a request that arrived.
    fn offer(&mut self, request: &AdmissionRequest, now: MonoTime) -> OfferReply;

    /// Frees the slot of a request; `latency` is its time in the upstream
    /// without the time of deeper calls, if it counts as a measurement. Returns
    /// what becomes of waiting requests.
    fn finish(&mut self, call: CallId, latency: Option<Duration>, now: MonoTime)
    -> Vec<QueueEvent>;

    /// Withdraws a request, whether it waits or runs.
    fn cancel(&mut self, call: CallId, now: MonoTime) -> Vec<QueueEvent>;

    /// Starts waiting requests while there is room and refuses those that
    /// cannot finish in time.
    fn poll(&mut self, now: MonoTime) -> Vec<QueueEvent>;

    /// Refuses all that waits, as the endpoint takes no new work.
    fn refuse_waiting(&mut self) -> Vec<QueueEvent>;

    /// Takes in how many requests the endpoint runs at once, as it states itself.
    fn set_capacity(&mut self, capacity: ConcurrencyLimit);

    /// Requests of a lower rank are refused at once unless there is room.
    fn level(&self) -> Rank;

    /// Most requests that run at once.
    fn limit(&self) -> ConcurrencyLimit;

    /// Number of requests that run.
    fn running(&self) -> usize;

    /// Number of requests that wait.
    fn waiting(&self) -> usize;

    /// Takes a request off that the upstream has turned away.
    fn finish_turned_away(&mut self, call: CallId, now: MonoTime) -> Vec<QueueEvent> {
        self.finish(call, None, now)
    }

    /// Part of the offered load that exceeds the capacity, in thousandths.
    fn shortage_milli(&self) -> u16;

    /// Mean time for which a request of this route holds a slot.
    fn holding_time(&self, route: &RouteName) -> Duration;
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

    /// Waiting requests stay: here an endpoint that takes no new work finishes them.
    fn refuse_waiting(&mut self) -> Vec<QueueEvent> {
        Vec::new()
    }

    fn set_capacity(&mut self, _capacity: ConcurrencyLimit) {}

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
