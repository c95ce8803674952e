use cuminarch_protocol::{UpstreamLifetime, UpstreamRecord, UpstreamSignals};
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
    /// Records the signals of an answer by this lifetime, unless a later lifetime has answered.
    /// Returns `true` if they changed.
    pub fn record(
        &mut self,
        lifetime: Option<&UpstreamLifetime>,
        signals: &UpstreamSignals,
    ) -> bool {
        let started_at_ms =
            |lifetime: Option<&UpstreamLifetime>| lifetime.map(|lifetime| lifetime.started_at_ms);
        if started_at_ms(lifetime) < started_at_ms(self.lifetime.as_ref()) {
            return false;
        }
        if self.lifetime.as_ref() != lifetime {
            *self = Self { lifetime: lifetime.cloned(), signals: UpstreamSignals::default() };
        }
        // Answers may be read out of order, and a departure is final.
        let is_leaving = self.signals.is_leaving || signals.is_leaving;
        let signals = UpstreamSignals { is_leaving, ..*signals };
        std::mem::replace(&mut self.signals, signals) != signals
    }

    /// Returns `true` if this lifetime is shutting down. An upstream that does not register has no
    /// known lifetimes, so its departure says nothing about the one that follows.
    pub fn is_leaving(&self, upstream: Option<&UpstreamRecord>) -> bool {
        let lifetime = || upstream.and_then(UpstreamRecord::lifetime);
        self.signals.is_leaving && self.lifetime.is_some() && self.lifetime == lifetime()
    }

    /// Returns the rate limit that the upstream states in its current lifetime, if any.
    pub fn rate_limit(&self, upstream: Option<&UpstreamRecord>) -> Option<RatePerSecond> {
        let lifetime = || upstream.and_then(UpstreamRecord::lifetime);
        self.signals.rate_limit.filter(|_| self.lifetime == lifetime())
    }
}
