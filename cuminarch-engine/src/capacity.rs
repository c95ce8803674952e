//! What is learned of the capacity of the local upstream and of other endpoints, for operators.

use cuminarch_routing::SpeedChange;
use cuminarch_types::{ConcurrencyLimit, EndpointId, MonoTime};
use serde::Serialize;

use crate::Engine;

/// What a node believes of the capacity of another endpoint.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EndpointCapacity {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Requests that it runs concurrently at most, as it reported last.
    pub limit: ConcurrencyLimit,
    /// Its speed relative to the mean of its service, in thousandths, as assumed now.
    pub speed_milli: u32,
    /// Time since its last report, in milliseconds.
    pub age_ms: u64,
}

/// A belief that changed by more than a fifth.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CapacityChange {
    /// The learned limit of the local upstream.
    OwnLimit {
        /// The limit until now.
        previous: ConcurrencyLimit,
        /// The limit from now on.
        current: ConcurrencyLimit,
        /// Part of the evidence that the limit needs, in thousandths.
        confidence_milli: u32,
    },
    /// The speed of another endpoint relative to its service.
    Speed {
        /// The endpoint.
        endpoint: EndpointId,
        /// The speed until now, in thousandths.
        previous_milli: u32,
        /// The speed from now on, in thousandths.
        current_milli: u32,
    },
}

impl Engine {
    /// Changes of beliefs kept for the driver.
    const MAX_CAPACITY_CHANGES: usize = 64;

    /// Returns the changes of beliefs since the last call.
    pub fn take_capacity_changes(&mut self) -> Vec<CapacityChange> {
        self.note_own_limit();
        std::mem::take(&mut self.capacity_changes)
    }

    /// Returns what is believed of the endpoints that have reported their capacity.
    pub(crate) fn endpoint_capacities(&self, now: MonoTime) -> Vec<EndpointCapacity> {
        let beliefs = self.router.capacity_beliefs(now);
        beliefs
            .map(|belief| EndpointCapacity {
                endpoint: belief.endpoint.clone(),
                limit: belief.limit,
                speed_milli: belief.speed_milli,
                age_ms: u64::try_from(belief.age.as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }

    /// Notes a change of the speed of another endpoint for the driver. A driver that does not ask
    /// for changes misses the later ones.
    pub(crate) fn note_speed(&mut self, endpoint: &EndpointId, change: Option<SpeedChange>) {
        let Some(change) = change else { return };
        if self.capacity_changes.len() < Self::MAX_CAPACITY_CHANGES {
            self.capacity_changes.push(CapacityChange::Speed {
                endpoint: endpoint.clone(),
                previous_milli: change.previous_milli,
                current_milli: change.current_milli,
            });
        }
    }

    fn note_own_limit(&mut self) {
        let Some(learned) = self.admission.learned_capacity() else { return };
        let previous = *self.noted_limit.get_or_insert(learned.limit);
        let difference = previous.get().abs_diff(learned.limit.get());
        if difference * 5 > previous.get() {
            self.noted_limit = Some(learned.limit);
            self.capacity_changes.push(CapacityChange::OwnLimit {
                previous,
                current: learned.limit,
                confidence_milli: learned.confidence_milli,
            });
        }
    }
}
