//! Measures the time until a configuration change is in force.

use std::time::Duration;

use cuminarch_protocol::Member;
use cuminarch_testing::VirtualFleet;
use cuminarch_types::Revision;

use super::FLEET_SIZES;
use super::fleet::{ZONES, document, in_force_s, settled_fleet, zone};
use super::table::{head, row};
use crate::{Bound, Case, Verdict};

/// Bound of the time until a configuration is in force on all nodes, in seconds.
const MAX_IN_FORCE_S: f64 = 12.0;
/// Simulated time after which waiting for a change ends.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay between injecting or removing a fault and the next step.
const FAULT_SETTLE_DELAY: Duration = Duration::from_secs(12);

/// Seconds until 99% of the nodes and until all nodes had a change in force.
type PropagationTimes = (f64, f64);

/// Selects one figure.
type FigureSelector = fn(&ChangeFigures) -> PropagationTimes;

/// The figures of one fleet size.
pub struct ChangeFigures {
    plain: PropagationTimes,
    lossy: PropagationTimes,
    without_platform: PropagationTimes,
    lost_zone: PropagationTimes,
    cut_near_region: PropagationTimes,
    far_region_after_heal: PropagationTimes,
}

/// Advances time until a revision is in force on all selected nodes.
fn wait_until_in_force(
    fleet: &mut VirtualFleet,
    revision: u64,
    is_selected: impl Fn(&Member) -> bool,
) {
    let revision = Revision::new(revision);
    fleet.run_until(WATCH_TIMEOUT, POLL_INTERVAL, |fleet| {
        let mut selected = fleet.running_nodes().filter(|node| is_selected(node.member()));
        selected.all(|node| node.revision >= revision)
    });
}

fn publish_and_measure(
    fleet: &mut VirtualFleet,
    revision: u64,
    is_selected: impl Fn(&Member) -> bool,
) -> PropagationTimes {
    let since = fleet.now();
    fleet.publish_config(document(revision));
    wait_until_in_force(fleet, revision, &is_selected);
    in_force_s(fleet, revision, since, is_selected)
}

/// Measures how fast changes propagate, without and with faults.
pub fn measure(nodes: usize) -> ChangeFigures {
    let mut fleet = settled_fleet(nodes);
    let plain = publish_and_measure(&mut fleet, 2, |_| true);
    fleet.network.loss_ratio = 0.01;
    let lossy = publish_and_measure(&mut fleet, 3, |_| true);
    fleet.network.loss_ratio = 0.0;
    fleet.platform.disconnected_zones.insert(zone(1));
    fleet.platform.disconnected_zones.insert(zone(4));
    fleet.run_for(FAULT_SETTLE_DELAY);
    let without_platform = publish_and_measure(&mut fleet, 4, |_| true);
    fleet.platform.disconnected_zones.clear();
    let (cut_near, cut_far_after_heal) = measure_cut(&mut fleet);
    for index in (1..nodes).step_by(ZONES.len()) {
        fleet.crash(index);
    }
    fleet.run_for(Duration::from_secs(5));
    let lost_zone = publish_and_measure(&mut fleet, 6, |_| true);
    ChangeFigures {
        plain,
        lossy,
        without_platform,
        lost_zone,
        cut_near_region: cut_near,
        far_region_after_heal: cut_far_after_heal,
    }
}

/// Cuts the two regions off from each other; only the first still reaches the platform.
fn measure_cut(fleet: &mut VirtualFleet) -> (PropagationTimes, PropagationTimes) {
    let is_far = |member: &Member| member.region.as_str() == "nordvest";
    for far in [3, 4] {
        fleet.platform.disconnected_zones.insert(zone(far));
        for near in [0, 1, 2] {
            fleet.network.partition_zones(&zone(near), &zone(far));
        }
    }
    fleet.run_for(FAULT_SETTLE_DELAY);
    let near = publish_and_measure(fleet, 5, |member| !is_far(member));
    let since = fleet.now();
    fleet.network.heal();
    wait_until_in_force(fleet, 5, is_far);
    let far = in_force_s(fleet, 5, since, is_far);
    fleet.platform.disconnected_zones.clear();
    fleet.run_for(FAULT_SETTLE_DELAY);
    (near, far)
}

/// Prints the table and records the bounded figures.
pub fn report(changes: &[ChangeFigures], verdict: &mut Verdict) {
    let cases: [(&str, FigureSelector); 6] = [
        ("in-force", |figures| figures.plain),
        ("in-force-1%-loss", |figures| figures.lossy),
        ("in-force-2-zones-without-platform", |figures| figures.without_platform),
        ("in-force-lost-zone", |figures| figures.lost_zone),
        ("in-force-cut-region", |figures| figures.cut_near_region),
        ("in-force-healed-region", |figures| figures.far_region_after_heal),
    ];
    head("seconds until a change is in force; nodes", FLEET_SIZES);
    for (name, figure) in cases {
        row(&format!("{name}, 99 in 100"), changes.iter().map(|c| figure(c).0), 2);
        row(&format!("{name}, all"), changes.iter().map(|c| figure(c).1), 2);
        for (size, figures) in FLEET_SIZES.iter().zip(changes) {
            let name = format!("control/{size}/{name}-s");
            verdict.record(Case::new(name, figure(figures).1, Bound::AtMost(MAX_IN_FORCE_S)));
        }
    }
}
