use cuminarch_types::{InstanceId, LifetimeDigest, RatePerSecond};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One lifetime of an upstream, from its start to its end.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct UpstreamLifetime {
    /// Its instance id, which a restarted upstream may keep.
    pub instance: InstanceId,
    /// Start time in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

impl UpstreamLifetime {
    /// Returns the digest that tells this lifetime from others.
    #[must_use]
    pub fn digest(&self) -> LifetimeDigest {
        let seed = self.started_at_ms;
        LifetimeDigest::new(xxh3_64_with_seed(self.instance.as_str().as_bytes(), seed))
    }
}

/// What an upstream states about itself in the head of an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamSignals {
    /// Requests that it accepts from all nodes together; `None` if it states no limit.
    pub rate_limit: Option<RatePerSecond>,
    /// Whether it is shutting down and expects no new requests.
    pub is_leaving: bool,
}
