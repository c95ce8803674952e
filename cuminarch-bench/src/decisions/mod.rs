//! Policy under load in virtual time, beside a naive version and an oracle.

use crate::Verdict;

/// Runs the benchmark, prints its table and returns the bounded figures.
#[must_use]
pub fn run() -> Verdict {
    Verdict::new()
}
