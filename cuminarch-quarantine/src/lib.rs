//! Requests that crash the endpoints that run them.
//!
//! [`RequestParts`] computes the identity by which such a request is recognized when it returns at
//! any host.
//!
//! ```
//! use cuminarch_quarantine::RequestParts;
//!
//! let service = "katalog".parse()?;
//! let request = RequestParts::new(&service, "GET", "/patterns/7").with_host(b"quilts.example");
//! let other = RequestParts::new(&service, "GET", "/patterns/8").with_host(b"quilts.example");
//! assert_eq!(request.identity(), request.identity());
//! assert_ne!(request.identity().request, other.identity().request);
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
