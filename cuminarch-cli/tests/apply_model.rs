//! Histories of several operators against a model of the platform: all short
//! ones, and many long ones at random.

mod model;

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use model::{Choice, Fate, World};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Goes through all histories of the world with at most so many faults.
fn explore(world: World, faults_left: u32, seen: &mut BTreeSet<u64>) -> u64 {
    let mut hasher = DefaultHasher::new();
    (world.key(), faults_left).hash(&mut hasher);
    if !seen.insert(hasher.finish()) {
        return 0;
    }
    let choices = world.choices(faults_left);
    if choices.is_empty() {
        world.check_end();
        return 1;
    }
    let mut ends = 0;
    for choice in choices {
        let mut next = world.clone();
        next.act(choice);
        next.check();
        ends += explore(next, faults_left - choice.faults(), seen);
    }
    ends
}

#[test]
fn two_operators_with_every_fault_in_every_place() {
    let mut seen = BTreeSet::new();
    let ends = explore(World::new(2, 0), 2, &mut seen);
    assert!(ends > 10, "{ends} ends of {} states", seen.len());
}

#[test]
fn three_operators_in_every_order() {
    let mut seen = BTreeSet::new();
    let ends = explore(World::new(3, 1), 0, &mut seen);
    assert!(ends > 10, "{ends} ends of {} states", seen.len());
}

#[test]
fn without_faults_one_of_two_operators_wins_and_the_other_follows() {
    let mut seen = BTreeSet::new();
    let mut stack = vec![World::new(2, 3)];
    while let Some(world) = stack.pop() {
        let choices = world.choices(0);
        if choices.is_empty() {
            assert_eq!(world.accepted(), 2, "{world:?}");
            assert_eq!(world.outdated(), 1, "{world:?}");
        }
        for choice in choices {
            let mut next = world.clone();
            next.act(choice);
            if seen.insert(next.key()) {
                stack.push(next);
            }
        }
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        10 => Just(Fate::Done),
        2 => Just(Fate::LostAnswer),
        2 => Just(Fate::Down),
        2 => Just(Fate::Delayed),
    ]
}

fn choice() -> impl Strategy<Value = Choice> {
    prop_oneof![
        30 => (0_usize..3, fate()).prop_map(|(operator, fate)| Choice::Step { operator, fate }),
        3 => (0_usize..4).prop_map(|index| Choice::Land { index }),
        1 => (0_usize..3).prop_map(|operator| Choice::TimeUp { operator }),
        1 => Just(Choice::Backup),
        1 => Just(Choice::Restore),
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
    fn three_operators_at_random(choices in proptest::collection::vec(choice(), 0..120)) {
        let mut world = World::new(3, 2);
        for choice in choices {
            if world.allows(choice) {
                world.act(choice);
                world.check();
            }
        }
        world.run_to_end();
        world.check_end();
    }
}
