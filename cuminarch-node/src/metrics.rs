//! Metrics of a node in the Prometheus text format.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cuminarch_engine::{AllotmentCounts, AllotmentSummary, EngineSummary};
use cuminarch_membership::FleetSummary;
use cuminarch_types::{Outcome, RatePerSecond};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::capacity_metrics::CapacityMetrics;
use crate::interface::CredentialFault;

/// Direction of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// To the own upstream.
    Inbound,
    /// To another service.
    Outbound,
}

impl Direction {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Inbound => "inbound",
            Self::Outbound => "outbound",
        }
    }
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OutcomeLabels {
    direction: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct DirectionLabels {
    direction: &'static str,
}

/// What became of a datagram about allotments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DatagramResult {
    /// Received and readable.
    Received,
    /// Received and dropped.
    Unreadable,
    /// Sent.
    Sent,
    /// Not sent.
    Unsent,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ResultLabels {
    result: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct AccountLabels {
    account: String,
    result: &'static str,
}

/// Metrics of the allotments of client accounts.
#[derive(Clone, Debug, Default)]
struct AllotmentMetrics {
    datagrams: Family<ResultLabels, Counter>,
    tokens: Family<AccountLabels, Counter>,
    waiting: Gauge,
}

impl AllotmentMetrics {
    /// Account label of the accounts that are not counted one by one; no account has this name.
    const OTHER_ACCOUNTS: &'static str = "(other)";

    fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let help = "Datagrams about allotments, by what became of them";
        registry.register("allotment_datagrams", help, metrics.datagrams.clone());
        let help = "Decisions on requests for tokens by account, for a bounded number of accounts";
        registry.register("allotment_tokens", help, metrics.tokens.clone());
        let help = "Requests that wait for the holder of an allotment";
        registry.register("allotment_waiting", help, metrics.waiting.clone());
        metrics
    }

    fn set(&self, summary: &AllotmentSummary) {
        for (account, counts) in &summary.accounts {
            self.set_account(account.as_str(), counts);
        }
        if summary.others != AllotmentCounts::default() {
            self.set_account(Self::OTHER_ACCOUNTS, &summary.others);
        }
        let ignored = ResultLabels { result: "ignored" };
        let ignored = self.datagrams.get_or_create(&ignored);
        ignored.inner().store(summary.ignored_datagrams, Ordering::Relaxed);
        self.waiting.set(i64::try_from(summary.waiting).unwrap_or(i64::MAX));
    }

    fn set_account(&self, account: &str, counts: &AllotmentCounts) {
        let results = [
            ("granted", counts.granted),
            ("exceeded", counts.exceeded),
            ("unavailable", counts.unavailable),
            ("given-back", counts.given_back),
        ];
        for (result, count) in results {
            let labels = AccountLabels { account: account.to_owned(), result };
            self.tokens.get_or_create(&labels).inner().store(count, Ordering::Relaxed);
        }
    }
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReasonLabels {
    reason: &'static str,
}

/// Metrics of the calls in one direction.
#[derive(Clone, Debug)]
struct CallMetrics {
    completed: Counter,
    not_run: Counter,
    unknown: Counter,
    duration: Histogram,
    node_time: Histogram,
}

/// Gauges that are updated when metrics are read.
#[derive(Clone, Debug, Default)]
struct Gauges {
    calls: Gauge,
    running: Gauge,
    waiting: Gauge,
    limit: Gauge,
    rate_limit: Gauge<f64, AtomicU64>,
    level: Gauge,
    keys: Gauge,
    members: Gauge,
    revision: Gauge,
    set_aside_entries: Gauge,
    draining: Gauge,
    suspected_requests: Gauge,
    quarantined_requests: Gauge,
    store_era: Gauge,
    verified_age: Gauge<f64, AtomicU64>,
    capacity: CapacityMetrics,
}

/// All metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    inbound: CallMetrics,
    outbound: CallMetrics,
    attempts: Counter,
    credential_faults: Family<ReasonLabels, Counter>,
    connections_refused: Counter,
    ring_full: Counter,
    gauges: Gauges,
    allotments: AllotmentMetrics,
    registry: Registry,
}

impl Metrics {
    const FIRST_BUCKET_SECONDS: f64 = 0.000_05;
    const BUCKET_FACTOR: f64 = 2.0;
    const BUCKETS: u16 = 20;

    /// Registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("cuminarch");
        let calls = Family::<OutcomeLabels, Counter>::default();
        let duration = Family::<DirectionLabels, Histogram>::new_with_constructor(
            Self::histogram as fn() -> _,
        );
        let node_time = Family::<DirectionLabels, Histogram>::new_with_constructor(
            Self::histogram as fn() -> _,
        );
        registry.register("calls", "Calls that ended, by outcome", calls.clone());
        registry.register_with_unit(
            "call_duration",
            "Time from the arrival of a call to the end of its answer",
            Unit::Seconds,
            duration.clone(),
        );
        registry.register_with_unit(
            "node_time",
            "Time that completed calls spent in the node itself, until its answer's end was passed on",
            Unit::Seconds,
            node_time.clone(),
        );
        let of = |direction: Direction| {
            let direction = direction.as_str();
            let outcome = |outcome: Outcome| {
                calls.get_or_create(&OutcomeLabels { direction, outcome: outcome.as_str() }).clone()
            };
            CallMetrics {
                completed: outcome(Outcome::Completed),
                not_run: outcome(Outcome::NotRun),
                unknown: outcome(Outcome::Unknown),
                duration: duration.get_or_create(&DirectionLabels { direction }).clone(),
                node_time: node_time.get_or_create(&DirectionLabels { direction }).clone(),
            }
        };
        let (inbound, outbound) = (of(Direction::Inbound), of(Direction::Outbound));
        let attempts = Counter::default();
        registry.register("attempts", "Attempts sent to other nodes", attempts.clone());
        let credential_faults = register_credential_faults(&mut registry);
        let connections_refused = Counter::default();
        let help = "Connections closed at once as there were too many";
        registry.register("connections_refused", help, connections_refused.clone());
        let ring_full = Counter::default();
        registry.register(
            "ring_full",
            "Messages between threads that found no room",
            ring_full.clone(),
        );
        let gauges = Gauges::register(&mut registry);
        let allotments = AllotmentMetrics::register(&mut registry);
        Self {
            inbound,
            outbound,
            attempts,
            credential_faults,
            connections_refused,
            ring_full,
            gauges,
            allotments,
            registry,
        }
    }

    fn histogram() -> Histogram {
        Histogram::new(exponential_buckets(
            Self::FIRST_BUCKET_SECONDS,
            Self::BUCKET_FACTOR,
            Self::BUCKETS,
        ))
    }

    /// Records the end of a call.
    pub fn record_call(&self, direction: Direction, outcome: Outcome, duration: Duration) {
        let metrics = self.of(direction);
        match outcome {
            Outcome::Completed => metrics.completed.inc(),
            Outcome::NotRun => metrics.not_run.inc(),
            Outcome::Unknown => metrics.unknown.inc(),
        };
        metrics.duration.observe(duration.as_secs_f64());
    }

    /// Records an attempt sent to another node.
    pub fn record_attempt(&self) {
        self.attempts.inc();
    }

    /// Records a request without a valid key.
    pub fn record_credential_fault(&self, fault: CredentialFault) {
        self.credential_faults.get_or_create(&ReasonLabels { reason: fault.as_str() }).inc();
    }

    /// Records the time that a call spent in the node itself.
    pub fn record_node_time(&self, direction: Direction, time: Duration) {
        self.of(direction).node_time.observe(time.as_secs_f64());
    }

    const fn of(&self, direction: Direction) -> &CallMetrics {
        match direction {
            Direction::Inbound => &self.inbound,
            Direction::Outbound => &self.outbound,
        }
    }

    /// Records a connection that was closed immediately.
    pub fn record_refused_connection(&self) {
        self.connections_refused.inc();
    }

    /// Records a message between threads that was dropped because the ring was full.
    pub fn record_full_ring(&self) {
        self.ring_full.inc();
    }

    /// Records a datagram about allotments.
    pub fn record_datagram(&self, result: DatagramResult) {
        let result = match result {
            DatagramResult::Received => "received",
            DatagramResult::Unreadable => "unreadable",
            DatagramResult::Sent => "sent",
            DatagramResult::Unsent => "unsent",
        };
        self.allotments.datagrams.get_or_create(&ResultLabels { result }).inc();
    }

    /// Sets how many entries of the configuration in force are not served.
    pub fn set_set_aside_entries(&self, count: usize) {
        self.gauges.set_aside_entries.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Encodes all metrics as text.
    pub fn encode_text(&self, summary: &EngineSummary, fleet: Option<&FleetSummary>) -> String {
        self.gauges.set(summary);
        self.allotments.set(&summary.allotments);
        if let Some(fleet) = fleet {
            self.gauges.set_fleet(fleet);
        }
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Gauges {
    fn register(registry: &mut Registry) -> Self {
        let gauges = Self { capacity: CapacityMetrics::register(registry), ..Self::default() };
        let entries = [
            ("calls_in_progress", "Calls in progress", &gauges.calls),
            ("calls_running", "Calls that run at the own upstream", &gauges.running),
            ("calls_waiting", "Calls that wait for the own upstream", &gauges.waiting),
            ("concurrency_limit", "Most calls that run at the own upstream", &gauges.limit),
            ("admission_level", "Rank below which calls are refused", &gauges.level),
            ("idempotency_keys", "Idempotency keys held", &gauges.keys),
            ("members", "Members known", &gauges.members),
            ("config_revision", "Revision of the configuration in force", &gauges.revision),
            (
                "config_entries_set_aside",
                "Entries of the configuration in force that are not served",
                &gauges.set_aside_entries,
            ),
            ("draining", "1 while new calls are refused", &gauges.draining),
            (
                "suspected_requests",
                "Requests that ran when an endpoint ended and were not answered since",
                &gauges.suspected_requests,
            ),
            (
                "quarantined_requests",
                "Requests that are refused because they crashed endpoints",
                &gauges.quarantined_requests,
            ),
            ("store_era", "Times that the store came back from a copy", &gauges.store_era),
        ];
        for (name, help, gauge) in entries {
            registry.register(name, help, gauge.clone());
        }
        let help = "Requests per second that the own upstream accepts; +Inf without a limit";
        registry.register("rate_limit", help, gauges.rate_limit.clone());
        let help = "Time since the configuration was last known to be the latest; +Inf if never";
        let unit = Unit::Seconds;
        registry.register_with_unit("config_verified_age", help, unit, gauges.verified_age.clone());
        gauges
    }

    fn set_fleet(&self, fleet: &FleetSummary) {
        self.store_era.set(i64::try_from(fleet.store_era.get()).unwrap_or(i64::MAX));
        let age = fleet.config_currency.verified_age_ms.map(Duration::from_millis);
        self.verified_age.set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    }

    fn set(&self, summary: &EngineSummary) {
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.calls.set(count(summary.calls));
        self.running.set(count(summary.running));
        self.waiting.set(count(summary.waiting));
        self.limit.set(i64::from(summary.limit.get()));
        self.rate_limit.set(summary.rate_limit_per_s.map_or(f64::INFINITY, RatePerSecond::get));
        self.level.set(i64::from(summary.level.get()));
        self.keys.set(count(summary.keys));
        self.members.set(count(summary.members));
        self.revision.set(i64::try_from(summary.revision.get()).unwrap_or(i64::MAX));
        self.draining.set(i64::from(summary.draining));
        self.suspected_requests.set(count(summary.suspected_requests));
        self.quarantined_requests.set(count(summary.quarantined_requests));
        self.capacity.set(summary);
    }
}

/// Registers the counter of requests without a valid key, with one label for each fault.
fn register_credential_faults(registry: &mut Registry) -> Family<ReasonLabels, Counter> {
    let faults = Family::<ReasonLabels, Counter>::default();
    for fault in CredentialFault::ALL {
        drop(faults.get_or_create(&ReasonLabels { reason: fault.as_str() }));
    }
    let help = "Requests without a valid key of a client account, by reason";
    registry.register("credentials_refused", help, faults.clone());
    faults
}
