use std::collections::VecDeque;

use cuminarch_protocol::{UpstreamLifetime, UpstreamRecord, UpstreamState};

use crate::{PendingUpstream, Registration};

/// Tracks the registrations of one upstream, which may arrive late, duplicated or
/// out of order. An incarnation goes from ready to draining to absent, never back.
///
/// What an earlier process of the node has acknowledged binds this one, too: a tracker that
/// [awaits its history](Self::awaiting_history) takes no upstream for ready before.
///
/// ```
/// use cuminarch_membership::{Registration, UpstreamTracker};
/// use cuminarch_protocol::UpstreamState;
/// use std::time::Duration;
///
/// let mut tracker = UpstreamTracker::new();
/// let registration = Registration {
///     instance: "i-1".parse()?,
///     started_at_ms: Some(1_000),
///     sequence: Some(1),
///     state: UpstreamState::Ready,
///     slots: Some(40),
///     warm_up: Duration::ZERO,
/// };
/// assert!(tracker.apply(&registration).is_some());
/// assert!(tracker.apply(&registration).is_none());
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug)]
pub struct UpstreamTracker {
    record: UpstreamRecord,
    sequence: u64,
    /// Latest lifetime that an earlier process knew, until this one hears of it or a later one.
    history: Option<UpstreamRecord>,
    awaits_history: bool,
    /// Registrations that wait for the history.
    pending: VecDeque<Registration>,
    /// Lifetimes that others have followed, the latest last.
    ended: VecDeque<UpstreamLifetime>,
    /// A lifetime that claims an earlier start than the current one.
    candidate: Option<Candidate>,
}

/// A lifetime that either has ended and whose registrations are late, or runs on a host whose clock
/// was set back. Only the latter sends further registrations.
#[derive(Clone, Debug)]
struct Candidate {
    lifetime: UpstreamLifetime,
    sequence: Option<u64>,
}

impl UpstreamTracker {
    /// Number of ended lifetimes that are remembered.
    const MAX_ENDED: usize = 16;
    /// Number of registrations that wait for the history.
    const MAX_PENDING: usize = 16;

    /// Creates a tracker without a registration.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            record: UpstreamRecord::absent(),
            sequence: 0,
            history: None,
            awaits_history: false,
            pending: VecDeque::new(),
            ended: VecDeque::new(),
            candidate: None,
        }
    }

    /// Makes the tracker take no upstream for ready before its history is complete.
    #[must_use]
    pub const fn awaiting_history(mut self) -> Self {
        self.awaits_history = true;
        self
    }

    /// Returns the current record of the upstream.
    #[must_use]
    pub const fn record(&self) -> &UpstreamRecord {
        &self.record
    }

    /// Applies a registration. Returns the record if it changed.
    pub fn apply(&mut self, registration: &Registration) -> Option<&UpstreamRecord> {
        let started_at_ms = self.started_at_ms(registration);
        let needs_history = registration.state == UpstreamState::Ready || started_at_ms.is_none();
        if self.awaits_history && needs_history {
            push_bounded(&mut self.pending, registration.clone(), Self::MAX_PENDING);
            return None;
        }
        let started_at_ms = started_at_ms?;
        let instance = registration.instance.clone();
        let lifetime = UpstreamLifetime { instance, started_at_ms };
        match self.latest_lifetime() {
            Some(latest) if latest == lifetime => {
                self.candidate = None;
                if self.record.instance.is_some() {
                    self.advance(registration)
                } else {
                    self.begin(registration, lifetime)
                }
            }
            Some(latest) if started_at_ms <= latest.started_at_ms => {
                // An earlier lifetime has an earlier start, not the same one.
                let is_earlier = started_at_ms < latest.started_at_ms;
                let is_alive = self.may_be_alive(registration, &lifetime)
                    && (!is_earlier || self.is_confirmed(registration, &lifetime));
                if is_alive { self.begin(registration, lifetime) } else { None }
            }
            _ => self.begin(registration, lifetime),
        }
    }

    /// Returns `true` while no upstream is taken for ready because its history is not complete.
    #[must_use]
    pub const fn awaits_history(&self) -> bool {
        self.awaits_history
    }

    /// Returns the latest registration of the latest lifetime that waits for the history.
    #[must_use]
    pub fn pending_upstream(&self) -> Option<PendingUpstream> {
        let registration = self.pending.iter().max_by_key(|pending| pending.started_at_ms)?;
        let instance = registration.instance.clone();
        let started_at_ms = registration.started_at_ms?;
        let record = new_record(registration, UpstreamLifetime { instance, started_at_ms });
        Some(PendingUpstream { record, sequence: registration.sequence })
    }

    /// Applies what an earlier process knew about the upstream. Returns the record if it changed.
    pub fn adopt(&mut self, known: &UpstreamRecord) -> Option<&UpstreamRecord> {
        let lifetime = known.lifetime().filter(|lifetime| !self.ended.contains(lifetime))?;
        match self.latest_lifetime() {
            Some(latest) if latest == lifetime => {
                let is_registered = self.record.instance.is_some();
                let held = self.history.as_ref().filter(|_| !is_registered);
                let held_state = held.unwrap_or(&self.record).state;
                if known.state > held_state { self.depart(known) } else { None }
            }
            Some(latest) if lifetime.started_at_ms <= latest.started_at_ms => None,
            _ => {
                // An earlier lifetime, whose late registration seemed to be the latest one.
                let is_replaced = self.record.instance.is_some();
                self.end_current();
                self.history = Some(known.clone());
                self.record = UpstreamRecord::absent();
                if known.state > UpstreamState::Ready {
                    return self.depart(known);
                }
                is_replaced.then_some(&self.record)
            }
        }
    }

    /// Records that all that can be found out about earlier processes has been adopted. Returns the
    /// record if a registration that waited for that changed it.
    pub fn complete_history(&mut self) -> Option<&UpstreamRecord> {
        self.awaits_history = false;
        let mut is_changed = false;
        for registration in std::mem::take(&mut self.pending) {
            is_changed |= self.apply(&registration).is_some();
        }
        is_changed.then_some(&self.record)
    }

    /// Records that nothing can be found out about earlier processes. The registrations that waited
    /// may be late and are dropped; returns their number. Later ones count.
    pub fn forgo_history(&mut self) -> usize {
        self.awaits_history = false;
        std::mem::take(&mut self.pending).len()
    }

    /// Records that an answer of this lifetime of the upstream announced its departure. Returns the
    /// record if it changed.
    pub fn begin_draining(&mut self, lifetime: &UpstreamLifetime) -> Option<&UpstreamRecord> {
        let is_current = self.record.lifetime().as_ref() == Some(lifetime);
        if !is_current || self.record.state != UpstreamState::Ready {
            return None;
        }
        self.record.state = UpstreamState::Draining;
        Some(&self.record)
    }

    /// Returns the start time of the lifetime that a registration is about, if it is known.
    fn started_at_ms(&self, registration: &Registration) -> Option<u64> {
        let known = [Some(&self.record), self.history.as_ref()];
        let is_same =
            |record: &&UpstreamRecord| record.instance.as_ref() == Some(&registration.instance);
        let known = known.into_iter().flatten().find(is_same);
        registration.started_at_ms.or_else(|| known.map(|record| record.started_at_ms))
    }

    /// Returns the latest lifetime that this process or an earlier one has heard of.
    fn latest_lifetime(&self) -> Option<UpstreamLifetime> {
        self.record.lifetime().or_else(|| self.history.as_ref()?.lifetime())
    }

    /// Returns `true` unless a lifetime is known to have ended, or says so itself.
    fn may_be_alive(&self, registration: &Registration, lifetime: &UpstreamLifetime) -> bool {
        registration.state == UpstreamState::Ready && !self.ended.contains(lifetime)
    }

    /// Returns `true` if a lifetime that claims an earlier start than the latest one has sent a
    /// further registration, and the latest one none in between.
    fn is_confirmed(&mut self, registration: &Registration, lifetime: &UpstreamLifetime) -> bool {
        let sequence = registration.sequence;
        match &self.candidate {
            Some(candidate) if candidate.lifetime == *lifetime => candidate.sequence < sequence,
            _ => {
                self.candidate = Some(Candidate { lifetime: lifetime.clone(), sequence });
                false
            }
        }
    }

    /// Remembers that the current lifetime has been followed by another one.
    fn end_current(&mut self) {
        if let Some(lifetime) = self.latest_lifetime() {
            push_bounded(&mut self.ended, lifetime, Self::MAX_ENDED);
        }
    }

    fn begin(
        &mut self,
        registration: &Registration,
        lifetime: UpstreamLifetime,
    ) -> Option<&UpstreamRecord> {
        if self.latest_lifetime().is_some_and(|latest| latest != lifetime) {
            self.end_current();
        }
        let known =
            self.history.take().filter(|known| known.lifetime().as_ref() == Some(&lifetime));
        let known_state = known.map_or(UpstreamState::Ready, |known| known.state);
        self.candidate = None;
        self.sequence = registration.sequence.unwrap_or(0);
        self.record = new_record(registration, lifetime);
        self.record.state = self.record.state.max(known_state);
        Some(&self.record)
    }

    /// Adopts the departure of the current lifetime.
    fn depart(&mut self, known: &UpstreamRecord) -> Option<&UpstreamRecord> {
        if self.record.instance.is_none() {
            self.record = known.clone();
        }
        self.record.state = known.state;
        Some(&self.record)
    }

    fn advance(&mut self, registration: &Registration) -> Option<&UpstreamRecord> {
        let is_late = registration.sequence.is_some_and(|sequence| sequence <= self.sequence);
        let is_step_back = registration.state < self.record.state;
        if is_late || is_step_back {
            return None;
        }
        self.sequence = registration.sequence.unwrap_or(self.sequence);
        let slots = registration.slots.unwrap_or(self.record.slots);
        if slots == self.record.slots && registration.state == self.record.state {
            return None;
        }
        self.record.slots = slots;
        self.record.state = registration.state;
        Some(&self.record)
    }
}

/// Returns the record of a lifetime that begins with a registration.
fn new_record(registration: &Registration, lifetime: UpstreamLifetime) -> UpstreamRecord {
    UpstreamRecord {
        instance: Some(lifetime.instance),
        started_at_ms: lifetime.started_at_ms,
        state: registration.state,
        slots: registration.slots.unwrap_or(0),
        warm_up_ms: u32::try_from(registration.warm_up.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Appends an item and drops the first one if there are too many.
fn push_bounded<T>(items: &mut VecDeque<T>, item: T, max_len: usize) {
    if items.len() >= max_len {
        items.pop_front();
    }
    items.push_back(item);
}

impl Default for UpstreamTracker {
    fn default() -> Self {
        Self::new()
    }
}
