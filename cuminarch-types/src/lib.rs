//! Ids, sizes, rates and times shared by all cuminarch packages.
//!
//! Every type here is a small value with `Display` and `FromStr`. Separate types
//! prevent passing a service name where a zone name is expected, or mixing a count
//! of attempts with a count of bytes. The package does no I/O.
//!
//! ```
//! use cuminarch_types::{Attempts, RequestId, ServiceName};
//!
//! let service: ServiceName = "katalog".parse()?;
//! let grant: Attempts = "16".parse()?;
//! let root = RequestId::new(0x2a);
//! assert_eq!(service.as_str(), "katalog");
//! assert_eq!(grant.saturating_sub(Attempts::new(1)).get(), 15);
//! assert_eq!(root.to_string().parse::<RequestId>()?, root);
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod allotment;
mod api_key;
mod capacity_mode;
mod count;
mod error;
mod id;
mod lifetime_digest;
mod mechanism;
mod mono_time;
mod name;
mod number;
mod object_version;
mod outcome;
mod rank;
mod request_identity;

pub use allotment::Allotment;
pub use api_key::ApiKey;
pub use capacity_mode::CapacityMode;
pub use count::{Attempts, ByteCount, ConcurrencyLimit, RatePerSecond};
pub use error::ParseError;
pub use id::{
    AttemptId, CallId, Incarnation, RequestId, ResendNumber, Revision, RuleNumber, StoreEra,
};
pub use lifetime_digest::LifetimeDigest;
pub use mechanism::{DisabledMechanisms, Mechanism};
pub use mono_time::MonoTime;
pub use name::{
    AccountName, ChangeId, ClassName, ClientKey, EndpointId, InstanceId, RegionName, RouteName,
    ServiceName, ZoneName,
};
pub use object_version::ObjectVersion;
pub use outcome::Outcome;
pub use rank::{Priority, Rank};
pub use request_identity::{RequestDigest, RequestIdentity, RequestVariant};
