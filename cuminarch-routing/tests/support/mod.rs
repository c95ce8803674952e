//! Members for the tests of this package.

use cuminarch_protocol::{Member, MemberState, UpstreamRecord, UpstreamState};
use cuminarch_types::Incarnation;

/// Creates an active member with a ready upstream of `slots` slots on the host at `address`.
pub fn ready_member(
    endpoint: &str,
    service: &str,
    zone: &str,
    slots: u32,
    address: [u8; 4],
) -> Member {
    let address = (address, 7_000).into();
    let upstream = UpstreamRecord {
        instance: Some("i-1".parse().unwrap()),
        started_at_ms: 1,
        state: UpstreamState::Ready,
        slots,
        warm_up_ms: 0,
    };
    Member {
        endpoint: endpoint.parse().unwrap(),
        service: service.parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: "ch-central".parse().unwrap(),
        incarnation: Incarnation::new(1),
        statement: 0,
        data_address: address,
        control_address: address,
        state: MemberState::Active,
        upstream: Some(upstream),
    }
}
