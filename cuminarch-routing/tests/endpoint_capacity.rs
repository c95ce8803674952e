//! What callers get from endpoints that differ, against fixed weights, stated slots and an oracle.
//!
//! The bounds are those of the target: 0.95 of the oracle's goodput; at half load a 99th percentile
//! of 1.15 of the oracle's; a knee within 5 s of load and a steady limit after it; shares that
//! follow a slow endpoint within 1 s and its recovery within 2 s; under 0.05 lost to disturbances.

mod capacity_model;
mod support;

use std::thread;

use capacity_model::{Load, Model, ModelEndpoint, Outcome, SLOTS, Strategy};
use rstest::rstest;

const STRATEGIES: [Strategy; 4] =
    [Strategy::FixedWeights, Strategy::Stated, Strategy::Learned, Strategy::Oracle];
const MIN_GOODPUT_RATIO: f64 = 0.95;
const MAX_P99_RATIO: f64 = 1.15;

fn endpoints(speeds: &[f64]) -> Vec<ModelEndpoint> {
    speeds.iter().copied().map(ModelEndpoint::new).collect()
}

/// Returns a load of this fraction of the room at the start.
fn load(endpoints: Vec<ModelEndpoint>, fraction: f64) -> Load {
    let room_per_s: f64 = endpoints.iter().map(|endpoint| endpoint.room_per_s(0.0)).sum();
    let offered_per_s = room_per_s * fraction;
    Load {
        endpoints,
        entry_nodes: 40,
        offered_per_s,
        duration_s: 15.0,
        counted_from_s: 5.0,
        seed: 1,
    }
}

/// Plays a load with all strategies.
fn outcomes(load: &Load) -> [Outcome; 4] {
    thread::scope(|scope| {
        STRATEGIES
            .map(|strategy| scope.spawn(move || Model::run(load, strategy)))
            .map(|run| run.join().unwrap())
    })
}

fn table_line(name: &str, outcomes: &[Outcome; 4]) -> String {
    let columns = outcomes
        .each_ref()
        .map(|outcome| format!("{:.3} {:>4.0} ms", outcome.goodput(), outcome.p99_ms()));
    format!("{name:<28} {}", columns.join("   "))
}

#[track_caller]
fn assert_goodput([_, _, learned, oracle]: &[Outcome; 4]) {
    let ratio = learned.goodput() / oracle.goodput();
    assert!(ratio >= MIN_GOODPUT_RATIO, "{ratio:.3} of the oracle's goodput");
}

const SPEEDS: [&[f64]; 3] = [&[0.5, 1.0, 1.0, 1.5], &[0.55, 1.2, 1.2, 1.2], &[0.7, 0.7, 1.6]];

#[rstest]
#[case::four(0)]
#[case::one_slow(1)]
#[case::one_fast(2)]
fn endpoints_of_different_speed(
    #[case] speeds: usize,
    #[values(0.5, 0.9, 1.0, 1.5)] fraction: f64,
) {
    let outcomes = outcomes(&load(endpoints(SPEEDS[speeds]), fraction));
    assert_goodput(&outcomes);
    if fraction == 0.5 {
        let ratio = outcomes[2].p99_ms() / outcomes[3].p99_ms();
        assert!(ratio <= MAX_P99_RATIO, "{ratio:.3} of the oracle's 99th percentile");
    }
}

/// Goodput and 99th percentile of fixed weights, stated slots, learned capacity and the oracle.
#[test]
fn table() {
    let mut lines = Vec::new();
    for speeds in SPEEDS {
        for fraction in [0.5, 0.9, 1.0, 1.5] {
            let outcomes = outcomes(&load(endpoints(speeds), fraction));
            lines.push(table_line(&format!("{speeds:?} at {fraction}"), &outcomes));
        }
    }
    for (name, load) in disturbed_loads() {
        lines.push(table_line(name, &outcomes(&load)));
    }
    for (knee, slowdown) in KNEES {
        let outcomes = outcomes(&knee_load(knee, slowdown));
        lines.push(table_line(&format!("knee {knee} of {SLOTS}, times {slowdown}"), &outcomes));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

const KNEES: [(u32, f64); 4] = [(48, 1.3), (57, 1.3), (48, 2.0), (57, 2.0)];

fn knee_load(knee: u32, slowdown: f64) -> Load {
    let with_knee = |speed| ModelEndpoint { knee, slowdown, ..ModelEndpoint::new(speed) };
    load([0.5, 1.0, 1.0, 1.5].map(with_knee).to_vec(), 1.5)
}

#[rstest]
#[case::at_80(48, 1.3)]
#[case::at_95(57, 1.3)]
#[case::hard_at_80(48, 2.0)]
#[case::hard_at_95(57, 2.0)]
fn knee_is_found_within_5_s_and_kept(
    #[case] knee: u32,
    #[case] slowdown: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let load = Load { seed, ..knee_load(knee, slowdown) };
    let outcome = Model::run(&load, Strategy::Learned);
    for endpoint in 0..load.endpoints.len() {
        let limits: Vec<u32> = outcome.limits.iter().map(|limits| limits[endpoint]).collect();
        let after = &limits[50..];
        let (least, most) = (after.iter().min().unwrap(), after.iter().max().unwrap());
        let tenth = f64::from(knee) / 10.0;
        assert!(f64::from(*least) >= f64::from(knee) - tenth, "endpoint {endpoint}: {limits:?}");
        assert!(*most <= knee, "endpoint {endpoint}: {limits:?}");
        assert!(f64::from(most - least) <= tenth, "endpoint {endpoint}: {limits:?}");
    }
}

/// Endpoint 1 is five times slower from 6 s to 10 s.
fn slow_and_back(fraction: f64) -> Load {
    let mut endpoints = endpoints(&[0.5, 1.0, 1.0, 1.5]);
    endpoints[1].speed = vec![(0.0, 1.0), (6.0, 0.2), (10.0, 1.0)];
    load(endpoints, fraction)
}

#[rstest]
fn shares_follow_an_endpoint_that_turns_slow(
    #[values(0.5, 0.7)] fraction: f64,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = Model::run(&Load { seed, ..slow_and_back(fraction) }, Strategy::Learned);
    let before = outcome.share(1, 4.0, 6.0);
    let slow = outcome.share(1, 7.0, 10.0);
    let back = outcome.share(1, 12.0, 14.5);
    let part_of_room = 0.2 / 3.2;
    assert!(slow <= part_of_room + 0.05, "{before:.3} {slow:.3} {back:.3}");
    assert!(back >= before - 0.05, "{before:.3} {slow:.3} {back:.3}");
}

/// Each endpoint is 2.5 times slower in 15 of 100 periods of 600 ms.
fn noise() -> Load {
    let mut endpoints = endpoints(&[0.5, 1.0, 1.0, 1.5]);
    for (index, endpoint) in endpoints.iter_mut().enumerate() {
        let speed = endpoint.speed_at(0.0);
        endpoint.speed = (0..25_usize)
            .map(|period| {
                let is_disturbed = (period * 4 + index) * 37 % 100 < 15;
                let factor = if is_disturbed { 1.0 / 2.5 } else { 1.0 };
                (period as f64 * 0.6, speed * factor)
            })
            .collect();
    }
    // The disturbances take a tenth of the room.
    load(endpoints, 0.9 * 0.9)
}

/// An endpoint starts again and is half as fast for 3 s.
fn cold_start() -> Load {
    let mut endpoints = endpoints(&[0.5, 1.0, 1.0, 1.5]);
    endpoints[2].speed = vec![(0.0, 1.0), (6.0, 0.5), (9.0, 1.0)];
    load(endpoints, 0.8)
}

fn failing_fast() -> Load {
    let mut endpoints = endpoints(&[1.0; 4]);
    endpoints[0].failing_fraction = 0.45;
    load(endpoints, 0.5)
}

fn disturbed_loads() -> [(&'static str, Load); 5] {
    [
        ("slow and back at 0.5", slow_and_back(0.5)),
        ("slow and back at 0.7", slow_and_back(0.7)),
        ("noise at 0.9", noise()),
        ("cold start at 0.8", cold_start()),
        ("one fails fast at 0.5", failing_fast()),
    ]
}

#[rstest]
#[case::slow_and_back(slow_and_back(0.7))]
#[case::noise(noise())]
#[case::cold_start(cold_start())]
fn disturbances_cost_little(#[case] load: Load) {
    assert_goodput(&outcomes(&load));
}

#[test]
fn endpoint_that_fails_fast_does_not_count_as_fast() {
    let outcome = Model::run(&failing_fast(), Strategy::Learned);
    let share = outcome.share(0, 5.0, 14.5);
    assert!(share <= 0.25, "{share:.3}");
}

/// Nodes with the same view do not choose alike: as in `placing.rs`, the busiest endpoint gets less
/// than 1.4 times the mean, here in each second.
#[rstest]
fn forty_entry_nodes_do_not_flock(#[values(0.5, 0.9)] fraction: f64) {
    let load = load(endpoints(&[1.0; 8]), fraction);
    let outcome = Model::run(&load, Strategy::Learned);
    for second in 5..14 {
        let share = |endpoint| outcome.share(endpoint, f64::from(second), f64::from(second + 1));
        let busiest = (0..8).map(share).fold(0.0, f64::max);
        assert!(busiest * 8.0 < 1.4, "second {second}: {busiest:.3}");
    }
}
