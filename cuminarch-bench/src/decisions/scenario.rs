//! The scenarios of the benchmark.

use super::system::System;

/// The cause of the overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Cause {
    /// Demand is this multiple of the bottleneck's capacity.
    Surge(f64),
    /// One service (`System::slowed_service`) is slower by this factor.
    SlowService(f64),
    /// The bottleneck stalls, and all clients resend at the same time without jitter.
    RetryStorm,
    /// The first availability zone is lost.
    LostZone,
    /// One endpoint of the bottleneck is replaced by a cold one.
    ColdEndpoint,
    /// One endpoint of the bottleneck is slow but reports that it is idle and healthy; another is
    /// healthy but reported as suspect.
    FalseReports,
}

/// A mechanism that can be switched off for a run, to measure its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mechanism {
    /// Cancellation of work whose result is no longer needed.
    Cancellation,
    /// Deadline propagation: the remaining time is sent with each call.
    Deadlines,
    /// Admission levels returned in receipts.
    Levels,
    /// Retries by the nodes.
    Retries,
    /// Zone-aware routing.
    Zones,
}

impl Mechanism {
    /// Names of all mechanisms, as used on the command line.
    pub const NAMES: [&'static str; 5] =
        ["cancellation", "deadlines", "levels", "retries", "zones"];

    /// Returns the mechanism of this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        let all = [Self::Cancellation, Self::Deadlines, Self::Levels, Self::Retries, Self::Zones];
        all.into_iter().zip(Self::NAMES).find(|(_, known)| *known == name).map(|(found, _)| found)
    }
}

/// One scenario: a fleet, its demand and the cause of its overload.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: String,
    pub system: System,
    /// Demand before and after the cause, as a multiple of the bottleneck's capacity.
    pub base_load: f64,
    pub cause: Cause,
    pub cause_span_us: (u64, u64),
    pub end_us: u64,
    pub seed: u64,
    pub disabled: Option<Mechanism>,
}

impl Scenario {
    const CAUSE_START_US: u64 = 6_000_000;
    const RECOVERY_US: u64 = 10_000_000;

    /// Creates a scenario whose cause lasts `duration_s` seconds.
    pub fn new(system: System, name: &str, cause: Cause, duration_s: u64) -> Self {
        let stop_us = Self::CAUSE_START_US + duration_s * 1_000_000;
        Self {
            name: format!("{}/{name}", system.name),
            system,
            base_load: 0.8,
            cause,
            cause_span_us: (Self::CAUSE_START_US, stop_us),
            end_us: stop_us + Self::RECOVERY_US,
            seed: 42,
            disabled: None,
        }
    }

    /// Sets the demand before and after the cause.
    pub const fn with_base_load(mut self, base_load: f64) -> Self {
        self.base_load = base_load;
        self
    }

    /// Switches a mechanism off.
    pub const fn with_disabled(mut self, disabled: Option<Mechanism>) -> Self {
        self.disabled = disabled;
        self
    }

    /// Returns `true` unless the mechanism is switched off.
    pub fn is_enabled(&self, mechanism: Mechanism) -> bool {
        self.disabled != Some(mechanism)
    }

    /// Returns `true` while the cause is active.
    pub const fn is_cause_active(&self, now_us: u64) -> bool {
        now_us >= self.cause_span_us.0 && now_us < self.cause_span_us.1
    }

    /// Returns the demand at a time, in requests per second.
    pub fn demand_per_s(&self, now_us: u64) -> f64 {
        let load = match self.cause {
            Cause::Surge(load) if self.is_cause_active(now_us) => load,
            _ => self.base_load,
        };
        load * self.system.capacity_per_s()
    }

    /// Returns the service that is slowed while the cause is active, and the factor.
    pub const fn slow_service(&self) -> Option<(usize, f64)> {
        match self.cause {
            Cause::SlowService(factor) => Some((self.system.slowed_service, factor)),
            _ => None,
        }
    }

    /// Returns all scenarios of the benchmark.
    pub fn all() -> Vec<Self> {
        let mut all = Vec::new();
        for system in [System::verband(), System::dukkeoye(), System::deep_chain()] {
            let surge = |load, name| Self::new(system.clone(), name, Cause::Surge(load), 8);
            all.push(surge(0.8, "load-0.8x"));
            all.push(surge(1.5, "surge-1.5x"));
            all.push(surge(3.0, "surge-3x"));
            all.push(surge(10.0, "surge-10x"));
            all.push(Self::new(system.clone(), "slow-10x", Cause::SlowService(10.0), 20));
            all.push(Self::new(system.clone(), "retry-storm", Cause::RetryStorm, 1));
            let lost = Self::new(system.clone(), "lost-zone", Cause::LostZone, 8);
            all.push(lost.with_base_load(0.6));
            let cold = Self::new(system.clone(), "cold-start", Cause::ColdEndpoint, 4);
            all.push(cold.with_base_load(0.6));
            let lying = Self::new(system.clone(), "lying-reports", Cause::FalseReports, 8);
            all.push(lying.with_base_load(0.6));
        }
        all
    }
}
