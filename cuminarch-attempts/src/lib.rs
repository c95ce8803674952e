//! Bounds the attempts behind one request over the whole chain of calls.
//!
//! The first node grants a request a number of attempts. A call that is sent
//! on carries an exclusive share of what its parent holds; the unspent part
//! comes back with the answer, and a lost answer forfeits it. The attempts
//! behind a request therefore never exceed its grant, whatever is repeated,
//! lost or late.
//!
//! ```
//! use cuminarch_attempts::Budget;
//! use cuminarch_types::{AttemptId, Attempts};
//!
//! let mut budget = Budget::new(Attempts::new(10));
//! let attempt = AttemptId::new(1);
//! let share = budget.lend(attempt, Attempts::new(4))?;
//! assert_eq!(share.get(), 4);
//! assert_eq!(budget.held().get(), 5);
//! budget.settle(attempt, Attempts::new(3));
//! assert_eq!(budget.held().get(), 8);
//! # Ok::<(), cuminarch_attempts::BudgetExhausted>(())
//! ```

mod backoff;
mod budget;
mod grant;
mod need;
mod retry_budget;
mod retry_budget_settings;
mod retry_ratio;
mod standing;

pub use backoff::Backoff;
pub use budget::{AttemptBudget, BudgetExhausted};
pub use grant::grant_for_send;
pub use need::DemandEstimator;
pub use retry_budget::RetryBudget;
pub use retry_budget_settings::RetryBudgetSettings;
pub use retry_ratio::RetryRatioLimiter;
pub use standing::EndpointPosition;
