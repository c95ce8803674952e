use serde::{Deserialize, Serialize};

use crate::RatePerSecond;

/// Requests that a client account may send over all nodes together.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Allotment {
    /// Sustained rate.
    pub rate: RatePerSecond,
    /// Requests that may be sent at once, beyond the rate.
    pub burst_requests: u32,
}
