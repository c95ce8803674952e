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

mod error;
mod http_store;
mod object;
mod store;

pub use error::PlatformError;
pub use http_store::HttpObjectStore;
pub use object::{Expect, Listing, Object, ObjectPath, ObjectVersion};
pub use store::ObjectStore;
