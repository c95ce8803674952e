use std::collections::BTreeMap;

use cuminarch_types::{AttemptId, Attempts};
use thiserror::Error;

/// The attempts that a call holds for itself and everything beneath it.
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
    /// A budget of so many attempts.
    #[must_use]
    pub const fn new(held: Attempts) -> Self {
        Self { available: held, delegated: BTreeMap::new() }
    }

    /// Attempts that are neither spent nor lent.
    #[must_use]
    pub const fn available(&self) -> Attempts {
        self.available
    }

    /// Attempts lent to attempts under way.
    #[must_use]
    pub fn delegated(&self) -> Attempts {
        self.delegated.values().fold(Attempts::ZERO, |sum, share| sum.saturating_add(*share))
    }

    /// Whether an attempt is under way.
    #[must_use]
    pub fn has_attempt_in_flight(&self) -> bool {
        !self.delegated.is_empty()
    }

    /// Spends one attempt and lends at most `want` more to what lies beneath it.
    /// Returns the share that was lent.
    ///
    /// # Errors
    ///
    /// Fails when no attempt is left, or `attempt` is already under way.
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

    /// Takes back what an attempt did not spend. A second settlement of the
    /// same attempt, or more than was lent, changes nothing beyond the loan.
    pub fn settle(&mut self, attempt: AttemptId, unspent: Attempts) {
        if let Some(share) = self.delegated.remove(&attempt) {
            self.available = self.available.saturating_add(unspent.min(share));
        }
    }

    /// Gives up what was lent to an attempt whose answer is lost.
    pub fn forfeit(&mut self, attempt: AttemptId) {
        self.delegated.remove(&attempt);
    }
}
