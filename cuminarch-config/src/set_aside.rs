use compact_str::CompactString;
use cuminarch_types::ApiKey;
use serde::{Deserialize, Serialize};

/// An entry of an accepted configuration that this version cannot serve, and why. The other entries
/// are in force.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SetAsideEntry {
    /// The entry, such as `routes[2]`.
    pub entry: CompactString,
    /// Why it cannot be served; quotes no keys.
    pub reason: String,
    /// Host and path prefix of a route, if they can be read: its requests are refused as not run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<CompactString>,
    /// See `host`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<CompactString>,
    /// Keys of an account that can be read: requests with them are refused as not run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<ApiKey>,
    /// Whether the entry belongs to a client account, so that requests need keys.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_account: bool,
}

impl SetAsideEntry {
    /// Creates an entry without anything that could be read.
    #[must_use]
    pub fn new(entry: impl Into<CompactString>, reason: impl Into<String>) -> Self {
        Self { entry: entry.into(), reason: reason.into(), ..Self::default() }
    }

    /// Sets host and path prefix of a route.
    #[must_use]
    pub fn with_route(
        mut self,
        host: impl Into<CompactString>,
        prefix: impl Into<CompactString>,
    ) -> Self {
        self.host = Some(host.into());
        self.prefix = Some(prefix.into());
        self
    }

    /// Sets the keys of an account.
    #[must_use]
    pub fn with_keys(mut self, keys: Vec<ApiKey>) -> Self {
        self.keys = keys;
        self.is_account = true;
        self
    }
}
