use compact_str::CompactString;
use cuminarch_types::{ClassName, RouteName, ServiceName};
use serde::{Deserialize, Serialize};

/// A destination of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DestinationEntry {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the other weights of the route.
    pub weight: u32,
}

/// Assigns requests for a host and path prefix to services.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: RouteName,
    /// Host of the requests.
    pub host: CompactString,
    /// Path prefix that begins and ends with a slash; the longest match applies.
    pub prefix: CompactString,
    /// Class of the requests.
    pub class: ClassName,
    /// Services that receive the requests.
    pub destinations: Vec<DestinationEntry>,
    /// Whether a request may run more than once without harm.
    pub idempotent: bool,
    /// Maximum time that a caller waits for an answer, in milliseconds.
    pub deadline_ms: u64,
    /// Latency objective: time within which an answer is fully useful, in milliseconds.
    pub objective_ms: u64,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_endpoints: u32,
    /// Whether requests need no key of a client account.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub max_head_bytes: u64,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: u64,
    /// Maximum time to receive a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum idle time of a connection between requests, in milliseconds.
    pub idle_timeout_ms: u64,
}
