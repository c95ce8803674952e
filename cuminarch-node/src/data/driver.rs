//! Connects the engine with the tasks that execute calls.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cuminarch_admission::RateLimitChange;
use cuminarch_config::Policy;
use cuminarch_engine::Direction as CallDirection;
use cuminarch_engine::{
    Action, AllotmentNotice, Arrival, ClaimResult, Engine, Event, QuarantineNotice,
};
use cuminarch_membership::{Registration, UpstreamTracker};
use cuminarch_once::BoundKey;
use cuminarch_protocol::{Member, UpstreamLifetime, UpstreamRecord, UpstreamSignals};
use cuminarch_routing::Target;
use cuminarch_types::{
    CallId, ClientKey, MonoTime, Outcome, RatePerSecond, Revision, RouteName, ServiceName,
};
use flume::{Receiver, Sender};
use log::{info, warn};
use tokio::sync::Notify;
use tokio::sync::mpsc;

use super::capacity_log::log_changes;
use super::command::DataCommand;
use super::datagrams::DatagramSender;
use super::recorded_departures::RecordedDepartures;
use super::stop::StopGuard;
use crate::clock::Clock;
use crate::decisions::LogRateLimiter;
use crate::event::NodeEvent;
use crate::metrics::{Direction, Metrics};

/// A client's idempotency key to bind on the platform.
#[derive(Debug)]
pub struct ClaimRequest {
    pub call: CallId,
    pub key: ClientKey,
    pub bound: BoundKey,
}

/// Actions of one call in order.
pub type Mailbox = mpsc::UnboundedReceiver<Action>;

struct State {
    engine: Engine,
    mailboxes: BTreeMap<CallId, mpsc::UnboundedSender<Action>>,
}

struct Shared {
    state: RefCell<State>,
    clock: Clock,
    claims: Sender<ClaimRequest>,
    datagrams: DatagramSender,
    decisions: Rc<LogRateLimiter>,
    timer_changed: Notify,
    /// Time of the next tick of the engine.
    next_tick_at: Cell<MonoTime>,
    upstream: RefCell<UpstreamTracker>,
    departures: RecordedDepartures,
    /// Whether the upstream has to register once more before it may be taken for ready.
    is_repeat_needed: Cell<bool>,
    /// Set when shutdown begins; calls may still be served for a while.
    is_leaving: Cell<bool>,
    stop: StopGuard,
    metrics: Arc<Metrics>,
}

impl Shared {
    /// Logs a change that concerns allotments.
    fn report(&self, notice: &AllotmentNotice) {
        let event = match notice {
            AllotmentNotice::Lowered { .. } => NodeEvent::AllotmentLowered,
            AllotmentNotice::Held { .. } => NodeEvent::AllotmentHeld,
            AllotmentNotice::Silent(_) => NodeEvent::AllotmentHolderSilent,
        };
        if let Some(left_out) = self.decisions.admit(event) {
            info!("{event} {notice} left_out={left_out}");
        }
    }

    /// Logs a decision about requests that crash endpoints.
    fn report_quarantine(&self, notice: &QuarantineNotice) {
        let event = match notice {
            QuarantineNotice::UpstreamEnded { .. } => NodeEvent::UpstreamEnded,
            QuarantineNotice::Convicted { .. } => NodeEvent::RequestQuarantined,
            QuarantineNotice::Cleared { .. } => NodeEvent::RequestCleared,
            QuarantineNotice::Received { .. } => NodeEvent::SuspicionsReceived,
        };
        if let Some(left_out) = self.decisions.admit(event) {
            info!("{event} {notice} left_out={left_out}");
        }
    }
}

/// Handle to the engine for the tasks of the data thread.
#[derive(Clone)]
pub struct Driver {
    shared: Rc<Shared>,
}

impl Driver {
    const NEVER: MonoTime = MonoTime::from_micros(u64::MAX);

    pub fn new(
        engine: Engine,
        clock: Clock,
        claims: Sender<ClaimRequest>,
        datagrams: DatagramSender,
        decisions: Rc<LogRateLimiter>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let state = RefCell::new(State { engine, mailboxes: BTreeMap::new() });
        let (timer_changed, next_tick_at) = (Notify::new(), Cell::new(Self::NEVER));
        let upstream = RefCell::default();
        let is_leaving = Cell::new(false);
        let shared = Shared {
            state,
            clock,
            claims,
            datagrams,
            decisions,
            timer_changed,
            next_tick_at,
            upstream,
            departures: RecordedDepartures::default(),
            is_repeat_needed: Cell::new(false),
            is_leaving,
            stop: StopGuard::default(),
            metrics,
        };
        Self { shared: Rc::new(shared) }
    }

    /// Returns the policy in force.
    pub fn policy(&self) -> Arc<Policy> {
        Arc::clone(self.shared.state.borrow().engine.policy())
    }

    /// Returns `true` if the node accepts calls: it has a policy and is not shutting down.
    pub fn is_ready(&self) -> bool {
        let state = self.shared.state.borrow();
        !self.is_leaving() && state.engine.policy().revision() > Revision::default()
    }

    /// Returns `true` once shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        self.shared.is_leaving.get()
    }

    /// Returns `true` if a call on this route is refused because the node drains. Internal routes
    /// stay open: the local upstream needs them for the requests that it still runs.
    pub fn refuses_route(&self, route: &RouteName) -> bool {
        let state = self.shared.state.borrow();
        state.engine.is_draining() && !state.engine.is_internal(route)
    }

    /// Returns `true` if the answer to a call would come after the node has stopped.
    pub fn is_too_late(&self, arrival: &Arrival) -> bool {
        let Some(routed) = arrival.routed.as_ref().filter(|_| self.shared.stop.has_begun()) else {
            return false;
        };
        let stated = arrival.remaining.unwrap_or(Duration::MAX);
        let limit = arrival.rule.as_ref().map_or(stated, |rule| stated.min(rule.deadline));
        let (direction, now) = (direction_of(arrival), self.shared.clock.now());
        self.shared.stop.is_too_late(direction, &routed.route, limit, now)
    }

    /// Returns the time after which a caller that is refused during a stop reaches another node.
    pub fn time_until_callers_leave(&self) -> Duration {
        self.shared.stop.time_until_callers_leave(self.shared.clock.now())
    }

    /// Applies a registration of the local upstream. Returns the record if it changed.
    pub fn register(&self, registration: &Registration) -> Option<UpstreamRecord> {
        self.update_upstream(|tracker| tracker.apply(registration).cloned())
    }

    /// Waits until the next process of the node will know of a departure, at most for `timeout`.
    pub async fn wait_until_recorded(&self, departed: &UpstreamRecord, timeout: Duration) {
        self.shared.departures.wait_until_recorded(departed, timeout).await;
    }

    /// Returns the current lifetime of the local upstream, if it has registered.
    pub fn upstream_lifetime(&self) -> Option<UpstreamLifetime> {
        self.shared.upstream.borrow().record().lifetime()
    }

    /// Returns the statement of this node about itself, once the control thread has made one.
    pub fn own_member(&self) -> Option<Member> {
        self.shared.state.borrow().engine.own_member().cloned()
    }

    /// Applies the departure of this lifetime of the local upstream. Returns the record if it
    /// changed.
    pub fn begin_draining(&self, lifetime: &UpstreamLifetime) -> Option<UpstreamRecord> {
        self.update_upstream(|tracker| tracker.begin_draining(lifetime).cloned())
    }

    /// Changes what is known of the local upstream. Returns the record if it changed.
    fn update_upstream(
        &self,
        update: impl FnOnce(&mut UpstreamTracker) -> Option<UpstreamRecord>,
    ) -> Option<UpstreamRecord> {
        let record = update(&mut self.shared.upstream.borrow_mut())?;
        self.post(Event::Upstream(Box::new(record.clone())));
        Some(record)
    }

    /// Records what the local upstream states in an answer. Returns the change of its rate limit,
    /// if any.
    pub fn record_upstream_signals(&self, signals: &UpstreamSignals) -> Option<RateLimitChange> {
        let now = self.shared.clock.now();
        self.shared.state.borrow_mut().engine.record_upstream_signals(signals, now)
    }

    /// Applies the rate limit of the local upstream that another node knows of. Returns the change,
    /// if any.
    pub fn adopt_rate_limit(&self, rate_limit: RatePerSecond) -> Option<RateLimitChange> {
        let now = self.shared.clock.now();
        self.shared.state.borrow_mut().engine.adopt_rate_limit(rate_limit, now)
    }

    /// Records what the upstream of another endpoint states in an answer. Returns `true` if that
    /// changed.
    pub fn record_endpoint_signals(
        &self,
        service: &ServiceName,
        target: &Target,
        signals: &UpstreamSignals,
    ) -> bool {
        self.shared.state.borrow_mut().engine.record_endpoint_signals(service, target, signals)
    }

    /// Starts a call in the engine.
    pub fn begin(&self, arrival: Arrival) -> CallGuard {
        let (sender, mailbox) = mpsc::unbounded_channel();
        let direction = direction_of(&arrival);
        let route = arrival.routed.as_ref().map(|routed| routed.route.clone());
        let begun_at = Instant::now();
        let call = {
            let mut state = self.shared.state.borrow_mut();
            let call = state.engine.next_call();
            state.mailboxes.insert(call, sender);
            call
        };
        self.post(Event::arrive(call, arrival));
        CallGuard {
            driver: self.clone(),
            call,
            mailbox,
            direction,
            route,
            begun_at,
            is_ended: false,
        }
    }

    /// Passes an event to the engine and dispatches its actions to the tasks of their calls.
    pub fn post(&self, event: Event) {
        let now = self.shared.clock.now();
        let mut state = self.shared.state.borrow_mut();
        let state = &mut *state;
        for action in state.engine.handle(event, now) {
            match action {
                Action::Claim { call, key, bound } => self.claim(call, key, bound),
                Action::SendAllotment { to, datagram } => {
                    self.shared.datagrams.send(to, datagram.encode());
                }
                Action::SendSuspicions { to, datagram } => {
                    self.shared.datagrams.send(to, datagram.encode());
                }
                Action::Report(notice) => self.shared.report(&notice),
                Action::ReportQuarantine(notice) => self.shared.report_quarantine(&notice),
                action => {
                    if let Some(mailbox) = action.call().and_then(|call| state.mailboxes.get(&call))
                    {
                        let _ = mailbox.send(action);
                    }
                }
            }
        }
        log_changes(&state.engine.take_capacity_changes());
        let wakes_earlier =
            state.engine.next_wake().is_some_and(|wake| wake < self.shared.next_tick_at.get());
        if wakes_earlier {
            self.shared.timer_changed.notify_one();
        }
    }

    /// Mints an idempotency key.
    pub fn mint_key(&self) -> BoundKey {
        self.shared.state.borrow_mut().engine.mint_key(self.shared.clock.now())
    }

    /// Returns the number of calls in progress.
    pub fn calls(&self) -> usize {
        self.shared.state.borrow().mailboxes.len()
    }

    /// Returns `true` if new calls are refused.
    pub fn is_draining(&self) -> bool {
        self.shared.state.borrow().engine.is_draining()
    }

    /// Ticks the engine at its wake times, forever.
    ///
    /// While calls arrive, the next tick is always at most `TICK_INTERVAL` away, so a new timer
    /// that is due later does not wake the event loop.
    pub async fn run_timers(self) {
        const TICK_INTERVAL: Duration = Duration::from_millis(20);
        const MAX_IDLE_TICKS: u32 = 50;
        let mut idle_ticks = 0;
        loop {
            let is_idle = idle_ticks >= MAX_IDLE_TICKS;
            let wake = self.shared.state.borrow().engine.next_wake();
            if is_idle && wake.is_none() {
                self.shared.next_tick_at.set(Self::NEVER);
                self.shared.timer_changed.notified().await;
                idle_ticks = 0;
                continue;
            }
            let now = self.shared.clock.now();
            let latest = if is_idle { Self::NEVER } else { now.after(TICK_INTERVAL) };
            let wake = wake.map_or(latest, |wake| wake.min(latest));
            self.shared.next_tick_at.set(wake);
            let sleep = tokio::time::sleep_until(self.shared.clock.to_instant(wake).into());
            tokio::select! {
                () = sleep => {}
                () = self.shared.timer_changed.notified() => {
                    idle_ticks = 0;
                    continue;
                }
            }
            let is_due = self.is_tick_due();
            if self.calls() > 0 || is_due {
                self.post(Event::Tick);
            }
            idle_ticks = if self.calls() > 0 { 0 } else { idle_ticks.saturating_add(1) };
        }
    }

    /// Returns `true` if the engine has work that is due, also if no call is in progress.
    fn is_tick_due(&self) -> bool {
        let wake = self.shared.state.borrow().engine.next_wake();
        wake.is_some_and(|wake| wake <= self.shared.clock.now())
    }

    /// Executes commands of other threads until [`DataCommand::Stop`]. Returns the timeout for
    /// calls in progress, or `None` if all senders are gone.
    /// Changes of the upstream that they make known are passed to `publish`.
    pub async fn run_commands(
        &self,
        commands: &Receiver<DataCommand>,
        publish: impl Fn(UpstreamRecord),
    ) -> Option<Duration> {
        while let Ok(command) = commands.recv_async().await {
            match command {
                DataCommand::Policy(policy) => {
                    self.shared.metrics.set_set_aside_entries(policy.set_aside().len());
                    self.shared.state.borrow_mut().engine.set_policy(policy);
                    // Applies the allotments of the policy.
                    self.post(Event::Tick);
                }
                DataCommand::Member(member) => self.post(Event::Member(member)),
                DataCommand::UpstreamHistory(known) => {
                    let update = |tracker: &mut UpstreamTracker| tracker.adopt(&known).cloned();
                    self.update_upstream(update).into_iter().for_each(&publish);
                }
                DataCommand::UpstreamHistoryComplete => {
                    let update =
                        |tracker: &mut UpstreamTracker| tracker.complete_history().cloned();
                    self.update_upstream(update).into_iter().for_each(&publish);
                }
                DataCommand::UpstreamHistoryUnknown => {
                    let dropped = self.shared.upstream.borrow_mut().forgo_history();
                    if dropped > 0 {
                        warn!("{} registrations={dropped}", NodeEvent::RegistrationsUndated);
                    }
                }
                DataCommand::UpstreamUnconfirmed => self.shared.is_repeat_needed.set(true),
                DataCommand::UpstreamRecorded(record) => self.shared.departures.record(*record),
                DataCommand::Claimed(call, result) => self.post(Event::Claimed(call, result)),
                DataCommand::RetryBudget(settings) => {
                    self.shared.state.borrow_mut().engine.set_retry_budget(settings);
                }
                DataCommand::Rejoined => self.post(Event::Rejoined),
                DataCommand::Leave { linger, timeout } => {
                    self.shared.is_leaving.set(true);
                    self.shared.stop.begin(linger, timeout, self.shared.clock.now());
                }
                DataCommand::Drain => {
                    self.shared.is_leaving.set(true);
                    self.post(Event::Drain);
                }
                DataCommand::Summary(reply) => {
                    let now = self.shared.clock.now();
                    let _ = reply.try_send(self.shared.state.borrow().engine.summary(now));
                }
                DataCommand::Stop(timeout) => return Some(timeout),
            }
        }
        None
    }

    /// Waits until no call is in progress.
    pub async fn wait_until_idle(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(5);
        while self.calls() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn claim(&self, call: CallId, key: ClientKey, bound: BoundKey) {
        let request = ClaimRequest { call, key, bound };
        if self.shared.claims.try_send(request).is_err() {
            self.shared.metrics.record_full_ring();
            warn!("{} ring=claims", NodeEvent::RingFull);
            let driver = self.clone();
            tokio::task::spawn_local(async move {
                driver.post(Event::Claimed(call, ClaimResult::Unavailable));
            });
        }
    }
}

const fn direction_of(arrival: &Arrival) -> Direction {
    match arrival.direction {
        CallDirection::Inbound => Direction::Inbound,
        CallDirection::Outbound(_) => Direction::Outbound,
    }
}

/// A call in progress. Dropping the guard before the call ends cancels the call.
pub struct CallGuard {
    driver: Driver,
    call: CallId,
    mailbox: Mailbox,
    direction: Direction,
    route: Option<RouteName>,
    begun_at: Instant,
    is_ended: bool,
}

impl CallGuard {
    pub const fn call(&self) -> CallId {
        self.call
    }

    pub const fn driver(&self) -> &Driver {
        &self.driver
    }

    /// Waits for the next action of the call.
    pub async fn next(&mut self) -> Option<Action> {
        self.mailbox.recv().await
    }

    /// Returns the next action if one is queued.
    pub fn try_next(&mut self) -> Option<Action> {
        self.mailbox.try_recv().ok()
    }

    /// Records the outcome of the call. Only the first call of this method counts.
    pub fn end(&mut self, outcome: Outcome) {
        if !self.is_ended {
            self.is_ended = true;
            let duration = self.begun_at.elapsed();
            self.driver.shared.metrics.record_call(self.direction, outcome, duration);
            if let Some(route) = self.route.as_ref().filter(|_| outcome == Outcome::Completed) {
                self.driver.shared.stop.record(self.direction, route, duration);
            }
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.end(Outcome::Unknown);
        self.driver.shared.state.borrow_mut().mailboxes.remove(&self.call);
        self.driver.post(Event::Cancel(self.call));
    }
}

mod history;
