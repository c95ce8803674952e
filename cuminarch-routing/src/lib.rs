//! Chooses the endpoint that a call is sent to.
//!
//! Endpoints of the caller's own availability zone come first; among them the
//! better of two random candidates is taken by what the node itself sees.
//! Leaving endpoints are never chosen.
//!
//! ```
//! use cuminarch_routing::{CallKind, Router};
//!
//! let mut router = Router::new("zrh-a".parse()?, "ch-central".parse()?, 42);
//! assert!(router.pick(&"katalog".parse()?, CallKind::default(), &[], Default::default()).is_none());
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod learned_level;
mod router;

pub use learned_level::LearnedLevel;
pub use router::{CallKind, CallSample, Router, Target};
