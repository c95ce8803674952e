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
    pub loss: f64,
    /// Part of the messages that arrives twice.
    pub repetition: f64,
    /// Longest delay beside that of the distance.
    pub max_extra_delay: Duration,
    cut_zones: BTreeSet<(ZoneName, ZoneName)>,
    cut_links: BTreeSet<(EndpointId, EndpointId)>,
}

impl Network {
    const IN_ZONE: Duration = Duration::from_micros(500);
    const IN_REGION: Duration = Duration::from_micros(1_500);
    const BETWEEN_REGIONS: Duration = Duration::from_millis(15);

    /// Cuts two zones from each other.
    pub fn cut_zones(&mut self, left: &ZoneName, right: &ZoneName) {
        self.cut_zones.insert((left.clone(), right.clone()));
        self.cut_zones.insert((right.clone(), left.clone()));
    }

    /// Cuts one direction between two endpoints.
    pub fn cut_link(&mut self, from: &EndpointId, to: &EndpointId) {
        self.cut_links.insert((from.clone(), to.clone()));
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cut_zones.clear();
        self.cut_links.clear();
    }

    /// Delays of the copies of a message that arrive.
    pub fn deliver(&self, from: &Member, to: &Member, rng: &mut ChaCha8Rng) -> Vec<Duration> {
        let zones = (from.zone.clone(), to.zone.clone());
        let link = (from.endpoint.clone(), to.endpoint.clone());
        if self.cut_zones.contains(&zones) || self.cut_links.contains(&link) {
            return Vec::new();
        }
        let mut copies = Vec::new();
        if self.loss <= 0.0 || rng.random_range(0.0..1.0) >= self.loss {
            copies.push(self.delay(from, to, rng));
        }
        if self.repetition > 0.0 && rng.random_range(0.0..1.0) < self.repetition {
            copies.push(self.delay(from, to, rng));
        }
        copies
    }

    fn delay(&self, from: &Member, to: &Member, rng: &mut ChaCha8Rng) -> Duration {
        let distance = if from.zone == to.zone {
            Self::IN_ZONE
        } else if from.region == to.region {
            Self::IN_REGION
        } else {
            Self::BETWEEN_REGIONS
        };
        distance + self.max_extra_delay.mul_f64(rng.random_range(0.0..1.0))
    }
}
