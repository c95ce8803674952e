use cuminarch_types::{ConcurrencyLimit, Rank, RatePerSecond, Revision};
use serde::Serialize;

use crate::AllotmentSummary;
use crate::EndpointCapacity;

/// State of an engine for dumps and metrics.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EngineSummary {
    /// Calls in progress.
    pub calls: usize,
    /// Calls running at the local upstream.
    pub running: usize,
    /// Calls waiting for the local upstream.
    pub waiting: usize,
    /// Concurrency limit in force.
    pub limit: ConcurrencyLimit,
    /// Requests per second that the local upstream accepts, if it states a limit.
    pub rate_limit_per_s: Option<RatePerSecond>,
    /// Admission level in force.
    pub level: Rank,
    /// Idempotency keys in the table.
    pub keys: usize,
    /// Known members.
    pub members: usize,
    /// Fraction of the load that exceeds the capacity of the local upstream, in thousandths.
    pub shortage_milli: u16,
    /// Part of the evidence that the concurrency limit needs, in thousandths, if it is learned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub capacity_confidence_milli: Option<u32>,
    /// What is believed of the endpoints that have reported their capacity.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub endpoint_capacities: Vec<EndpointCapacity>,
    /// Revision of the policy in force.
    pub revision: Revision,
    /// Whether new calls are refused.
    pub draining: bool,
    /// Allotments of client accounts.
    pub allotments: AllotmentSummary,
    /// Requests that were running when an endpoint ended and have not been answered since.
    pub suspected_requests: usize,
    /// Requests that are refused because they crashed endpoints.
    pub quarantined_requests: usize,
}
