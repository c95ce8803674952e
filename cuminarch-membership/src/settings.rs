use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

/// Settings of a [`Fleet`](crate::Fleet).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet; hellos of other fleets are ignored.
    pub fleet: CompactString,
    /// Seed of the random numbers for jitter.
    pub seed: u64,
    /// Control addresses to try while no member is known.
    pub seeds: Vec<SocketAddr>,
    /// Period of heartbeats.
    pub heartbeat_period: Duration,
    /// Silence after which a relay doubts a member.
    pub silence_timeout: Duration,
    /// Time that other relays have to answer for a member in doubt.
    pub vote_timeout: Duration,
    /// Time that a suspect has to refute the suspicion.
    pub refute_timeout: Duration,
    /// Time for which a member that has gone is remembered.
    pub tombstone_ttl: Duration,
    /// Time in which an accepted configuration has to be in force on every node.
    pub config_apply: Duration,
}

impl FleetSettings {
    /// Settings of a fleet of that name.
    #[must_use]
    pub fn new(fleet: impl Into<CompactString>) -> Self {
        Self {
            fleet: fleet.into(),
            seed: 0,
            seeds: Vec::new(),
            heartbeat_period: Duration::from_secs(1),
            silence_timeout: Duration::from_secs(3),
            vote_timeout: Duration::from_secs(1),
            refute_timeout: Duration::from_secs(4),
            tombstone_ttl: Duration::from_secs(3_600),
            config_apply: Duration::from_secs(2),
        }
    }

    /// Sets the seed of the random numbers.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the time in which an accepted configuration has to be in force.
    #[must_use]
    pub const fn with_config_apply(mut self, config_apply: Duration) -> Self {
        self.config_apply = config_apply;
        self
    }

    /// Sets the addresses to try while no member is known.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }
}
