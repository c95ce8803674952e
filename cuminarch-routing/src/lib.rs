//! Chooses the endpoint that a call is sent to.
//!
//! Endpoints of the caller's own availability zone come first, and calls spill
//! over to other zones while those answer sooner, or before the own ones are full
//! where nodes report that. Among the candidates the better of a few random ones is
//! taken by what the node itself sees. A zone of which several hosts are out of reach
//! gets no calls but probes. Endpoints that fail or are slow are ejected, never most of a service, and return by a
//! probe; new ones get their share gradually. Leaving endpoints are never
//! chosen, and reports about health are only hints.
//!
//! ```
//! use cuminarch_routing::{CallKind, Router};
//!
//! let mut router = Router::new("zrh-a".parse()?, "ch-central".parse()?, 42);
//! assert!(router.pick(&"katalog".parse()?, CallKind::default(), &[], Default::default()).is_none());
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod endpoint;
mod learned_level;
mod occupancy;
mod router;
mod service;
mod spill;
mod splitter;
mod target;
mod typical_occupancy;
mod zone_sight;

pub use learned_level::LearnedLevel;
pub use router::Router;
pub use splitter::Splitter;
pub use target::{CallAttributes, CallResult, Target};
