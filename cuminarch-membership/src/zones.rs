//! Detects unreachable zones.
//!
//! Only one side of a partition sees a whole zone as unreachable, so this is never
//! published as a statement about its members. Their entries stay unchanged, and
//! they are used again as soon as a message arrives.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{MonoTime, ZoneName};

use crate::{Fleet, FleetNotice};

/// Time without a message from any relay of a zone after which the zone counts as cut.
const ZONE_SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which members of a cut zone are suspect; after that they get no calls.
const CUT_ZONE_GRACE: Duration = Duration::from_secs(8);

impl Fleet {
    /// Returns the zones from which this relay has received no message lately.
    pub(crate) fn silent_zones(&self) -> Vec<ZoneName> {
        let now = self.ticked_at;
        let is_silent = |last_seen_at: MonoTime| now.since(last_seen_at) > ZONE_SILENCE_TIMEOUT;
        let silent =
            self.zone_last_seen.iter().filter(|(_, last_seen_at)| is_silent(**last_seen_at));
        silent.map(|(zone, _)| zone.clone()).collect()
    }

    pub(crate) fn update_zone_reachability(&mut self, now: MonoTime) {
        self.track_zones(now);
        let Some(cut) = self.unanimously_cut_zones() else { return };
        let before = self.cut_zones.clone();
        for zone in &cut {
            if !before.contains_key(zone) {
                self.cut_zones.insert(zone.clone(), now);
                self.notice(FleetNotice::ZoneCut(zone.clone()));
            }
        }
        for zone in before.keys().filter(|zone| !cut.contains(zone)) {
            self.cut_zones.remove(zone);
            self.notice(FleetNotice::ZoneJoined(zone.clone()));
        }
        let affected: Vec<&ZoneName> = before.keys().chain(&cut).collect();
        if affected.is_empty() {
            return;
        }
        let is_affected = |member: &&Arc<Member>| affected.contains(&&member.zone);
        let members: Vec<Arc<Member>> = self.table.iter().filter(is_affected).cloned().collect();
        for member in members {
            self.publish_view(&member, now);
        }
    }

    /// Starts the silence timeout of zones that are new to this relay; drops zones without relays.
    fn track_zones(&mut self, now: MonoTime) {
        if !self.topology.is_relay {
            self.zone_last_seen.clear();
            return;
        }
        let table = &self.table;
        let others = self.topology.other_relays.iter().filter_map(|relay| table.get(relay));
        let zones: BTreeSet<&ZoneName> = others.map(|member| &member.zone).collect();
        self.zone_last_seen.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            if !self.zone_last_seen.contains_key(zone) {
                self.zone_last_seen.insert(zone.clone(), now);
            }
        }
    }

    /// Returns the zones that all responding relays of the own zone report as cut, or `None`
    /// if there is no report.
    fn unanimously_cut_zones(&self) -> Option<Vec<ZoneName>> {
        let now = self.ticked_at;
        let silence_timeout = self.settings.silence_timeout;
        let relays = self.topology.zone_relays.iter();
        let responding = relays
            .filter_map(|relay| self.peers.get(relay))
            .filter(|peer| peer.is_recently_seen(silence_timeout, now));
        let mut lists: Vec<Vec<ZoneName>> = responding.map(|peer| peer.cut_zones.clone()).collect();
        let is_isolated = lists.is_empty() && !self.topology.zone_relays.is_empty();
        if self.topology.is_relay && !is_isolated {
            lists.push(self.silent_zones());
        }
        let (first, rest) = lists.split_first()?;
        let is_in_all = |zone: &&ZoneName| rest.iter().all(|list| list.contains(zone));
        Some(first.iter().filter(is_in_all).cloned().collect())
    }

    /// Returns the best state in which this node's view may show members of a zone.
    pub(crate) fn state_of_zone(&self, zone: &ZoneName, now: MonoTime) -> MemberState {
        match self.cut_zones.get(zone) {
            None => MemberState::Active,
            Some(since) if now.since(*since) < CUT_ZONE_GRACE => MemberState::Suspect,
            Some(_) => MemberState::Gone,
        }
    }
}
