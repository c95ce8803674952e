//! The platform's object API: objects with versions, conditional writes and watches.
//!
//! [`ObjectStore`] is the interface that the other crates use; [`HttpObjectStore`] is a client of
//! the HTTP API described in `docs/platform.md`.
//!
//! ```
//! use cuminarch_platform::{ObjectPath, ObjectVersion, Precondition};
//!
//! let path: ObjectPath = "config/current".parse()?;
//! assert_eq!(path.to_string(), "config/current");
//! let precondition = Precondition::Version(ObjectVersion::new(3));
//! assert_ne!(precondition, Precondition::Absent);
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod backoff;
mod clock;
mod counts;
mod error;
mod http_store;
mod limit;
mod object;
mod rate_limited_store;
mod store;
mod watch;

pub use backoff::Backoff;
pub use clock::{Clock, SystemClock};
pub use counts::{CallCounter, CallCounts, CallKind};
pub use cuminarch_types::ObjectVersion;
pub use error::PlatformError;
pub use http_store::HttpObjectStore;
pub use limit::TokenBucket;
pub use object::{Listing, Object, ObjectPath, Precondition};
pub use rate_limited_store::RateLimitedStore;
pub use store::ObjectStore;
pub use watch::{PrefixWatcher, WatchChange, WatchStep};
