use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cuminarch_protocol::{AllotmentAsk, AllotmentMessage};
use cuminarch_types::{AccountName, CallId, EndpointId, MonoTime};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use xxhash_rust::xxh3::xxh3_64;

use crate::bounds::{ALONE_ASKS, MAX_LIFETIME, MAX_SEEN, SILENCE};
use crate::{AllotmentOutput, AllotmentSettings};

/// Why an ask was sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// For requests at this node.
    Entry,
    /// For the asks that wait at a part held here.
    Gather {
        /// The part, by its number in the own zone.
        shard: u8,
    },
}

/// An ask whose answer may still be of use.
#[derive(Clone, Debug)]
pub(crate) struct SentAsk {
    pub account: AccountName,
    pub to: EndpointId,
    /// Index of the part that was asked.
    pub part: usize,
    pub purpose: Purpose,
    pub wanted_micro: u64,
    pub sent_at: MonoTime,
    pub is_late: bool,
}

/// State that all accounts of a node share.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub endpoint: EndpointId,
    pub outputs: Vec<AllotmentOutput>,
    /// Accounts of the waiting requests.
    pub waiting: BTreeMap<CallId, AccountName>,
    asks: BTreeMap<u64, SentAsk>,
    timers: BTreeSet<(MonoTime, u64)>,
    next_id: u64,
    silent_until: BTreeMap<EndpointId, MonoTime>,
    /// Nodes that have not answered an ask since they were last heard.
    pub newly_silent: Vec<EndpointId>,
    /// Asks without an answer since any node was heard.
    unanswered: u32,
    alone_until: MonoTime,
    seen: BTreeSet<u64>,
    seen_order: VecDeque<u64>,
    random: ChaCha8Rng,
}

impl Shared {
    pub(crate) fn new(settings: &AllotmentSettings) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        Self {
            endpoint: settings.endpoint.clone(),
            outputs: Vec::new(),
            waiting: BTreeMap::new(),
            asks: BTreeMap::new(),
            timers: BTreeSet::new(),
            next_id: random.random(),
            silent_until: BTreeMap::new(),
            newly_silent: Vec::new(),
            unanswered: 0,
            alone_until: MonoTime::ZERO,
            seen: BTreeSet::new(),
            seen_order: VecDeque::new(),
            random,
        }
    }

    /// Sends an ask; without an answer it is late after `timeout`.
    pub(crate) fn ask(&mut self, mut ask: AllotmentAsk, sent: SentAsk, timeout: Duration) -> u64 {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        ask.id = id;
        self.timers.insert((sent.sent_at.after(timeout), id));
        self.send(&sent.to, AllotmentMessage::Ask(ask));
        self.asks.insert(id, sent);
        id
    }

    pub(crate) fn send(&mut self, to: &EndpointId, message: AllotmentMessage) {
        self.outputs.push(AllotmentOutput::Send(to.clone(), message));
    }

    /// Takes the ask that a grant answers, if it was not answered before.
    pub(crate) fn answered(&mut self, id: u64, from: &EndpointId) -> Option<SentAsk> {
        if self.asks.get(&id).is_none_or(|ask| ask.to != *from) {
            return None;
        }
        self.timers.retain(|(_, timer)| *timer != id);
        self.asks.remove(&id)
    }

    /// Returns the next ask that became late, and forgets those that no answer can help.
    pub(crate) fn next_late(&mut self, now: MonoTime) -> Option<(u64, SentAsk)> {
        while let Some((due, id)) = self.timers.first().copied()
            && due <= now
        {
            self.timers.pop_first();
            let Some(ask) = self.asks.get_mut(&id) else { continue };
            let expires_at = ask.sent_at.after(MAX_LIFETIME);
            if ask.is_late {
                self.asks.remove(&id);
                continue;
            }
            ask.is_late = true;
            let ask = ask.clone();
            self.timers.insert((expires_at.max(now), id));
            if self.silent_until.insert(ask.to.clone(), now.after(SILENCE)).is_none() {
                self.newly_silent.push(ask.to.clone());
            }
            self.unanswered += 1;
            if self.unanswered >= ALONE_ASKS {
                self.alone_until = now.after(SILENCE);
            }
            return Some((id, ask));
        }
        None
    }

    pub(crate) fn next_wake(&self) -> Option<MonoTime> {
        self.timers.first().map(|(due, _)| *due)
    }

    pub(crate) fn is_silent(&self, endpoint: &EndpointId, now: MonoTime) -> bool {
        now < self.alone_until || self.silent_until.get(endpoint).is_some_and(|until| now < *until)
    }

    pub(crate) fn heard(&mut self, endpoint: &EndpointId) {
        self.silent_until.remove(endpoint);
        self.unanswered = 0;
        self.alone_until = MonoTime::ZERO;
    }

    /// Returns whether an ask was seen before, and remembers it.
    pub(crate) fn is_repeated(&mut self, from: &EndpointId, id: u64) -> bool {
        let key = xxh3_64(from.as_str().as_bytes()) ^ id;
        if !self.seen.insert(key) {
            return true;
        }
        self.seen_order.push_back(key);
        if self.seen_order.len() > MAX_SEEN
            && let Some(oldest) = self.seen_order.pop_front()
        {
            self.seen.remove(&oldest);
        }
        false
    }

    /// Returns a random part of `span`.
    pub(crate) fn part_of(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.random::<f64>())
    }
}
