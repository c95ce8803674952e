use cuminarch_admission::AdmissionSettings;
use cuminarch_once::KeyTableSettings;
use cuminarch_types::{EndpointId, Incarnation, RegionName, ServiceName, ZoneName};

/// Who the node is, and the bounds of its parts.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// The endpoint beside the node.
    pub endpoint: EndpointId,
    /// The service of the endpoint.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// This process.
    pub incarnation: Incarnation,
    /// Seed of the random choices.
    pub seed: u64,
    /// Bounds of admission.
    pub admission: AdmissionSettings,
    /// Bounds of the key table.
    pub keys: KeyTableSettings,
}

impl EngineSettings {
    /// Settings with default bounds, incarnation 1 and seed 1.
    #[must_use]
    pub const fn new(
        endpoint: EndpointId,
        service: ServiceName,
        zone: ZoneName,
        region: RegionName,
    ) -> Self {
        Self {
            endpoint,
            service,
            zone,
            region,
            incarnation: Incarnation::new(1),
            seed: 1,
            admission: AdmissionSettings::new(),
            keys: KeyTableSettings::new(),
        }
    }

    /// Sets the incarnation.
    #[must_use]
    pub const fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the seed of the random choices.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the bounds of admission.
    #[must_use]
    pub const fn with_admission(mut self, admission: AdmissionSettings) -> Self {
        self.admission = admission;
        self
    }

    /// Sets the bounds of the key table.
    #[must_use]
    pub const fn with_keys(mut self, keys: KeyTableSettings) -> Self {
        self.keys = keys;
        self
    }
}
