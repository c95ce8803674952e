//! When a change of the configuration comes into force on the nodes that reach the store, while others
//! have just lost it.

mod roster_world;

use std::collections::BTreeSet;
use std::time::Duration;

use cuminarch_membership::{
    FleetAction, FleetEvent, FleetSettings, PlatformCall, PlatformReply, Roster,
};
use cuminarch_protocol::{ControlMessage, Heartbeat, UpstreamState};
use cuminarch_types::{EndpointId, MonoTime, ObjectVersion, Revision};
use roster_world::{World, document, member, name, record, settled};
use rstest::rstest;

/// Time limit for a change to be in force, as in the settings of the nodes.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Moments between two watches at which the store is lost.
const MOMENTS: u32 = 10;
const MOMENT: Duration = Duration::from_millis(150);
const OBSERVATION: Duration = Duration::from_secs(7);

/// How nodes lose the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Loss {
    /// Calls get no answer.
    Silent,
    /// Calls are refused.
    Refused,
    /// The nodes stand still.
    Frozen,
    /// The processes are killed.
    Killed,
}

fn lose(world: &mut World, lost: &BTreeSet<EndpointId>, loss: Loss) {
    match loss {
        Loss::Silent => world.silent.extend(lost.iter().cloned()),
        Loss::Refused => world.cut.extend(lost.iter().cloned()),
        Loss::Frozen => world.frozen.extend(lost.iter().cloned()),
        Loss::Killed => world.nodes.retain(|node, _| !lost.contains(node)),
    }
}

/// Returns the longest delay until revision 2 is in force on the nodes that are not in `lost`.
fn longest_delay(world: &World, lost: &BTreeSet<EndpointId>, published_at: MonoTime) -> Duration {
    let others = world.nodes.keys().filter(|node| !lost.contains(*node));
    let delay = |node: &EndpointId| {
        let at = world.in_force_at.get(&(node.clone(), Revision::new(2)));
        at.map_or(Duration::MAX, |at| at.since(published_at))
    };
    others.map(delay).max().unwrap()
}

/// Publishes a change right after `lost` have lost the store, at several moments between two watches.
fn worst_delay(
    nodes: usize,
    prepare: impl Fn(&mut World),
    choose: impl Fn(&World) -> BTreeSet<EndpointId>,
    loss: Loss,
) -> Duration {
    let delays = (0..MOMENTS).map(|moment| {
        let mut world = settled(nodes);
        prepare(&mut world);
        world.run(Duration::from_secs(3) + MOMENT * moment);
        let lost = choose(&world);
        lose(&mut world, &lost, loss);
        let published_at = world.now;
        world.publish(2);
        world.run(OBSERVATION);
        longest_delay(&world, &lost, published_at)
    });
    delays.max().unwrap()
}

fn all_watchers(world: &World) -> BTreeSet<EndpointId> {
    (0..3).flat_map(|zone| world.watchers(&format!("zone-{zone}"))).collect()
}

#[rstest]
fn a_change_is_in_force_in_time_although_its_readers_have_just_lost_the_store(
    #[values(12, 60)] nodes: usize,
    #[values(Loss::Silent, Loss::Refused, Loss::Frozen, Loss::Killed)] loss: Loss,
) {
    let delay = worst_delay(nodes, |_| {}, all_watchers, loss);
    println!("{nodes} nodes, {loss:?}: {delay:?}");
    assert!(delay <= CONFIG_APPLY, "{delay:?}");
}

#[rstest]
fn a_change_is_in_force_in_time_in_a_zone_that_is_cut_off(
    #[values(9, 60)] nodes: usize,
    #[values(Loss::Silent, Loss::Frozen)] loss: Loss,
) {
    let cut_off = |world: &mut World| {
        world.islands.insert("zone-0".parse().unwrap());
    };
    let choose = |world: &World| world.watchers("zone-0").into_iter().collect();
    let delay = worst_delay(nodes, cut_off, choose, loss);
    println!("{nodes} nodes, {loss:?}: {delay:?}");
    assert!(delay <= CONFIG_APPLY, "{delay:?}");
}

#[rstest]
fn the_last_node_that_reaches_the_store_passes_a_change_on_in_time(
    #[values(12, 120)] nodes: usize,
) {
    let delays = (0..MOMENTS).map(|moment| {
        let mut world = settled(nodes);
        world.run(Duration::from_secs(3) + MOMENT * moment);
        let lost: BTreeSet<EndpointId> = (1..nodes).map(name).collect();
        lose(&mut world, &lost, Loss::Refused);
        let published_at = world.now;
        world.publish(2);
        world.run(OBSERVATION);
        longest_delay(&world, &BTreeSet::new(), published_at)
    });
    let delay = delays.max().unwrap();
    println!("{nodes} nodes: {delay:?}");
    assert!(delay <= CONFIG_APPLY, "{delay:?}");
}

#[rstest]
fn a_process_that_read_an_old_configuration_soon_replaces_it(#[values(6, 60)] nodes: usize) {
    let mut world = settled(nodes);
    world.store.lag = Duration::from_secs(6);
    world.run(Duration::from_secs(5));
    world.publish(2);
    world.run(Duration::from_secs(1));
    for index in 0..nodes {
        world.nodes.remove(&name(index));
    }
    for index in 0..nodes {
        world.start(index, 2);
    }
    let started_at = world.now;
    world.run(Duration::from_secs(10));
    let delay = longest_delay(&world, &BTreeSet::new(), started_at);
    println!("{nodes} nodes: {delay:?}");
    assert!(delay <= CONFIG_APPLY, "{delay:?}");
}

#[rstest]
fn writes_without_an_answer_delay_no_read(#[values(12, 60)] nodes: usize) {
    let write = |world: &mut World| {
        world.delays_writes = true;
        for index in 0..nodes {
            world.feed(&name(index), FleetEvent::Upstream(record(UpstreamState::Draining)));
        }
    };
    let delay = worst_delay(nodes, write, all_watchers, Loss::Silent);
    assert!(delay <= CONFIG_APPLY, "{delay:?}");
}

#[test]
fn a_process_that_knows_no_other_verifies_its_first_configuration() {
    let mut world = World::new(1);
    world.publish(1);
    world.run(Duration::from_secs(7));
    world.store.lag = Duration::from_secs(6);
    world.publish(2);
    world.run(Duration::from_secs(1));
    world.start(0, 2);
    let started_at = world.now;
    world.run(Duration::from_secs(5));
    let delay = longest_delay(&world, &BTreeSet::new(), started_at);
    assert!(delay <= CONFIG_APPLY + Roster::TICK, "{delay:?}");
}

/// A node that knows one other member and has read revision 1 at `now`.
fn reading_roster(now: MonoTime) -> Roster {
    let mut roster = Roster::new(FleetSettings::new("tests"), member(0, 1), now);
    let other = std::sync::Arc::new(member(3, 1));
    let members = ControlMessage::Members(vec![other]);
    roster.handle(FleetEvent::Received(name(3), members), now);
    let version = ObjectVersion::new(5);
    let reply = PlatformReply::Config { version, document: Some(document(1)) };
    roster.handle(FleetEvent::Platform(PlatformCall::VerifyConfig, reply), now);
    let heartbeat = Heartbeat { revision: Revision::new(1), ..Heartbeat::default() };
    roster.handle(FleetEvent::Received(name(3), ControlMessage::Ack(heartbeat)), now);
    roster
}

fn verified_age_ms(roster: &Roster, now: MonoTime) -> Option<u64> {
    roster.summary(now).config_currency.verified_age_ms
}

fn statement(age_ms: u32) -> Heartbeat {
    let revision = Revision::new(1);
    Heartbeat { revision, verified_age_ms: Some(age_ms), ..Heartbeat::default() }
}

#[test]
fn a_statement_that_was_on_its_way_for_long_is_no_evidence() {
    let start = MonoTime::from_millis(1_000);
    let mut roster = reading_roster(start);
    let now = start.after(Duration::from_millis(900));
    let held = verified_age_ms(&roster, now);
    let message = ControlMessage::Heartbeat(statement(0));
    let actions = roster.handle(FleetEvent::Received(name(3), message), now);
    assert_eq!(verified_age_ms(&roster, now), held);
    let asks = |action: &FleetAction| matches!(action, FleetAction::Send(to, _, ControlMessage::Heartbeat(_)) if *to == name(3));
    assert!(actions.iter().any(asks), "{actions:?}");
    // The reply counts from the time of the question, not from its arrival.
    let later = now.after(Duration::from_millis(300));
    let message = ControlMessage::Ack(statement(100));
    roster.handle(FleetEvent::Received(name(3), message), later);
    assert_eq!(verified_age_ms(&roster, later), Some(400));
}

#[test]
fn replies_count_from_their_own_questions() {
    let start = MonoTime::from_millis(1_000);
    let mut roster = reading_roster(start);
    let at = |millis| start.after(Duration::from_millis(millis));
    let receive = |roster: &mut Roster, message, now| {
        roster.handle(FleetEvent::Received(name(3), message), now);
    };
    receive(&mut roster, ControlMessage::Heartbeat(statement(0)), at(600));
    receive(&mut roster, ControlMessage::Heartbeat(statement(0)), at(1_200));
    receive(&mut roster, ControlMessage::Ack(statement(0)), at(1_300));
    assert_eq!(verified_age_ms(&roster, at(1_300)), Some(700));
    receive(&mut roster, ControlMessage::Ack(statement(0)), at(1_400));
    assert_eq!(verified_age_ms(&roster, at(1_400)), Some(200));
    // A reply that nobody awaits proves nothing.
    receive(&mut roster, ControlMessage::Ack(statement(0)), at(1_500));
    assert_eq!(verified_age_ms(&roster, at(1_500)), Some(300));
}

#[test]
fn a_member_whose_link_did_not_reply_is_asked_again_at_once() {
    let now = MonoTime::from_millis(1_000);
    let mut roster = reading_roster(now);
    let actions = roster.handle(FleetEvent::LinkUnresponsive(name(3)), now);
    let asks = |action: &FleetAction| matches!(action, FleetAction::Send(to, _, ControlMessage::Heartbeat(_)) if *to == name(3));
    assert!(actions.iter().any(asks), "{actions:?}");
}

/// The host of a node is suspended between the answer of the store and its processing.
#[test]
fn an_answer_that_waited_in_the_node_counts_from_the_start_of_the_call() {
    let start = MonoTime::from_millis(1_000);
    let mut roster = reading_roster(start);
    let asked_at = start.after(Duration::from_secs(2));
    let actions = roster.handle(FleetEvent::Tick, asked_at);
    let reads =
        |action: &FleetAction| matches!(action, FleetAction::Platform(PlatformCall::VerifyConfig));
    assert!(actions.iter().any(reads), "{actions:?}");
    let resumed_at = asked_at.after(Duration::from_secs(5));
    let reply = PlatformReply::Config { version: ObjectVersion::new(6), document: None };
    roster.handle(FleetEvent::Platform(PlatformCall::VerifyConfig, reply), resumed_at);
    assert_eq!(verified_age_ms(&roster, resumed_at), Some(5_000));
}
