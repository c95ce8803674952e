//! Chooses the endpoint that a call is sent to.
//!
//! Endpoints of the caller's availability zone come first. Calls spill over to other zones while
//! those answer faster or, if nodes report their occupancy, before the endpoints of the own zone
//! are full. Of a few random candidates the best one by this node's own measurements is chosen. A
//! zone with several unreachable hosts gets only probes. Endpoints that fail or are slow are
//! ejected, never most of a service, and return after a successful probe; new ones get their share
//! gradually. Leaving endpoints are never chosen, and health reports are only hints.
//!
//! ```
//! use cuminarch_routing::{CallAttributes, Router};
//!
//! let mut router = Router::new("zrh-a".parse()?, "ch-central".parse()?, 42);
//! let target =
//!     router.pick(&"katalog".parse()?, CallAttributes::default(), &[], Default::default());
//! assert!(target.is_none());
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod capacity_belief;
mod endpoint;
mod endpoint_signals;
mod endpoint_speed;
mod expected_finish;
mod learned_level;
mod mean_occupancy;
mod occupancy;
mod router;
mod run_time_means;
mod service;
mod spill;
mod splitter;
mod target;
mod zone_reachability;

pub use capacity_belief::CapacityBelief;
pub use endpoint_speed::SpeedChange;
pub use learned_level::LearnedLevel;
pub use router::Router;
pub use splitter::Splitter;
pub use target::{CallAttributes, CallResult, Target};
