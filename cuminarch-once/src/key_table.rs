use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cuminarch_types::{CallId, EndpointId, Incarnation, MonoTime};

use crate::{BoundKey, RequestFingerprint, StoredAnswer};

/// Bounds of a [`KeyTable`].
#[derive(Clone, Copy, Debug)]
pub struct KeyTableSettings {
    /// Age at which a key is no longer accepted and is forgotten.
    pub key_ttl: Duration,
    /// Maximum number of keys; requests with further keys are refused as not run.
    pub max_keys: usize,
    /// Maximum size of stored answers. The oldest answers are dropped first; their keys stay.
    pub max_answer_bytes: usize,
    /// Serial number of the first key. A random value distinguishes the keys of two processes even
    /// if a wrong clock gave them the same incarnation.
    pub first_serial: u64,
}

/// Decision on a request that carries a bound key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyDecision {
    /// Run the request; the table has recorded the run.
    Run,
    /// The request has completed; return this answer.
    Replay(Box<StoredAnswer>),
    /// The request has run, but its answer is no longer stored.
    AlreadyRun,
    /// The request is running.
    InProgress,
    /// The request may have run: the key is from another process or expired, or its run was
    /// interrupted.
    Unknown,
    /// The key belongs to another request, which may have run.
    Conflict,
    /// The table is full; the request has not run.
    Full,
}

/// Outcome of the run of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyResult {
    /// The upstream answered; holds the answer if it is small enough to store.
    Completed(Option<Box<StoredAnswer>>),
    /// The request provably did not reach the upstream; it may run again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Sort key of the table: the time when a key was minted, and its serial number.
type TableKey = (u64, u64);

#[derive(Clone, Debug)]
struct KeyEntry {
    fingerprint: RequestFingerprint,
    state: KeyState,
}

#[derive(Clone, Debug)]
enum KeyState {
    Running(CallId),
    NotRun,
    Completed(Option<Box<StoredAnswer>>),
    Unknown,
}

/// Keys of one process, from minting to expiry.
#[derive(Clone, Debug)]
pub struct KeyTable {
    settings: KeyTableSettings,
    endpoint: EndpointId,
    incarnation: Incarnation,
    next_serial: u64,
    answer_bytes: usize,
    /// First serial number minted in each interval, by its start in milliseconds.
    first_serials: BTreeMap<u64, u64>,
    keys: BTreeMap<TableKey, KeyEntry>,
    /// Keys with a stored answer, the earliest answer first.
    answered: VecDeque<TableKey>,
}

impl KeyTableSettings {
    /// Creates the default settings: ten minutes, 100,000 keys, 32 MiB of answers.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            key_ttl: Duration::from_secs(600),
            max_keys: 100_000,
            max_answer_bytes: 32 * 1024 * 1024,
            first_serial: 1,
        }
    }

    /// Sets the serial number of the first key.
    #[must_use]
    pub const fn with_first_serial(mut self, first_serial: u64) -> Self {
        self.first_serial = first_serial;
        self
    }
}

impl Default for KeyTableSettings {
    fn default() -> Self {
        Self::new()
    }
}

impl KeyTable {
    /// Resolution of the minting time in keys.
    const MINT_INTERVAL_MS: u64 = 1_000;

    /// Creates an empty table for one process.
    #[must_use]
    pub const fn new(
        settings: KeyTableSettings,
        endpoint: EndpointId,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            settings,
            endpoint,
            incarnation,
            next_serial: settings.first_serial,
            answer_bytes: 0,
            first_serials: BTreeMap::new(),
            keys: BTreeMap::new(),
            answered: VecDeque::new(),
        }
    }

    /// Mints a key that only this process will run.
    pub fn mint(&mut self, now: MonoTime) -> BoundKey {
        let serial = self.next_serial;
        self.next_serial += 1;
        let now_ms = now.as_micros() / 1_000;
        let latest_ms = self.first_serials.last_key_value().map_or(0, |(minted_ms, _)| *minted_ms);
        let minted_ms = latest_ms.max(now_ms - now_ms % Self::MINT_INTERVAL_MS);
        self.first_serials.entry(minted_ms).or_insert(serial);
        BoundKey {
            endpoint: self.endpoint.clone(),
            incarnation: self.incarnation,
            minted_ms,
            serial,
        }
    }

    /// Returns `true` if the key names this process; it may still be forged.
    #[must_use]
    pub fn is_own(&self, key: &BoundKey) -> bool {
        key.endpoint == self.endpoint && key.incarnation == self.incarnation
    }

    /// Returns the decision that [`KeyTable::begin`] would make, without recording a run.
    pub fn peek(
        &mut self,
        key: &BoundKey,
        fingerprint: RequestFingerprint,
        now: MonoTime,
    ) -> KeyDecision {
        self.expire(now);
        if !self.is_own(key) || self.is_expired(key, now) || !self.is_minted(key) {
            return KeyDecision::Unknown;
        }
        let Some(entry) = self.keys.get(&Self::table_key(key)) else {
            let is_full = self.keys.len() >= self.settings.max_keys;
            return if is_full { KeyDecision::Full } else { KeyDecision::Run };
        };
        if entry.fingerprint != fingerprint {
            return KeyDecision::Conflict;
        }
        match &entry.state {
            KeyState::Running(_) => KeyDecision::InProgress,
            KeyState::Completed(Some(answer)) => KeyDecision::Replay(answer.clone()),
            KeyState::Completed(None) => KeyDecision::AlreadyRun,
            KeyState::Unknown => KeyDecision::Unknown,
            KeyState::NotRun => KeyDecision::Run,
        }
    }

    /// Decides on a request that carries `key`.
    pub fn begin(
        &mut self,
        key: &BoundKey,
        fingerprint: RequestFingerprint,
        call: CallId,
        now: MonoTime,
    ) -> KeyDecision {
        let decision = self.peek(key, fingerprint, now);
        if decision == KeyDecision::Run {
            let entry = KeyEntry { fingerprint, state: KeyState::Running(call) };
            self.keys.insert(Self::table_key(key), entry);
        }
        decision
    }

    /// Records the outcome of the run of `key` by `call`.
    pub fn finish(&mut self, key: &BoundKey, call: CallId, result: KeyResult) {
        let table_key = Self::table_key(key);
        let Some(entry) = self.keys.get_mut(&table_key) else { return };
        if !matches!(entry.state, KeyState::Running(runner) if runner == call) {
            return;
        }
        entry.state = match result {
            KeyResult::Completed(answer) => KeyState::Completed(answer),
            KeyResult::NotRun => KeyState::NotRun,
            KeyResult::Unknown => KeyState::Unknown,
        };
        if let KeyState::Completed(Some(answer)) = &entry.state {
            self.answer_bytes += answer.len_bytes();
            self.answered.push_back(table_key);
            self.drop_old_answers();
        }
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns `true` if there are no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the size of the stored answers in bytes.
    #[must_use]
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    const fn table_key(key: &BoundKey) -> TableKey {
        (key.minted_ms, key.serial)
    }

    /// Returns `true` if the serial number was minted at the time that the key states.
    fn is_minted(&self, key: &BoundKey) -> bool {
        let Some(first) = self.first_serials.get(&key.minted_ms) else { return false };
        let later = self.first_serials.range(key.minted_ms + 1..).next();
        let end = later.map_or(self.next_serial, |(_, serial)| *serial);
        (*first..end).contains(&key.serial)
    }

    fn is_expired(&self, key: &BoundKey, now: MonoTime) -> bool {
        let minted = MonoTime::from_millis(key.minted_ms);
        minted.after(self.settings.key_ttl) <= now
    }

    fn expire(&mut self, now: MonoTime) {
        let ttl_ms = u64::try_from(self.settings.key_ttl.as_millis()).unwrap_or(u64::MAX);
        let oldest_ms = (now.as_micros() / 1_000).saturating_sub(ttl_ms);
        while let Some(entry) =
            self.first_serials.first_entry().filter(|entry| *entry.key() < oldest_ms)
        {
            entry.remove();
        }
        while let Some(entry) = self.keys.first_entry().filter(|entry| entry.key().0 < oldest_ms) {
            if let KeyState::Completed(Some(answer)) = entry.remove().state {
                self.answer_bytes -= answer.len_bytes();
            }
        }
        let Self { answered, keys, .. } = self;
        while answered.front().is_some_and(|table_key| !keys.contains_key(table_key)) {
            answered.pop_front();
        }
    }

    fn drop_old_answers(&mut self) {
        while self.answer_bytes > self.settings.max_answer_bytes {
            let Some(table_key) = self.answered.pop_front() else { return };
            if let Some(KeyEntry { state: KeyState::Completed(answer), .. }) =
                self.keys.get_mut(&table_key)
                && let Some(answer) = answer.take()
            {
                self.answer_bytes -= answer.len_bytes();
            }
        }
    }
}
