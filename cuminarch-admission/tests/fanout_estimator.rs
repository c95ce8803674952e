//! Fan-out estimates for an upstream that runs two routes, only one of which makes calls.

use cuminarch_admission::FanoutEstimator;
use cuminarch_types::{MonoTime, RouteName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn route(name: &str) -> RouteName {
    name.parse().unwrap()
}

#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Event {
    Start(usize),
    End(usize),
    Call,
}

/// Simulates runs of two routes: index reads of 130 ms that make four calls each, and downloads of
/// 72 ms that make none.
fn simulate(reads_per_s: f64, downloads_per_s: f64, seconds: f64, seed: u64) -> FanoutEstimator {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut events: Vec<(f64, Event)> = Vec::new();
    for (kind, rate, length_s) in [(0, reads_per_s, 0.13), (1, downloads_per_s, 0.072)] {
        let mut at = 0.0;
        while at < seconds {
            at += -rng.random_range(1e-9_f64..1.0).ln() / rate;
            let length_s = length_s * rng.random_range(0.5..1.5);
            events.push((at, Event::Start(kind)));
            events.push((at + length_s, Event::End(kind)));
            if kind == 0 {
                let call = |part: u32| (at + length_s * f64::from(part) / 5.0, Event::Call);
                events.extend((1..=4).map(call));
            }
        }
    }
    events.sort_by(|left, right| left.0.total_cmp(&right.0));
    let routes = [route("index"), route("download")];
    let mut estimator = FanoutEstimator::new();
    for (at, event) in events {
        let now = MonoTime::from_micros((at * 1e6) as u64);
        match event {
            Event::Start(kind) => estimator.record_start(&routes[kind], now),
            Event::End(kind) => estimator.record_end(&routes[kind], now),
            Event::Call => estimator.record_call(&route("queue"), now),
        }
    }
    estimator
}

#[rstest]
#[case::quiet(60.0, 8.0, 5.0)]
#[case::busy(200.0, 25.0, 5.0)]
#[case::few_downloads(200.0, 3.0, 10.0)]
#[case::many_downloads(50.0, 100.0, 5.0)]
fn a_route_without_calls_is_distinguished(
    #[case] reads_per_s: f64,
    #[case] downloads_per_s: f64,
    #[case] seconds: f64,
) {
    let mut wrong = Vec::new();
    for seed in 0..20 {
        let estimator = simulate(reads_per_s, downloads_per_s, seconds, seed);
        let fanout =
            |name: &str| estimator.fanouts(&route(name)).map(|(_, calls)| calls).sum::<f64>();
        if !(3.0..5.0).contains(&fanout("index")) || fanout("download") > 0.8 {
            wrong.push((seed, fanout("index"), fanout("download")));
        }
    }
    assert!(wrong.len() <= 1, "{wrong:?}");
}
