//! Measures the time until an endpoint that leaves or crashes gets no more work.

use std::time::Duration;

use cuminarch_testing::VirtualFleet;
use cuminarch_types::MonoTime;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::FLEET_SIZES;
use super::fleet::settled_fleet;
use super::table::{head, row};
use crate::{Bound, Case, Verdict};

/// Bound of the time until an endpoint that leaves gets no more work, in seconds.
const MAX_LEAVING_S: f64 = 2.0;
/// Number of endpoints that leave or crash, one after the other, for each figure.
const DEPARTURES: usize = 3;
/// Simulated time after which waiting for a departure ends.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay that lets the nodes react to lost links and to a platform outage.
const FAULT_SETTLE_DELAY: Duration = Duration::from_secs(10);
/// Fraction of the pairs of nodes that lose their link.
const LOST_LINK_FRACTION: f64 = 0.1;

/// Selects one figure.
type FigureSelector = fn(&DepartureFigures) -> f64;

/// The figures of one fleet size.
pub struct DepartureFigures {
    leaving_s: f64,
    leaving_in_outage_s: f64,
    leaving_during_link_loss_s: f64,
    crashed_last_resort_s: f64,
    crashed_unused_s: f64,
}

/// Returns the seconds until no running node uses an endpoint, and until none considers it active.
fn departure_times_s(fleet: &VirtualFleet, index: usize, since: MonoTime) -> (f64, f64) {
    let endpoint = &fleet.nodes()[index].member().endpoint;
    let time = |at: Option<MonoTime>| at.map_or(f64::INFINITY, |at| at.since(since).as_secs_f64());
    let others = fleet.running_nodes().filter(|node| node.member().endpoint != *endpoint);
    let seen: Vec<_> = others.filter_map(|node| node.observed_members.get(endpoint)).collect();
    let unused = seen.iter().map(|seen| time(seen.unused_since)).fold(0.0, f64::max);
    let not_active = seen.iter().map(|seen| time(seen.not_active_since)).fold(0.0, f64::max);
    (unused, not_active)
}

/// Advances time until no running node uses an endpoint.
fn wait_until_unused(fleet: &mut VirtualFleet, index: usize) {
    let endpoint = fleet.nodes()[index].member().endpoint.clone();
    fleet.run_until(WATCH_TIMEOUT, POLL_INTERVAL, |fleet| {
        let others = fleet.running_nodes().filter(|node| node.member().endpoint != endpoint);
        let mut seen = others.filter_map(|node| node.observed_members.get(&endpoint));
        seen.all(|seen| seen.unused_since.is_some())
    });
}

fn leave(fleet: &mut VirtualFleet, index: usize) -> f64 {
    let since = fleet.now();
    fleet.leave(index);
    wait_until_unused(fleet, index);
    let (unused, _) = departure_times_s(fleet, index, since);
    fleet.stop(index);
    unused
}

/// Cuts a random fraction of the links, in both directions.
fn lose_links(fleet: &mut VirtualFleet, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let endpoints: Vec<_> =
        fleet.nodes().iter().map(|node| node.member().endpoint.clone()).collect();
    for (index, left) in endpoints.iter().enumerate() {
        for right in &endpoints[..index] {
            if rng.random_range(0.0..1.0) < LOST_LINK_FRACTION {
                fleet.network.block_link(left, right);
                fleet.network.block_link(right, left);
            }
        }
    }
}

/// Measures graceful departures and crashes, without and with faults.
pub fn measure(nodes: usize) -> DepartureFigures {
    let mut fleet = settled_fleet(nodes);
    let first = nodes / 3;
    let mut leaving = 0.0_f64;
    let (mut suspect, mut gone) = (0.0_f64, 0.0_f64);
    for index in first..first + DEPARTURES {
        leaving = leaving.max(leave(&mut fleet, index));
    }
    for index in first + DEPARTURES..first + 2 * DEPARTURES {
        let since = fleet.now();
        fleet.crash(index);
        wait_until_unused(&mut fleet, index);
        let (unused, not_active) = departure_times_s(&fleet, index, since);
        gone = gone.max(unused);
        suspect = suspect.max(not_active);
    }
    fleet.set_platform_down(true);
    fleet.run_for(FAULT_SETTLE_DELAY);
    lose_links(&mut fleet, 7);
    let leaving_at_once = leave(&mut fleet, 1);
    fleet.run_for(FAULT_SETTLE_DELAY);
    let mut leaving_in_outage = 0.0_f64;
    for index in first + 2 * DEPARTURES..first + 3 * DEPARTURES {
        leaving_in_outage = leaving_in_outage.max(leave(&mut fleet, index));
    }
    DepartureFigures {
        leaving_s: leaving,
        leaving_in_outage_s: leaving_in_outage,
        leaving_during_link_loss_s: leaving_at_once,
        crashed_last_resort_s: suspect,
        crashed_unused_s: gone,
    }
}

/// Prints the table and records the bounded figures.
pub fn report(departures: &[DepartureFigures], verdict: &mut Verdict) {
    let cases: [(&str, FigureSelector); 3] = [
        ("leaving", |figures| figures.leaving_s),
        ("leaving-outage-10%-links-lost", |figures| figures.leaving_in_outage_s),
        ("leaving-as-10%-links-are-lost", |figures| figures.leaving_during_link_loss_s),
    ];
    head("seconds until an endpoint gets no work; nodes", FLEET_SIZES);
    for (name, figure) in cases {
        row(name, departures.iter().map(figure), 2);
        for (size, figures) in FLEET_SIZES.iter().zip(departures) {
            let name = format!("control/{size}/{name}-s");
            verdict.record(Case::new(name, figure(figures), Bound::AtMost(MAX_LEAVING_S)));
        }
    }
    row(
        "crashed, only as last choice",
        departures.iter().map(|figures| figures.crashed_last_resort_s),
        2,
    );
    row("crashed, none", departures.iter().map(|figures| figures.crashed_unused_s), 2);
}
