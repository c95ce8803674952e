//! Choice of the zone by the bytes between zones that a call causes behind its endpoint.
//!
//! Answers the load of a zone whose endpoints deep in a chain are full: the calls to
//! them that spill over cross zones one by one. A call that makes several of those
//! crosses once if it is itself sent to a zone where they have room.

use std::time::Duration;

use cuminarch_types::MonoTime;

/// What calls on one route cost in bytes between zones, and the part of them that leaves
/// the own zone for that reason.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detour {
    /// Bytes of one call and its answer.
    call_bytes: Option<f64>,
    /// Bytes between zones that one call causes behind an endpoint of the own zone.
    near_bytes: f64,
    /// The same behind endpoints of other zones.
    far_bytes: f64,
    /// Part of the calls that leaves the zone.
    part: f64,
    noted_at: MonoTime,
}

impl Detour {
    /// One report moves a mean by this part of the difference.
    const WEIGHT: f64 = 1.0 / 16.0;
    /// Bytes that have to be saved, as part of those of the call that is moved: reports
    /// are late, and a detour costs time.
    const MARGIN: f64 = 0.25;
    /// Most by which the part changes in a second; several times slower than a service
    /// spills over, as that is what it follows.
    const SPEED_PER_S: f64 = 0.3;
    /// Most that leaves the zone, so that its recovery is seen.
    const MOST: f64 = 0.95;
    /// Part that spills over from which on the zone counts as full: each further call
    /// leaves it, or has another one leave it.
    const FULL_SPILL: f64 = 0.2;

    /// Takes in the bytes of a call and its answer.
    pub fn note_call(&mut self, bytes: u64) {
        let bytes = bytes as f64;
        self.call_bytes = Some(match self.call_bytes {
            Some(mean) => mean + (bytes - mean) * Self::WEIGHT,
            None => bytes,
        });
    }

    /// Takes in what an endpoint reports of the calls behind it.
    pub fn note_behind(&mut self, is_near: bool, bytes: u32, now: MonoTime) {
        let mean = if is_near { &mut self.near_bytes } else { &mut self.far_bytes };
        *mean += (f64::from(bytes) - *mean) * Self::WEIGHT;
        self.noted_at = now;
    }

    /// When an endpoint last reported.
    pub const fn noted_at(&self) -> MonoTime {
        self.noted_at
    }

    /// Bytes of one call and its answer; none before the first.
    pub const fn call_bytes(&self) -> Option<f64> {
        self.call_bytes
    }

    /// Part of the calls that leaves the zone.
    pub const fn part(&self) -> f64 {
        self.part
    }

    /// Adapts the part to what was reported.
    pub fn adapt(&mut self, elapsed: Duration) {
        let Some(call_bytes) = self.call_bytes else { return };
        let saved = self.near_bytes - self.far_bytes - call_bytes;
        let speed = (saved / call_bytes.max(1.0) - Self::MARGIN).clamp(-1.0, 1.0);
        let step = speed * Self::SPEED_PER_S * elapsed.as_secs_f64();
        self.part = (self.part + step).clamp(0.0, Self::MOST);
    }

    /// Bytes between zones that one more call causes, the calls behind it included, while
    /// the part `spilled` of its service's calls finds no room in the zone.
    pub fn cost_bytes(&self, spilled: f64) -> f64 {
        let far = self.call_bytes.unwrap_or_default() + self.far_bytes;
        let full = (spilled / Self::FULL_SPILL).min(1.0);
        let near = self.near_bytes + (far - self.near_bytes) * self.part;
        near + (far - near) * full
    }
}
