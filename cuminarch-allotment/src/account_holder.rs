//! What a node does as the holder of a part.

use std::time::Duration;

use cuminarch_protocol::{AllotmentAsk, AllotmentGrant, AllotmentMessage};
use cuminarch_types::{EndpointId, MonoTime};

use crate::account::Account;
use crate::bounds::{
    GATHER_LIMIT, LENDER_TIMEOUT, MAX_EMPTY, MAX_LENDERS, MAX_QUEUED_ASKS, MIN_EMPTY, USAGE_AGE,
};
use crate::held_part::{Asker, HeldPart, QueuedAsk, Served, TOKEN_MICRO};
use crate::shared::{Purpose, SentAsk, Shared};

/// Time ahead for which a holder asks whose requests exceed its refill. What is not used at once
/// joins its bucket.
const GATHER_AHEAD: Duration = Duration::from_millis(250);

/// Usage of a part whose tokens are all used by the requests that come to it.
const FULL_USAGE_MILLI: u32 = 1_000;
/// Time between two asks of a holder while all parts are used up where they are.
const SATURATED_PAUSE: Duration = Duration::from_millis(200);

impl Account {
    /// Handles an ask of another node.
    pub(crate) fn on_ask(
        &mut self,
        from: &EndpointId,
        ask: &AllotmentAsk,
        now: MonoTime,
        shared: &mut Shared,
    ) {
        if !self.held.contains_key(&ask.shard) {
            shared.send(from, AllotmentMessage::Grant(not_holder(ask)));
            return;
        }
        if ask.is_from_holder {
            self.lend(from, ask, now, shared);
            return;
        }
        let queued = QueuedAsk {
            asker: Asker::Remote(from.clone(), ask.id),
            wanted_micro: micro(ask.wanted_milli),
            extra_micro: micro(ask.extra_milli),
            arrived_requests: ask.arrived_requests,
            received_at: now,
        };
        self.enqueue(ask.shard, queued, now, shared);
    }

    /// Serves an ask, at once or after tokens of other holders have come.
    pub(crate) fn enqueue(
        &mut self,
        shard: u8,
        ask: QueuedAsk,
        now: MonoTime,
        shared: &mut Shared,
    ) {
        let Some(part) = self.held.get_mut(&shard) else { return };
        part.meter.add(ask.arrived_requests, now);
        part.refresh(now);
        if part.queue.len() >= MAX_QUEUED_ASKS {
            let served = part.serve(&ask, &self.share, now);
            self.answer(shard, &ask, served, now, shared);
            return;
        }
        part.queue.push_back(ask);
        self.advance(shard, now, shared);
    }

    /// Serves the waiting asks in order, and asks other holders for what is missing.
    pub(crate) fn advance(&mut self, shard: u8, now: MonoTime, shared: &mut Shared) {
        while let Some(part) = self.held.get_mut(&shard) {
            part.refresh(now);
            let Some(front) = part.queue.front() else {
                part.end_gather();
                return;
            };
            if part.available_micro() < front.wanted_micro {
                self.collect_here(shard, now);
            }
            let Some(part) = self.held.get_mut(&shard) else { return };
            let Some(front) = part.queue.front() else { return };
            let is_covered = part.available_micro() >= front.wanted_micro;
            let is_gathering = part.gather.ask.is_some();
            if !is_covered && (is_gathering || self.ask_lender(shard, now, shared)) {
                return;
            }
            let Some(part) = self.held.get_mut(&shard) else { return };
            if !is_covered {
                part.pause_gather(now);
            }
            let Some(front) = part.queue.pop_front() else { return };
            let served = part.serve(&front, &self.share, now);
            self.answer(shard, &front, served, now, shared);
        }
    }

    /// Handles tokens of another holder.
    pub(crate) fn on_lent(
        &mut self,
        id: u64,
        shard: u8,
        sent: &SentAsk,
        grant: &AllotmentGrant,
        (now, shared): (MonoTime, &mut Shared),
    ) {
        let granted_micro = micro(grant.granted_milli);
        self.part_usage.insert(sent.part, (grant.usage_milli, now));
        if granted_micro < sent.wanted_micro {
            let pause = Duration::from_millis(u64::from(grant.retry_after_ms));
            self.empty_until.insert(sent.part, now.after(pause.clamp(MIN_EMPTY, MAX_EMPTY)));
        }
        let Some(part) = self.held.get_mut(&shard) else { return };
        let lifetime = Duration::from_millis(u64::from(grant.lifetime_ms));
        let expires_at = sent.sent_at.after(lifetime);
        if now < expires_at {
            part.pot.add(expires_at, granted_micro);
        }
        part.gather.lent_micro += granted_micro;
        if part.gather.lent_micro >= TOKEN_MICRO {
            part.gather.pause = Duration::ZERO;
        }
        if part.gather.ask == Some(id) {
            part.gather.ask = None;
        }
        self.advance(shard, now, shared);
    }

    /// Handles the silence of another holder.
    pub(crate) fn on_lender_late(
        &mut self,
        id: u64,
        shard: u8,
        now: MonoTime,
        shared: &mut Shared,
    ) {
        let Some(part) = self.held.get_mut(&shard) else { return };
        if part.gather.ask == Some(id) {
            part.gather.ask = None;
            self.advance(shard, now, shared);
        }
    }

    fn lend(&mut self, from: &EndpointId, ask: &AllotmentAsk, now: MonoTime, shared: &mut Shared) {
        let usage_milli = self.own_usage_milli(ask.shard, now);
        let parts: Vec<usize> = self.parts_of(from).collect();
        for part in parts {
            self.part_usage.insert(part, (ask.usage_milli, now));
        }
        let Some(part) = self.held.get_mut(&ask.shard) else { return };
        part.refresh(now);
        // Of two holders that both collect, one keeps its tokens; otherwise they would swap them.
        let is_yielding = part.queue.is_empty() || *from < shared.endpoint;
        let wanted =
            if is_yielding { (micro(ask.wanted_milli), micro(ask.extra_milli)) } else { (0, 0) };
        let served = part.lend(wanted, usage_milli, &self.share, now);
        shared.send(from, AllotmentMessage::Grant(grant(ask.id, served, usage_milli)));
    }

    /// Takes what is missing from other parts that this node holds.
    fn collect_here(&mut self, shard: u8, now: MonoTime) {
        let others: Vec<u8> = self.held.keys().copied().filter(|other| *other != shard).collect();
        for other in others {
            let missing = self.held.get(&shard).map_or(0, HeldPart::missing_micro);
            let Some(part) = self.held.get_mut(&other).filter(|_| missing > 0) else { return };
            part.refresh(now);
            let served = part.lend((missing, 0), FULL_USAGE_MILLI, &self.share, now);
            if let Some(part) = self.held.get_mut(&shard) {
                part.pot.add(now.after(served.lifetime), served.micro);
            }
        }
    }

    fn ask_lender(&mut self, shard: u8, now: MonoTime, shared: &mut Shared) -> bool {
        let Some(lender) = self.next_lender(shard, now, shared) else { return false };
        let Some(to) = self.holder(lender).cloned() else { return false };
        let usage_milli = self.own_usage_milli(shard, now);
        let ahead_micro = self.shortfall_micro(shard, now);
        let lender_shard = self.shard_of(lender);
        let Some(part) = self.held.get_mut(&shard) else { return false };
        let wanted_micro = part.missing_micro();
        let ask = AllotmentAsk {
            id: 0,
            account: self.name.clone(),
            shard: lender_shard,
            wanted_milli: milli_up(wanted_micro),
            extra_milli: milli_up(ahead_micro),
            arrived_requests: 0,
            is_from_holder: true,
            usage_milli,
        };
        let sent = SentAsk {
            account: self.name.clone(),
            to,
            part: lender,
            purpose: Purpose::Gather { shard },
            wanted_micro: wanted_micro + ahead_micro,
            sent_at: now,
            is_late: false,
        };
        part.gather.started_at.get_or_insert(now);
        part.gather.last_ask_at = Some(now);
        part.gather.turn = part.gather.turn.wrapping_add(1);
        part.gather.asked.push(lender);
        part.gather.ask = Some(shared.ask(ask, sent, LENDER_TIMEOUT));
        true
    }

    /// Returns whether all parts of a much divided allotment are known to be used up where they
    /// are; then there is little to collect.
    fn is_saturated(&mut self, shard: u8, now: MonoTime) -> bool {
        let limit = u64::from(FULL_USAGE_MILLI) * 3 / 2;
        if self.share.shards == 1 || u64::from(self.own_usage_milli(shard, now)) < limit {
            return false;
        }
        let recent = self.part_usage.values().filter(|(_, at)| now.since(*at) <= USAGE_AGE);
        let known: Vec<u64> = recent.map(|(usage, _)| u64::from(*usage)).collect();
        known.len() >= 4 && known.iter().sum::<u64>() >= limit * known.len() as u64
    }

    fn next_lender(&mut self, shard: u8, now: MonoTime, shared: &Shared) -> Option<usize> {
        let is_saturated = self.is_saturated(shard, now);
        let gather = &self.held.get(&shard)?.gather;
        if is_saturated {
            let is_due = gather.last_ask_at.is_none_or(|at| now.since(at) >= SATURATED_PAUSE);
            if !gather.asked.is_empty() || !is_due {
                return None;
            }
        }
        let is_over = gather.started_at.is_some_and(|at| now.since(at) >= GATHER_LIMIT);
        if is_over || gather.asked.len() >= MAX_LENDERS {
            return None;
        }
        if now < gather.paused_until {
            return None;
        }
        let lenders = self.turn(gather.turn).filter(|part| {
            !gather.asked.contains(part)
                && self.held_shard(*part) != Some(shard)
                && self.empty_until.get(part).is_none_or(|until| *until <= now)
                && self.holder(*part).is_some_and(|holder| {
                    *holder != shared.endpoint && !shared.is_silent(holder, now)
                })
        });
        // The first of those with the least known usage; nothing is to be had from a full one.
        let usage = |part: &usize| self.part_usage.get(part).map_or(0, |(usage, _)| *usage);
        lenders.min_by_key(|part| usage(part).min(FULL_USAGE_MILLI) / 250)
    }

    /// Returns what arrives beyond the refill of a part in the next moment.
    fn shortfall_micro(&mut self, shard: u8, now: MonoTime) -> u64 {
        let refill_milli = self.share.rate_micro_per_s / 1_000;
        let Some(part) = self.held.get_mut(&shard) else { return 0 };
        let excess_milli = part.meter.rate_milli(now).saturating_sub(refill_milli);
        let ahead_ms = u64::try_from(GATHER_AHEAD.as_millis()).unwrap_or(0);
        (excess_milli * ahead_ms).min(self.share.burst_micro)
    }

    fn answer(
        &mut self,
        shard: u8,
        ask: &QueuedAsk,
        served: Served,
        now: MonoTime,
        shared: &mut Shared,
    ) {
        let usage_milli = self.usage_milli(shard, now);
        match &ask.asker {
            Asker::Local => self.on_local(ask, served, usage_milli, now, shared),
            Asker::Remote(endpoint, id) => {
                let grant = grant(*id, served, usage_milli);
                shared.send(endpoint, AllotmentMessage::Grant(grant));
            }
        }
    }
}

fn grant(id: u64, served: Served, usage_milli: u32) -> AllotmentGrant {
    AllotmentGrant {
        id,
        granted_milli: milli(served.micro),
        lifetime_ms: millis(served.lifetime),
        retry_after_ms: millis_up(served.retry_after),
        usage_milli,
        is_not_holder: false,
    }
}

/// Answers an ask for a part that is not held here.
pub(crate) fn not_holder(ask: &AllotmentAsk) -> AllotmentGrant {
    AllotmentGrant {
        id: ask.id,
        granted_milli: 0,
        lifetime_ms: 0,
        retry_after_ms: 0,
        usage_milli: 0,
        is_not_holder: true,
    }
}

fn micro(milli: u32) -> u64 {
    u64::from(milli) * 1_000
}

/// A fraction of a thousandth is lost.
fn milli(micro: u64) -> u32 {
    u32::try_from(micro / 1_000).unwrap_or(u32::MAX)
}

pub(crate) fn milli_up(micro: u64) -> u32 {
    u32::try_from(micro.div_ceil(1_000)).unwrap_or(u32::MAX)
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn millis_up(span: Duration) -> u32 {
    u32::try_from(span.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
