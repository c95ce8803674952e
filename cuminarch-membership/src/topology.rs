//! Assigns relays to zones and members to relays.
//!
//! Every node computes both from its own table by rendezvous hashing ("Using
//! name-based mappings to increase hit rates", Thaler and Ravishankar, 1998).
//! This needs no election, and few assignments change when a member joins or
//! leaves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{EndpointId, ZoneName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::MemberTable;

/// Minimum number of relays in a zone.
const MIN_RELAYS: usize = 3;
/// Maximum number of relays in a zone.
const MAX_RELAYS: usize = 8;
/// Number of members of a zone per relay.
const MEMBERS_PER_RELAY: usize = 40;
/// Number of relays that a member reports to.
const HOMES_PER_MEMBER: usize = 2;

fn score(left: &str, right: &str) -> u64 {
    xxh3_64_with_seed(left.as_bytes(), xxh3_64(right.as_bytes()))
}

fn highest(mut scored: Vec<(u64, EndpointId)>, count: usize) -> Vec<EndpointId> {
    scored.sort_by(|left, right| right.cmp(left));
    scored.truncate(count);
    scored.into_iter().map(|(_, endpoint)| endpoint).collect()
}

/// Returns the relays of a zone in order of rank.
///
/// Members in `silent` are excluded.
#[must_use]
pub fn relays_of_zone(
    zone: &ZoneName,
    table: &MemberTable,
    silent: &BTreeSet<EndpointId>,
) -> Vec<EndpointId> {
    let members = table.iter().filter(|member| member.zone == *zone && is_eligible(member));
    choose(zone, members, silent)
}

/// Returns the relays of every zone.
#[must_use]
pub fn relays(
    table: &MemberTable,
    silent: &BTreeSet<EndpointId>,
) -> BTreeMap<ZoneName, Vec<EndpointId>> {
    let mut zones: BTreeMap<ZoneName, Vec<&Arc<Member>>> = BTreeMap::new();
    for member in table.iter().filter(|member| is_eligible(member)) {
        zones.entry(member.zone.clone()).or_default().push(member);
    }
    let chosen = |(zone, members): (ZoneName, Vec<&Arc<Member>>)| {
        let relays = choose(&zone, members.into_iter(), silent);
        (zone, relays)
    };
    zones.into_iter().map(chosen).collect()
}

/// Returns the rank of a member, from 0, among the eligible members of its zone, in the
/// order in which relays are chosen.
#[must_use]
pub fn rank_in_zone(own: &Member, table: &MemberTable) -> usize {
    let zone = own.zone.as_str();
    let own_score = (score(own.endpoint.as_str(), zone), &own.endpoint);
    let others = table.iter().filter(|member| member.zone == own.zone && is_eligible(member));
    others
        .filter(|other| (score(other.endpoint.as_str(), zone), &other.endpoint) > own_score)
        .count()
}

fn is_eligible(member: &Member) -> bool {
    member.state <= MemberState::Suspect
}

fn choose<'a>(
    zone: &ZoneName,
    members: impl Iterator<Item = &'a Arc<Member>>,
    silent: &BTreeSet<EndpointId>,
) -> Vec<EndpointId> {
    let scored: Vec<(u64, EndpointId)> = members
        .filter(|member| !silent.contains(&member.endpoint))
        .map(|member| (score(member.endpoint.as_str(), zone.as_str()), member.endpoint.clone()))
        .collect();
    let count = scored.len().div_ceil(MEMBERS_PER_RELAY).clamp(MIN_RELAYS, MAX_RELAYS);
    highest(scored, count)
}

/// Returns the relays that a member reports to; the first one serves it.
#[must_use]
pub fn homes(member: &EndpointId, relays: &[EndpointId]) -> Vec<EndpointId> {
    let scored = relays
        .iter()
        .filter(|relay| *relay != member)
        .map(|relay| (score(member.as_str(), relay.as_str()), relay.clone()))
        .collect();
    highest(scored, HOMES_PER_MEMBER)
}
