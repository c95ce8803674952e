use cuminarch_types::{AccountName, ApiKey, ClassName, RatePerSecond};
use serde::{Deserialize, Serialize};

/// A client account: who sends a request, by the key that it carries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AccountEntry {
    /// Name of the account.
    pub name: AccountName,
    /// Keys of the account; none of them belongs to another one.
    pub keys: Vec<ApiKey>,
    /// Class of its requests, instead of the route's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<ClassName>,
    /// Requests a second that it may send over all nodes together; 0 for no limit.
    #[serde(default, skip_serializing_if = "is_zero_rate")]
    pub rate_per_s: RatePerSecond,
    /// Requests that it may send at once, beyond the rate.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub burst_requests: u32,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero_rate(rate: &RatePerSecond) -> bool {
    *rate == RatePerSecond::default()
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
const fn is_zero(count: &u32) -> bool {
    *count == 0
}
