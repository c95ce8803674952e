use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cuminarch_types::{CallId, EndpointId, Incarnation, MonoTime};

use crate::{BoundKey, RequestFingerprint, StoredAnswer};

/// Bounds of a [`KeyTable`].
#[derive(Clone, Copy, Debug)]
pub struct KeyTableSettings {
    /// Age at which a key is no longer accepted and is forgotten.
    pub key_ttl: Duration,
    /// Most keys held at once; more are refused as not run.
    pub max_keys: usize,
    /// Most bytes of stored answers; older answers are dropped first, their keys stay.
    pub max_answer_bytes: usize,
    /// Serial number of the first key. Chosen at random it keeps the keys of two
    /// processes apart even if a wrong clock gave them the same incarnation.
    pub first_serial: u64,
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
    /// The key belongs to another request, which may have run.
    Conflict,
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

/// Place of a key in its table: when it was minted, and its serial number.
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

/// Keys of one process, from the moment they are minted until they expire.
#[derive(Clone, Debug)]
pub struct KeyTable {
    settings: KeyTableSettings,
    endpoint: EndpointId,
    incarnation: Incarnation,
    next_serial: u64,
    answer_bytes: usize,
    /// First serial number minted in each interval.
    first_serials: BTreeMap<u64, u64>,
    keys: BTreeMap<TableKey, KeyEntry>,
    /// Keys whose answer is held, the earliest answer first.
    answered: VecDeque<TableKey>,
}

impl KeyTableSettings {
    /// Ten minutes, 100,000 keys, 32 MiB of answers.
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
    /// Keys state when they were minted in units of this many milliseconds.
    const MINT_INTERVAL_MS: u64 = 1_000;

    /// An empty table of one process.
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

    /// A new key that only this process will run.
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

    /// Whether this process minted the key, or claims to have.
    #[must_use]
    pub fn is_own(&self, key: &BoundKey) -> bool {
        key.endpoint == self.endpoint && key.incarnation == self.incarnation
    }

    /// What [`KeyTable::begin`] would decide, without recording a run.
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

    /// Records how the run of `key` by `call` ended.
    pub fn finish(&mut self, key: &BoundKey, call: CallId, result: KeyResult) {
        let slot = Self::table_key(key);
        let Some(entry) = self.keys.get_mut(&slot) else { return };
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
            self.answered.push_back(slot);
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

    /// Size of the answers held, in bytes.
    #[must_use]
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    const fn table_key(key: &BoundKey) -> TableKey {
        (key.minted_ms, key.serial)
    }

    /// Whether the serial number was given out when the key says it was.
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
        let lifetime_ms = u64::try_from(self.settings.key_ttl.as_millis()).unwrap_or(u64::MAX);
        let oldest_ms = (now.as_micros() / 1_000).saturating_sub(lifetime_ms);
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
        while answered.front().is_some_and(|slot| !keys.contains_key(slot)) {
            answered.pop_front();
        }
    }

    fn drop_old_answers(&mut self) {
        while self.answer_bytes > self.settings.max_answer_bytes {
            let Some(slot) = self.answered.pop_front() else { return };
            if let Some(KeyEntry { state: KeyState::Completed(answer), .. }) =
                self.keys.get_mut(&slot)
                && let Some(answer) = answer.take()
            {
                self.answer_bytes -= answer.len_bytes();
            }
        }
    }
}
