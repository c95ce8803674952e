use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use cuminarch_attempts::RetryBudgetSettings;
use cuminarch_types::{DisabledMechanisms, EndpointId, RegionName, ServiceName, ZoneName};
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
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the own upstream connects to call other services; loopback. None if
    /// it connects where callers do.
    #[serde(default)]
    pub egress_address: Option<SocketAddr>,
    /// Where other nodes connect with calls.
    pub data_address: SocketAddr,
    /// Where other nodes connect for control.
    pub control_address: SocketAddr,
    /// Where operators connect for metrics and dumps.
    pub admin_address: SocketAddr,
    /// Where the own upstream registers, if it does.
    #[serde(default)]
    pub registration_address: Option<SocketAddr>,
    /// Where the node says whether it takes calls, besides the operators' address.
    #[serde(default)]
    pub readiness_address: Option<SocketAddr>,
    /// Where the own upstream listens.
    pub upstream_address: SocketAddr,
    /// Where the platform's object API listens.
    pub platform_address: SocketAddr,
    /// Control addresses of other nodes to try while no member is known, for
    /// starts while the platform is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time between the signal to stop and the end by force in seconds, where
    /// whoever runs the node sets one; goes before `shutdown_timeout_ms`.
    #[serde(default)]
    pub termination_grace_s: Option<f64>,
    /// Longest time to wait for calls in flight at shutdown, in milliseconds.
    #[serde(default = "default_shutdown_timeout_ms")]
    pub shutdown_timeout_ms: u64,
    /// Time at shutdown in which callers are still served while they turn
    /// elsewhere, in milliseconds. If it is not given, that is none for a node that is
    /// not asked whether it is ready, and else as long as callers take to notice.
    #[serde(default)]
    pub shutdown_linger_ms: Option<u64>,
    /// Time in which an accepted configuration has to be in force on every node, in
    /// milliseconds.
    #[serde(default = "default_config_apply_ms")]
    pub config_apply_ms: f64,
    /// Repeats of routed calls towards a service, for each request of a caller,
    /// over all nodes.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Further repeats of routed calls within a window, over all nodes.
    #[serde(default = "default_retry_slack")]
    pub retry_slack: f64,
    /// Length of that window in seconds.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// Longest request body in bytes; longer ones are answered with 413.
    #[serde(default = "default_max_request_body_bytes")]
    pub max_request_body_bytes: u64,
    /// Longest time for the head of a request, and for the pause before it, in milliseconds.
    #[serde(default = "default_head_timeout_ms")]
    pub head_timeout_ms: u64,
    /// Longest pause within a body, in milliseconds.
    #[serde(default = "default_body_idle_timeout_ms")]
    pub body_idle_timeout_ms: u64,
    /// Most connections from callers and peers, and most from the own upstream.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Mechanisms that are switched off, by name.
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

/// Bound of the size that the design is made for.
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
    /// Time before the end by force by which the node ends itself; enough for its
    /// threads to end one after the other.
    const TERMINATION_MARGIN: Duration = Duration::from_millis(400);
    const MAX_GRACE_S: f64 = 3_600.0;
    /// Shortest and longest bounds in milliseconds of the configuration and of repeats.
    /// Below the first, a few round trips between zones and the store take too much of
    /// them.
    const ALLOWED_BOUNDS_MS: (f64, f64) = (250.0, 3_600_000.0);
    /// Time after which callers turn elsewhere once a node says that it is not ready:
    /// the platform asks once a second, twice, and its answers have to spread.
    const READINESS_NOTICE_DELAY: Duration = Duration::from_millis(2_500);
    /// Part of the time to stop that callers have at most to turn elsewhere; the rest is
    /// for the calls in flight.
    const MAX_LINGER_FRACTION: f64 = 0.45;

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Fails with place and cause when the text is not usable: with the first
    /// fault of the YAML, or else with all contradictions between values.
    pub fn parse(text: &str) -> Result<Self, NodeError> {
        let settings: Self = serde_saphyr::from_str(text)
            .map_err(|error| NodeError::Settings { reason: error.to_string() })?;
        let faults = settings.field_errors();
        if faults.is_empty() {
            return Ok(settings);
        }
        let lines: Vec<String> = faults.iter().map(|fault| fault.describe(text)).collect();
        Err(NodeError::Settings { reason: lines.join("\n") })
    }

    /// Longest time to wait for calls in flight at shutdown.
    #[must_use]
    pub fn shutdown_timeout(&self) -> Duration {
        let grace = self.termination_grace_s.map(Duration::from_secs_f64);
        grace.map_or(Duration::from_millis(self.shutdown_timeout_ms), |grace| {
            grace.saturating_sub(Self::TERMINATION_MARGIN)
        })
    }

    /// Time at shutdown in which callers are still served while they turn elsewhere.
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

    /// Time in which an accepted configuration has to be in force on every node.
    #[must_use]
    pub fn config_apply_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.config_apply_ms / 1_000.0)
    }

    /// Bounds of the repeats of routed calls.
    #[must_use]
    pub fn retry_budget(&self) -> RetryBudgetSettings {
        let window = Duration::from_secs_f64(self.retry_window_s);
        RetryBudgetSettings::new(self.retry_ratio, self.retry_slack, window)
    }

    fn field_errors(&self) -> Vec<FieldError> {
        let mut faults = self.address_errors();
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let fleet = self.fleet.as_bytes();
        if fleet.is_empty() || fleet.len() > Self::MAX_FLEET_BYTES {
            faults.push(FieldError::new("fleet", "must have 1 to 64 bytes"));
        } else if !fleet.iter().copied().all(is_allowed) {
            let reason = "only ASCII letters, digits, '-', '_' and '.' are allowed";
            faults.push(FieldError::new("fleet", reason));
        }
        let timeouts = [
            ("shutdown_timeout_ms", self.shutdown_timeout_ms),
            ("head_timeout_ms", self.head_timeout_ms),
            ("body_idle_timeout_ms", self.body_idle_timeout_ms),
        ];
        for (field, timeout_ms) in timeouts {
            if !(1..=Self::MAX_TIMEOUT_MS).contains(&timeout_ms) {
                let reason = format!("must be 1 to {}", Self::MAX_TIMEOUT_MS);
                faults.push(FieldError::new(field, reason));
            }
        }
        if !self.termination_grace_s.is_none_or(|grace| (0.0..=Self::MAX_GRACE_S).contains(&grace))
        {
            let reason = format!("must be 0 to {}", Self::MAX_GRACE_S);
            faults.push(FieldError::new("termination_grace_s", reason));
        }
        let (shortest_ms, longest_ms) = Self::ALLOWED_BOUNDS_MS;
        let bounds = [
            ("config_apply_ms", self.config_apply_ms, 1.0),
            ("retry_window_s", self.retry_window_s, 1_000.0),
        ];
        for (field, bound, unit_ms) in bounds {
            if !(shortest_ms..=longest_ms).contains(&(bound * unit_ms)) {
                let (shortest, longest) = (shortest_ms / unit_ms, longest_ms / unit_ms);
                let reason = format!("must be {shortest} to {longest}");
                faults.push(FieldError::new(field, reason));
            }
        }
        let shares = [("retry_ratio", self.retry_ratio), ("retry_slack", self.retry_slack)];
        for (field, share) in shares {
            if !share.is_finite() || share < 0.0 {
                faults.push(FieldError::new(field, "must be a number from 0"));
            }
        }
        if let Some(linger_ms) = self.shutdown_linger_ms
            && faults.is_empty()
            && Duration::from_millis(linger_ms) >= self.shutdown_timeout()
        {
            let timeout_ms = self.shutdown_timeout().as_millis();
            let reason = format!("leaves no time for calls in flight: {timeout_ms} ms in all");
            faults.push(FieldError::new("shutdown_linger_ms", reason));
        }
        if self.max_request_body_bytes == 0 {
            faults.push(FieldError::new("max_request_body_bytes", "must be at least 1"));
        }
        if self.max_connections == 0 {
            faults.push(FieldError::new("max_connections", "must be at least 1"));
        }
        faults
    }

    fn address_errors(&self) -> Vec<FieldError> {
        let mut faults = Vec::new();
        if let Some(address) = self.egress_address.filter(|address| !address.ip().is_loopback()) {
            let reason = format!("{address} is not loopback");
            faults.push(FieldError::new("egress_address", reason));
        }
        let targets = [
            ("upstream_address", self.upstream_address),
            ("platform_address", self.platform_address),
        ];
        for (field, address) in targets {
            if address.port() == 0 {
                faults.push(FieldError::new(field, "needs a port"));
            }
        }
        let listened = self.listen_addresses();
        for (index, (field, address)) in listened.iter().enumerate() {
            let mut others = listened[..index].iter();
            if let Some((other, _)) = others.find(|(_, other)| is_conflicting(*address, *other)) {
                faults.push(FieldError::new(field, format!("{address} conflicts with {other}")));
            }
        }
        for (field, address) in targets {
            let mut own = listened.iter();
            if let Some((other, _)) = own.find(|(_, other)| is_conflicting(address, *other)) {
                let reason = format!("{address} is the node's own {other}");
                faults.push(FieldError::new(field, reason));
            }
        }
        faults
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

/// Whether two sockets can't be listened on at once; port 0 takes a free port.
fn is_conflicting(one: SocketAddr, other: SocketAddr) -> bool {
    let is_same_host =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    is_same_host && one.port() == other.port() && one.port() != 0
}

/// A value that contradicts another or is out of range.
struct FieldError {
    field: &'static str,
    reason: String,
}

impl FieldError {
    fn new(field: &'static str, reason: impl Into<String>) -> Self {
        Self { field, reason: reason.into() }
    }

    /// The fault with the line of its field, if the text names it.
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
