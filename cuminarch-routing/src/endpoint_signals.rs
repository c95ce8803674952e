use cuminarch_protocol::{UpstreamLifetime, UpstreamSignals};
use cuminarch_types::RatePerSecond;

/// What the answers of an endpoint stated about one lifetime of its upstream.
///
/// It outlives the process of the endpoint's node, which may start again while the upstream
/// continues.
#[derive(Clone, Debug, Default)]
pub struct EndpointSignals {
    /// `None` if the upstream does not register.
    lifetime: Option<UpstreamLifetime>,
    signals: UpstreamSignals,
}

impl EndpointSignals {
    /// Records the signals of an answer by this lifetime. Returns `true` if they changed.
    pub fn record(
        &mut self,
        lifetime: Option<&UpstreamLifetime>,
        signals: &UpstreamSignals,
    ) -> bool {
        if self.lifetime.as_ref() != lifetime {
            *self = Self { lifetime: lifetime.cloned(), signals: UpstreamSignals::default() };
        }
        let has_changed = self.signals != *signals;
        self.signals = *signals;
        has_changed
    }

    /// Returns the rate limit that this lifetime states, if any.
    pub fn rate_limit(&self, lifetime: Option<&UpstreamLifetime>) -> Option<RatePerSecond> {
        self.signals.rate_limit.filter(|_| self.lifetime.as_ref() == lifetime)
    }
}
