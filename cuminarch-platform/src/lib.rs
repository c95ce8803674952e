//! The platform's object API: objects with versions, conditional writes and watches.
//!
//! [`ObjectStore`] is what the rest of the system needs of it;
//! [`HttpObjectStore`] is the client for the shape described in
//! `docs/platform.md`.
//!
//! ```
//! use cuminarch_platform::{Expect, ObjectPath, ObjectVersion};
//!
//! let path: ObjectPath = "config/current".parse()?;
//! assert_eq!(path.to_string(), "config/current");
//! let expect = Expect::Version(ObjectVersion::new(3));
//! assert_ne!(expect, Expect::Absent);
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod backoff;
mod clock;
mod counts;
mod error;
mod http_store;
mod limit;
mod limited_store;
mod object;
mod store;
mod watch;

pub use backoff::Backoff;
pub use clock::{Clock, SystemClock};
pub use counts::{CallCounter, CallCounts, CallKind};
pub use cuminarch_types::ObjectVersion;
pub use error::PlatformError;
pub use http_store::HttpObjectStore;
pub use limit::TokenBucket;
pub use limited_store::RateLimitedStore;
pub use object::{Listing, Object, ObjectPath, Precondition};
pub use store::ObjectStore;
pub use watch::{PrefixWatcher, WatchChange, WatchStep};
