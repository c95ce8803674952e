use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminarch_protocol::{Suspicion, SuspicionScope};
use cuminarch_types::{EndpointId, MonoTime, RequestDigest, RequestIdentity, RequestVariant};
use xxhash_rust::xxh3::xxh3_64;

use crate::{CrashFinding, Verdict};

type Key = (RequestDigest, SuspicionScope);

#[derive(Clone, Debug)]
struct Entry {
    crashes: u32,
    cleared: u32,
    last_crash_at: MonoTime,
    /// The node that reported it, unless this one found it.
    source: Option<EndpointId>,
}

impl Entry {
    /// Returns the number of endpoints that ended since the request was last answered.
    const fn unexplained(&self) -> u32 {
        self.crashes.saturating_sub(self.cleared)
    }
}

/// What this node knows of requests that crash endpoints.
///
/// When an endpoint ends, each request that it was running is suspected. An endpoint runs one
/// suspected request at a time, so that the next end convicts the one that it was running. An
/// answer of an endpoint clears a request.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    entries: BTreeMap<Key, Entry>,
    /// Entries to send to other nodes.
    changed: BTreeSet<Key>,
    /// Digest of all entries, unless they changed since it was last computed.
    digest: Cell<Option<u64>>,
}

impl SuspectTable {
    /// Most entries; the oldest suspicions are dropped first.
    pub const MAX_ENTRIES: usize = 4_096;
    /// Most requests that one end of an endpoint makes suspect; the latest runs count.
    const MAX_RUNS: usize = 512;
    /// Convictions of a request without regard to its header fields that a refusal requires.
    const MIN_ANY_VARIANT: u32 = 2;
    /// Time for which a request is refused after it crashed its second endpoint, its third, and so
    /// on. After that, one endpoint runs it once more.
    const REFUSAL_TIMES: [Duration; 4] = [
        Duration::from_secs(30),
        Duration::from_secs(10 * 60),
        Duration::from_secs(60 * 60),
        Duration::from_secs(6 * 60 * 60),
    ];
    /// Time for which an entry is kept after it stopped mattering, so that older statements of
    /// other nodes do not revive it.
    const TTL: Duration = Duration::from_secs(10 * 60);

    /// Creates an empty table.
    #[must_use]
    pub const fn new() -> Self {
        Self { entries: BTreeMap::new(), changed: BTreeSet::new(), digest: Cell::new(None) }
    }

    /// Returns `true` if nothing is known of any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests that are suspected.
    #[must_use]
    pub fn suspected(&self) -> usize {
        let is_suspected = |(key, entry): &(&Key, &Entry)| {
            key.1 == SuspicionScope::Suspected && entry.unexplained() > 0
        };
        self.entries.iter().filter(is_suspected).count()
    }

    /// Returns the number of convictions in force.
    #[must_use]
    pub fn convicted(&self) -> usize {
        let is_convicted = |(key, entry): &(&Key, &Entry)| {
            matches!(key.1, SuspicionScope::Variant(_)) && entry.unexplained() > 0
        };
        self.entries.iter().filter(is_convicted).count()
    }

    /// Returns how to treat a request.
    #[must_use]
    pub fn verdict(&self, identity: RequestIdentity, now: MonoTime) -> Verdict {
        if self.entries.is_empty() {
            return Verdict::Unsuspected;
        }
        let RequestIdentity { request, variant } = identity;
        let variant = self.conviction(request, SuspicionScope::Variant(variant), 1, now);
        let any = SuspicionScope::AnyVariant;
        let any = self.conviction(request, any, Self::MIN_ANY_VARIANT, now);
        match (variant, any) {
            (Some(refused @ Verdict::Refused { .. }), _)
            | (_, Some(refused @ Verdict::Refused { .. })) => refused,
            (Some(verdict), _) | (_, Some(verdict)) => verdict,
            (None, None) if self.unexplained(request, SuspicionScope::Suspected) > 0 => {
                Verdict::Suspected
            }
            (None, None) => Verdict::Unsuspected,
        }
    }

    fn conviction(
        &self,
        request: RequestDigest,
        scope: SuspicionScope,
        min_crashes: u32,
        now: MonoTime,
    ) -> Option<Verdict> {
        let entry = self.entries.get(&(request, scope))?;
        if entry.unexplained() < min_crashes {
            return None;
        }
        let age = now.since(entry.last_crash_at);
        let retry_after = Self::refusal_time(entry.unexplained()).saturating_sub(age);
        if retry_after.is_zero() {
            return Some(Verdict::Suspected);
        }
        let (crashes, source) = (entry.crashes + 1, entry.source.clone());
        Some(Verdict::Refused { retry_after, crashes, age, source })
    }

    fn refusal_time(convictions: u32) -> Duration {
        let index = usize::try_from(convictions.saturating_sub(1)).unwrap_or(usize::MAX);
        Self::REFUSAL_TIMES[index.min(Self::REFUSAL_TIMES.len() - 1)]
    }

    fn unexplained(&self, request: RequestDigest, scope: SuspicionScope) -> u32 {
        self.entries.get(&(request, scope)).map_or(0, Entry::unexplained)
    }

    /// Records that the local endpoint ended while it ran these requests, the latest first.
    ///
    /// The one request that was suspected of more crashes than all others is convicted.
    pub fn record_crash(&mut self, runs: &[RequestIdentity], now: MonoTime) -> CrashFinding {
        let runs = &runs[..runs.len().min(Self::MAX_RUNS)];
        let requests: BTreeSet<RequestDigest> = runs.iter().map(|run| run.request).collect();
        let convicted = self.most_suspected(&requests);
        for request in &requests {
            self.add_crash(*request, SuspicionScope::Suspected, now);
        }
        if let Some(request) = convicted {
            self.add_crash(request, SuspicionScope::AnyVariant, now);
            let variants: BTreeSet<RequestVariant> =
                runs.iter().filter(|run| run.request == request).map(|run| run.variant).collect();
            // Several variants may have run at once before the request was suspected.
            if let (Some(variant), 1) = (variants.first(), variants.len()) {
                self.add_crash(request, SuspicionScope::Variant(*variant), now);
            }
        }
        self.evict();
        let suspicions = |request| self.unexplained(request, SuspicionScope::Suspected);
        let crashes = convicted.map_or(1, suspicions);
        CrashFinding { suspected: requests.len(), convicted, crashes }
    }

    fn most_suspected(&self, requests: &BTreeSet<RequestDigest>) -> Option<RequestDigest> {
        let count = |request: &RequestDigest| self.unexplained(*request, SuspicionScope::Suspected);
        let most = requests.iter().map(count).max().filter(|most| *most > 0)?;
        let mut candidates = requests.iter().filter(|request| count(request) == most);
        let first = candidates.next().copied();
        first.filter(|_| candidates.next().is_none())
    }

    fn add_crash(&mut self, request: RequestDigest, scope: SuspicionScope, now: MonoTime) {
        let new = Entry { crashes: 0, cleared: 0, last_crash_at: now, source: None };
        let entry = self.entries.entry((request, scope)).or_insert(new);
        entry.crashes = entry.crashes.saturating_add(1);
        entry.last_crash_at = now;
        entry.source = None;
        self.mark_changed((request, scope));
    }

    /// Records that the local endpoint has answered a request. Returns `true` if that clears it.
    pub fn record_answer(&mut self, identity: RequestIdentity) -> bool {
        if self.entries.is_empty() {
            return false;
        }
        let variant = SuspicionScope::Variant(identity.variant);
        let scopes = [SuspicionScope::Suspected, SuspicionScope::AnyVariant, variant];
        let mut is_cleared = false;
        for key in scopes.map(|scope| (identity.request, scope)) {
            if let Some(entry) = self.entries.get_mut(&key)
                && entry.unexplained() > 0
            {
                entry.cleared = entry.crashes;
                entry.source = None;
                self.mark_changed(key);
                is_cleared = true;
            }
        }
        is_cleared
    }

    /// Merges the statements of another node. Returns the number of those that were new.
    pub fn merge(&mut self, from: &EndpointId, entries: &[Suspicion], now: MonoTime) -> usize {
        let newer = entries.iter().filter(|entry| self.merge_one(from, entry, now)).count();
        self.evict();
        newer
    }

    fn merge_one(&mut self, from: &EndpointId, statement: &Suspicion, now: MonoTime) -> bool {
        let micros = now.as_micros().saturating_sub(statement.age_ms.saturating_mul(1_000));
        let last_crash_at = MonoTime::from_micros(micros);
        let key = (statement.request, statement.scope);
        let new = Entry { crashes: 0, cleared: 0, last_crash_at, source: None };
        let is_expired = Self::is_expired(key.1, &new, now);
        let entry = match self.entries.get_mut(&key) {
            Some(entry) => entry,
            None if is_expired => return false,
            None => self.entries.entry(key).or_insert(new),
        };
        let is_newer = statement.crashes > entry.crashes || statement.cleared > entry.cleared;
        if statement.crashes > entry.crashes {
            entry.last_crash_at = last_crash_at;
        }
        entry.crashes = entry.crashes.max(statement.crashes);
        entry.cleared = entry.cleared.max(statement.cleared);
        if is_newer {
            entry.source = Some(from.clone());
            self.mark_changed(key);
        }
        is_newer
    }

    fn is_expired(scope: SuspicionScope, entry: &Entry, now: MonoTime) -> bool {
        let matters_for = match scope {
            SuspicionScope::Suspected if entry.unexplained() < 2 => Duration::ZERO,
            _ => Self::refusal_time(entry.unexplained()),
        };
        now.since(entry.last_crash_at) > matters_for + Self::TTL
    }

    /// Drops entries that no longer matter.
    pub fn expire(&mut self, now: MonoTime) {
        let len = self.entries.len();
        self.entries.retain(|key, entry| !Self::is_expired(key.1, entry, now));
        if self.entries.len() < len {
            self.digest.set(None);
        }
    }

    fn evict(&mut self) {
        if self.entries.len() <= Self::MAX_ENTRIES {
            return;
        }
        let mut order: Vec<(bool, MonoTime, Key)> = self
            .entries
            .iter()
            .map(|(key, entry)| (key.1 != SuspicionScope::Suspected, entry.last_crash_at, *key))
            .collect();
        order.sort_unstable();
        // Some room is kept free, so that not every report sorts the whole table.
        let surplus = self.entries.len() - Self::MAX_ENTRIES * 3 / 4;
        for (_, _, key) in order.into_iter().take(surplus) {
            self.entries.remove(&key);
        }
        self.digest.set(None);
    }

    /// Returns the entries that changed since the last call, convictions first.
    pub fn take_changes(&mut self, now: MonoTime) -> Vec<Suspicion> {
        let changed = std::mem::take(&mut self.changed);
        let mut changes: Vec<Suspicion> =
            changed.into_iter().filter_map(|key| self.statement(key, now)).collect();
        changes.sort_by_key(|entry| entry.scope == SuspicionScope::Suspected);
        changes
    }

    /// Returns all entries, convictions first, then the latest.
    #[must_use]
    pub fn statements(&self, now: MonoTime) -> Vec<Suspicion> {
        let mut all: Vec<Suspicion> =
            self.entries.keys().filter_map(|key| self.statement(*key, now)).collect();
        all.sort_by_key(|entry| (entry.scope == SuspicionScope::Suspected, entry.age_ms));
        all
    }

    fn statement(&self, key: Key, now: MonoTime) -> Option<Suspicion> {
        let entry = self.entries.get(&key)?;
        let age = now.since(entry.last_crash_at);
        Some(Suspicion {
            request: key.0,
            scope: key.1,
            crashes: entry.crashes,
            cleared: entry.cleared,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Returns a digest of all entries, to compare the tables of two nodes.
    #[must_use]
    pub fn digest(&self) -> u64 {
        if let Some(digest) = self.digest.get() {
            return digest;
        }
        let add = |digest, (key, entry): (&Key, &Entry)| digest ^ entry_digest(*key, entry);
        let digest = self.entries.iter().fold(0, add);
        self.digest.set(Some(digest));
        digest
    }

    fn mark_changed(&mut self, key: Key) {
        self.changed.insert(key);
        self.digest.set(None);
    }
}

fn entry_digest((request, scope): Key, entry: &Entry) -> u64 {
    let (kind, variant) = match scope {
        SuspicionScope::Suspected => (0_u8, 0),
        SuspicionScope::Variant(variant) => (1, variant.get()),
        SuspicionScope::AnyVariant => (2, 0),
    };
    let mut bytes = [0; 33];
    bytes[..16].copy_from_slice(&request.get().to_le_bytes());
    bytes[16] = kind;
    bytes[17..25].copy_from_slice(&variant.to_le_bytes());
    bytes[25..29].copy_from_slice(&entry.crashes.to_le_bytes());
    bytes[29..].copy_from_slice(&entry.cleared.to_le_bytes());
    xxh3_64(&bytes)
}
