use std::collections::BTreeMap;

use cuminarch_types::{AttemptId, Attempts};
use thiserror::Error;

/// The attempts available to a call and everything beneath it.
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    available: Attempts,
    delegated: BTreeMap<AttemptId, Attempts>,
}

/// No attempt is left to spend.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("the attempt budget of the request is exhausted")]
pub struct BudgetExhausted;

impl AttemptBudget {
    /// Creates a budget.
    #[must_use]
    pub const fn new(available: Attempts) -> Self {
        Self { available, delegated: BTreeMap::new() }
    }

    /// Returns the attempts that are neither spent nor delegated.
    #[must_use]
    pub const fn available(&self) -> Attempts {
        self.available
    }

    /// Returns the attempts delegated to attempts in flight.
    #[must_use]
    pub fn delegated(&self) -> Attempts {
        self.delegated.values().fold(Attempts::ZERO, |sum, share| sum.saturating_add(*share))
    }

    /// Returns `true` if an attempt is in flight.
    #[must_use]
    pub fn has_attempt_in_flight(&self) -> bool {
        !self.delegated.is_empty()
    }

    /// Spends one attempt and delegates at most `want` more to the calls beneath it. Returns the
    /// delegated share.
    ///
    /// # Errors
    ///
    /// Fails if no attempt is left, or `attempt` is already in flight.
    pub fn delegate(
        &mut self,
        attempt: AttemptId,
        want: Attempts,
    ) -> Result<Attempts, BudgetExhausted> {
        if self.available == Attempts::ZERO || self.delegated.contains_key(&attempt) {
            return Err(BudgetExhausted);
        }
        let left = self.available.saturating_sub(Attempts::new(1));
        let share = left.min(want);
        self.available = left.saturating_sub(share);
        self.delegated.insert(attempt, share);
        Ok(share)
    }

    /// Returns the unspent share of an attempt to the budget. A second settlement of the same
    /// attempt has no effect, and no more is returned than was delegated.
    pub fn settle(&mut self, attempt: AttemptId, unspent: Attempts) {
        if let Some(share) = self.delegated.remove(&attempt) {
            self.available = self.available.saturating_add(unspent.min(share));
        }
    }

    /// Takes back an attempt that no endpoint of its service has seen, with its whole share.
    pub fn refund(&mut self, attempt: AttemptId) {
        if let Some(share) = self.delegated.remove(&attempt) {
            self.available = self.available.saturating_add(share).saturating_add(Attempts::new(1));
        }
    }

    /// Forfeits the share delegated to an attempt whose answer is lost.
    pub fn forfeit(&mut self, attempt: AttemptId) {
        self.delegated.remove(&attempt);
    }
}
