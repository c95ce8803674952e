//! Generated histories of failures, and the invariants during and after each.

mod support;

use std::time::Duration;

use cuminarch_protocol::MemberState;
use cuminarch_testing::VirtualFleet;
use cuminarch_types::ZoneName;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{ZONES, difference, document, member};

const NODES: usize = 24;

#[derive(Clone, Debug)]
enum Step {
    Crash(usize),
    Restart(usize),
    Pause(usize, u64),
    Leave(usize),
    Join,
    CutZones(usize, usize),
    CutLink(usize, usize),
    Heal,
    PlatformDown(bool),
    CutPlatform(usize),
    Publish,
    PublishEarlier,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..NODES).prop_map(Step::Crash),
        3 => (0..NODES).prop_map(Step::Restart),
        2 => (0..NODES, 1..40_u64).prop_map(|(node, seconds)| Step::Pause(node, seconds)),
        1 => (0..NODES).prop_map(Step::Leave),
        1 => Just(Step::Join),
        2 => (0..ZONES.len(), 0..ZONES.len()).prop_map(|(a, b)| Step::CutZones(a, b)),
        2 => (0..NODES, 0..NODES).prop_map(|(a, b)| Step::CutLink(a, b)),
        2 => Just(Step::Heal),
        2 => any::<bool>().prop_map(Step::PlatformDown),
        1 => (0..ZONES.len()).prop_map(Step::CutPlatform),
        3 => Just(Step::Publish),
        1 => Just(Step::PublishEarlier),
    ]
}

#[derive(Clone, Debug)]
struct History {
    seed: u64,
    loss_percent: u32,
    repetition_percent: u32,
    extra_delay_ms: u64,
    steps: Vec<(Step, u64)>,
}

fn history() -> impl Strategy<Value = History> {
    let steps = prop::collection::vec((step(), 0..12_u64), 1..25);
    (any::<u64>(), 0..15_u32, 0..10_u32, 0..400_u64, steps).prop_map(
        |(seed, loss_percent, repetition_percent, extra_delay_ms, steps)| History {
            seed,
            loss_percent,
            repetition_percent,
            extra_delay_ms,
            steps,
        },
    )
}

fn zone(index: usize) -> ZoneName {
    ZONES[index].0.parse().expect("a zone")
}

fn apply_step(fleet: &mut VirtualFleet, step: &Step, revision: &mut u64) {
    match step {
        Step::Crash(node) => fleet.crash(*node),
        Step::Restart(node) => fleet.restart(*node),
        Step::Pause(node, seconds) => fleet.pause(*node, Duration::from_secs(*seconds)),
        Step::Leave(node) if fleet.nodes()[*node].is_running => fleet.leave(*node),
        Step::Leave(_) => {}
        Step::Join => {
            fleet.add_node(member(fleet.nodes().len(), ZONES.len()));
        }
        Step::CutZones(left, right) => fleet.network.partition_zones(&zone(*left), &zone(*right)),
        Step::CutLink(from, to) => {
            let (from, to) = (support::endpoint(fleet, *from), support::endpoint(fleet, *to));
            fleet.network.block_link(&from, &to);
        }
        Step::Heal => fleet.network.heal(),
        Step::PlatformDown(is_down) => fleet.set_platform_down(*is_down),
        Step::CutPlatform(index) => {
            fleet.platform.disconnected_zones.insert(zone(*index));
        }
        Step::Publish => {
            *revision += 1;
            fleet.publish_config(document(*revision, 8 + *revision));
        }
        Step::PublishEarlier => {
            fleet.publish_config(document((*revision).saturating_sub(1).max(1), 8));
        }
    }
}

/// Ends all faults and lets the fleet converge.
fn recover(fleet: &mut VirtualFleet) {
    fleet.network = cuminarch_testing::Network::default();
    fleet.platform.disconnected_zones.clear();
    fleet.set_platform_down(false);
    fleet.run_for(Duration::from_secs(150));
}

fn run(history: &History) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(history.seed);
    let mut revision = 1;
    fleet.publish_config(document(revision, 8));
    fleet.network.loss_ratio = f64::from(history.loss_percent) / 100.0;
    fleet.network.duplication_ratio = f64::from(history.repetition_percent) / 100.0;
    fleet.network.max_extra_delay = Duration::from_millis(history.extra_delay_ms);
    fleet.set_seeds(vec![member(0, ZONES.len()).control_address]);
    for index in 0..NODES {
        fleet.add_node(member(index, ZONES.len()));
    }
    fleet.run_for(Duration::from_secs(5));
    for (step, seconds) in &history.steps {
        apply_step(&mut fleet, step, &mut revision);
        fleet.run_for(Duration::from_secs(*seconds));
    }
    recover(&mut fleet);
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(0x00C0_FFEE),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No node ever returns to an earlier process of a member or an earlier revision,
    /// and after the faults all nodes agree on the actual state.
    #[test]
    fn faults_end_in_agreement(history in history()) {
        let fleet = run(&history);
        prop_assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
        let difference = difference(&fleet);
        prop_assert!(difference.is_empty(), "{}", difference);
        for node in fleet.running_nodes() {
            prop_assert!(node.member().state != MemberState::Gone);
        }
    }
}

/// Two runs of the same history make the same calls and send the same messages.
#[test]
fn same_seed_gives_the_same_run() {
    let steps = vec![(Step::Crash(3), 5), (Step::CutZones(0, 1), 9), (Step::Publish, 4)];
    let history =
        History { seed: 5, loss_percent: 5, repetition_percent: 5, extra_delay_ms: 100, steps };
    let (first, second) = (run(&history), run(&history));
    assert_eq!(first.counters(), second.counters());
    assert_eq!(first.platform.calls_by_kind, second.platform.calls_by_kind);
}
