//! The limiter against an upstream with a known number of slots.

use std::time::Duration;

use cuminarch_admission::{AdmissionSettings, Limiter};
use cuminarch_types::MonoTime;
use rstest::rstest;

const DURATION: Duration = Duration::from_secs(20);

/// Drives the limiter with an upstream whose requests take `service_ms` without queueing, always
/// with as many running as the limit admits. Returns the mean limit of the last quarter.
fn saturate(limiter: &mut Limiter, slots: f64, service_ms: f64, from: MonoTime) -> f64 {
    let mut now = from;
    let mut limits = Vec::new();
    while now.since(from) < DURATION {
        let running = f64::from(limiter.limit().get());
        let service_us = service_ms * 1_000.0 * (running / slots).max(1.0);
        let service_time = Duration::from_micros(service_us as u64);
        now = now.after(Duration::from_micros((service_us / running) as u64));
        let began = MonoTime::from_micros(now.as_micros().saturating_sub(service_us as u64));
        limiter.observe(service_time, began, running as usize, now);
        if now.since(from) > DURATION * 3 / 4 {
            limits.push(running);
        }
    }
    limits.iter().sum::<f64>() / limits.len() as f64
}

#[rstest]
#[case::small(10.0, 20.0)]
#[case::large(140.0, 5.0)]
#[case::slow(40.0, 200.0)]
fn finds_the_slots_of_the_upstream(#[case] slots: f64, #[case] service_ms: f64) {
    let mut limiter = Limiter::new(AdmissionSettings::new());
    let limit = saturate(&mut limiter, slots, service_ms, MonoTime::ZERO);
    assert!(limit >= slots && limit <= slots * 2.0, "{limit} for {slots} slots");
}

#[test]
fn keeps_the_slots_in_use_when_the_upstream_becomes_slower() {
    let mut limiter = Limiter::new(AdmissionSettings::new());
    saturate(&mut limiter, 40.0, 20.0, MonoTime::ZERO);
    let limit = saturate(&mut limiter, 40.0, 200.0, MonoTime::ZERO.after(DURATION));
    assert!((40.0..=80.0).contains(&limit), "{limit}");
}
