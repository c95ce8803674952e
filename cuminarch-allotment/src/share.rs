use std::time::Duration;

use cuminarch_types::Allotment;

use crate::bounds::{MAX_LIFETIME, MAX_SHARDS, MIN_LIFETIME, SHARD_RATE_PER_S};
use crate::held_part::TOKEN_MICRO;

const MICRO: f64 = 1_000_000.0;

/// How an allotment is divided, and the size of one part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Share {
    /// Zones with a part. With a burst below the number of zones not every zone has one, so that
    /// each part can hold a whole token.
    pub zones: usize,
    /// Parts in each of these zones; a power of two.
    pub shards: u8,
    /// Refill of a part in millionths of a request per second.
    pub rate_micro_per_s: u64,
    /// Burst of a part in millionths of a request.
    pub burst_micro: u64,
    /// Lifetime of tokens that are handed out.
    pub lifetime: Duration,
}

impl Share {
    pub(crate) fn new(limit: Allotment, zones: usize) -> Self {
        let burst = limit.burst_requests.max(1);
        let zones = zones.max(1).min(usize::try_from(burst).unwrap_or(usize::MAX));
        let zone_rate = limit.rate.get() / zones as f64;
        let zone_burst = f64::from(limit.burst_requests) / zones as f64;
        let mut shards = 1;
        while shards < MAX_SHARDS
            && zone_rate / f64::from(shards) >= SHARD_RATE_PER_S
            && zone_burst / f64::from(shards) >= SHARD_RATE_PER_S / 4.0
        {
            shards *= 2;
        }
        let rate = zone_rate / f64::from(shards);
        let burst = zone_burst / f64::from(shards);
        Self {
            zones,
            shards,
            rate_micro_per_s: (rate * MICRO) as u64,
            burst_micro: (burst * MICRO) as u64,
            lifetime: lifetime(rate, burst),
        }
    }

    /// Returns whether a part is at least as large as one of `other`.
    pub(crate) const fn covers(&self, other: &Self) -> bool {
        self.rate_micro_per_s >= other.rate_micro_per_s && self.burst_micro >= other.burst_micro
    }

    /// Returns the larger rate and burst of two parts.
    pub(crate) fn larger(&self, other: &Self) -> Self {
        Self {
            rate_micro_per_s: self.rate_micro_per_s.max(other.rate_micro_per_s),
            burst_micro: self.burst_micro.max(other.burst_micro),
            ..*self
        }
    }

    /// Returns the time in which the whole allotment refills by one request.
    pub(crate) fn token_time(&self) -> Duration {
        self.refill_time(TOKEN_MICRO) / u32::try_from(self.parts()).unwrap_or(1)
    }

    /// Returns the number of parts.
    pub(crate) fn parts(&self) -> usize {
        self.zones * usize::from(self.shards)
    }

    /// Returns the time in which a part refills by `micro`.
    pub(crate) fn refill_time(&self, micro: u64) -> Duration {
        if self.rate_micro_per_s == 0 {
            return crate::bounds::MAX_RETRY;
        }
        let micros = u128::from(micro) * 1_000_000 / u128::from(self.rate_micro_per_s);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
            .min(crate::bounds::MAX_RETRY)
    }
}

/// Tokens that may be used count against the burst, so a lifetime near the time in which the
/// burst refills would keep a part from handing out its rate.
fn lifetime(rate: f64, burst: f64) -> Duration {
    if rate <= 0.0 {
        return MAX_LIFETIME;
    }
    Duration::from_secs_f64((burst / rate / 8.0).min(1.0)).clamp(MIN_LIFETIME, MAX_LIFETIME)
}
