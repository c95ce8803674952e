use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use cuminarch_attempts::RetryBudgetSettings;
use cuminarch_types::{
    CapacityMode, DisabledMechanisms, EndpointId, RegionName, ServiceName, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::NodeError;

/// Settings of one node, read from YAML.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the fleet.
    pub fleet: CompactString,
    /// The endpoint beside the node.
    pub endpoint: EndpointId,
    /// The service of the endpoint.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Loopback address at which the own upstream calls other services. If `None`, it uses the
    /// address for callers.
    #[serde(default)]
    pub egress_address: Option<SocketAddr>,
    /// Address for calls of other nodes.
    pub data_address: SocketAddr,
    /// Address for control links of other nodes.
    pub control_address: SocketAddr,
    /// Address at which operators get metrics and dumps.
    pub admin_address: SocketAddr,
    /// Address for registrations of the own upstream, if it registers.
    #[serde(default)]
    pub registration_address: Option<SocketAddr>,
    /// Address, besides the operators' one, at which the node reports its readiness.
    #[serde(default)]
    pub readiness_address: Option<SocketAddr>,
    /// Address of the own upstream.
    pub upstream_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Control addresses of other nodes to try while no member is known, for a start while the
    /// platform is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time between the signal to stop and a forced termination in seconds, if the supervisor of
    /// the node sets one; takes precedence over `shutdown_timeout_ms`.
    #[serde(default)]
    pub termination_grace_s: Option<f64>,
    /// Maximum time to wait for calls in flight at shutdown, in milliseconds.
    #[serde(default = "default_shutdown_timeout_ms")]
    pub shutdown_timeout_ms: u64,
    /// Time at shutdown in which callers are still served while they turn to other nodes, in
    /// milliseconds. By default it is 0 without a `readiness_address`, and otherwise the time that
    /// callers take to notice.
    #[serde(default)]
    pub shutdown_linger_ms: Option<u64>,
    /// Maximum time until an accepted configuration is in force on every node, in milliseconds.
    #[serde(default = "default_config_apply_ms")]
    pub config_apply_ms: f64,
    /// Retries of routed calls to a service per request of a caller, over all nodes.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Additional retries of routed calls within a window, over all nodes.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// Length of the window of `retry_slack` in seconds.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// Maximum length of a request body in bytes; longer ones are answered with 413.
    #[serde(default = "default_max_request_body_bytes")]
    pub max_request_body_bytes: u64,
    /// Timeout for the head of a request, and for the idle time before it, in milliseconds.
    #[serde(default = "default_head_timeout_ms")]
    pub head_timeout_ms: u64,
    /// Idle timeout within a body, in milliseconds.
    #[serde(default = "default_body_idle_timeout_ms")]
    pub body_idle_timeout_ms: u64,
    /// Maximum number of connections from callers and peers, and separately from the own upstream.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Whether calls are refused until a configuration is found, instead of served by the safe
    /// defaults, which know no client accounts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub requires_config: bool,
    /// All availability zones of the deployment, in which the allotments of client accounts are
    /// divided equally. Without them, each allotment is held by one node.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<ZoneName>,
    /// Where the capacity of endpoints comes from.
    #[serde(default)]
    pub endpoint_capacity: CapacityMode,
    /// Names of disabled mechanisms.
    #[serde(default, skip_serializing_if = "DisabledMechanisms::is_empty")]
    pub disabled: DisabledMechanisms,
}

const fn default_shutdown_timeout_ms() -> u64 {
    30_000
}

const fn default_retry_ratio() -> f64 {
    0.1
}

const fn default_retry_slack() -> f64 {
    10.0
}

const fn default_retry_window_s() -> f64 {
    10.0
}

/// Bound for fleets of the size that the design supports.
const fn default_config_apply_ms() -> f64 {
    12_000.0
}

const fn default_max_request_body_bytes() -> u64 {
    1024 * 1024 * 1024
}

const fn default_head_timeout_ms() -> u64 {
    30_000
}

const fn default_body_idle_timeout_ms() -> u64 {
    60_000
}

const fn default_max_connections() -> usize {
    4_096
}

impl NodeSettings {
    const MAX_TIMEOUT_MS: u64 = 3_600_000;
    const MAX_FLEET_BYTES: usize = 64;
    /// Time before a forced termination at which the node stops itself; its threads need this time
    /// to end one after the other.
    const TERMINATION_MARGIN: Duration = Duration::from_millis(400);
    const MAX_GRACE_S: f64 = 3_600.0;
    /// Allowed range of `config_apply_ms` and `retry_window_s` in milliseconds. Below the minimum,
    /// a few round trips between zones and the store would take up too much of the time.
    const ALLOWED_BOUNDS_MS: (f64, f64) = (250.0, 3_600_000.0);
    /// Time until callers turn to other nodes after a node reports that it is not ready: the
    /// platform checks once a second, it takes two checks, and the result has to spread.
    const READINESS_NOTICE_DELAY: Duration = Duration::from_millis(2_500);
    /// Maximum fraction of the shutdown timeout for callers to turn to other nodes; the rest is for
    /// the calls in flight.
    const MAX_LINGER_FRACTION: f64 = 0.45;

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns an error with the location and cause: the first error of the YAML, or all errors of
    /// its values.
    pub fn parse(text: &str) -> Result<Self, NodeError> {
        let settings: Self = serde_saphyr::from_str(text)
            .map_err(|error| NodeError::Settings { reason: error.to_string() })?;
        let errors = settings.field_errors();
        if errors.is_empty() {
            return Ok(settings);
        }
        let lines: Vec<String> = errors.iter().map(|error| error.describe(text)).collect();
        Err(NodeError::Settings { reason: lines.join("\n") })
    }

    /// Returns the maximum time to wait for calls in flight at shutdown.
    #[must_use]
    pub fn shutdown_timeout(&self) -> Duration {
        let grace = self.termination_grace_s.map(Duration::from_secs_f64);
        grace.map_or(Duration::from_millis(self.shutdown_timeout_ms), |grace| {
            grace.saturating_sub(Self::TERMINATION_MARGIN)
        })
    }

    /// Returns the time at shutdown in which callers are still served while they turn to other
    /// nodes.
    #[must_use]
    pub fn shutdown_linger(&self) -> Duration {
        let timeout = self.shutdown_timeout();
        match (self.shutdown_linger_ms, self.readiness_address) {
            (Some(linger_ms), _) => Duration::from_millis(linger_ms),
            (None, None) => Duration::ZERO,
            (None, Some(_)) => {
                Self::READINESS_NOTICE_DELAY.min(timeout.mul_f64(Self::MAX_LINGER_FRACTION))
            }
        }
    }

    /// Returns the maximum time until an accepted configuration is in force on every node.
    #[must_use]
    pub fn config_apply_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.config_apply_ms / 1_000.0)
    }

    /// Returns the limits on retries of routed calls.
    #[must_use]
    pub fn retry_budget(&self) -> RetryBudgetSettings {
        let window = Duration::from_secs_f64(self.retry_window_s);
        RetryBudgetSettings::new(self.retry_ratio, self.retry_slack, window)
    }

    fn field_errors(&self) -> Vec<FieldError> {
        let mut errors = self.address_errors();
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let fleet = self.fleet.as_bytes();
        if fleet.is_empty() || fleet.len() > Self::MAX_FLEET_BYTES {
            errors.push(FieldError::new("fleet", "must have 1 to 64 bytes"));
        } else if !fleet.iter().copied().all(is_allowed) {
            let reason = "only ASCII letters, digits, '-', '_' and '.' are allowed";
            errors.push(FieldError::new("fleet", reason));
        }
        let timeouts = [
            ("shutdown_timeout_ms", self.shutdown_timeout_ms),
            ("head_timeout_ms", self.head_timeout_ms),
            ("body_idle_timeout_ms", self.body_idle_timeout_ms),
        ];
        for (field, timeout_ms) in timeouts {
            if !(1..=Self::MAX_TIMEOUT_MS).contains(&timeout_ms) {
                let reason = format!("must be 1 to {}", Self::MAX_TIMEOUT_MS);
                errors.push(FieldError::new(field, reason));
            }
        }
        if !self.termination_grace_s.is_none_or(|grace| (0.0..=Self::MAX_GRACE_S).contains(&grace))
        {
            let reason = format!("must be 0 to {}", Self::MAX_GRACE_S);
            errors.push(FieldError::new("termination_grace_s", reason));
        }
        errors.extend(self.zones_error());
        let (shortest_ms, longest_ms) = Self::ALLOWED_BOUNDS_MS;
        let bounds = [
            ("config_apply_ms", self.config_apply_ms, 1.0),
            ("retry_window_s", self.retry_window_s, 1_000.0),
        ];
        for (field, bound, unit_ms) in bounds {
            if !(shortest_ms..=longest_ms).contains(&(bound * unit_ms)) {
                let (shortest, longest) = (shortest_ms / unit_ms, longest_ms / unit_ms);
                let reason = format!("must be {shortest} to {longest}");
                errors.push(FieldError::new(field, reason));
            }
        }
        let numbers = [("retry_ratio", self.retry_ratio), ("retry_slack", self.retry_slack)];
        for (field, number) in numbers {
            if !number.is_finite() || number < 0.0 {
                errors.push(FieldError::new(field, "must be a number from 0"));
            }
        }
        if let Some(linger_ms) = self.shutdown_linger_ms
            && errors.is_empty()
            && Duration::from_millis(linger_ms) >= self.shutdown_timeout()
        {
            let timeout_ms = self.shutdown_timeout().as_millis();
            let reason = format!("leaves no time for calls in flight: {timeout_ms} ms in all");
            errors.push(FieldError::new("shutdown_linger_ms", reason));
        }
        if self.max_request_body_bytes == 0 {
            errors.push(FieldError::new("max_request_body_bytes", "must be at least 1"));
        }
        if self.max_connections == 0 {
            errors.push(FieldError::new("max_connections", "must be at least 1"));
        }
        errors
    }

    fn zones_error(&self) -> Option<FieldError> {
        let mut seen = BTreeSet::new();
        let repeated = self.zones.iter().find(|zone| !seen.insert(*zone));
        let is_own_missing = !seen.is_empty() && !seen.contains(&self.zone);
        let reason = match repeated {
            Some(zone) => format!("{zone} is listed twice"),
            None if is_own_missing => format!("the own zone {} is missing", self.zone),
            None => return None,
        };
        Some(FieldError::new("zones", reason))
    }

    fn address_errors(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        if let Some(address) = self.egress_address.filter(|address| !address.ip().is_loopback()) {
            let reason = format!("{address} is not loopback");
            errors.push(FieldError::new("egress_address", reason));
        }
        let targets = [
            ("upstream_address", self.upstream_address),
            ("platform_address", self.platform_address),
        ];
        for (field, address) in targets {
            if address.port() == 0 {
                errors.push(FieldError::new(field, "needs a port"));
            }
        }
        let listened = self.listen_addresses();
        for (index, (field, address)) in listened.iter().enumerate() {
            let mut others = listened[..index].iter();
            if let Some((other, _)) = others.find(|(_, other)| is_conflicting(*address, *other)) {
                errors.push(FieldError::new(field, format!("{address} conflicts with {other}")));
            }
        }
        for (field, address) in targets {
            let mut own = listened.iter();
            if let Some((other, _)) = own.find(|(_, other)| is_conflicting(address, *other)) {
                let reason = format!("{address} is the node's own {other}");
                errors.push(FieldError::new(field, reason));
            }
        }
        errors
    }

    fn listen_addresses(&self) -> Vec<(&'static str, SocketAddr)> {
        let addresses = [
            ("caller_address", Some(self.caller_address)),
            ("egress_address", self.egress_address),
            ("data_address", Some(self.data_address)),
            ("control_address", Some(self.control_address)),
            ("admin_address", Some(self.admin_address)),
            ("registration_address", self.registration_address),
            ("readiness_address", self.readiness_address),
        ];
        let is_set = |(field, address): (_, Option<SocketAddr>)| Some((field, address?));
        addresses.into_iter().filter_map(is_set).collect()
    }
}

/// Returns `true` if two sockets cannot listen at the same time; port 0 never conflicts.
fn is_conflicting(one: SocketAddr, other: SocketAddr) -> bool {
    let is_same_host =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    is_same_host && one.port() == other.port() && one.port() != 0
}

/// A value that is out of range or conflicts with another.
struct FieldError {
    field: &'static str,
    reason: String,
}

impl FieldError {
    fn new(field: &'static str, reason: impl Into<String>) -> Self {
        Self { field, reason: reason.into() }
    }

    /// Returns the error with the line of its field, if the text contains the field.
    fn describe(&self, text: &str) -> String {
        let is_field = |line: &str| {
            line.strip_prefix(self.field).is_some_and(|rest| rest.trim_start().starts_with(':'))
        };
        match text.lines().position(is_field) {
            Some(index) => format!("line {}: {}: {}", index + 1, self.field, self.reason),
            None => format!("{}: {}", self.field, self.reason),
        }
    }
}
