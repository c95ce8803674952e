//! Decisions with stated capacity on a recorded load, as taken before capacity could be learned.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use cuminarch_admission::SlotAdmission;
use cuminarch_admission::{AdmissionControl, AdmissionDecision, AdmissionRequest, QueueEvent};
use cuminarch_types::{CallId, ConcurrencyLimit, MonoTime, Priority, Rank, RequestId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// FNV-1a over the decisions.
fn digest(hash: &mut u64, text: &str) {
    for byte in text.bytes() {
        *hash = (*hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
}

fn request(number: u64, rng: &mut ChaCha8Rng, now: MonoTime) -> AdmissionRequest {
    let route = ["browse", "order", "track"][rng.random_range(0..3)];
    AdmissionRequest {
        call: CallId::new(number),
        rank: Rank::of_request(Priority::new(rng.random_range(0..4)), RequestId::new(1)),
        more_urgent_classes: rng.random_range(0..4),
        deadline: now.after(Duration::from_millis(rng.random_range(100..2_000))),
        route: Some(route.parse().unwrap()),
        is_nested: rng.random_bool(0.3),
        objective: Duration::from_millis(rng.random_range(50..800)),
    }
}

/// Plays 20,000 requests at half to one and a half of the room.
fn play(slots: u32) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(slots));
    let mut admission = SlotAdmission::new();
    admission.set_capacity(ConcurrencyLimit::new(slots));
    let mut ends: BTreeMap<(MonoTime, CallId), Duration> = BTreeMap::new();
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    let mut hash = 0xcbf2_9ce4_8422_2325;
    let mut now = MonoTime::from_millis(1);
    for number in 0..20_000 {
        let load = 0.5 + (number as f64 / 20_000.0);
        now = now.after(Duration::from_secs_f64(0.06 / f64::from(slots) / load));
        let mut events = admission.poll(now);
        while let Some((key, held)) = ends.first_key_value().map(|(key, held)| (*key, *held)) {
            if key.0 > now {
                break;
            }
            ends.remove(&key);
            events.extend(if rng.random_bool(0.05) {
                admission.finish_turned_away(key.1, now)
            } else {
                admission.finish(key.1, Some(held), now)
            });
        }
        let request = request(number, &mut rng, now);
        let reply = admission.offer(&request, now);
        if reply.decision == AdmissionDecision::Run {
            events.push(QueueEvent::Run(request.call));
        }
        digest(&mut hash, &format!("{reply:?}{events:?}{}", admission.shortage_milli()));
        *counts
            .entry(match reply.decision {
                AdmissionDecision::Run => "run",
                AdmissionDecision::Wait => "wait",
                AdmissionDecision::Refuse { .. } => "refuse",
            })
            .or_default() += 1;
        for event in events {
            if let QueueEvent::Run(call) = event {
                let held = Duration::from_millis(rng.random_range(10..110));
                ends.insert((now.after(held), call), held);
            }
        }
    }
    let mut line = format!("slots {slots} limit {}", admission.limit());
    for (decision, count) in counts {
        write!(line, " {decision} {count}").unwrap();
    }
    format!("{line} digest {hash:016x}")
}

#[test]
fn decides_as_before() {
    let lines: Vec<String> = [8, 62, 188].into_iter().map(play).collect();
    insta::assert_snapshot!(lines.join("\n"));
}
