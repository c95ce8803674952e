use std::collections::VecDeque;
use std::time::Duration;

use cuminarch_types::{EndpointId, MonoTime};

use crate::bounds::{CLOCK_MARGIN, MAX_AHEAD, MAX_GATHER_PAUSE, MIN_EMPTY};
use crate::bucket::Bucket;
use crate::hold::Hold;
use crate::meter::Meter;
use crate::share::Share;

/// One request in millionths.
pub(crate) const TOKEN_MICRO: u64 = 1_000_000;

/// Who asked for tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Asker {
    /// Requests at this node.
    Local,
    /// Another node, with the id of its ask.
    Remote(EndpointId, u64),
}

/// An ask that waits for tokens.
#[derive(Clone, Debug)]
pub(crate) struct QueuedAsk {
    pub asker: Asker,
    pub wanted_micro: u64,
    pub extra_micro: u64,
    pub arrived_requests: u32,
    pub received_at: MonoTime,
}

/// Tokens for an ask.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Served {
    pub micro: u64,
    /// Lifetime from when the ask was sent.
    pub lifetime: Duration,
    /// Time until the missing tokens are free; zero if none is missing.
    pub retry_after: Duration,
}

/// A collection of tokens from other holders.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gather {
    pub ask: Option<u64>,
    pub asked: Vec<usize>,
    /// Number of asks so far.
    pub turn: usize,
    pub started_at: Option<MonoTime>,
    pub last_ask_at: Option<MonoTime>,
    /// Until when no tokens are collected, after others had too few.
    pub paused_until: MonoTime,
    pub pause: Duration,
    /// Tokens that came so far.
    pub lent_micro: u64,
}

/// A part of an allotment that this node holds.
#[derive(Clone, Debug)]
pub(crate) struct HeldPart {
    pub bucket: Bucket,
    /// Tokens of other holders for the asks that wait.
    pub pot: Hold,
    pub queue: VecDeque<QueuedAsk>,
    pub gather: Gather,
    pub meter: Meter,
    /// When those who were told to come back will have used the tokens.
    told_until: MonoTime,
}

impl HeldPart {
    pub(crate) fn new(share: &Share, refills_from: MonoTime) -> Self {
        Self {
            bucket: Bucket::new(share, refills_from),
            pot: Hold::default(),
            queue: VecDeque::new(),
            gather: Gather::default(),
            meter: Meter::default(),
            told_until: MonoTime::ZERO,
        }
    }

    pub(crate) fn refresh(&mut self, now: MonoTime) {
        self.bucket.refill(now);
        self.pot.purge(now);
    }

    pub(crate) fn available_micro(&self) -> u64 {
        self.bucket.level_micro() + self.pot.level_micro()
    }

    /// Returns the tokens that the waiting asks lack.
    pub(crate) fn missing_micro(&self) -> u64 {
        let wanted: u64 = self.queue.iter().map(|ask| ask.wanted_micro).sum();
        wanted.saturating_sub(self.available_micro())
    }

    /// Serves an ask from what is there.
    pub(crate) fn serve(&mut self, ask: &QueuedAsk, share: &Share, now: MonoTime) -> Served {
        let granted = whole(ask.wanted_micro.min(self.available_micro()));
        let (from_pot, earliest) = self.pot.take(granted);
        let mut lifetime = share.lifetime;
        if let Some(earliest) = earliest {
            lifetime = lifetime.min(earliest.since(ask.received_at));
        }
        let until = ask.received_at.after(lifetime + CLOCK_MARGIN);
        let mut micro = from_pot + self.bucket.take(granted - from_pot, until);
        if self.queue.is_empty() {
            let extra = whole(ask.extra_micro.min(self.bucket.level_micro()));
            micro += self.bucket.take(extra, until);
        }
        let missing_micro = ask.wanted_micro.saturating_sub(micro);
        let retry_after = if missing_micro > 0 {
            let told = u64::from(ask.arrived_requests) * TOKEN_MICRO;
            self.tell(missing_micro.max(told.saturating_sub(micro)), share, now)
        } else {
            Duration::ZERO
        };
        Served { micro, lifetime, retry_after }
    }

    /// Hands tokens to the holder of another part.
    pub(crate) fn lend(
        &mut self,
        (wanted_micro, extra_micro): (u64, u64),
        usage_milli: u32,
        share: &Share,
        now: MonoTime,
    ) -> Served {
        let until = now.after(share.lifetime + CLOCK_MARGIN);
        let wanted = self.bucket.take(wanted_micro, until);
        // Half of the bucket stays for the requests that come here, unless few come.
        let kept_micro = if usage_milli < 500 { 0 } else { share.burst_micro / 2 };
        let spare_micro = self.bucket.level_micro().saturating_sub(kept_micro);
        let micro = wanted + self.bucket.take(extra_micro.min(spare_micro), until);
        let retry_after = if micro < wanted_micro + extra_micro {
            self.bucket.time_to(TOKEN_MICRO, share, now).max(Duration::from_millis(1))
        } else {
            Duration::ZERO
        };
        Served { micro, lifetime: share.lifetime, retry_after }
    }

    /// Ends a collection; what is left of it joins the bucket as far as the burst allows.
    pub(crate) fn end_gather(&mut self) {
        let left = self.pot.take_all();
        self.bucket.add(left);
        self.gather.ask = None;
        self.gather.asked.clear();
        self.gather.started_at = None;
        self.gather.lent_micro = 0;
    }

    /// Stops collecting for a while, longer after each time in a row.
    pub(crate) fn pause_gather(&mut self, now: MonoTime) {
        if !self.gather.asked.is_empty() && self.gather.lent_micro < TOKEN_MICRO {
            self.gather.pause = (self.gather.pause * 2).clamp(MIN_EMPTY, MAX_GATHER_PAUSE);
            self.gather.paused_until = now.after(self.gather.pause);
        }
    }

    /// Returns when a token is free for callers that are refused, after those told before.
    fn tell(&mut self, refused_micro: u64, share: &Share, now: MonoTime) -> Duration {
        let free_at = now.after(self.bucket.time_to(TOKEN_MICRO, share, now));
        let turn = self.told_until.max(free_at);
        self.told_until =
            turn.after(share.refill_time(refused_micro)).min(now.after(MAX_AHEAD).max(free_at));
        turn.since(now).max(Duration::from_millis(1))
    }
}

/// Returns the whole tokens of an amount.
pub(crate) const fn whole(micro: u64) -> u64 {
    micro - micro % TOKEN_MICRO
}
