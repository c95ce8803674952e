//! Converts simulation state to the engines' types: names, ids, time and receipts.

use cuminarch_protocol::Receipt;
use cuminarch_types::{EndpointId, MonoTime, RequestId, ZoneName};

use super::scenario::Mechanism;
use super::world::World;

/// Returns the receipt that the sender gets: without levels if they are switched off.
pub fn receipt_for_sender<E>(world: &World<E>, receipt: Receipt) -> Receipt {
    let has_levels = world.scenario.is_enabled(Mechanism::Levels);
    if has_levels { receipt } else { Receipt { unspent: receipt.unspent, ..Receipt::default() } }
}

pub fn now<E>(world: &World<E>) -> MonoTime {
    MonoTime::from_micros(world.now_us)
}

pub fn endpoint_id(endpoint: usize) -> EndpointId {
    EndpointId::new(format!("endpoint-{endpoint}")).expect("valid endpoint id")
}

/// Returns the zone name given to the engines; the same for all if zones are switched off.
pub fn zone_name<E>(world: &World<E>, zone: usize) -> ZoneName {
    let zone = if world.scenario.is_enabled(Mechanism::Zones) { zone } else { 0 };
    ZoneName::new(format!("zone-{zone}")).expect("valid zone name")
}

/// Returns a request id with well-mixed bits, as if a client had drawn it at random.
pub fn request_id(root: usize) -> RequestId {
    const MIX_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;
    let mixed = (root as u64 + 1).wrapping_mul(MIX_MULTIPLIER);
    RequestId::new(u128::from(mixed ^ (mixed >> 31)))
}

pub fn path<E>(world: &World<E>, root: usize) -> String {
    format!("/{}/{root}", world.scenario.system.kinds[world.roots[root].kind].name)
}
