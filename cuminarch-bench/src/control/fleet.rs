//! Fleets and configurations to measure.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use cuminarch_config::ConfigDocument;
use cuminarch_protocol::{Member, MemberState};
use cuminarch_testing::VirtualFleet;
use cuminarch_types::{Incarnation, MonoTime, Revision, ZoneName};

/// Zones with their regions.
pub const ZONES: [(&str, &str); 5] = [
    ("zrh-a", "ch-central"),
    ("zrh-b", "ch-central"),
    ("brn-a", "ch-central"),
    ("nordvest-a", "nordvest"),
    ("nordvest-b", "nordvest"),
];
/// Services of the fleet; each has a rule of its own in the sheet.
const SERVICE_COUNT: u64 = 160;
/// Time until a fleet that was started at once is at rest.
const SETTLE_DELAY: Duration = Duration::from_secs(12);

/// Name of a zone.
pub fn zone(index: usize) -> ZoneName {
    ZONES[index].0.parse().expect("a zone name")
}

/// Entry of a node.
pub fn member(index: usize) -> Member {
    let (zone, region) = ZONES[index % ZONES.len()];
    let service = format!(
        "service-{:03}",
        index / ZONES.len() % usize::try_from(SERVICE_COUNT).expect("a small number")
    );
    let port = 10_000 + u16::try_from(index).expect("a small fleet");
    Member {
        endpoint: format!("{service}-{index:04}").parse().expect("an endpoint name"),
        service: service.parse().expect("a service name"),
        zone: zone.parse().expect("a zone name"),
        region: region.parse().expect("a region name"),
        incarnation: Incarnation::new(1_796_000_000_000),
        statement: 0,
        data_address: SocketAddr::from(([10, 0, 0, 1], port)),
        control_address: SocketAddr::from(([10, 0, 0, 2], port)),
        state: MemberState::Active,
        upstream: None,
    }
}

/// A sheet with a rule for each service; each revision changes one line.
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
    let change = format!("change-{revision}").parse().expect("a change id");
    ConfigDocument { revision: Revision::new(revision), change, sheet }
}

/// A fleet at rest with revision 1 in force.
pub fn settled_fleet(nodes: usize) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(nodes as u64);
    fleet.publish_config(document(1));
    for index in 0..nodes {
        fleet.add_node(member(index));
    }
    fleet.run_for(SETTLE_DELAY);
    fleet
}

/// Times in seconds, from `since` on, until a part of the running nodes that
/// `is_asked` accepts had a revision in force: 99 in 100 and all of them.
pub fn in_force_s(
    fleet: &VirtualFleet,
    revision: u64,
    since: MonoTime,
    is_asked: impl Fn(&Member) -> bool,
) -> (f64, f64) {
    let revision = Revision::new(revision);
    let asked = fleet.running_nodes().filter(|node| is_asked(node.member()));
    let time = |at: Option<&MonoTime>| at.map_or(f64::INFINITY, |at| at.since(since).as_secs_f64());
    let mut times: Vec<f64> = asked.map(|node| time(node.in_force_at.get(&revision))).collect();
    times.sort_by(f64::total_cmp);
    let last = times.last().copied().unwrap_or(f64::INFINITY);
    let most = times.get((times.len() * 99).div_ceil(100).saturating_sub(1));
    (most.copied().unwrap_or(f64::INFINITY), last)
}
