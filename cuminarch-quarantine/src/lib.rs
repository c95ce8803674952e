//! Requests that crash the endpoints that run them.
//!
//! When an endpoint ends, the requests that it was running are suspected. Endpoints run one
//! suspected request at a time, so that the next end convicts one request, which is then refused for
//! a while; an answer clears a request. [`RequestParts`] computes the identity by which a request is
//! recognized when it returns at any host, [`SuspectTable`] holds what is known, and [`Quarantine`]
//! keeps the tables of all nodes alike. The package does no I/O.
//!
//! ```
//! use cuminarch_quarantine::{Quarantine, RequestParts, Verdict};
//! use cuminarch_types::MonoTime;
//!
//! let service = "katalog".parse()?;
//! let deadly = RequestParts::new(&service, "GET", "/patterns/7").identity();
//! let beside = RequestParts::new(&service, "GET", "/patterns/8").identity();
//! let mut quarantine = Quarantine::new("katalog-1".parse()?, 1);
//!
//! quarantine.record_crash(&[deadly, beside], MonoTime::from_millis(1_000));
//! let now = MonoTime::from_millis(1_200);
//! assert_eq!(quarantine.verdict(Some(beside), now), Verdict::Suspected);
//! quarantine.record_answer(beside, now);
//! assert_eq!(quarantine.verdict(Some(beside), now), Verdict::Unsuspected);
//!
//! quarantine.record_crash(&[deadly, beside], now);
//! assert!(matches!(quarantine.verdict(Some(deadly), now), Verdict::Refused { .. }));
//! assert_eq!(quarantine.verdict(Some(beside), now), Verdict::Suspected);
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod quarantine;
mod request_parts;
mod table;
mod verdict;

pub use quarantine::Quarantine;
pub use request_parts::RequestParts;
pub use table::SuspectTable;
pub use verdict::{CrashFinding, Verdict};
