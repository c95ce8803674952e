use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminarch_types::{CallId, ConcurrencyLimit, MonoTime, Rank};

use crate::{AdmissionSettings, LevelControl, Limiter, StartPacer};

/// Decision on an offered request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request runs now.
    Run,
    /// The request is queued; a [`QueueEvent`] follows.
    Wait,
    /// The request is refused and has not run.
    Refuse {
        /// Time after which a retry makes sense.
        retry_after: Duration,
    },
}

/// Decision on an offered request, and the queued request evicted to make room for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OfferReply {
    /// Decision on the offered request.
    pub decision: AdmissionDecision,
    /// A queued request of lower rank that is refused instead.
    pub evicted: Option<CallId>,
}

/// Decision on a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueEvent {
    /// The request runs now.
    Run(CallId),
    /// The request is refused and has not run.
    Refuse(CallId),
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    rank: Rank,
    since: MonoTime,
    deadline: MonoTime,
}

/// Admission control of one endpoint with an adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limiter: Limiter,
    running: BTreeMap<CallId, MonoTime>,
    waiting: BTreeMap<CallId, Waiting>,
    queue: BTreeSet<(Rank, CallId)>,
    level: LevelControl,
    pacer: StartPacer,
}

impl Admission {
    /// Retry delay reported to refused callers.
    pub const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Creates the admission control of a cold endpoint.
    #[must_use]
    pub const fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            limiter: Limiter::new(settings),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            queue: BTreeSet::new(),
            level: LevelControl::new(settings.target_wait),
            pacer: StartPacer::new(),
        }
    }

    /// Returns the admission level. Requests of a lower rank are refused immediately unless there
    /// is room.
    #[must_use]
    pub const fn level(&self) -> Rank {
        self.level.level()
    }

    /// Returns the current concurrency limit.
    #[must_use]
    pub fn limit(&self) -> ConcurrencyLimit {
        self.limiter.limit()
    }

    /// Returns the pacer of the starts.
    #[must_use]
    pub const fn pacer(&self) -> &StartPacer {
        &self.pacer
    }

    /// Returns the pacer of the starts, to record what the upstream states.
    pub const fn pacer_mut(&mut self) -> &mut StartPacer {
        &mut self.pacer
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Decides on an incoming request.
    pub fn offer(
        &mut self,
        call: CallId,
        rank: Rank,
        deadline: MonoTime,
        now: MonoTime,
    ) -> OfferReply {
        self.level.advance(now);
        let has_room = self.has_room(now) && self.queue.is_empty();
        self.level.record_offer(rank, has_room);
        if has_room {
            self.level.record_start(Duration::ZERO);
            self.start(call, now);
            return OfferReply { decision: AdmissionDecision::Run, evicted: None };
        }
        let is_full = self.queue.len() >= self.settings.max_queue;
        if is_full {
            self.level.record_refusal();
        }
        if rank >= self.level.level() && !is_full {
            self.enqueue(call, Waiting { rank, since: now, deadline });
            return OfferReply { decision: AdmissionDecision::Wait, evicted: None };
        }
        match self.queue.first().copied() {
            Some((lowest, evicted)) if lowest < rank => {
                self.dequeue(evicted);
                self.enqueue(call, Waiting { rank, since: now, deadline });
                OfferReply { decision: AdmissionDecision::Wait, evicted: Some(evicted) }
            }
            _ => Self::refuse(),
        }
    }

    /// Frees the slot of a request and returns decisions on queued requests. `latency` is the time
    /// in the upstream without nested calls, or `None` if it is not a valid sample.
    pub fn finish(
        &mut self,
        call: CallId,
        latency: Option<Duration>,
        now: MonoTime,
    ) -> Vec<QueueEvent> {
        let running = self.running.len();
        if let Some(began) = self.running.remove(&call)
            && let Some(latency) = latency
        {
            self.limiter.observe(latency, began, running, now);
        }
        self.poll(now)
    }

    /// Cancels a queued or running request.
    pub fn cancel(&mut self, call: CallId, now: MonoTime) -> Vec<QueueEvent> {
        self.dequeue(call);
        self.finish(call, None, now)
    }

    /// Starts queued requests while there is room and refuses those that cannot finish before their
    /// deadline.
    pub fn poll(&mut self, now: MonoTime) -> Vec<QueueEvent> {
        self.level.advance(now);
        let earliest_end = now.after(self.limiter.reference().unwrap_or_default());
        let mut events = Vec::new();
        let expired: Vec<CallId> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| {
                waiting.deadline <= earliest_end
                    || now.since(waiting.since) > self.settings.target_wait * 10
            })
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            self.dequeue(call);
            self.level.record_refusal();
            events.push(QueueEvent::Refuse(call));
        }
        while self.has_room(now) {
            let Some((_, call)) = self.queue.last().copied() else { break };
            let since = self.dequeue(call).map_or(now, |waiting| waiting.since);
            self.level.record_start(now.since(since));
            self.start(call, now);
            events.push(QueueEvent::Run(call));
        }
        events
    }

    fn start(&mut self, call: CallId, now: MonoTime) {
        self.pacer.record_start(now);
        self.running.insert(call, now);
    }

    fn has_room(&self, now: MonoTime) -> bool {
        self.running.len() < self.limiter.limit().get() as usize && self.pacer.may_start(now)
    }

    fn enqueue(&mut self, call: CallId, waiting: Waiting) {
        self.queue.insert((waiting.rank, call));
        self.waiting.insert(call, waiting);
    }

    fn dequeue(&mut self, call: CallId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&call)?;
        self.queue.remove(&(waiting.rank, call));
        Some(waiting)
    }

    const fn refuse() -> OfferReply {
        let decision = AdmissionDecision::Refuse { retry_after: Self::RETRY_AFTER };
        OfferReply { decision, evicted: None }
    }
}
