use std::collections::BTreeSet;
use std::time::Duration;

use cuminarch_protocol::Member;
use cuminarch_types::{EndpointId, ZoneName};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// What the network does to messages.
#[derive(Clone, Debug, Default)]
pub struct Network {
    /// Part of the messages that is lost.
    pub loss_ratio: f64,
    /// Part of the messages that arrives twice.
    pub duplication_ratio: f64,
    /// Longest delay beside that of the distance.
    pub max_extra_delay: Duration,
    partitioned_zones: BTreeSet<(ZoneName, ZoneName)>,
    blocked_links: BTreeSet<(EndpointId, EndpointId)>,
}

impl Network {
    const SAME_ZONE_DELAY: Duration = Duration::from_micros(500);
    const SAME_REGION_DELAY: Duration = Duration::from_micros(1_500);
    const CROSS_REGION_DELAY: Duration = Duration::from_millis(15);

    /// Cuts two zones from each other.
    pub fn partition_zones(&mut self, left: &ZoneName, right: &ZoneName) {
        self.partitioned_zones.insert((left.clone(), right.clone()));
        self.partitioned_zones.insert((right.clone(), left.clone()));
    }

    /// Cuts one direction between two endpoints.
    pub fn block_link(&mut self, from: &EndpointId, to: &EndpointId) {
        self.blocked_links.insert((from.clone(), to.clone()));
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.partitioned_zones.clear();
        self.blocked_links.clear();
    }

    /// Delays of the copies of a message that arrive.
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
        let mut copies = Vec::new();
        if self.loss_ratio <= 0.0 || rng.random_range(0.0..1.0) >= self.loss_ratio {
            copies.push(self.delay(from, to, rng));
        }
        if self.duplication_ratio > 0.0 && rng.random_range(0.0..1.0) < self.duplication_ratio {
            copies.push(self.delay(from, to, rng));
        }
        copies
    }

    fn delay(&self, from: &Member, to: &Member, rng: &mut ChaCha8Rng) -> Duration {
        let distance = if from.zone == to.zone {
            Self::SAME_ZONE_DELAY
        } else if from.region == to.region {
            Self::SAME_REGION_DELAY
        } else {
            Self::CROSS_REGION_DELAY
        };
        distance + self.max_extra_delay.mul_f64(rng.random_range(0.0..1.0))
    }
}
