//! Model check of concurrent operators against a simulated platform: all short histories, and many
//! long random ones.

mod model;

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use model::{CallOutcome, Transition, World};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Explores all histories with at most `faults_left` faults and returns the number of end states.
fn explore(world: World, faults_left: u32, seen: &mut BTreeSet<u64>) -> u64 {
    let mut hasher = DefaultHasher::new();
    (world.state_key(), faults_left).hash(&mut hasher);
    if !seen.insert(hasher.finish()) {
        return 0;
    }
    let transitions = world.transitions(faults_left);
    if transitions.is_empty() {
        world.check_final_state();
        return 1;
    }
    let mut end_states = 0;
    for transition in transitions {
        let mut next = world.clone();
        next.apply(transition);
        next.check_invariants();
        end_states += explore(next, faults_left - transition.fault_count(), seen);
    }
    end_states
}

#[test]
fn two_operators_with_any_fault_at_any_step() {
    let mut seen = BTreeSet::new();
    let end_states = explore(World::new(2, 0), 2, &mut seen);
    assert!(end_states > 10, "{end_states} end states of {} states", seen.len());
}

#[test]
fn three_operators_in_every_order() {
    let mut seen = BTreeSet::new();
    let end_states = explore(World::new(3, 1), 0, &mut seen);
    assert!(end_states > 10, "{end_states} end states of {} states", seen.len());
}

#[test]
fn without_faults_one_of_two_operators_is_outdated_and_then_accepted() {
    let mut seen = BTreeSet::new();
    let mut stack = vec![World::new(2, 3)];
    while let Some(world) = stack.pop() {
        let transitions = world.transitions(0);
        if transitions.is_empty() {
            assert_eq!(world.accepted_count(), 2, "{world:?}");
            assert_eq!(world.outdated_count(), 1, "{world:?}");
        }
        for transition in transitions {
            let mut next = world.clone();
            next.apply(transition);
            if seen.insert(next.state_key()) {
                stack.push(next);
            }
        }
    }
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        10 => Just(CallOutcome::Done),
        2 => Just(CallOutcome::LostAnswer),
        2 => Just(CallOutcome::Down),
        2 => Just(CallOutcome::Delayed),
    ]
}

fn transition() -> impl Strategy<Value = Transition> {
    prop_oneof![
        30 => (0_usize..3, call_outcome())
            .prop_map(|(operator, call_outcome)| Transition::Call { operator, call_outcome }),
        3 => (0_usize..4).prop_map(|index| Transition::ExecuteDelayed { index }),
        1 => (0_usize..3).prop_map(|operator| Transition::ReachDeadline { operator }),
        1 => Just(Transition::Backup),
        1 => Just(Transition::Restore),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn three_operators_at_random(transitions in proptest::collection::vec(transition(), 0..120)) {
        let mut world = World::new(3, 2);
        for transition in transitions {
            if world.is_enabled(transition) {
                world.apply(transition);
                world.check_invariants();
            }
        }
        world.run_to_end();
        world.check_final_state();
    }
}
