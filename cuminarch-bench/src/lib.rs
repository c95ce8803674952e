//! Benchmarks that print tables, and the bounds that CI checks.
//!
//! The benchmarks `decisions` and `control` run in virtual time from fixed
//! seeds and print the same table on every run, so their bounds are part of
//! the verdict. The benchmark `overhead` measures wall time and never is.
//!
//! ```
//! use cuminarch_bench::{Bound, Case, KnownRed, Verdict};
//!
//! let mut verdict = Verdict::new();
//! verdict.record(Case::new("decisions/surge", 0.97, Bound::AtLeast(0.95)));
//! assert!(verdict.misses(&KnownRed::default()).is_empty());
//! ```

mod known_red;
mod verdict;

pub mod capacity;
pub mod control;
pub mod decisions;
pub mod overhead;

pub use known_red::KnownRed;
pub use verdict::{Bound, Case, Verdict};
