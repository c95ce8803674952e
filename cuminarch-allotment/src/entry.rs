use std::collections::VecDeque;
use std::time::Duration;

use cuminarch_types::{CallId, MonoTime};

use crate::AccountUsage;
use crate::bounds::{
    MAX_AHEAD, MAX_EXTRA_REQUESTS, MAX_SPENT, MAX_WAITERS, REFUSAL_PAUSE, SPENT_AGE, USAGE_AGE,
};
use crate::held_part::TOKEN_MICRO;
use crate::hold::Hold;
use crate::meter::Meter;

/// The ask that requests wait for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Pending {
    /// Id of the ask, or none if the part is held here.
    pub id: Option<u64>,
    /// The part that was asked.
    pub part: usize,
    /// Nodes that were asked.
    pub attempts: u8,
}

/// A token that a request was granted.
#[derive(Clone, Copy, Debug)]
struct Spent {
    call: CallId,
    granted_at: MonoTime,
    expires_at: MonoTime,
}

/// What an entry node knows of an account.
#[derive(Clone, Debug, Default)]
pub(crate) struct Entry {
    pub hold: Hold,
    pub waiters: VecDeque<CallId>,
    pub pending: Option<Pending>,
    pub arrived_requests: u32,
    /// Number of asks.
    pub turn: usize,
    pub meter: Meter,
    pub last_arrival_at: MonoTime,
    pub last_ask_at: MonoTime,
    refused_until: MonoTime,
    retry_at: MonoTime,
    usage: Option<AccountUsage>,
    spent: VecDeque<Spent>,
    /// When the last grant that had to be forgotten was made.
    forgot_at: Option<MonoTime>,
}

impl Entry {
    pub(crate) fn arrived(&mut self, now: MonoTime) {
        self.arrived_requests = self.arrived_requests.saturating_add(1);
        self.meter.add(1, now);
        self.last_arrival_at = now;
    }

    /// Spends a token that is held, if any.
    pub(crate) fn spend(&mut self, call: CallId, now: MonoTime) -> bool {
        self.hold.purge(now);
        if self.hold.level_micro() < TOKEN_MICRO {
            return false;
        }
        let (_, earliest) = self.hold.take(TOKEN_MICRO);
        if let Some(expires_at) = earliest {
            self.spent.push_back(Spent { call, granted_at: now, expires_at });
        }
        while self.spent.front().is_some_and(|spent| now.since(spent.granted_at) > SPENT_AGE) {
            self.spent.pop_front();
        }
        if self.spent.len() > MAX_SPENT {
            self.forgot_at = self.spent.pop_front().map(|spent| spent.granted_at);
        }
        true
    }

    /// Takes back the token of a request, or of the oldest one that may not have started.
    pub(crate) fn give_back(&mut self, call: Option<CallId>, now: MonoTime) {
        let place = match call {
            Some(call) => self.spent.iter().position(|spent| spent.call == call),
            // The oldest one may be among those that were forgotten.
            None if self.forgot_at.is_some_and(|at| now.since(at) <= SPENT_AGE) => None,
            None => Some(0),
        };
        if let Some(spent) = place.and_then(|place| self.spent.remove(place))
            && now < spent.expires_at
        {
            self.hold.add(spent.expires_at, TOKEN_MICRO);
        }
    }

    /// Queues a request; returns whether there was room.
    pub(crate) fn wait(&mut self, call: CallId) -> bool {
        let has_room = self.waiters.len() < MAX_WAITERS;
        if has_room {
            self.waiters.push_back(call);
        }
        has_room
    }

    /// Remembers a refusal: the next ones follow without an ask for a moment.
    pub(crate) fn refused(&mut self, retry_after: Duration, now: MonoTime) {
        self.retry_at = now.after(retry_after);
        self.refused_until = now.after(retry_after.min(REFUSAL_PAUSE));
    }

    /// Returns whether requests are refused without an ask.
    pub(crate) fn is_refusing(&self, now: MonoTime) -> bool {
        now < self.refused_until
    }

    /// Returns when the next refused caller finds a token, after those told before.
    pub(crate) fn next_retry(&mut self, token_time: Duration, now: MonoTime) -> Duration {
        self.retry_at = self.retry_at.after(token_time).min(now.after(MAX_AHEAD));
        self.retry_at.since(now)
    }

    /// Returns how many tokens to ask for in advance.
    pub(crate) fn extra_requests(&mut self, lifetime: Duration, now: MonoTime) -> u32 {
        let rate_milli = u128::from(self.meter.rate_milli(now));
        // At the limit tokens are used up at once; otherwise half of them would expire.
        let is_short = now < self.refused_until.after(REFUSAL_PAUSE);
        let span_us = if is_short { REFUSAL_PAUSE.min(lifetime) } else { lifetime / 2 }.as_micros();
        let expected = rate_milli * span_us / 1_000_000_000;
        u32::try_from(expected).unwrap_or(MAX_EXTRA_REQUESTS).min(MAX_EXTRA_REQUESTS)
    }

    pub(crate) const fn report(&mut self, usage_milli: u32, now: MonoTime) {
        self.usage = Some(AccountUsage { usage_milli, reported_at: now });
    }

    pub(crate) fn usage(&self, now: MonoTime) -> Option<AccountUsage> {
        self.usage.filter(|usage| now.since(usage.reported_at) <= USAGE_AGE)
    }
}
