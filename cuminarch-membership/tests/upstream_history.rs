//! What a process that starts believes about the upstream beside it.

mod roster_world;

use std::time::Duration;

use HistoryEnd::{Complete, Unknown};
use cuminarch_membership::{FleetEvent, PendingUpstream};
use cuminarch_protocol::UpstreamState::{self, Absent, Draining, Ready};
use roster_world::{HistoryEnd, World, name, record, settled};
use rstest::rstest;

/// Incarnations are the milliseconds at which processes start; those of `settled` have 1.
const LATER: u64 = 5_000;

/// Ends the processes of these nodes, whose links end with them, and starts new ones, which know
/// nothing.
fn restart(world: &mut World, nodes: &[usize]) {
    for index in nodes {
        world.nodes.remove(&name(*index));
    }
    for node in world.nodes.keys().cloned().collect::<Vec<_>>() {
        nodes.iter().for_each(|index| world.feed(&node, FleetEvent::LinkLost(name(*index))));
    }
    for index in nodes {
        world.start(*index, LATER);
    }
}

fn set_store_silent(world: &mut World, is_silent: bool) {
    let nodes = (0..8).map(name);
    world.silent = nodes.filter(|_| is_silent).collect();
}

fn register(world: &mut World, sequence: Option<u64>) {
    let pending = PendingUpstream { record: record(Ready), sequence };
    world.feed(&name(3), FleetEvent::UpstreamPending(pending));
}

fn history_end(world: &World) -> Option<HistoryEnd> {
    world.history_ends.get(&name(3)).copied()
}

/// Guards against a late registration that a new process believes because the store is silent and
/// all others are new, too, and against a sound upstream that waits although someone knows it.
#[rstest]
#[case::store_answers(&[3], false, Duration::from_millis(500), Some(Complete))]
#[case::store_answers_and_all_are_new(&[0, 1, 2, 3, 4, 5, 6, 7], false, Duration::from_millis(4_500), None)]
#[case::store_answers_and_all_are_new_for_long(&[0, 1, 2, 3, 4, 5, 6, 7], false, Duration::from_millis(5_500), Some(Unknown))]
#[case::members_vouch(&[3], true, Duration::from_millis(1_750), Some(Complete))]
#[case::one_member_vouches(&[0, 1, 2, 3, 4, 5, 6], true, Duration::from_millis(3_000), Some(Complete))]
#[case::nobody_knows(&[0, 1, 2, 3, 4, 5, 6, 7], true, Duration::from_millis(4_500), None)]
#[case::nobody_knows_for_long(&[0, 1, 2, 3, 4, 5, 6, 7], true, Duration::from_millis(5_500), Some(Unknown))]
fn a_registration_counts_once_someone_knows_or_it_cannot_be_late(
    #[case] restarted: &[usize],
    #[case] is_silent: bool,
    #[case] span: Duration,
    #[case] expected: Option<HistoryEnd>,
) {
    let mut world = settled(8);
    set_store_silent(&mut world, is_silent);
    restart(&mut world, restarted);
    world.run(Duration::from_millis(300));
    register(&mut world, Some(7));
    world.run(span);
    assert_eq!(history_end(&world), expected);
}

/// Guards against a departure that was acknowledged but never stored, and that a store which has
/// returned before all processes start again seems to deny, and against a sound upstream that waits
/// longer than for its next registration.
#[rstest]
#[case::further_one(&[(300, Some(7)), (1_500, Some(8))], Some(Complete))]
#[case::further_one_later(&[(300, Some(7)), (3_000, Some(9))], Some(Complete))]
#[case::none(&[(300, Some(7))], None)]
#[case::late_one_out_of_order(&[(300, Some(7)), (1_500, Some(6))], None)]
#[case::same_one_again(&[(300, Some(7)), (1_500, Some(7))], None)]
#[case::held_up_together(&[(300, Some(7)), (100, Some(8))], None)]
#[case::without_numbers(&[(300, None), (1_500, None)], None)]
fn a_further_registration_shows_that_the_upstream_stays(
    #[case] registrations: &[(u64, Option<u64>)],
    #[case] expected: Option<HistoryEnd>,
) {
    let mut world = settled(8);
    restart(&mut world, &[0, 1, 2, 3, 4, 5, 6, 7]);
    for (wait_ms, sequence) in registrations {
        world.run(Duration::from_millis(*wait_ms));
        assert_eq!(history_end(&world), None);
        register(&mut world, *sequence);
    }
    world.run(Duration::from_millis(500));
    assert_eq!(history_end(&world), expected);
}

/// Guards against a new host whose upstream has to register twice: no earlier process can have
/// acknowledged anything.
#[test]
fn the_first_process_of_a_node_takes_its_upstream_for_ready_at_once() {
    let mut world = settled(8);
    world.start(8, LATER);
    world.run(Duration::from_millis(300));
    let pending = PendingUpstream { record: record(Ready), sequence: Some(1) };
    world.feed(&name(8), FleetEvent::UpstreamPending(pending));
    world.run(Duration::from_millis(500));
    assert_eq!(world.history_ends.get(&name(8)), Some(&Complete));
}

/// Guards against a store that returns with the state before the departure, and against members
/// that have read it there, being taken for proof.
#[test]
fn a_store_that_was_silent_at_the_start_proves_nothing_when_it_returns() {
    let mut world = settled(8);
    set_store_silent(&mut world, true);
    restart(&mut world, &[0, 1, 2, 3, 4, 5, 6, 7]);
    world.run(Duration::from_millis(300));
    register(&mut world, Some(7));
    world.run(Duration::from_millis(1_700));
    set_store_silent(&mut world, false);
    world.run(Duration::from_millis(2_500));
    assert_eq!(history_end(&world), None);
    world.run(Duration::from_secs(1));
    assert_eq!(history_end(&world), Some(Unknown));
}

/// Guards against members that forget a departure because a new process, which has not heard of it,
/// states the same lifetime to be ready.
#[rstest]
fn members_keep_a_departure_that_a_new_process_has_not_heard_of(
    #[values(Draining, Absent)] departure: UpstreamState,
) {
    let mut world = settled(8);
    set_store_silent(&mut world, true);
    world.feed(&name(3), FleetEvent::Upstream(record(departure)));
    world.run(Duration::from_millis(500));
    world.nodes.remove(&name(3));
    world.start(3, LATER);
    world.feed(&name(3), FleetEvent::Upstream(record(Ready)));
    world.run(Duration::from_secs(1));
    for index in [0, 1, 2, 4, 5, 6, 7] {
        let view = &world.views[&(name(index), name(3))];
        assert_eq!(view.upstream.as_ref().map(|upstream| upstream.state), Some(departure));
    }
}

fn stored_state(world: &World) -> Option<UpstreamState> {
    world.store.object(&name(3))?.upstream.as_ref().map(|upstream| upstream.state)
}

/// Guards against a departure that only its node knows while others reach the store: its
/// acknowledgement waits 400 ms for that.
#[rstest]
fn others_store_a_departure_if_the_store_is_silent_for_its_node(
    #[values(Draining, Absent)] departure: UpstreamState,
) {
    let mut world = settled(8);
    world.silent = [name(3)].into();
    world.feed(&name(3), FleetEvent::Upstream(record(departure)));
    world.run(Duration::from_millis(400));
    assert_eq!(stored_state(&world), Some(departure));
}

/// Guards against a departure that is still not stored when its process is killed soon after an outage:
/// a call has to time out, and the next one follows at once.
#[rstest]
fn a_departure_is_stored_soon_after_the_store_returns(
    #[values(2_000, 2_600, 3_200, 3_800, 4_400, 5_000)] outage_ms: u64,
) {
    let mut world = settled(8);
    set_store_silent(&mut world, true);
    world.feed(&name(3), FleetEvent::Upstream(record(Draining)));
    world.run(Duration::from_millis(outage_ms));
    assert_eq!(stored_state(&world), Some(Ready));
    set_store_silent(&mut world, false);
    world.run(Duration::from_millis(1_500));
    assert_eq!(stored_state(&world), Some(Draining));
}
