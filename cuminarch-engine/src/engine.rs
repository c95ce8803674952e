use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminarch_admission::{
    Admission, AdmissionControl, FanoutEstimator, InternalRouteDetector, NestedFailures, Origin,
    ReportedUsage, Shedder, StartRamp,
};
use cuminarch_attempts::{
    Backoff, DemandEstimator, EndpointPosition, RetryBudget, RetryBudgetSettings, RetryRatioLimiter,
};
use cuminarch_config::Policy;
use cuminarch_once::{BoundKey, KeyTable};
use cuminarch_protocol::{Member, MemberState, Receipt, UpstreamRecord, UpstreamState};
use cuminarch_quarantine::Quarantine;
use cuminarch_routing::{LearnedLevel, Router};
use cuminarch_types::{
    AccountName, AttemptId, CallId, ClassName, ConcurrencyLimit, MonoTime, RouteName, RuleNumber,
    ServiceName,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::allotments::Allotments;
use crate::call::{Call, Sending, Stage};
use crate::trials::Trials;
use crate::{
    Action, CapacityChange, Direction, EngineSettings, EngineSummary, Event, Refusal, RefusalReason,
};

/// Makes all decisions about the calls of one node.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) policy: Arc<Policy>,
    pub(crate) admission: Box<dyn AdmissionControl>,
    pub(crate) keys: KeyTable,
    pub(crate) router: Router,
    pub(crate) calls: BTreeMap<CallId, Call>,
    pub(crate) retries: BTreeSet<(MonoTime, CallId)>,
    pub(crate) deadlines: BTreeSet<(MonoTime, CallId)>,
    pub(crate) retry_limiters: BTreeMap<ServiceName, RetryRatioLimiter>,
    pub(crate) demand_estimators: BTreeMap<(ServiceName, ClassName), DemandEstimator>,
    /// Calls whose budget has changed since their waiting children were last resumed.
    pub(crate) changed_budgets: BTreeSet<CallId>,
    pub(crate) downstream_levels: BTreeMap<RuleNumber, LearnedLevel>,
    pub(crate) backoff: Backoff,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) draining: bool,
    /// The local upstream, if upstreams register.
    pub(crate) upstream: Option<UpstreamRecord>,
    pub(crate) shedder: Shedder,
    /// Shortages of downstream services, as shown by nested calls that failed.
    pub(crate) nested_failures: NestedFailures,
    /// Bound of the requests in flight after the start.
    pub(crate) start_ramp: StartRamp,
    /// Usage of client accounts over all nodes, as last reported.
    pub(crate) account_usages: BTreeMap<AccountName, ReportedUsage>,
    pub(crate) fanout_estimator: FanoutEstimator,
    /// Calls that one call of a route causes at one downstream service, in thousandths.
    pub(crate) fan_outs_milli: BTreeMap<RouteName, u32>,
    pub(crate) internal_route_detector: InternalRouteDetector,
    /// Routes that only upstreams call, as reported by their endpoints.
    pub(crate) internal_routes: BTreeSet<RouteName>,
    /// Budget of the retries that reach the local upstream.
    pub(crate) retry_budget: RetryBudget,
    /// Time before which no retries are sent to a service whose serving nodes deny them.
    pub(crate) retries_denied_until: BTreeMap<ServiceName, MonoTime>,
    /// Position of the local endpoint in its service.
    pub(crate) own_position: EndpointPosition,
    pub(crate) allotments: Allotments,
    /// Own limit at the last change of it that was noted.
    pub(crate) noted_limit: Option<ConcurrencyLimit>,
    pub(crate) capacity_changes: Vec<CapacityChange>,
    /// Requests that crash endpoints.
    pub(crate) quarantine: Quarantine,
    pub(crate) trials: Trials,
    /// Latest time at which the process of the upstream was known to have ended, until the upstream
    /// answers a call or another instance of it registers.
    pub(crate) ended_at: Option<MonoTime>,
    next_call: CallId,
    next_attempt: AttemptId,
}

impl Engine {
    /// Creates an engine without calls and known members.
    #[must_use]
    pub fn new(settings: EngineSettings, policy: Arc<Policy>) -> Self {
        let seed = settings.seed;
        let router = Router::new(settings.zone.clone(), settings.region.clone(), seed)
            .with_disabled(settings.disabled.clone())
            .with_capacity_mode(settings.capacity);
        let keys = KeyTable::new(settings.keys, settings.endpoint.clone(), settings.incarnation);
        Self {
            policy,
            admission: settings.admission.build(&settings.disabled, settings.capacity),
            keys,
            router,
            calls: BTreeMap::new(),
            retries: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            retry_limiters: BTreeMap::new(),
            demand_estimators: BTreeMap::new(),
            changed_budgets: BTreeSet::new(),
            downstream_levels: BTreeMap::new(),
            backoff: Backoff::default(),
            rng: ChaCha8Rng::seed_from_u64(seed.wrapping_add(1)),
            draining: false,
            upstream: None,
            shedder: Self::new_shedder(&settings),
            nested_failures: NestedFailures::new(),
            start_ramp: StartRamp::new(),
            account_usages: BTreeMap::new(),
            fanout_estimator: FanoutEstimator::new(),
            fan_outs_milli: BTreeMap::new(),
            internal_route_detector: InternalRouteDetector::new(),
            internal_routes: BTreeSet::new(),
            retry_budget: RetryBudget::new(),
            retries_denied_until: BTreeMap::new(),
            own_position: EndpointPosition { endpoint_count: 1, index: 0 },
            allotments: Allotments::new(&settings),
            noted_limit: None,
            capacity_changes: Vec::new(),
            quarantine: Quarantine::new(settings.endpoint.clone(), seed.wrapping_add(2)),
            trials: Trials::default(),
            ended_at: None,
            next_call: CallId::new(1),
            next_attempt: AttemptId::new(1),
            settings,
        }
    }

    /// Returns an id for a call that is about to arrive.
    pub fn next_call(&mut self) -> CallId {
        let call = self.next_call;
        self.next_call = call.next();
        call
    }

    /// Handles one event and returns the actions that the driver has to execute, in order.
    pub fn handle(&mut self, event: Event, now: MonoTime) -> Vec<Action> {
        let mut actions = Vec::new();
        self.apply_changed_allotments(now);
        match event {
            Event::Arrive(call, arrival) => match arrival.direction.clone() {
                Direction::Inbound => self.arrive_inbound(call, &arrival, now, &mut actions),
                Direction::Outbound(service) => {
                    self.arrive_outbound(call, service, &arrival, now, &mut actions);
                }
            },
            Event::Claimed(call, result) => self.claimed(call, result, now, &mut actions),
            Event::LocalHead(call) => self.local_head(call, now),
            Event::LocalEnd(call, end) => self.local_end(call, end, now, &mut actions),
            Event::LocalFailed { call, sent } => self.local_failed(call, sent, now, &mut actions),
            Event::RemoteHead { call, attempt, is_failure } => {
                self.remote_head(call, attempt, is_failure, now, &mut actions);
            }
            Event::RemoteEnd { call, attempt, receipt } => {
                self.remote_end(call, attempt, receipt, now, &mut actions);
            }
            Event::RemoteRefused(call, attempt, refusal) => {
                self.remote_refused(call, attempt, *refusal, now, &mut actions);
            }
            Event::RemoteLost { call, attempt, sent } => {
                self.remote_lost(call, attempt, sent, now, &mut actions);
            }
            Event::Cancel(call) => self.cancel(call, now, &mut actions),
            Event::LocalTurnedAway(call) => self.local_turned_away(call, now, &mut actions),
            Event::UpstreamEnded => self.upstream_ended(now, &mut actions),
            Event::Upstream(record) => self.upstream_registered(*record, now, &mut actions),
            Event::Allotment(source, datagram) => self.allotments.receive(source, *datagram, now),
            Event::Suspicions(source, datagram) => {
                self.receive_suspicions(source, *datagram, now, &mut actions);
            }
            Event::Member(member) => self.update_member(*member, now),
            Event::Rejoined => self.allotments.table.confirm_members(now),
            Event::Tick => self.tick(now, &mut actions),
            Event::Drain => self.draining = true,
        }
        self.resume_waiting_for_share(now, &mut actions);
        self.resume_trials(now, &mut actions);
        self.send_suspicions(&mut actions);
        self.apply_allotment_outputs(now, &mut actions);
        actions
    }

    /// Applies a statement about a member.
    pub(crate) fn update_member(&mut self, member: Member, now: MonoTime) {
        let is_own_service = member.service == self.settings.service;
        let is_member = member.state != MemberState::Gone;
        self.quarantine.set_member(&member.endpoint, is_member, is_own_service);
        self.allotments.record_member(&member, now);
        self.router.update(member, now);
        self.count_members();
    }

    /// Returns the statement of this node about itself, once it is known.
    #[must_use]
    pub fn own_member(&self) -> Option<&Member> {
        self.router.members().find(|member| member.endpoint == self.settings.endpoint)
    }

    /// Counts the nodes of each service and zone, and updates the position of the local endpoint.
    fn count_members(&mut self) {
        let mut node_counts: BTreeMap<Origin, u32> = BTreeMap::new();
        for member in self.router.members().filter(|member| member.takes_work()) {
            let (zone, service) = (member.zone.clone(), member.service.clone());
            *node_counts.entry(Origin { zone, service }).or_default() += 1;
        }
        self.internal_route_detector.set_node_counts(node_counts);
        let others = self.router.members_taking_work(&self.settings.service);
        let others: Vec<bool> = others
            .filter(|other| other.endpoint != self.settings.endpoint)
            .map(|other| other.endpoint < self.settings.endpoint)
            .collect();
        let preceding = others.iter().filter(|is_before| **is_before).count();
        self.own_position = EndpointPosition { endpoint_count: others.len() + 1, index: preceding };
    }

    /// Puts a policy into force if it is newer than the current one. Returns `true` if it is.
    pub fn set_policy(&mut self, policy: Arc<Policy>) -> bool {
        let is_newer = policy.revision() > self.policy.revision();
        if is_newer {
            self.allotments.is_policy_changed = true;
            self.policy = policy;
            self.router.forget_levels();
            self.downstream_levels.clear();
        }
        is_newer
    }

    /// Sets the limits for retries of routed calls.
    pub const fn set_retry_budget(&mut self, retry_budget: RetryBudgetSettings) {
        self.settings.retry_budget = retry_budget;
    }

    /// Returns the policy in force.
    #[must_use]
    pub const fn policy(&self) -> &Arc<Policy> {
        &self.policy
    }

    /// Returns the router, which holds the known endpoints.
    #[must_use]
    pub const fn router(&self) -> &Router {
        &self.router
    }

    /// Mints an idempotency key that only this process runs.
    pub fn mint_key(&mut self, now: MonoTime) -> BoundKey {
        self.keys.mint(now)
    }

    /// Returns `true` if only upstreams call the route, as reported by its endpoints.
    #[must_use]
    pub fn is_internal(&self, route: &RouteName) -> bool {
        self.internal_routes.contains(route)
    }

    /// Returns the state for dumps and metrics.
    #[must_use]
    pub fn summary(&self, now: MonoTime) -> EngineSummary {
        let learned = self.admission.learned_capacity();
        let (suspected_requests, quarantined_requests) = self.suspicion_counts();
        EngineSummary {
            calls: self.calls.len(),
            running: self.admission.running(),
            waiting: self.admission.waiting(),
            limit: ConcurrencyLimit::new(self.admission.limit().get()),
            rate_limit_per_s: self.admission.pacer().limit(),
            level: self.admission.level(),
            keys: self.keys.len(),
            members: self.router.members().count(),
            shortage_milli: self.admission.shortage_milli(),
            capacity_confidence_milli: learned.map(|learned| learned.confidence_milli),
            endpoint_capacities: self.endpoint_capacities(now),
            revision: self.policy.revision(),
            draining: self.draining,
            allotments: self.allotment_summary(),
            suspected_requests,
            quarantined_requests,
        }
    }

    /// Returns `true` if new calls are refused.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    pub(crate) fn next_attempt(&mut self) -> AttemptId {
        let attempt = self.next_attempt;
        self.next_attempt = attempt.next();
        attempt
    }

    pub(crate) fn insert(&mut self, id: CallId, call: Call, now: MonoTime) {
        self.deadlines.insert((call.deadline, id));
        if let Some(parent) = call.parent.and_then(|parent| self.calls.get_mut(&parent)) {
            parent.children.insert(id);
            parent.downstream_time.begin(now);
        }
        self.calls.insert(id, call);
    }

    /// Removes a call, cancels its child calls and returns its receipt.
    pub(crate) fn remove(
        &mut self,
        id: CallId,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) -> Option<Receipt> {
        let call = self.calls.remove(&id)?;
        self.trials.end(id);
        self.settle_token(id, &call, now);
        self.deadlines.remove(&(call.deadline, id));
        if call.parent.is_none() && call.made_outbound_call {
            self.downstream_levels.insert(call.rule.number, call.highest_level);
        }
        if let Stage::Sending(Sending { retry_at: Some(retry_at), .. }) = call.stage {
            self.retries.remove(&(retry_at, id));
        }
        for child in call.children {
            self.abandon(child, now, actions);
        }
        if let Some(parent) = call.parent.and_then(|parent| self.calls.get_mut(&parent)) {
            parent.children.remove(&id);
            if parent.children.is_empty() {
                parent.downstream_time.end(now);
            }
            parent.highest_level = parent.highest_level.higher(call.highest_level, now);
            parent.made_outbound_call = true;
        }
        let own_level = LearnedLevel::new(self.admission.level(), now);
        let level = call.highest_level.higher(own_level, now);
        let unspent = call.budget.available();
        let load = call.routed.as_ref().filter(|_| call.is_remote);
        let load = load.map(|routed| Box::new(self.load_report(&routed.route, now)));
        Some(Receipt { unspent, level: level.level(), level_age_ms: level.age_ms(now), load })
    }

    /// Returns a random retry delay for a refused caller, so that callers refused together do not
    /// return together.
    pub(crate) fn retry_after(&mut self) -> Duration {
        Admission::RETRY_AFTER.mul_f64(self.rng.random_range(0.5..1.5))
    }

    /// Ends a call with a final answer of this node. A call that may have run is never reported as
    /// not run.
    pub(crate) fn refuse(
        &mut self,
        call: CallId,
        mut refusal: Refusal,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        self.record_refused_end(call, refusal.reason, now);
        self.adjust_refusal(call, &mut refusal);
        let receipt = self.remove(call, now, actions).unwrap_or_default();
        actions.push(Action::Refuse { call, refusal, receipt });
    }

    /// Returns why the local upstream accepts no new work, or `None` if it does.
    pub(crate) fn closed_reason(&self, now: MonoTime) -> Option<RefusalReason> {
        if self.draining {
            return Some(RefusalReason::Draining);
        }
        if self.has_ended_recently(now) {
            return Some(RefusalReason::UpstreamAbsent);
        }
        match self.upstream.as_ref()?.state {
            UpstreamState::Ready => None,
            UpstreamState::Draining => Some(RefusalReason::Draining),
            UpstreamState::Absent => Some(RefusalReason::UpstreamAbsent),
        }
    }

    /// Applies a registration of the local upstream.
    fn upstream_registered(
        &mut self,
        record: UpstreamRecord,
        now: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let previous = self.upstream.as_ref().and_then(UpstreamRecord::lifetime);
        if previous.is_some() && previous != record.lifetime() {
            self.ended_at = None;
            self.admission.pacer_mut().clear_limit();
        }
        self.admission.set_capacity(ConcurrencyLimit::new(record.slots));
        self.upstream = Some(record);
        let events = match self.closed_reason(now) {
            Some(_) => {
                self.trials.set_changed();
                self.admission.refuse_waiting()
            }
            None => self.admission.poll(now),
        };
        self.apply_queue_events(events, now, actions);
    }
}
