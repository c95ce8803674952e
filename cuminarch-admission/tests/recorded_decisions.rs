//! Decisions of a [`Shedder`] on recorded loads without client accounts, as a deployment without
//! accounts has to keep them bit for bit.

#![allow(clippy::unwrap_used)]

use std::fmt::Write;
use std::time::Duration;

use cuminarch_admission::{ServiceShortage, Shedder};
use cuminarch_types::{MonoTime, Priority, Rank, RequestId, RouteName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ROUTES: [(&str, u8); 5] =
    [("browse", 0), ("courier", 2), ("menu", 2), ("approve", 9), ("track", 5)];
const REQUESTS: u32 = 20_000;

/// A load on an entry node: a request with the probability of its route every `gap_us`, and the
/// shortage that answers report.
struct Load {
    name: &'static str,
    gap_us: u64,
    shed_milli: fn(f64) -> f64,
    services: usize,
    report_probability: f64,
}

const LOADS: [Load; 5] = [
    Load {
        name: "steady surge, 28 requests a second",
        gap_us: 35_714,
        shed_milli: |_| 400.0,
        services: 1,
        report_probability: 0.7,
    },
    Load {
        name: "surge that comes and goes, 500 requests a second",
        gap_us: 2_000,
        shed_milli: |at_s| 150.0 * (at_s % 6.0),
        services: 1,
        report_probability: 0.5,
    },
    Load {
        name: "two short services, 200 requests a second",
        gap_us: 5_000,
        shed_milli: |at_s| if at_s % 10.0 < 5.0 { 700.0 } else { 90.0 },
        services: 2,
        report_probability: 0.3,
    },
    Load {
        name: "four requests a second",
        gap_us: 250_000,
        shed_milli: |at_s| if at_s % 60.0 < 30.0 { 300.0 } else { 0.0 },
        services: 1,
        report_probability: 1.0,
    },
    Load {
        name: "no shortage",
        gap_us: 2_000,
        shed_milli: |_| 0.0,
        services: 1,
        report_probability: 1.0,
    },
];

/// FNV-1a, so that the digest is the same on every machine and release.
fn fold(digest: u64, value: u64) -> u64 {
    value
        .to_le_bytes()
        .iter()
        .fold(digest, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

fn play(load: &Load) -> String {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut shedder = Shedder::new();
    let mut refused = [0_u32; ROUTES.len()];
    let mut digest = 0xcbf2_9ce4_8422_2325;
    for step in 0..u64::from(REQUESTS) {
        let now = MonoTime::from_micros(1_000_000 + step * load.gap_us);
        let index = rng.random_range(0..ROUTES.len());
        let (name, priority) = ROUTES[index];
        let route = name.parse::<RouteName>().unwrap();
        let rank = Rank::of_request(Priority::new(priority), RequestId::new(rng.random()));
        let is_refused = shedder.should_refuse(&route, rank, now);
        refused[index] += u32::from(is_refused);
        digest = fold(digest, u64::from(is_refused));
        digest = fold(digest, shedder.refused_fraction(&route).to_bits());
        if rng.random_bool(load.report_probability) {
            let shed_milli = (load.shed_milli)(step as f64 * load.gap_us as f64 / 1e6);
            let service = if index < load.services { "lager" } else { "kasse" };
            let report = (shed_milli > 5.0).then(|| ServiceShortage {
                service: service.parse().unwrap(),
                shed_milli,
                noted_at: now,
                call_cost: Duration::from_millis(20 + 7 * index as u64),
            });
            shedder.record_report(&route, report, now);
        }
    }
    format!("{}: refused {refused:?}, digest {digest:016x}", load.name)
}

/// The snapshot was recorded before the shedder knew of client accounts.
#[test]
fn decisions_without_accounts_are_as_recorded() {
    let mut table = String::new();
    for load in &LOADS {
        writeln!(table, "{}", play(load)).unwrap();
    }
    insta::assert_snapshot!(table);
}
