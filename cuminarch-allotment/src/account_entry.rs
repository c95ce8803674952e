//! What a node does for the requests that it receives.

use std::time::Duration;

use cuminarch_protocol::{AllotmentAsk, AllotmentGrant};
use cuminarch_types::{CallId, MonoTime};

use crate::account::Account;
use crate::account_holder::milli_up;
use crate::bounds::{ASK_TIMEOUT, MAX_ATTEMPTS, REFUSAL_PAUSE, REPORT_INTERVAL, UNAVAILABLE_RETRY};
use crate::entry::{Entry, Pending};
use crate::held_part::{Asker, QueuedAsk, Served, TOKEN_MICRO};
use crate::shared::{Purpose, SentAsk, Shared};
use crate::{AllotmentOutput, TokenDecision};

impl Account {
    /// Decides on a request.
    pub(crate) fn request(
        &mut self,
        call: CallId,
        now: MonoTime,
        shared: &mut Shared,
    ) -> TokenDecision {
        let token_time = self.share.token_time();
        let entry = self.entry.get_or_insert_default();
        entry.arrived(now);
        if entry.waiters.is_empty() && entry.spend(call, now) {
            return TokenDecision::Granted;
        }
        if entry.pending.is_none() && entry.is_refusing(now) {
            let retry_after = entry.next_retry(token_time, now);
            let retry_after = retry_after + shared.part_of(token_time.min(REFUSAL_PAUSE));
            return TokenDecision::Exceeded { retry_after };
        }
        if !entry.wait(call) {
            return unavailable();
        }
        let is_idle = entry.pending.is_none();
        shared.waiting.insert(call, self.name.clone());
        if is_idle {
            self.ask(None, now, shared);
        }
        take_decision(call, shared).unwrap_or(TokenDecision::Waiting)
    }

    /// Counts a request that was refused before it asked for a token.
    pub(crate) fn record_refused(&mut self, now: MonoTime, shared: &mut Shared) {
        let entry = self.entry.get_or_insert_default();
        entry.arrived(now);
        if entry.pending.is_none() && now.since(entry.last_ask_at) >= REPORT_INTERVAL {
            self.ask(None, now, shared);
        }
    }

    /// Forgets a waiting request.
    pub(crate) fn cancel(&mut self, call: CallId) {
        if let Some(entry) = &mut self.entry {
            entry.waiters.retain(|waiter| *waiter != call);
        }
    }

    /// Handles the answer to an ask of this node.
    pub(crate) fn on_grant(
        &mut self,
        id: u64,
        sent: &SentAsk,
        grant: &AllotmentGrant,
        (now, shared): (MonoTime, &mut Shared),
    ) {
        let entry = self.entry.get_or_insert_default();
        let pending = entry.pending.filter(|pending| pending.id == Some(id));
        if grant.is_not_holder {
            if let Some(pending) = pending {
                self.ask_next(pending, now, shared);
            }
            return;
        }
        let lifetime = Duration::from_millis(u64::from(grant.lifetime_ms));
        let expires_at = sent.sent_at.after(lifetime);
        entry.report(grant.usage_milli, now);
        if now < expires_at {
            entry.hold.add(expires_at, u64::from(grant.granted_milli) * 1_000);
        } else if grant.granted_milli > 0 {
            if let Some(pending) = pending {
                self.ask_next(pending, now, shared);
            }
            return;
        }
        let retry_after = Duration::from_millis(u64::from(grant.retry_after_ms));
        self.settle(pending, retry_after, now, shared);
    }

    /// Handles the answer of a part that is held here.
    pub(crate) fn on_local(
        &mut self,
        ask: &QueuedAsk,
        served: Served,
        usage_milli: u32,
        now: MonoTime,
        shared: &mut Shared,
    ) {
        let entry = self.entry.get_or_insert_default();
        entry.hold.add(ask.received_at.after(served.lifetime), served.micro);
        entry.report(usage_milli, now);
        let pending = entry.pending.filter(|pending| pending.id.is_none());
        self.settle(pending, served.retry_after, now, shared);
    }

    /// Handles the silence of the node that was asked.
    pub(crate) fn on_late(&mut self, id: u64, now: MonoTime, shared: &mut Shared) {
        let Some(entry) = &self.entry else { return };
        if let Some(pending) = entry.pending.filter(|pending| pending.id == Some(id)) {
            self.ask_next(pending, now, shared);
        }
    }

    /// Asks again if the part that requests wait for is no longer held here.
    pub(crate) fn resume(&mut self, now: MonoTime, shared: &mut Shared) {
        let Some(entry) = &self.entry else { return };
        if let Some(pending) = entry.pending
            && pending.id.is_none()
            && self.held_shard(pending.part).is_none()
        {
            self.ask_next(pending, now, shared);
        }
    }

    /// Serves the waiting requests in order; the rest is refused or asked for.
    fn settle(
        &mut self,
        pending: Option<Pending>,
        retry_after: Duration,
        now: MonoTime,
        shared: &mut Shared,
    ) {
        let token_time = self.share.token_time();
        let Some(entry) = &mut self.entry else { return };
        while let Some(call) = entry.waiters.front().copied()
            && entry.spend(call, now)
        {
            entry.waiters.pop_front();
            decide(call, TokenDecision::Granted, shared);
        }
        if pending.is_none() {
            return;
        }
        entry.pending = None;
        if !retry_after.is_zero() {
            entry.refused(retry_after, now);
            let mut retry_after = retry_after;
            while let Some(call) = entry.waiters.pop_front() {
                decide(call, TokenDecision::Exceeded { retry_after }, shared);
                retry_after = entry.next_retry(token_time, now);
            }
        } else if !entry.waiters.is_empty() {
            self.ask(None, now, shared);
        }
    }

    fn ask_next(&mut self, pending: Pending, now: MonoTime, shared: &mut Shared) {
        if pending.attempts >= MAX_ATTEMPTS {
            self.give_up(shared);
        } else {
            self.ask(Some(pending), now, shared);
        }
    }

    /// Asks the first part in order that may answer; after a failure, rather one of another zone.
    fn ask(&mut self, failed: Option<Pending>, now: MonoTime, shared: &mut Shared) {
        let failed_part = failed.map(|pending| pending.part);
        let Some(part) = self.source(failed_part, now, shared) else {
            self.give_up(shared);
            return;
        };
        let shard = self.shard_of(part);
        let held_shard = self.held_shard(part);
        let Some(to) = self.holder(part).cloned() else { return };
        let lifetime = self.share.lifetime;
        let entry = self.entry.get_or_insert_default();
        entry.turn = entry.turn.wrapping_add(1);
        entry.hold.purge(now);
        let requests = entry.waiters.len();
        let wanted = requests as u64 * TOKEN_MICRO;
        let wanted_micro = wanted.saturating_sub(entry.hold.level_micro());
        let extra = u64::from(entry.extra_requests(lifetime, now)) * TOKEN_MICRO;
        let arrived_requests = std::mem::take(&mut entry.arrived_requests);
        entry.last_ask_at = now;
        let attempts = failed.map_or(1, |pending| pending.attempts + 1);
        entry.pending = Some(Pending { id: None, part, attempts });
        if let Some(shard) = held_shard {
            let asker = Asker::Local;
            // Tokens in reach need not be taken in advance.
            let queued = QueuedAsk {
                asker,
                wanted_micro,
                extra_micro: 0,
                arrived_requests,
                received_at: now,
            };
            self.enqueue(shard, queued, now, shared);
            return;
        }
        let ask = AllotmentAsk {
            id: 0,
            account: self.name.clone(),
            shard,
            wanted_milli: milli_up(wanted_micro),
            extra_milli: milli_up(extra),
            arrived_requests,
            is_from_holder: false,
            usage_milli: 0,
        };
        let account = self.name.clone();
        let purpose = Purpose::Entry;
        let sent =
            SentAsk { account, to, part, purpose, wanted_micro, sent_at: now, is_late: false };
        let id = shared.ask(ask, sent, ASK_TIMEOUT);
        entry.pending = Some(Pending { id: Some(id), part, attempts });
    }

    fn source(&self, failed: Option<usize>, now: MonoTime, shared: &Shared) -> Option<usize> {
        let failed_zone = failed.map(|part| self.zone_of(part));
        let is_usable = |part: &usize| {
            Some(*part) != failed
                && self.holder(*part).is_some_and(|holder| {
                    if *holder == shared.endpoint {
                        self.held_shard(*part).is_some()
                    } else {
                        !shared.is_silent(holder, now)
                    }
                })
        };
        let turn = self.entry.as_ref().map_or(0, |entry| entry.turn);
        let usable = || self.turn(turn).filter(is_usable);
        usable().find(|part| Some(self.zone_of(*part)) != failed_zone).or_else(|| usable().next())
    }

    fn give_up(&mut self, shared: &mut Shared) {
        let entry = self.entry.get_or_insert_default();
        entry.pending = None;
        while let Some(call) = entry.waiters.pop_front() {
            decide(call, unavailable(), shared);
        }
    }
}

impl Entry {
    /// Returns whether nothing is lost by forgetting it.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_none() && self.waiters.is_empty()
    }
}

const fn unavailable() -> TokenDecision {
    TokenDecision::Unavailable { retry_after: UNAVAILABLE_RETRY }
}

fn decide(call: CallId, decision: TokenDecision, shared: &mut Shared) {
    shared.waiting.remove(&call);
    shared.outputs.push(AllotmentOutput::Decided(call, decision));
}

/// Takes a decision that was reached before the request had to wait.
fn take_decision(call: CallId, shared: &mut Shared) -> Option<TokenDecision> {
    let place = shared.outputs.iter().rposition(
        |output| matches!(output, AllotmentOutput::Decided(decided, _) if *decided == call),
    )?;
    match shared.outputs.remove(place) {
        AllotmentOutput::Decided(_, decision) => Some(decision),
        AllotmentOutput::Send(..) => None,
    }
}
