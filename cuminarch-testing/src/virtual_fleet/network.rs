use std::collections::BTreeSet;
use std::time::Duration;

use cuminarch_protocol::Member;
use cuminarch_types::{EndpointId, ZoneName};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Simulated network that delays, loses and duplicates messages.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Fraction of messages that are lost.
    pub loss_ratio: f64,
    /// Fraction of messages that are delivered twice.
    pub duplication_ratio: f64,
    /// Maximum random delay, added to the base delay.
    pub max_extra_delay: Duration,
    partitioned_zones: BTreeSet<(ZoneName, ZoneName)>,
    blocked_links: BTreeSet<(EndpointId, EndpointId)>,
}

impl Network {
    const SAME_ZONE_DELAY: Duration = Duration::from_micros(500);
    const SAME_REGION_DELAY: Duration = Duration::from_micros(1_500);
    const CROSS_REGION_DELAY: Duration = Duration::from_millis(15);

    /// Blocks all messages between two zones.
    pub fn partition_zones(&mut self, left: &ZoneName, right: &ZoneName) {
        self.partitioned_zones.insert((left.clone(), right.clone()));
        self.partitioned_zones.insert((right.clone(), left.clone()));
    }

    /// Blocks messages in one direction between two endpoints.
    pub fn block_link(&mut self, from: &EndpointId, to: &EndpointId) {
        self.blocked_links.insert((from.clone(), to.clone()));
    }

    /// Removes all blocks.
    pub fn heal(&mut self) {
        self.partitioned_zones.clear();
        self.blocked_links.clear();
    }

    /// Returns the delay of each delivered copy of a message; empty if it is lost.
    pub fn delivery_delays(
        &self,
        from: &Member,
        to: &Member,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Duration> {
        let zones = (from.zone.clone(), to.zone.clone());
        let link = (from.endpoint.clone(), to.endpoint.clone());
        if self.partitioned_zones.contains(&zones) || self.blocked_links.contains(&link) {
            return Vec::new();
        }
        let mut delays = Vec::new();
        if self.loss_ratio <= 0.0 || rng.random_range(0.0..1.0) >= self.loss_ratio {
            delays.push(self.delay(from, to, rng));
        }
        if self.duplication_ratio > 0.0 && rng.random_range(0.0..1.0) < self.duplication_ratio {
            delays.push(self.delay(from, to, rng));
        }
        delays
    }

    fn delay(&self, from: &Member, to: &Member, rng: &mut ChaCha8Rng) -> Duration {
        let base_delay = if from.zone == to.zone {
            Self::SAME_ZONE_DELAY
        } else if from.region == to.region {
            Self::SAME_REGION_DELAY
        } else {
            Self::CROSS_REGION_DELAY
        };
        base_delay + self.max_extra_delay.mul_f64(rng.random_range(0.0..1.0))
    }
}
