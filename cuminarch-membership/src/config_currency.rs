use std::fmt;

use cuminarch_types::EndpointId;
use serde::Serialize;

/// Where a node learned something about the configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub enum ConfigSource {
    /// The platform's store itself.
    Store,
    /// Another member.
    Member(EndpointId),
}

impl ConfigSource {
    /// Creates the source for a message from `member`, or the store if there is none.
    #[must_use]
    pub fn new(member: Option<&EndpointId>) -> Self {
        member.map_or(Self::Store, |member| Self::Member(member.clone()))
    }
}

impl fmt::Display for ConfigSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Member(member) => write!(formatter, "{member}"),
        }
    }
}

/// What a node knows about whether its configuration is the latest.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ConfigCurrency {
    /// Time since the store was last known to hold no newer configuration, in milliseconds;
    /// `None` if it has not been known since the start.
    pub verified_age_ms: Option<u64>,
    /// Where that was learned.
    pub verified_by: Option<ConfigSource>,
    /// Own reads of the configuration since then.
    pub reads: u32,
    /// Those of the reads that failed.
    pub failed_reads: u32,
}

impl fmt::Display for ConfigCurrency {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.verified_age_ms {
            Some(age_ms) => write!(formatter, "verified_age_ms={age_ms}")?,
            None => formatter.write_str("verified_age_ms=-")?,
        }
        match &self.verified_by {
            Some(source) => write!(formatter, " verified_by={source}")?,
            None => formatter.write_str(" verified_by=-")?,
        }
        write!(formatter, " reads={} failed_reads={}", self.reads, self.failed_reads)
    }
}
