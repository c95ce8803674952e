//! Random histories of more nodes, zones and accounts than can be explored.

mod support;

use cuminarch_types::Allotment;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::small::{Action, Small, limit};

const HISTORIES: u32 = 400;
const ACTIONS: usize = 250;

fn action(nodes: usize, accounts: usize) -> impl Strategy<Value = Action> {
    let node = 0..nodes;
    let message = 0..12_usize;
    prop_oneof![
        30 => (0..nodes, 0..accounts).prop_map(|(node, account)| Action::Request(node, account)),
        3 => (0..nodes, 0..accounts, any::<bool>())
            .prop_map(|(node, account, newest)| Action::GiveBack(node, account, newest)),
        40 => message.clone().prop_map(Action::Deliver),
        3 => message.clone().prop_map(Action::Lose),
        4 => message.prop_map(Action::Duplicate),
        6 => prop_oneof![Just(1_u64), Just(10), Just(40), Just(125), Just(700), Just(2_500)]
            .prop_map(Action::Advance),
        1 => node.clone().prop_map(Action::Cut),
        1 => node.clone().prop_map(Action::Restart),
        1 => node.clone().prop_map(Action::Rejoin),
        1 => node.clone().prop_map(Action::Suspend),
        1 => node.clone().prop_map(Action::Limit),
        1 => Just(Action::Change),
        1 => node.prop_map(Action::Learn),
    ]
}

fn check(nodes: usize, zones: usize, limits: &[Vec<Allotment>; 2]) {
    let config = Config { cases: HISTORIES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[33; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let start = Small::new(nodes, zones, limits.clone());
    let histories = prop::collection::vec(action(nodes, limits[0].len()), ACTIONS);
    let granted = std::cell::Cell::new(0);
    let result = runner.run(&histories, |history| {
        let mut small = start.clone();
        for (step, action) in history.into_iter().enumerate() {
            small.apply(action);
            prop_assert_eq!(&small.violation, &None, "after step {}", step);
            if step % 50 == 49 {
                prop_assert_eq!(small.probe(), None, "probed after step {}", step);
            }
        }
        granted.set(granted.get() + small.granted);
        Ok(())
    });
    let granted = granted.get();
    println!("{nodes} nodes, {zones} zones: {granted} requests granted in {HISTORIES} histories");
    assert!(granted > u64::from(HISTORIES), "hardly a request was granted");
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn five_nodes_in_two_zones() {
    let usual = vec![limit(200.0, 4), limit(400.0, 40), limit(2.0, 1)];
    let lower = vec![limit(50.0, 2), limit(100.0, 10), limit(1.0, 1)];
    check(5, 2, &[usual, lower]);
}

#[test]
fn nine_nodes_in_four_zones() {
    let usual = vec![limit(400.0, 8), limit(800.0, 100)];
    let lower = vec![limit(100.0, 4), limit(100.0, 20)];
    check(9, 4, &[usual, lower]);
}

#[test]
fn six_nodes_without_a_division() {
    let usual = vec![limit(100.0, 2), limit(300.0, 30)];
    let lower = vec![limit(20.0, 1), limit(100.0, 10)];
    check(6, 1, &[usual, lower]);
}
