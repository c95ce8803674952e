use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

/// Settings of a [`Fleet`](crate::Fleet).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet; hello messages of other fleets are ignored.
    pub fleet: CompactString,
    /// Seed of the random number generator for jitter.
    pub seed: u64,
    /// Control addresses to contact until a first message arrives.
    pub seeds: Vec<SocketAddr>,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a message after which a relay asks the other relays about a member.
    pub silence_timeout: Duration,
    /// Time that other relays have to answer about a silent member.
    pub vote_timeout: Duration,
    /// Time that a suspected member has to refute the suspicion.
    pub refute_timeout: Duration,
    /// Time for which the entry of a member that has gone is kept.
    pub tombstone_ttl: Duration,
    /// Time limit for an accepted configuration to be in force on every node.
    pub config_apply: Duration,
}

impl FleetSettings {
    /// Creates the default settings for a fleet of this name.
    #[must_use]
    pub fn new(fleet: impl Into<CompactString>) -> Self {
        Self {
            fleet: fleet.into(),
            seed: 0,
            seeds: Vec::new(),
            heartbeat_interval: Duration::from_secs(1),
            silence_timeout: Duration::from_secs(3),
            vote_timeout: Duration::from_secs(1),
            refute_timeout: Duration::from_secs(4),
            tombstone_ttl: Duration::from_secs(3_600),
            config_apply: Duration::from_secs(2),
        }
    }

    /// Sets the seed of the random number generator.
    #[must_use]
    pub const fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the time limit for an accepted configuration to be in force on every node.
    #[must_use]
    pub const fn with_config_apply(mut self, config_apply: Duration) -> Self {
        self.config_apply = config_apply;
        self
    }

    /// Sets the control addresses to contact until a first message arrives.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }
}
