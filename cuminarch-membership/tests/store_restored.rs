//! A store that is restored from a backup some seconds old, in virtual time.

mod roster_world;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_membership::{
    FleetAction, FleetEvent, FleetSettings, ObjectVersion, PlatformCall, PlatformReply, Roster,
    ZoneMembers, ZoneObject,
};
use cuminarch_protocol::{ControlMessage, Heartbeat, Member, MemberState, UpstreamState};
use cuminarch_types::{EndpointId, MonoTime, Revision, StoreEra};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use roster_world::{World, member, name, record, settled};
use rstest::rstest;

/// Time limit for entries to be restored: the platform specifies about two seconds.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for a configuration to be in force.
const CONFIG_APPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Covers backups of various ages, including one from before all nodes wrote their objects.
#[rstest]
#[case::a_second(1)]
#[case::five_seconds(5)]
#[case::before_the_first_write(20)]
fn objects_that_were_lost_are_written_again(#[case] age_s: u64) {
    let mut world = settled(9);
    world.feed(&name(2), FleetEvent::Upstream(record(UpstreamState::Draining)));
    world.run(Duration::from_millis(500));
    world.restore_store(Duration::from_secs(age_s));
    world.run(RECOVERY_TIMEOUT);
    for index in 0..9 {
        let state = if index == 2 { UpstreamState::Draining } else { UpstreamState::Ready };
        assert!(world.is_stored(index, state), "node-{index}");
    }
}

#[test]
fn second_restore_right_after_the_first_is_detected() {
    let mut world = settled(9);
    world.restore_store(Duration::from_secs(20));
    world.run(Duration::from_millis(700));
    world.restore_store(Duration::from_secs(20));
    world.run(RECOVERY_TIMEOUT);
    assert!((0..9).all(|index| world.is_stored(index, UpstreamState::Ready)));
}

/// A watch from before the restore keeps waiting while the store's version passes its own.
#[test]
fn configuration_written_right_after_a_restore_is_in_force_in_time() {
    let mut world = settled(1);
    world.store.advance_version(50);
    world.run(Duration::from_secs(6));
    world.restore_store(Duration::from_secs(20));
    world.publish(2);
    world.store.advance_version(100);
    world.run(CONFIG_APPLY_TIMEOUT);
    assert!(world.all_have(2), "{:?}", world.in_force);
}

#[test]
fn configuration_never_goes_back_even_at_a_node_started_after_a_restore() {
    let mut world = settled(9);
    world.publish(2);
    world.run(Duration::from_secs(2));
    assert!(world.all_have(2));
    world.restore_store(Duration::from_millis(2_500));
    world.start(9, 1);
    world.run(CONFIG_APPLY_TIMEOUT);
    assert!(world.all_have(2));
    assert!(!world.ever_in_force.contains(&(name(9), Revision::new(1))));
}

/// All nodes restart, so no peer has a newer configuration.
#[test]
fn restarted_fleet_applies_the_stored_configuration() {
    let mut world = settled(9);
    world.publish(2);
    world.run(Duration::from_secs(2));
    world.restore_store(Duration::from_millis(2_500));
    (0..9).for_each(|index| world.start(index, 2));
    world.run(Duration::from_secs(1));
    assert!(world.all_have(1), "{:?}", world.in_force);
}

/// The backup shows a member as ready that has left since, and its host is gone.
#[test]
fn departure_lost_by_a_restore_is_written_again() {
    let mut world = settled(9);
    world.run(Duration::from_secs(12));
    world.feed(&name(4), FleetEvent::Upstream(record(UpstreamState::Absent)));
    world.feed(&name(4), FleetEvent::Stop);
    world.nodes.remove(&name(4));
    world.run(Duration::from_secs(1));
    world.restore_store(Duration::from_secs(3));
    assert!(world.is_stored(4, UpstreamState::Ready));
    world.run(RECOVERY_TIMEOUT);
    assert!(!world.store.object(&name(4)).unwrap().takes_work());
}

/// Writes from before the restore are executed after it.
#[test]
fn late_write_from_before_a_restore_is_overwritten() {
    let mut world = settled(9);
    world.delays_writes = true;
    for state in [UpstreamState::Draining, UpstreamState::Absent] {
        world.feed(&name(1), FleetEvent::Upstream(record(state)));
        world.run(Duration::from_millis(300));
    }
    world.restore_store(Duration::from_secs(20));
    world.delays_writes = false;
    world.run(Duration::from_secs(5));
    assert!(world.is_stored(1, UpstreamState::Absent));
    assert!((2..9).all(|index| world.is_stored(index, UpstreamState::Ready)));
}

/// Stale reads return the state from before the restore for a while.
#[test]
fn stale_read_from_before_a_restore_changes_nothing() {
    let mut world = settled(9);
    world.store.lag = Duration::from_secs(3);
    world.restore_store(Duration::from_secs(20));
    world.run(Duration::from_secs(6));
    assert!((0..9).all(|index| world.is_stored(index, UpstreamState::Ready)));
}

/// A zone that cannot reach the store learns of the new era from other zones, and makes
/// its own calls once it can.
#[test]
fn disconnected_zone_writes_again_when_reconnected() {
    let mut world = settled(9);
    world.cut = [0, 3, 6].map(name).into();
    world.restore_store(Duration::from_secs(20));
    world.run(Duration::from_secs(3));
    world.cut.clear();
    world.run(RECOVERY_TIMEOUT);
    assert!((0..9).all(|index| world.is_stored(index, UpstreamState::Ready)));
}

/// A restore costs each node one write; only the first node of each zone reads all members.
#[test]
fn restore_costs_little_more_than_one_write_per_node() {
    let mut world = settled(60);
    world.run(Duration::from_secs(3));
    let cost_before = world.cost_tenths;
    world.run(Duration::from_secs(4));
    let idle_cost = world.cost_tenths - cost_before;
    world.restore_store(Duration::from_secs(1));
    world.run(Duration::from_secs(4));
    let cost = world.cost_tenths - cost_before - 2 * idle_cost;
    println!("cost of a restore in tenths of a call: {cost} for 60 nodes");
    assert!(cost <= 60 * 10 * 5 / 4, "{cost}");
}

/// Only the store determines the era: a wrong one from a peer costs one write.
#[test]
fn era_reported_only_by_a_peer_is_not_trusted() {
    let mut world = settled(3);
    let calls = world.calls;
    let store_era = StoreEra::new(99);
    let heartbeat = Heartbeat { store_era, revision: Revision::new(1), ..Heartbeat::default() };
    let message = ControlMessage::Heartbeat(heartbeat);
    world.feed(&name(0), FleetEvent::Received(name(1), message));
    world.run(Duration::from_secs(5));
    let made = world.calls - calls;
    assert!(made < 30, "{made} calls in 5 s");
    assert!((0..3).all(|index| world.is_stored(index, UpstreamState::Ready)));
}

/// Returns `true` if a node requests a write of a member's object on an event or within
/// two seconds after it.
fn writes(roster: &mut Roster, of: &EndpointId, event: FleetEvent, now: MonoTime) -> bool {
    let mut actions = roster.handle(event, now);
    let ticks = (RECOVERY_TIMEOUT.as_micros() / Roster::TICK.as_micros()) as u32;
    for tick in 1..=ticks {
        actions.extend(roster.handle(FleetEvent::Tick, now.after(Roster::TICK * tick)));
    }
    actions.iter().any(|action| {
        matches!(action, FleetAction::Platform(PlatformCall::PutMember(member, _))
            if member.endpoint == *of)
    })
}

fn version(era: u64, number: u64) -> ObjectVersion {
    ObjectVersion::new(number).with_era(StoreEra::new(era))
}

/// Returns a node with a write in flight that already knows the store's era.
fn node_with_write_in_flight(now: MonoTime) -> (Roster, PlatformCall) {
    let mut roster = Roster::new(FleetSettings::new("tests"), member(0, 1), now);
    roster.handle(FleetEvent::StoreEra(StoreEra::new(1)), now);
    let now = now.after(Roster::TICK);
    let actions = roster.handle(FleetEvent::Upstream(record(UpstreamState::Ready)), now);
    let write = actions.into_iter().find_map(|action| match action {
        FleetAction::Platform(call @ PlatformCall::PutMember(..)) => Some(call),
        _ => None,
    });
    (roster, write.expect("the node should write its object"))
}

/// The answer to a write that a restore lost arrives after the new era is known.
#[rstest]
#[case::previous_era(1, true)]
#[case::current_era(2, false)]
fn a_write_counts_only_in_its_own_era(#[case] answered_in: u64, #[case] is_repeated: bool) {
    let now = MonoTime::from_millis(1_000);
    let (mut roster, write) = node_with_write_in_flight(now);
    roster.handle(FleetEvent::StoreEra(StoreEra::new(2)), now);
    let reply = PlatformReply::MembersWritten(version(answered_in, 40));
    let answered = FleetEvent::Platform(write, reply);
    assert_eq!(writes(&mut roster, &name(0), answered, now), is_repeated);
}

/// A read from before the restore shows a member as ready that has left; its version is
/// not valid in the current era.
#[rstest]
#[case::previous_era(1, false)]
#[case::current_era(2, true)]
fn members_are_repaired_only_with_versions_of_the_current_era(
    #[case] read_in: u64,
    #[case] is_repaired: bool,
) {
    let now = MonoTime::from_millis(1_000);
    let mut roster = Roster::new(FleetSettings::new("tests"), member(0, 1), now);
    roster.handle(FleetEvent::StoreEra(StoreEra::new(2)), now);
    for (statement, state) in [(0, MemberState::Active), (1, MemberState::Gone)] {
        let stated = Member { statement, ..member(3, 1) }.with_state(state);
        let message = ControlMessage::Members(vec![Arc::new(stated)]);
        roster.handle(FleetEvent::Received(name(3), message), now);
    }
    let upstream = Some(record(UpstreamState::Ready));
    let ready = Arc::new(Member { upstream, ..member(3, 1) });
    let value = ZoneMembers { zone: ready.zone.clone(), members: vec![ready] };
    let object = ZoneObject { version: version(read_in, 30), value };
    let reply = PlatformReply::Members { version: version(read_in, 40), zones: vec![object] };
    let read = FleetEvent::Platform(PlatformCall::ListMembersLagging, reply);
    assert_eq!(writes(&mut roster, &name(3), read, now), is_repaired);
}

#[test]
fn an_object_that_another_writer_replaced_is_written_again() {
    let mut world = settled(3);
    world.run(Duration::from_secs(3));
    world.store.overwrite(member(0, 1));
    world.run(Duration::from_secs(13));
    assert!(world.is_stored(0, UpstreamState::Ready));
}

/// A random history of faults and the state it has produced.
struct History {
    world: World,
    rng: ChaCha8Rng,
    /// Incarnation of the current process of each node.
    incarnations: BTreeMap<usize, u64>,
    states: BTreeMap<usize, UpstreamState>,
    published: u64,
}

impl History {
    const NODES: usize = 7;

    fn new(seed: u64) -> Self {
        let nodes = 0..Self::NODES;
        Self {
            world: settled(Self::NODES),
            rng: ChaCha8Rng::seed_from_u64(seed),
            incarnations: nodes.clone().map(|index| (index, 1)).collect(),
            states: nodes.map(|index| (index, UpstreamState::Ready)).collect(),
            published: 1,
        }
    }

    fn step(&mut self) {
        let index = self.rng.random_range(0..Self::NODES);
        match self.rng.random_range(0..7) {
            0 => {
                let age = Duration::from_millis(self.rng.random_range(0..6_000));
                self.world.restore_store(age);
            }
            1 => {
                self.published += 1;
                self.world.publish(self.published);
            }
            2 => self.world.delays_writes = !self.world.delays_writes,
            3 => {
                let cut = &mut self.world.cut;
                if !cut.remove(&name(index)) {
                    cut.insert(name(index));
                }
            }
            4 => self.restart(index),
            5 => self.world.store.lag = Duration::from_millis(self.rng.random_range(0..3_000)),
            _ => self.drain(index),
        }
        let pause = Duration::from_millis(self.rng.random_range(50..1_500));
        self.world.run(pause);
    }

    fn restart(&mut self, index: usize) {
        let incarnation = self.incarnations.get_mut(&index).unwrap();
        *incarnation += 1;
        self.world.start(index, *incarnation);
        self.world.run(Roster::TICK);
        let state = self.states[&index];
        self.world.feed(&name(index), FleetEvent::Upstream(record(state)));
    }

    fn drain(&mut self, index: usize) {
        self.states.insert(index, UpstreamState::Draining);
        let event = FleetEvent::Upstream(record(UpstreamState::Draining));
        self.world.feed(&name(index), event);
    }

    /// Ends all faults; the operator rewrites the configuration that the store may have lost.
    fn end(&mut self) {
        self.world.delays_writes = false;
        self.world.cut.clear();
        self.world.store.lag = Duration::ZERO;
        self.world.publish(self.published);
        self.world.run(Duration::from_secs(15));
    }
}

/// After any sequence of faults, the store and all nodes have the actual state of each
/// node, and the newest configuration is in force everywhere. [`World`] checks at each
/// step that no process returns to an earlier revision.
#[rstest]
fn random_histories_converge(#[values(1, 2, 3, 4)] block: u64) {
    for seed in block * 1_000..block * 1_000 + 25 {
        let mut history = History::new(seed);
        (0..25).for_each(|_| history.step());
        history.end();
        assert!(history.world.all_have(history.published), "seed {seed}");
        for (index, state) in &history.states {
            assert!(history.world.is_stored(*index, *state), "seed {seed}: node-{index}");
            assert!(history.world.all_know(*state, *index), "seed {seed}: node-{index}");
        }
    }
}

#[test]
fn stopped_endpoint_is_not_alive_to_a_starting_node() {
    let mut world = settled(6);
    world.feed(&name(2), FleetEvent::Upstream(record(UpstreamState::Absent)));
    world.feed(&name(2), FleetEvent::Stop);
    world.nodes.remove(&name(2));
    world.run(Duration::from_secs(1));
    world.restore_store(Duration::from_secs(3));
    world.start(5, 2);
    world.run(Duration::from_secs(1));
    let views: &BTreeMap<(EndpointId, EndpointId), _> = &world.views;
    let view = &views[&(name(5), name(2))];
    assert!(!view.takes_work() || view.state == MemberState::Gone, "{view:?}");
}
