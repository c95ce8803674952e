//! Finds out which zones cannot be reached.
//!
//! That a whole zone is out of reach is the view of one side of a partition, so
//! it is never stated about its members: they are remembered as they are, and
//! are used again at once when a message comes through.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cuminarch_protocol::{Member, MemberState};
use cuminarch_types::{MonoTime, ZoneName};

use crate::{Fleet, FleetNotice};

/// Silence of all relays of a zone after which a relay finds it cut.
const ZONE_SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after which members of a cut zone get no calls at all.
const CUT_ZONE_GRACE: Duration = Duration::from_secs(8);

impl Fleet {
    /// Zones that this relay has not heard of.
    pub(crate) fn silent_zones(&self) -> Vec<ZoneName> {
        let now = self.ticked_at;
        let is_unheard = |heard_at: MonoTime| now.since(heard_at) > ZONE_SILENCE_TIMEOUT;
        let unheard = self.zone_last_seen.iter().filter(|(_, heard_at)| is_unheard(**heard_at));
        unheard.map(|(zone, _)| zone.clone()).collect()
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
        let touched: Vec<&ZoneName> = before.keys().chain(&cut).collect();
        if touched.is_empty() {
            return;
        }
        let in_touched = |member: &&Arc<Member>| touched.contains(&&member.zone);
        let members: Vec<Arc<Member>> = self.table.iter().filter(in_touched).cloned().collect();
        for member in members {
            self.publish_view(&member, now);
        }
    }

    /// Gives each zone that is new to this relay time to be heard of.
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

    /// Zones that all relays of the own zone find cut; none while nobody is heard.
    fn unanimously_cut_zones(&self) -> Option<Vec<ZoneName>> {
        let now = self.ticked_at;
        let silence = self.settings.silence_timeout;
        let relays = self.topology.zone_relays.iter();
        let heard = relays
            .filter_map(|relay| self.peers.get(relay))
            .filter(|peer| peer.is_recently_seen(silence, now));
        let mut lists: Vec<Vec<ZoneName>> = heard.map(|peer| peer.cut_zones.clone()).collect();
        let is_alone = lists.is_empty() && !self.topology.zone_relays.is_empty();
        if self.topology.is_relay && !is_alone {
            lists.push(self.silent_zones());
        }
        let (first, rest) = lists.split_first()?;
        let for_all = |zone: &&ZoneName| rest.iter().all(|list| list.contains(zone));
        Some(first.iter().filter(for_all).cloned().collect())
    }

    /// Worst state that members of a zone are shown in.
    pub(crate) fn state_of_zone(&self, zone: &ZoneName, now: MonoTime) -> MemberState {
        match self.cut_zones.get(zone) {
            None => MemberState::Active,
            Some(since) if now.since(*since) < CUT_ZONE_GRACE => MemberState::Suspect,
            Some(_) => MemberState::Gone,
        }
    }
}
