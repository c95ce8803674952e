use std::time::Duration;

use cuminarch_types::{ConcurrencyLimit, EndpointId};

/// What this node believes of the capacity of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityBelief<'a> {
    /// The endpoint.
    pub endpoint: &'a EndpointId,
    /// Requests that it runs concurrently at most, as it reported last.
    pub limit: ConcurrencyLimit,
    /// Its speed relative to the mean of its service, in thousandths, as assumed now.
    pub speed_milli: u32,
    /// Time since its last report.
    pub age: Duration,
}
