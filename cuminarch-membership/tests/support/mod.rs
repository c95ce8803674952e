//! Builds fleets for the tests of this package.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use cuminarch_config::ConfigDocument;
use cuminarch_protocol::{Member, MemberState};
use cuminarch_testing::VirtualFleet;
use cuminarch_types::{EndpointId, Incarnation, Revision};

pub const ZONES: [(&str, &str); 5] = [
    ("zrh-a", "ch-central"),
    ("zrh-b", "ch-central"),
    ("brn-a", "ch-central"),
    ("nordvest-a", "nordvest"),
    ("nordvest-b", "nordvest"),
];

pub fn member(index: usize, zones: usize) -> Member {
    let (zone, region) = ZONES[index % zones];
    let port = 10_000 + u16::try_from(index).expect("a valid value");
    Member {
        endpoint: format!("service-{:03}-{index:04}", index % 160).parse().expect("a valid value"),
        service: format!("service-{:03}", index % 160).parse().expect("a valid value"),
        zone: zone.parse().expect("a valid value"),
        region: region.parse().expect("a valid value"),
        incarnation: Incarnation::new(1),
        statement: 0,
        data_address: SocketAddr::from(([10, 0, 0, 1], port)),
        control_address: SocketAddr::from(([10, 0, 0, 2], port)),
        state: MemberState::Active,
        upstream: None,
    }
}

pub fn document(revision: u64, grant_attempts: u64) -> ConfigDocument {
    ConfigDocument {
        revision: Revision::new(revision),
        change: format!("change-{revision}").parse().expect("a valid value"),
        sheet: format!(
            "classes:
  - {{name: browse, grant_attempts: {grant_attempts}, deadline_ms: 1000}}
rules: []
default_class: browse
"
        ),
    }
}

/// Returns a fleet of `nodes` nodes in `zones` zones that know each other and have
/// revision 1 in force.
pub fn settled(nodes: usize, zones: usize, seed: u64) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(seed);
    fleet.publish_config(document(1, 8));
    for index in 0..nodes {
        fleet.add_node(member(index, zones));
    }
    fleet.run_for(Duration::from_secs(30));
    assert!(has_converged(&fleet), "{}", difference(&fleet));
    fleet
}

pub fn endpoint(fleet: &VirtualFleet, index: usize) -> EndpointId {
    fleet.nodes()[index].member().endpoint.clone()
}

/// Returns `true` if all running nodes see exactly the running nodes as active.
pub fn has_converged(fleet: &VirtualFleet) -> bool {
    difference(fleet).is_empty()
}

pub fn difference(fleet: &VirtualFleet) -> String {
    let highest = fleet.running_nodes().map(|node| node.revision).max().unwrap_or_default();
    for node in fleet.running_nodes() {
        let own = &node.member().endpoint;
        if node.revision != highest {
            return format!("{own} has revision {}, not {highest}", node.revision);
        }
        for other in fleet.nodes() {
            let endpoint = &other.member().endpoint;
            let state = node.state_of(endpoint);
            let is_right = match (other.is_running, other.member().state) {
                (true, MemberState::Active) => state == MemberState::Active,
                (true, _) => state > MemberState::Suspect,
                (false, _) => state == MemberState::Gone,
            };
            if !is_right {
                return format!("{own} sees {endpoint} as {state:?}");
            }
        }
    }
    String::new()
}

/// Returns the number of running nodes that still use an endpoint.
pub fn users(fleet: &VirtualFleet, index: usize) -> usize {
    let endpoint = endpoint(fleet, index);
    let uses = |state: MemberState| state <= MemberState::Suspect;
    fleet.running_nodes().filter(|node| uses(node.state_of(&endpoint))).count()
}

pub fn relays_of(fleet: &VirtualFleet, zone: &str) -> Vec<usize> {
    let nodes = fleet.nodes().iter().enumerate();
    let is_relay = nodes.filter(|(_, node)| {
        node.is_running && node.member().zone.as_str() == zone && node.fleet.is_relay()
    });
    is_relay.map(|(index, _)| index).collect()
}
