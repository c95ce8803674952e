use std::collections::BTreeSet;
use std::time::Duration;

use cuminarch_admission::{Admission, AdmissionControl, AdmissionSettings, SlotAdmission};
use cuminarch_attempts::RetryBudgetSettings;
use cuminarch_once::KeyTableSettings;
use cuminarch_types::{
    CapacityMode, DisabledMechanisms, EndpointId, Incarnation, RegionName, ServiceName, ZoneName,
};

/// How requests are admitted to the local upstream.
#[derive(Clone, Copy, Debug)]
pub enum AdmissionKind {
    /// By a limit that adapts to measured latencies.
    Adaptive(AdmissionSettings),
    /// By the number of slots that the upstream registers.
    Slots,
}

impl AdmissionKind {
    pub(crate) fn build(
        self,
        disabled: &DisabledMechanisms,
        capacity: CapacityMode,
    ) -> Box<dyn AdmissionControl> {
        match self {
            Self::Adaptive(settings) => Box::new(Admission::new(settings)),
            Self::Slots => {
                let admission = SlotAdmission::new().with_disabled(disabled.clone());
                Box::new(admission.with_capacity_mode(capacity))
            }
        }
    }
}

/// Identity of the node, and the limits of its components.
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
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Seed of the random choices.
    pub seed: u64,
    /// How requests are admitted.
    pub admission: AdmissionKind,
    /// Limits for retries of routed calls, over all nodes together.
    pub retry_budget: RetryBudgetSettings,
    /// Limits of the key table.
    pub keys: KeyTableSettings,
    /// Mechanisms that are switched off.
    pub disabled: DisabledMechanisms,
    /// Where the capacity of endpoints comes from.
    pub capacity: CapacityMode,
    /// All availability zones of the deployment, in which allotments are divided.
    pub zones: BTreeSet<ZoneName>,
}

impl EngineSettings {
    /// One retry per ten requests, plus ten retries in ten seconds.
    const DEFAULT_RETRY_BUDGET: RetryBudgetSettings =
        RetryBudgetSettings::new(0.1, 10.0, Duration::from_secs(10));

    /// Creates settings with default limits, incarnation 1 and seed 1.
    #[must_use]
    pub fn new(
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
            admission: AdmissionKind::Adaptive(AdmissionSettings::new()),
            retry_budget: Self::DEFAULT_RETRY_BUDGET,
            keys: KeyTableSettings::new(),
            disabled: DisabledMechanisms::default(),
            capacity: CapacityMode::default(),
            zones: BTreeSet::new(),
        }
    }

    /// Sets where the capacity of endpoints comes from.
    #[must_use]
    pub const fn with_capacity(mut self, capacity: CapacityMode) -> Self {
        self.capacity = capacity;
        self
    }

    /// Sets the zones in which allotments are divided.
    #[must_use]
    pub fn with_zones(mut self, zones: BTreeSet<ZoneName>) -> Self {
        self.zones = zones;
        self
    }

    /// Switches mechanisms off.
    #[must_use]
    pub fn with_disabled(mut self, disabled: DisabledMechanisms) -> Self {
        self.disabled = disabled;
        self
    }

    /// Sets the incarnation.
    #[must_use]
    pub fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the seed of the random choices.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Admits requests by an adaptive limit with these settings.
    #[must_use]
    pub fn with_admission(mut self, admission: AdmissionSettings) -> Self {
        self.admission = AdmissionKind::Adaptive(admission);
        self
    }

    /// Admits requests by the slots that the upstream registers.
    #[must_use]
    pub fn with_slot_admission(mut self) -> Self {
        self.admission = AdmissionKind::Slots;
        self
    }

    /// Sets the limits for retries of routed calls.
    #[must_use]
    pub fn with_retry_budget(mut self, retry_budget: RetryBudgetSettings) -> Self {
        self.retry_budget = retry_budget;
        self
    }

    /// Sets the limits of the key table.
    #[must_use]
    pub fn with_keys(mut self, keys: KeyTableSettings) -> Self {
        self.keys = keys;
        self
    }
}
