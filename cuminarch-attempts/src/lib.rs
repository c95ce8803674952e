//! Bounds the attempts behind one request over the whole call graph.
//!
//! The first node grants a request a number of attempts. Each forwarded call carries an exclusive
//! share of its parent's budget; the unspent part returns with the answer, and a lost answer
//! forfeits it. The attempts behind a request therefore never exceed its grant, regardless of
//! retries and of lost or late answers.
//!
//! ```
//! use cuminarch_attempts::AttemptBudget;
//! use cuminarch_types::{AttemptId, Attempts};
//!
//! let mut budget = AttemptBudget::new(Attempts::new(10));
//! let attempt = AttemptId::new(1);
//! let share = budget.delegate(attempt, Attempts::new(4))?;
//! assert_eq!(share.get(), 4);
//! assert_eq!(budget.available().get(), 5);
//! budget.settle(attempt, Attempts::new(3));
//! assert_eq!(budget.available().get(), 8);
//! # Ok::<(), cuminarch_attempts::BudgetExhausted>(())
//! ```

mod backoff;
mod budget;
mod demand_estimator;
mod endpoint_position;
mod grant;
mod retry_budget;
mod retry_budget_settings;
mod retry_ratio_limiter;

pub use backoff::Backoff;
pub use budget::{AttemptBudget, BudgetExhausted};
pub use demand_estimator::DemandEstimator;
pub use endpoint_position::EndpointPosition;
pub use grant::grant_for_send;
pub use retry_budget::RetryBudget;
pub use retry_budget_settings::RetryBudgetSettings;
pub use retry_ratio_limiter::RetryRatioLimiter;
