//! All histories of three nodes in two zones with two accounts, up to a depth.

mod support;

use std::collections::BTreeSet;

use support::small::{Action, Small, limit};

/// Actions after the start with full buckets; each state is also probed for what can be spent.
const DEPTH: usize = 4;
const LEAST_STATES: usize = 50_000;

/// The first account has a part in each zone, the second in one. Refills within the lifetime of a
/// token exceed a token, so a token that is used late or twice shows. The last node holds a part
/// that falls to the first one when it leaves.
fn start() -> Small {
    let usual = vec![limit(200.0, 4), limit(4.0, 1)];
    let lower = vec![limit(100.0, 2), limit(2.0, 1)];
    let small = Small::new(3, 2, [usual, lower]);
    assert!(small.holds_part(2, 0));
    small
}

fn actions(small: &Small) -> Vec<Action> {
    let mut actions = vec![Action::Advance(10), Action::Advance(25), Action::Advance(700)];
    actions.extend([Action::Advance(5_000), Action::Change]);
    for node in 0..small.node_count() {
        for account in 0..small.account_count() {
            actions.push(Action::Request(node, account));
        }
        actions.extend([
            Action::GiveBack(node, 0, node == 1),
            Action::Cut(node),
            Action::Restart(node),
        ]);
        actions.extend([Action::Suspend(node), Action::Limit(node), Action::Learn(node)]);
    }
    for at in 0..small.messages.len().min(3) {
        actions.extend([Action::Deliver(at), Action::Lose(at), Action::Duplicate(at)]);
    }
    actions
}

/// Explores from a state; returns the number of states.
fn explore(start: Small) -> usize {
    let mut seen = BTreeSet::new();
    let mut level = vec![(start, Vec::new())];
    for depth in 1..=DEPTH {
        let mut next = Vec::new();
        for (small, history) in &level {
            for action in actions(small) {
                let mut reached: Small = small.clone();
                reached.apply(action);
                if !seen.insert(reached.fingerprint()) {
                    continue;
                }
                let mut history: Vec<Action> = history.clone();
                history.push(action);
                let violation = reached.violation.clone().or_else(|| reached.probe());
                assert_eq!(violation, None, "after {history:?}");
                if depth < DEPTH {
                    next.push((reached, history));
                }
            }
        }
        println!("depth {depth}: {} states in all", seen.len());
        level = next;
    }
    seen.len()
}

#[test]
fn no_history_from_full_buckets_exceeds_the_bound() {
    assert!(explore(start()) >= LEAST_STATES);
}

#[test]
fn no_history_from_a_part_that_is_used_up_exceeds_the_bound() {
    let mut small = start();
    for _ in 0..2 {
        small.apply(Action::Request(2, 0));
    }
    assert_eq!(small.granted, 2);
    assert!(explore(small) >= LEAST_STATES);
}

#[test]
fn a_limit_that_adds_parts_keeps_the_bound_beside_nodes_that_lag() {
    // The higher limit has two parts of 20.5/s, the lower one part of 39/s; of five accounts some
    // have the two at different nodes.
    let limits = [vec![limit(41.0, 10); 5], vec![limit(39.0, 10); 5]];
    for raised in [vec![0], vec![1], vec![2], vec![0, 1], vec![0, 2], vec![1, 2]] {
        for millis in [120, 700, 1_500] {
            let mut small = Small::new(3, 1, limits.clone());
            for node in 0..3 {
                small.apply(Action::Limit(node));
            }
            small.apply(Action::Advance(5_000));
            for node in &raised {
                small.apply(Action::Limit(*node));
            }
            small.apply(Action::Advance(millis));
            assert_eq!(small.probe(), None, "{raised:?} raised for {millis} ms");
        }
    }
}
