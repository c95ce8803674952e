use std::collections::BTreeMap;
use std::time::Duration;

use cuminarch_types::{CallId, EndpointId, Incarnation, MonoTime};

use crate::{BoundKey, StoredAnswer};

/// Bounds of a [`KeyTable`].
#[derive(Clone, Copy, Debug)]
pub struct KeyTableSettings {
    /// Age at which a key is no longer accepted and is forgotten.
    pub lifetime: Duration,
    /// Most keys held at once; more are refused as not run.
    pub max_keys: usize,
    /// Most bytes of stored answers; older answers are dropped first, their keys stay.
    pub max_answer_bytes: usize,
}

/// What to do with a request that carries a bound key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyDecision {
    /// Run it; the table has recorded that it runs.
    Run,
    /// It has completed; give this answer.
    Replay(Box<StoredAnswer>),
    /// It has run, but its answer is no longer held.
    AlreadyRun,
    /// It is running at this moment.
    InProgress,
    /// It may have run: the key is of another process, expired, or its run broke off.
    Unknown,
    /// The table is full; it has not run.
    Full,
}

/// How the run of a key ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyResult {
    /// The upstream answered; the answer is kept if it was small enough.
    Completed(Option<Box<StoredAnswer>>),
    /// The request provably did not reach the upstream; it may run again.
    NotRun,
    /// The request may have run.
    Unknown,
}

#[derive(Clone, Debug)]
enum KeyState {
    Running(CallId),
    NotRun,
    Completed(Option<Box<StoredAnswer>>),
    Unknown,
}

/// Keys of one process, from the moment they are minted until they expire.
#[derive(Clone, Debug)]
pub struct KeyTable {
    settings: KeyTableSettings,
    endpoint: EndpointId,
    incarnation: Incarnation,
    next_serial: u64,
    answer_bytes: usize,
    keys: BTreeMap<(u64, u64), KeyState>,
}

impl KeyTableSettings {
    /// Ten minutes, 100,000 keys, 32 MiB of answers.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            lifetime: Duration::from_secs(600),
            max_keys: 100_000,
            max_answer_bytes: 32 * 1024 * 1024,
        }
    }
}

impl Default for KeyTableSettings {
    fn default() -> Self {
        Self::new()
    }
}

impl KeyTable {
    /// An empty table of one process.
    #[must_use]
    pub const fn new(
        settings: KeyTableSettings,
        endpoint: EndpointId,
        incarnation: Incarnation,
    ) -> Self {
        let keys = BTreeMap::new();
        Self { settings, endpoint, incarnation, next_serial: 1, answer_bytes: 0, keys }
    }

    /// A new key that only this process will run.
    pub fn mint(&mut self, now: MonoTime) -> BoundKey {
        let serial = self.next_serial;
        self.next_serial += 1;
        BoundKey {
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            minted_ms: now.as_micros() / 1_000,
            serial,
        }
    }

    /// Decides on a request that carries `key`.
    pub fn begin(&mut self, key: &BoundKey, call: CallId, now: MonoTime) -> KeyDecision {
        self.expire(now);
        if !self.is_own(key) || self.is_expired(key, now) || key.serial >= self.next_serial {
            return KeyDecision::Unknown;
        }
        match self.keys.get(&(key.minted_ms, key.serial)) {
            Some(KeyState::Running(_)) => KeyDecision::InProgress,
            Some(KeyState::Completed(Some(answer))) => KeyDecision::Replay(answer.clone()),
            Some(KeyState::Completed(None)) => KeyDecision::AlreadyRun,
            Some(KeyState::Unknown) => KeyDecision::Unknown,
            Some(KeyState::NotRun) | None => self.start(key, call),
        }
    }

    /// Records how the run of `key` by `call` ended.
    pub fn finish(&mut self, key: &BoundKey, call: CallId, result: KeyResult) {
        let Some(state) = self.keys.get_mut(&(key.minted_ms, key.serial)) else { return };
        if !matches!(state, KeyState::Running(runner) if *runner == call) {
            return;
        }
        *state = match result {
            KeyResult::Completed(answer) => KeyState::Completed(answer),
            KeyResult::NotRun => KeyState::NotRun,
            KeyResult::Unknown => KeyState::Unknown,
        };
        if let KeyState::Completed(Some(answer)) = state {
            self.answer_bytes += answer.len_bytes();
            self.drop_old_answers();
        }
    }

    /// Number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn start(&mut self, key: &BoundKey, call: CallId) -> KeyDecision {
        let slot = (key.minted_ms, key.serial);
        if self.keys.len() >= self.settings.max_keys && !self.keys.contains_key(&slot) {
            return KeyDecision::Full;
        }
        self.keys.insert(slot, KeyState::Running(call));
        KeyDecision::Run
    }

    fn is_own(&self, key: &BoundKey) -> bool {
        key.endpoint == self.endpoint && key.incarnation == self.incarnation
    }

    fn is_expired(&self, key: &BoundKey, now: MonoTime) -> bool {
        let minted = MonoTime::from_millis(key.minted_ms);
        minted.after(self.settings.lifetime) <= now
    }

    fn expire(&mut self, now: MonoTime) {
        let lifetime_ms = u64::try_from(self.settings.lifetime.as_millis()).unwrap_or(u64::MAX);
        let oldest_ms = (now.as_micros() / 1_000).saturating_sub(lifetime_ms);
        while let Some(entry) = self.keys.first_entry() {
            if entry.key().0 >= oldest_ms {
                break;
            }
            if let KeyState::Completed(Some(answer)) = entry.remove() {
                self.answer_bytes -= answer.len_bytes();
            }
        }
    }

    fn drop_old_answers(&mut self) {
        for state in self.keys.values_mut() {
            if self.answer_bytes <= self.settings.max_answer_bytes {
                return;
            }
            if let KeyState::Completed(answer) = state
                && let Some(answer) = answer.take()
            {
                self.answer_bytes -= answer.len_bytes();
            }
        }
    }
}
