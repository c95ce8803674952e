//! Choices with stated capacity on a recorded load, as made before capacity could be learned.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_routing::{CallAttributes, CallResult, Router};
use cuminarch_types::{EndpointId, MonoTime, ServiceName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::ready_member;

/// FNV-1a over the choices.
fn digest(hash: &mut u64, text: &str) {
    for byte in text.bytes() {
        *hash = (*hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
}

/// Plays 20,000 calls to twelve endpoints in three zones, some of which fail, are lost or warm up.
fn play(seed: u64) -> String {
    let service: ServiceName = "katalog".parse().unwrap();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut router = Router::new("zone-0".parse().unwrap(), "ch-central".parse().unwrap(), seed);
    for index in 0..12_u8 {
        let name = format!("katalog-{index}");
        let zone = format!("zone-{}", index % 3);
        let mut member = ready_member(&name, service.as_str(), &zone, 40, [10, 0, 0, index]);
        if let Some(upstream) = member.upstream.as_mut().filter(|_| index == 3) {
            upstream.warm_up_ms = 3_000;
        }
        router.update(member, MonoTime::from_millis(1));
    }
    let mut hash = 0xcbf2_9ce4_8422_2325;
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    let mut ends: BTreeMap<(MonoTime, u32), (EndpointId, Duration)> = BTreeMap::new();
    for number in 0..20_000_u32 {
        let now = MonoTime::from_millis(1_000 + u64::from(number));
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let (endpoint, held) = entry.remove();
            let result = match rng.random_range(0..100) {
                0..2 => CallResult::Unreachable,
                2..6 => CallResult::UpstreamError,
                6..8 => CallResult::Refused,
                8..9 => CallResult::Unanswered,
                _ => CallResult::Answered(held),
            };
            let occupancy_milli = number / 16 + rng.random_range(0..200);
            router.record_occupancy(&service, &endpoint, occupancy_milli, now);
            router.record_result(&service, &endpoint, result, now);
        }
        let attributes = CallAttributes { can_probe: number % 2 == 0, ..CallAttributes::default() };
        let target = router.pick(&service, attributes, &[], now).unwrap();
        router.record_sent(&service, &target.endpoint, now);
        digest(&mut hash, target.endpoint.as_str());
        *counts.entry(target.endpoint.clone()).or_default() += 1;
        let held = Duration::from_millis(rng.random_range(5..80));
        ends.insert((now.after(held), number), (target.endpoint, held));
    }
    let counts: Vec<String> = counts.values().map(ToString::to_string).collect();
    format!("seed {seed} calls {} digest {hash:016x}", counts.join(" "))
}

#[test]
fn chooses_as_before() {
    let lines: Vec<String> = (1..=3).map(play).collect();
    insta::assert_snapshot!(lines.join("\n"));
}
