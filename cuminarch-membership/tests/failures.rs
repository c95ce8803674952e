//! Failures of members, links, zones and the platform, in virtual time.

mod support;

use std::time::Duration;

use cuminarch_membership::FleetNotice;
use cuminarch_protocol::MemberState;
use cuminarch_testing::VirtualFleet;
use cuminarch_types::{Revision, ZoneName};
use support::{
    ZONES, difference, document, endpoint, has_converged, member, relays_of, settled, users,
};

const SECOND: Duration = Duration::from_secs(1);

fn zone(index: usize) -> ZoneName {
    ZONES[index].0.parse().expect("a zone")
}

fn cut_off(fleet: &mut VirtualFleet, lost: usize) {
    for other in (0..ZONES.len()).filter(|other| *other != lost) {
        fleet.network.partition_zones(&zone(lost), &zone(other));
    }
}

#[test]
fn crashed_member_is_given_up() {
    let mut fleet = settled(30, 5, 1);
    fleet.crash(7);
    fleet.run_for(12 * SECOND);
    assert_eq!(users(&fleet, 7), 0);
    assert!(has_converged(&fleet), "{}", difference(&fleet));
}

#[test]
fn all_relays_of_a_zone_crash_at_once() {
    let mut fleet = settled(60, 5, 2);
    for relay in relays_of(&fleet, "zrh-b") {
        fleet.crash(relay);
    }
    fleet.run_for(40 * SECOND);
    assert!(has_converged(&fleet), "{}", difference(&fleet));
    fleet.publish_config(document(2, 9));
    fleet.run_for(5 * SECOND);
    assert!(fleet.running_nodes().all(|node| node.revision == Revision::new(2)));
}

#[test]
fn leaving_member_gets_no_work_after_two_seconds_without_platform() {
    let mut fleet = settled(60, 5, 3);
    fleet.set_platform_down(true);
    fleet.run_for(60 * SECOND);
    fleet.leave(11);
    fleet.run_for(2 * SECOND);
    assert_eq!(users(&fleet, 11), 0);
}

#[test]
fn paused_member_recovers_and_suspects_nobody() {
    let mut fleet = settled(30, 5, 4);
    let relay = relays_of(&fleet, "brn-a")[0];
    fleet.pause(relay, 40 * SECOND);
    fleet.run_for(30 * SECOND);
    assert_eq!(fleet.nodes()[relay].member().state, MemberState::Active);
    assert_eq!(users(&fleet, relay), 1, "only the paused relay itself");
    let suspected = fleet.count_notices(|notice| matches!(notice, FleetNotice::Suspected(_)));
    fleet.run_for(30 * SECOND);
    assert!(has_converged(&fleet), "{}", difference(&fleet));
    let later = fleet.count_notices(|notice| matches!(notice, FleetNotice::Suspected(_)));
    assert_eq!(later, suspected);
}

#[test]
fn restarted_process_replaces_the_earlier_one() {
    let mut fleet = settled(30, 5, 5);
    let replaced = endpoint(&fleet, 3);
    fleet.restart(3);
    fleet.run_for(5 * SECOND);
    for node in fleet.running_nodes() {
        assert_eq!(node.observed_members[&replaced].incarnation.get(), 2);
    }
    assert!(has_converged(&fleet), "{}", difference(&fleet));
}

#[test]
fn one_way_link_to_a_relay_is_no_reason_to_suspect() {
    let mut fleet = settled(30, 5, 6);
    let relays = relays_of(&fleet, "zrh-a");
    let node = (0..30).step_by(5).find(|index| !relays.contains(index)).unwrap();
    let (from, to) = (endpoint(&fleet, relays[0]), endpoint(&fleet, node));
    fleet.network.block_link(&from, &to);
    fleet.run_for(30 * SECOND);
    fleet.network.heal();
    fleet.network.block_link(&to, &from);
    fleet.run_for(30 * SECOND);
    assert_eq!(fleet.count_notices(|notice| matches!(notice, FleetNotice::Suspected(_))), 0);
    assert!(has_converged(&fleet), "{}", difference(&fleet));
}

#[test]
fn isolated_relay_suspects_nobody() {
    let mut fleet = settled(30, 5, 7);
    let relay = relays_of(&fleet, "nordvest-a")[0];
    let own = endpoint(&fleet, relay);
    for other in (0..30).filter(|other| *other != relay) {
        let other = endpoint(&fleet, other);
        fleet.network.block_link(&own, &other);
        fleet.network.block_link(&other, &own);
    }
    fleet.run_for(30 * SECOND);
    let is_suspicion = |notice: &FleetNotice| matches!(notice, FleetNotice::Suspected(_));
    let by_relay = fleet.nodes()[relay].notices.iter().filter(|(_, notice)| is_suspicion(notice));
    assert_eq!(by_relay.count(), 0);
    fleet.network.heal();
    fleet.run_for(30 * SECOND);
    assert!(has_converged(&fleet), "{}", difference(&fleet));
}

#[test]
fn cut_zone_is_not_used_but_remembered() {
    let mut fleet = settled(60, 5, 8);
    cut_off(&mut fleet, 1);
    fleet.run_for(20 * SECOND);
    for node in fleet.running_nodes() {
        for other in fleet.running_nodes() {
            let is_same_side = (node.member().zone == zone(1)) == (other.member().zone == zone(1));
            let state = node.state_of(&other.member().endpoint);
            let expected = if is_same_side { MemberState::Active } else { MemberState::Gone };
            assert_eq!(state, expected);
        }
    }
    let given_up = |notice: &FleetNotice| matches!(notice, FleetNotice::GivenUp(_));
    assert_eq!(fleet.count_notices(given_up), 0);
    fleet.network.heal();
    fleet.run_for(15 * SECOND);
    assert!(has_converged(&fleet), "{}", difference(&fleet));
}

#[test]
fn cut_region_heals_after_changes_on_both_sides() {
    let mut fleet = settled(60, 5, 9);
    for (left, right) in [(0, 3), (0, 4), (1, 3), (1, 4), (2, 3), (2, 4)] {
        fleet.network.partition_zones(&zone(left), &zone(right));
    }
    fleet.run_for(60 * SECOND);
    fleet.crash(0);
    fleet.crash(3);
    fleet.restart(8);
    for index in 60..64 {
        fleet.add_node(member(index, 5));
    }
    fleet.run_for(60 * SECOND);
    fleet.network.heal();
    fleet.run_for(20 * SECOND);
    assert!(has_converged(&fleet), "{}", difference(&fleet));
}

#[test]
fn zone_without_platform_gets_the_configuration_from_others() {
    let mut fleet = settled(60, 5, 10);
    fleet.platform.disconnected_zones.insert(zone(2));
    fleet.platform.disconnected_zones.insert(zone(3));
    fleet.run_for(60 * SECOND);
    fleet.publish_config(document(2, 9));
    fleet.run_for(12 * SECOND);
    assert!(fleet.running_nodes().all(|node| node.revision == Revision::new(2)));
}

#[test]
fn store_restored_from_a_backup_does_not_bring_an_earlier_revision_back() {
    let mut fleet = settled(30, 5, 11);
    fleet.publish_config(document(3, 9));
    fleet.run_for(10 * SECOND);
    fleet.publish_config(document(2, 8));
    fleet.run_for(10 * SECOND);
    fleet.restart(4);
    fleet.run_for(10 * SECOND);
    assert!(fleet.running_nodes().all(|node| node.revision == Revision::new(3)));
    let mut other = document(3, 10);
    other.change = "another".parse().unwrap();
    fleet.publish_config(other);
    fleet.run_for(10 * SECOND);
    let conflict = FleetNotice::ConfigConflict(Revision::new(3));
    assert!(fleet.count_notices(|notice| *notice == conflict) > 0);
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
}

#[test]
fn changes_after_a_restore_come_into_force_and_zones_report_again() {
    let mut fleet = settled(30, 5, 11);
    fleet.publish_config(document(2, 9));
    fleet.run_for(12 * SECOND);
    fleet.platform.back_up();
    for revision in 3..6 {
        fleet.publish_config(document(revision, 9));
        fleet.run_for(12 * SECOND);
    }
    fleet.restore_platform();
    fleet.run_for(12 * SECOND);
    let reported = |fleet: &VirtualFleet, revision| {
        let status = fleet.platform.status.values();
        status.filter(|status| status.highest_revision == Revision::new(revision)).count()
    };
    assert_eq!(reported(&fleet, 5), 5, "all zones report the revision in force");
    fleet.publish_config(document(6, 9));
    fleet.run_for(12 * SECOND);
    assert!(fleet.running_nodes().all(|node| node.revision == Revision::new(6)));
    assert_eq!(reported(&fleet, 6), 5);
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
}

#[test]
fn new_nodes_join_by_seeds_while_the_platform_is_down() {
    let mut fleet = settled(30, 5, 12);
    fleet.set_platform_down(true);
    fleet.run_for(60 * SECOND);
    fleet.set_seeds(vec![member(0, 5).control_address, member(1, 5).control_address]);
    fleet.add_node(member(30, 5));
    fleet.add_node(member(31, 5));
    fleet.run_for(10 * SECOND);
    assert!(has_converged(&fleet), "{}", difference(&fleet));
}

#[test]
fn node_with_nothing_in_reach_serves_by_safe_defaults_and_says_so() {
    let mut fleet = VirtualFleet::new(13);
    fleet.set_platform_down(true);
    fleet.add_node(member(0, 5));
    fleet.run_for(10 * SECOND);
    assert_eq!(fleet.count_notices(|notice| *notice == FleetNotice::SafeDefaults), 1);
    fleet.publish_config(document(1, 8));
    fleet.set_platform_down(false);
    fleet.run_for(90 * SECOND);
    assert_eq!(fleet.nodes()[0].revision, Revision::new(1));
}

#[test]
fn process_with_an_earlier_incarnation_is_superseded() {
    let mut fleet = settled(30, 5, 14);
    fleet.restart(3);
    fleet.run_for(5 * SECOND);
    let mut earlier = member(3, 5);
    earlier.control_address.set_port(9_999);
    let index = fleet.add_node(earlier);
    fleet.run_for(10 * SECOND);
    let superseded = |notice: &FleetNotice| *notice == FleetNotice::Superseded;
    assert!(fleet.nodes()[index].notices.iter().any(|(_, notice)| superseded(notice)));
    assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
}

#[test]
fn flapping_link_causes_ever_fewer_suspicions() {
    let mut fleet = settled(30, 5, 15);
    let relays = relays_of(&fleet, "zrh-a");
    let node = (0..30).step_by(5).find(|index| !relays.contains(index)).unwrap();
    let own = endpoint(&fleet, node);
    let others: Vec<_> = (0..30).filter(|other| *other != node).collect();
    let suspected = |fleet: &VirtualFleet| {
        fleet.count_notices(|notice| *notice == FleetNotice::Suspected(own.clone()))
    };
    for _ in 0..6 {
        for other in &others {
            let other = endpoint(&fleet, *other);
            fleet.network.block_link(&own, &other);
        }
        fleet.run_for(5 * SECOND + SECOND / 2);
        fleet.network.heal();
        fleet.run_for(4 * SECOND);
    }
    assert!(suspected(&fleet) <= 2 * 2, "{} suspicions", suspected(&fleet));
    fleet.run_for(20 * SECOND);
    assert!(has_converged(&fleet), "{}", difference(&fleet));
}

#[test]
fn zones_report_where_a_revision_is_in_force() {
    let mut fleet = settled(60, 5, 16);
    fleet.publish_config(document(2, 9));
    fleet.run_for(12 * SECOND);
    for (zone, status) in &fleet.platform.status {
        assert_eq!(status.highest_revision, Revision::new(2), "{zone}");
        assert_eq!((status.members, status.members_in_force), (12, 12), "{zone}");
    }
    assert_eq!(fleet.platform.status.len(), 5);
}

/// The limiter denied the first write, but the write was recorded as made.
#[test]
fn cold_start_of_few_nodes_writes_every_zone() {
    for seed in 0..40 {
        let mut fleet = VirtualFleet::new(seed);
        fleet.publish_config(document(1, 8));
        for index in 0..4 {
            fleet.add_node(member(index, 2));
        }
        fleet.run_for(6 * SECOND);
        assert!(has_converged(&fleet), "seed {seed}: {}", difference(&fleet));
    }
}
