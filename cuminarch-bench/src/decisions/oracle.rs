//! The best possible result: a fleet that refuses, at its first service and in order of class,
//! exactly what its services cannot serve.

use super::scenario::{Cause, Scenario};

/// Returns how many of the arrived requests of each kind the oracle completes.
///
/// Kinds are served from the last refused to the first; each uses the capacity that is left at the
/// services of its chain.
pub fn completed_by_kind(scenario: &Scenario, arrived: &[f64], span_s: f64) -> Vec<f64> {
    let system = &scenario.system;
    let mut slot_s = available_slot_s(scenario, span_s);
    let mut served = vec![0.0; system.kinds.len()];
    for (index, kind) in system.kinds.iter().enumerate().rev() {
        let times = system.slot_times_us(kind, scenario.slow_service());
        let mut count = arrived[index];
        for (service, time_us) in &times {
            count = count.min(slot_s[*service] / (time_us / 1e6));
        }
        for (service, time_us) in &times {
            slot_s[*service] = (slot_s[*service] - count * time_us / 1e6).max(0.0);
        }
        served[index] = count;
    }
    served
}

fn available_slot_s(scenario: &Scenario, span_s: f64) -> Vec<f64> {
    let system = &scenario.system;
    let mut all = Vec::new();
    for (index, service) in system.services.iter().enumerate() {
        let mut endpoints = service.endpoints as f64;
        let is_bottleneck = index == system.bottleneck;
        match scenario.cause {
            Cause::LostZone => endpoints -= endpoints_in_zone(service.endpoints, system.zones),
            Cause::FalseReports | Cause::ColdEndpoint if is_bottleneck => endpoints -= 1.0,
            Cause::RetryStorm if is_bottleneck => endpoints = 0.0,
            _ => {}
        }
        all.push(endpoints * service.slots as f64 * span_s);
    }
    all
}

/// Returns a service's endpoints in the first zone; they are assigned to the zones round-robin.
fn endpoints_in_zone(endpoints: usize, zones: usize) -> f64 {
    endpoints.div_ceil(zones) as f64
}
