//! Membership and configuration between nodes over sockets.

mod harness;

use std::net::{SocketAddr, TcpListener};

use cuminarch_config::ConfigDocument;
use cuminarch_node::{Node, NodeSettings};
use cuminarch_platform::{HttpObjectStore, ObjectStore, Precondition};
use cuminarch_testing::{PlatformFault, PlatformServer};
use cuminarch_types::Revision;
use harness::{call, wait_for};
use serde_json::Value;

const UPSTREAM: &str = "127.0.0.1:9";

fn start(name: &str, zone: &str, platform: SocketAddr, more: &str) -> Node {
    let text = format!(
        "fleet: tests
endpoint: {name}
service: back
zone: {zone}
region: ch-central
caller_address: 127.0.0.1:0
egress_address: 127.0.0.1:0
data_address: 127.0.0.1:0
control_address: 127.0.0.1:0
admin_address: 127.0.0.1:0
upstream_address: {UPSTREAM}
platform_address: {platform}
{more}"
    );
    Node::start(NodeSettings::parse(&text).unwrap()).unwrap()
}

fn fleet_of(node: &Node) -> Value {
    let dump = call(node.admin_address(), "GET /dump", &[], b"");
    let dump: Value = serde_json::from_slice(&dump.body).unwrap_or_default();
    dump["fleet"].clone()
}

fn state_of(node: &Node, endpoint: &str) -> String {
    let fleet = fleet_of(node);
    let members = fleet["members"].as_array().cloned().unwrap_or_default();
    let member = members.iter().find(|member| member["endpoint"] == endpoint);
    member.map_or_else(String::new, |member| member["state"].as_str().unwrap().to_owned())
}

fn all_active(nodes: &[&Node], names: &[&str]) -> bool {
    nodes.iter().all(|node| names.iter().all(|name| state_of(node, name) == "active"))
}

fn publish(platform: &PlatformServer, revision: u64) {
    let document = ConfigDocument {
        revision: Revision::new(revision),
        change: format!("change-{revision}").parse().unwrap(),
        sheet: "classes: [{name: browse, grant_attempts: 8, deadline_ms: 1000}]\n\
                default_class: browse\n"
            .to_owned(),
    };
    let store = HttpObjectStore::new(platform.address());
    let value = serde_json::to_string(&document).unwrap();
    store.put(&"config/current".parse().unwrap(), &value, Precondition::Any).unwrap();
}

fn revision_of(node: &Node) -> u64 {
    fleet_of(node)["revision"].as_u64().unwrap_or_default()
}

fn control_address_of(node: &Node, name: &str) -> String {
    let fleet = fleet_of(node);
    let members = fleet["members"].as_array().unwrap().clone();
    let own = members.iter().find(|member| member["endpoint"] == name).unwrap().clone();
    own["control_address"].as_str().unwrap().to_owned()
}

#[test]
fn configuration_and_departures_reach_zones_without_platform() {
    let platform = PlatformServer::start().unwrap();
    publish(&platform, 1);
    let address = platform.address();
    let names = ["a-1", "a-2", "b-1", "b-2"];
    let zones = ["zrh-a", "zrh-a", "zrh-b", "zrh-b"];
    let mut nodes: Vec<Node> =
        names.iter().zip(zones).map(|(name, zone)| start(name, zone, address, "")).collect();
    wait_for(|| all_active(&nodes.iter().collect::<Vec<_>>(), &names));
    wait_for(|| nodes.iter().all(|node| revision_of(node) == 1));

    platform.store().set_disconnected("b-1", true);
    platform.store().set_disconnected("b-2", true);
    publish(&platform, 2);
    wait_for(|| nodes.iter().all(|node| revision_of(node) == 2));

    let leaving = nodes.pop().unwrap();
    platform.store().set_fault(PlatformFault::Down);
    let left = std::thread::spawn(move || leaving.shutdown());
    wait_for(|| nodes.iter().all(|node| ["leaving", "gone"].contains(&&*state_of(node, "b-2"))));
    left.join().unwrap();
    for node in nodes {
        node.shutdown();
    }
}

#[test]
fn nodes_join_by_seeds_while_the_platform_is_down() {
    let platform = PlatformServer::start().unwrap();
    platform.store().set_fault(PlatformFault::Down);
    let address = platform.address();
    let first = start("a-1", "zrh-a", address, "");
    let seeds = format!("seeds: [\"{}\"]\n", control_address_of(&first, "a-1"));
    let second = start("a-2", "zrh-a", address, &seeds);
    let third = start("b-1", "zrh-b", address, &seeds);
    let nodes = [&first, &second, &third];
    wait_for(|| all_active(&nodes, &["a-1", "a-2", "b-1"]));
    platform.store().set_fault(PlatformFault::None);
    for node in [first, second, third] {
        node.shutdown();
    }
}

/// A member whose node never answers, as after a failure of its host.
#[test]
fn unresponsive_member_of_the_platform_is_declared_dead() {
    let platform = PlatformServer::start().unwrap();
    let address = platform.address();
    let first = start("a-1", "zrh-a", address, "");
    let second = start("a-2", "zrh-a", address, "");
    wait_for(|| all_active(&[&first, &second], &["a-1", "a-2"]));
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = HttpObjectStore::new(address);
    let path = "members/zrh-a".parse().unwrap();
    wait_for(|| {
        let Ok(Some(object)) = store.get(&path) else { return false };
        let mut value: Value = serde_json::from_str(&object.value).unwrap();
        let members = value["members"].as_array_mut().unwrap();
        let mut third = members[0].clone();
        third["endpoint"] = "a-3".into();
        third["control_address"] = silent.local_addr().unwrap().to_string().into();
        members.push(third);
        store.put(&path, &value.to_string(), Precondition::Version(object.version)).is_ok()
    });
    wait_for(|| !state_of(&first, "a-3").is_empty());
    wait_for(|| [&first, &second].iter().all(|node| state_of(node, "a-3") == "gone"));
    first.shutdown();
    second.shutdown();
}

#[test]
fn incarnation_exceeds_the_one_on_the_platform_after_the_clock_was_set_back() {
    let platform = PlatformServer::start().unwrap();
    let address = platform.address();
    let node = start("a-1", "zrh-a", address, "");
    let incarnation =
        |node: &Node| fleet_of(node)["members"][0]["incarnation"].as_u64().unwrap_or_default();
    let store = HttpObjectStore::new(address);
    let path = "members/zrh-a".parse().unwrap();
    wait_for(|| store.get(&path).is_ok_and(|object| object.is_some()));
    node.shutdown();
    let object = store.get(&path).unwrap().unwrap();
    let mut value: Value = serde_json::from_str(&object.value).unwrap();
    let far_ahead = 1_u64 << 50;
    value["members"][0]["incarnation"] = far_ahead.into();
    store.put(&path, &value.to_string(), Precondition::Any).unwrap();
    let node = start("a-1", "zrh-a", address, "");
    assert_eq!(incarnation(&node), far_ahead + 1);
    node.shutdown();
}
