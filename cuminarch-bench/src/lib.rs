//! Benchmarks that print tables, with bounds that CI checks.
//!
//! The benchmarks `decisions` and `control` run in virtual time from fixed seeds and print the same
//! table on every run, so CI can check their figures against bounds. The benchmark `overhead`
//! measures wall time and has no bounds.
//!
//! ```
//! use cuminarch_bench::{Bound, Case, KnownRed, Verdict};
//!
//! let mut verdict = Verdict::new();
//! verdict.record(Case::new("decisions/surge", 0.97, Bound::AtLeast(0.95)));
//! assert!(verdict.new_failures(&KnownRed::default()).is_empty());
//! ```

mod known_red;
mod verdict;

pub mod capacity;
pub mod control;
pub mod decisions;
pub mod overhead;

pub use known_red::KnownRed;
pub use verdict::{Bound, Case, Verdict};
