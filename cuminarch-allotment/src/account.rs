use std::collections::{BTreeMap, BTreeSet};

use cuminarch_types::{AccountName, Allotment, EndpointId, MonoTime, ZoneName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::bounds::{MAX_LIFETIME, QUARANTINE, USAGE_AGE};
use crate::entry::Entry;
use crate::held_part::HeldPart;
use crate::share::Share;
use crate::{AccountSummary, AllotmentSettings};

/// Members of the fleet by zone.
pub(crate) type Members = BTreeMap<ZoneName, BTreeSet<EndpointId>>;

/// The node that holds a part, with its score.
type Holder = Option<(u64, EndpointId)>;

/// An account with an allotment.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    pub name: AccountName,
    pub share: Share,
    limit: Allotment,
    /// The largest part of limits that other nodes may still apply, and until when.
    peak: (Share, MonoTime),
    /// Zones with a part.
    zones: Vec<ZoneName>,
    /// Holder of each part; parts of a zone are adjacent.
    holders: Vec<Holder>,
    /// Parts in the order in which this node turns to them.
    order: Vec<usize>,
    own_zone: Option<usize>,
    /// Parts that this node holds, by their number in the own zone.
    pub held: BTreeMap<u8, HeldPart>,
    /// Until when the holder of a part is not asked for tokens of it.
    pub empty_until: BTreeMap<usize, MonoTime>,
    /// Usage of parts that other nodes hold, as they reported it.
    pub part_usage: BTreeMap<usize, (u32, MonoTime)>,
    pub entry: Option<Box<Entry>>,
}

impl Account {
    /// Creates an account. Parts held here refill from `refills_from` on.
    pub(crate) fn new(
        name: AccountName,
        limit: Allotment,
        settings: &AllotmentSettings,
        members: &Members,
        refills_from: MonoTime,
    ) -> Self {
        let share = Share::new(limit, settings.zones.len());
        let mut account = Self {
            name,
            share,
            limit,
            peak: (share, MonoTime::ZERO),
            zones: Vec::new(),
            holders: Vec::new(),
            order: Vec::new(),
            own_zone: None,
            held: BTreeMap::new(),
            empty_until: BTreeMap::new(),
            part_usage: BTreeMap::new(),
            entry: None,
        };
        account.divide(settings, members);
        account.sync_held(settings, refills_from);
        account
    }

    /// Applies a changed limit.
    pub(crate) fn set_limit(
        &mut self,
        limit: Allotment,
        settings: &AllotmentSettings,
        members: &Members,
        now: MonoTime,
    ) {
        if limit == self.limit {
            return;
        }
        let before = self.share;
        let peak = if now < self.peak.1 { self.peak.0.larger(&before) } else { before };
        self.peak = (peak, now.after(QUARANTINE));
        self.limit = limit;
        self.share = Share::new(limit, settings.zones.len());
        for part in self.held.values_mut() {
            part.bucket.resize(&self.share, now);
        }
        if before.zones != self.share.zones || before.shards != self.share.shards {
            self.empty_until.clear();
            self.part_usage.clear();
            self.divide(settings, members);
            let is_covered = before.zones == self.share.zones && self.share.covers(&self.peak.0);
            // Where no part shrinks, the sum is kept beside nodes that apply the limit later.
            let pause = if is_covered { MAX_LIFETIME } else { QUARANTINE };
            self.sync_held(settings, now.after(pause));
        }
    }

    /// Applies a change of one member.
    pub(crate) fn set_member(
        &mut self,
        endpoint: &EndpointId,
        zone: &ZoneName,
        is_member: bool,
        settings: &AllotmentSettings,
        (members, now): (&Members, MonoTime),
    ) {
        let Some(zone_index) = self.zones.iter().position(|known| known == zone) else { return };
        let first = zone_index * usize::from(self.share.shards);
        for shard in 0..self.share.shards {
            let part = first + usize::from(shard);
            let Some(holder) = self.holders.get_mut(part) else { continue };
            if is_member {
                let candidate = Some((score(endpoint, &self.name, shard), endpoint.clone()));
                if candidate > *holder {
                    *holder = candidate;
                }
            } else if holder.as_ref().is_some_and(|(_, known)| known == endpoint) {
                *holder = best(members.get(zone), &self.name, shard);
            }
        }
        if Some(zone_index) == self.own_zone {
            self.sync_held(settings, now.after(QUARANTINE));
        }
    }

    /// Returns the holder of a part.
    pub(crate) fn holder(&self, part: usize) -> Option<&EndpointId> {
        self.holders.get(part)?.as_ref().map(|(_, endpoint)| endpoint)
    }

    /// Returns the parts in order of preference; each turn begins at another part of a zone, so that
    /// all are asked alike.
    pub(crate) fn turn(&self, turn: usize) -> impl Iterator<Item = usize> {
        let shards = usize::from(self.share.shards);
        (0..self.order.len()).filter_map(move |place| {
            let first = place / shards * shards;
            self.order.get(first + (place + turn) % shards).copied()
        })
    }

    /// Returns the number of a part within its zone.
    pub(crate) fn shard_of(&self, part: usize) -> u8 {
        u8::try_from(part % usize::from(self.share.shards)).unwrap_or(0)
    }

    /// Returns the position of a part's zone.
    pub(crate) fn zone_of(&self, part: usize) -> usize {
        part / usize::from(self.share.shards)
    }

    /// Returns the part that this node holds, by its index.
    pub(crate) fn held_shard(&self, part: usize) -> Option<u8> {
        let shard = self.shard_of(part);
        (self.own_zone == Some(self.zone_of(part)) && self.held.contains_key(&shard))
            .then_some(shard)
    }

    /// Returns the parts that an endpoint holds.
    pub(crate) fn parts_of<'a>(
        &'a self,
        endpoint: &'a EndpointId,
    ) -> impl Iterator<Item = usize> + 'a {
        (0..self.holders.len()).filter(move |part| self.holder(*part) == Some(endpoint))
    }

    /// Returns the usage of a part held here, in thousandths of its rate.
    pub(crate) fn own_usage_milli(&mut self, shard: u8, now: MonoTime) -> u32 {
        let rate_milli = self.share.rate_micro_per_s / 1_000;
        let Some(part) = self.held.get_mut(&shard) else { return 0 };
        if rate_milli == 0 {
            return 0;
        }
        u32::try_from(part.meter.rate_milli(now) * 1_000 / rate_milli).unwrap_or(u32::MAX)
    }

    /// Returns the usage over all parts: the mean of the own one and of those that other holders
    /// reported lately.
    pub(crate) fn usage_milli(&mut self, shard: u8, now: MonoTime) -> u32 {
        self.part_usage.retain(|_, (_, at)| now.since(*at) <= USAGE_AGE);
        let own = u64::from(self.own_usage_milli(shard, now));
        let others: u64 = self.part_usage.values().map(|(usage, _)| u64::from(*usage)).sum();
        let count = u64::try_from(self.part_usage.len()).unwrap_or(0) + 1;
        u32::try_from((own + others) / count).unwrap_or(u32::MAX)
    }

    /// Empties the parts held here; they refill from `refills_from` on.
    pub(crate) fn quarantine(&mut self, refills_from: MonoTime) {
        for part in self.held.values_mut() {
            part.bucket.quarantine(refills_from);
        }
    }

    /// Lets the parts held here refill from `refills_from` on, if not earlier.
    pub(crate) fn end_quarantine(&mut self, refills_from: MonoTime) {
        for part in self.held.values_mut() {
            part.bucket.end_quarantine(refills_from);
        }
    }

    /// Forgets what is not needed while no request comes.
    pub(crate) fn forget_entry(&mut self) {
        self.entry = None;
        self.empty_until.clear();
    }

    /// Describes the account.
    pub(crate) fn summary(&self, now: MonoTime) -> AccountSummary {
        let entry = self.entry.as_ref();
        AccountSummary {
            account: self.name.clone(),
            parts: self.share.parts(),
            held: self
                .held
                .iter()
                .map(|(shard, part)| part.bucket.summary(*shard, part.queue.len(), now))
                .collect(),
            tokens_milli: entry.map_or(0, |entry| entry.hold.level_micro() / 1_000),
            waiting_requests: entry.map_or(0, |entry| entry.waiters.len()),
            last_request_age: entry.map(|entry| now.since(entry.last_arrival_at)),
            usage: entry.and_then(|entry| entry.usage(now)),
        }
    }

    fn divide(&mut self, settings: &AllotmentSettings, members: &Members) {
        self.zones = chosen_zones(&self.name, settings, self.share.zones);
        self.own_zone = self.zones.iter().position(|zone| *zone == settings.zone);
        self.holders = Vec::with_capacity(self.share.parts());
        for zone in &self.zones {
            for shard in 0..self.share.shards {
                self.holders.push(best(members.get(zone), &self.name, shard));
            }
        }
        self.order = order(&self.name, settings, &self.share, self.own_zone);
    }

    /// Takes up parts that fell to this node, and drops those that no longer belong to it.
    fn sync_held(&mut self, settings: &AllotmentSettings, refills_from: MonoTime) {
        let Some(zone) = self.own_zone else {
            self.held.clear();
            return;
        };
        for shard in 0..u8::MAX {
            let part = zone * usize::from(self.share.shards) + usize::from(shard);
            let is_own = shard < self.share.shards && self.holder(part) == Some(&settings.endpoint);
            if is_own && !self.held.contains_key(&shard) {
                self.held.insert(shard, HeldPart::new(&self.share, refills_from));
            } else if !is_own {
                self.held.remove(&shard);
            }
        }
    }
}

/// Returns when a part of an account that is new here may refill.
pub(crate) fn first_refill(zone_changed_at: Option<MonoTime>, now: MonoTime) -> MonoTime {
    let after_change = zone_changed_at.map_or(MonoTime::ZERO, |at| at.after(QUARANTINE));
    after_change.max(now.after(MAX_LIFETIME))
}

fn score(endpoint: &EndpointId, account: &AccountName, shard: u8) -> u64 {
    let seed = xxh3_64(endpoint.as_str().as_bytes()).wrapping_add(u64::from(shard));
    xxh3_64_with_seed(account.as_str().as_bytes(), seed)
}

fn best(members: Option<&BTreeSet<EndpointId>>, account: &AccountName, shard: u8) -> Holder {
    let members = members.into_iter().flatten();
    members.map(|endpoint| (score(endpoint, account, shard), endpoint.clone())).max()
}

fn chosen_zones(name: &AccountName, settings: &AllotmentSettings, count: usize) -> Vec<ZoneName> {
    if settings.zones.is_empty() {
        return vec![settings.zone.clone()];
    }
    let mut scored: Vec<(u64, &ZoneName)> = settings
        .zones
        .iter()
        .map(|zone| {
            let seed = xxh3_64(zone.as_str().as_bytes());
            (xxh3_64_with_seed(name.as_str().as_bytes(), seed), zone)
        })
        .collect();
    scored.sort_by(|left, right| right.cmp(left));
    let mut zones: Vec<ZoneName> =
        scored.into_iter().take(count).map(|(_, zone)| zone.clone()).collect();
    zones.sort();
    zones
}

/// The own zone first, and in each zone another part first at each node.
fn order(
    name: &AccountName,
    settings: &AllotmentSettings,
    share: &Share,
    own_zone: Option<usize>,
) -> Vec<usize> {
    let hash = score(&settings.endpoint, name, u8::MAX);
    let shards = usize::from(share.shards);
    let start_shard = usize::try_from(hash % u64::from(share.shards)).unwrap_or(0);
    let start_zone = usize::try_from(hash / 64 % share.zones as u64).unwrap_or(0);
    let others = (0..share.zones).map(|step| (start_zone + step) % share.zones);
    let zones = own_zone.into_iter().chain(others.filter(|zone| Some(*zone) != own_zone));
    zones
        .flat_map(|zone| (0..shards).map(move |step| zone * shards + (start_shard + step) % shards))
        .collect()
}
