//! Builds the simulated fleets and their configurations.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use cuminarch_config::ConfigDocument;
use cuminarch_protocol::{Member, MemberState};
use cuminarch_testing::VirtualFleet;
use cuminarch_types::{Incarnation, MonoTime, Revision, ZoneName};

/// The zones, each with its region.
pub const ZONES: [(&str, &str); 5] = [
    ("zrh-a", "ch-central"),
    ("zrh-b", "ch-central"),
    ("brn-a", "ch-central"),
    ("nordvest-a", "nordvest"),
    ("nordvest-b", "nordvest"),
];
/// Number of services in the fleet; each has its own rule in the sheet.
const SERVICE_COUNT: u64 = 160;
/// Delay until a fleet whose nodes all start together is idle.
const SETTLE_DELAY: Duration = Duration::from_secs(12);

/// Returns the name of a zone.
pub fn zone(index: usize) -> ZoneName {
    ZONES[index].0.parse().expect("valid zone name")
}

/// Returns the member record of a node.
pub fn member(index: usize) -> Member {
    let (zone, region) = ZONES[index % ZONES.len()];
    let service = format!(
        "service-{:03}",
        index / ZONES.len() % usize::try_from(SERVICE_COUNT).expect("service count fits in usize")
    );
    let port = 10_000 + u16::try_from(index).expect("node index fits in a port number");
    Member {
        endpoint: format!("{service}-{index:04}").parse().expect("valid endpoint name"),
        service: service.parse().expect("valid service name"),
        zone: zone.parse().expect("valid zone name"),
        region: region.parse().expect("valid region name"),
        incarnation: Incarnation::new(1_796_000_000_000),
        statement: 0,
        data_address: SocketAddr::from(([10, 0, 0, 1], port)),
        control_address: SocketAddr::from(([10, 0, 0, 2], port)),
        state: MemberState::Active,
        upstream: None,
    }
}

/// Returns a sheet with one rule per service; each revision changes one line.
pub fn document(revision: u64) -> ConfigDocument {
    let mut sheet = String::from(
        "classes:
  - {name: browse, grant_attempts: 8, deadline_ms: 2000}
  - {name: approval, grant_attempts: 32, deadline_ms: 10000, protected: true}
default_class: browse
rules:
",
    );
    for service in 0..SERVICE_COUNT {
        let changed = (1..=revision).filter(|revision| revision * 37 % SERVICE_COUNT == service);
        let path = changed.max().unwrap_or(0);
        let _ = writeln!(
            sheet,
            "  - {{class: approval, services: [service-{service:03}], methods: [POST], \
             path: /approvals-{path}/**, idempotent: false}}"
        );
    }
    let change = format!("change-{revision}").parse().expect("valid change id");
    ConfigDocument { revision: Revision::new(revision), change, sheet }
}

/// Returns an idle fleet with revision 1 in force.
pub fn settled_fleet(nodes: usize) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(nodes as u64);
    fleet.publish_config(document(1));
    for index in 0..nodes {
        fleet.add_node(member(index));
    }
    fleet.run_for(SETTLE_DELAY);
    fleet
}

/// Returns the seconds from `since` until 99% and until all of the running nodes selected by
/// `is_selected` had a revision in force.
pub fn in_force_s(
    fleet: &VirtualFleet,
    revision: u64,
    since: MonoTime,
    is_selected: impl Fn(&Member) -> bool,
) -> (f64, f64) {
    let revision = Revision::new(revision);
    let selected = fleet.running_nodes().filter(|node| is_selected(node.member()));
    let time = |at: Option<&MonoTime>| at.map_or(f64::INFINITY, |at| at.since(since).as_secs_f64());
    let mut times: Vec<f64> = selected.map(|node| time(node.in_force_at.get(&revision))).collect();
    times.sort_by(f64::total_cmp);
    let last = times.last().copied().unwrap_or(f64::INFINITY);
    let most = times.get((times.len() * 99).div_ceil(100).saturating_sub(1));
    (most.copied().unwrap_or(f64::INFINITY), last)
}
