//! Overload control for chains of service calls.
//!
//! This crate re-exports the crates for embedding. Most users run the daemon
//! `cuminarchd` next to each upstream. To use the decisions in another program,
//! feed events to an [`Engine`](engine::Engine).
//!
//! ```
//! use std::sync::Arc;
//! use cuminarch::prelude::*;
//!
//! let settings = EngineSettings::new(
//!     "katalog-1".parse()?, "katalog".parse()?, "zrh-a".parse()?, "ch-central".parse()?,
//! );
//! let mut engine = Engine::new(settings, Arc::new(Policy::safe_default()));
//! let call = engine.next_call();
//! let arrival = Arrival::inbound(RequestId::new(1), "GET", "/patterns");
//! let actions = engine.handle(Event::arrive(call, arrival), MonoTime::ZERO);
//! assert!(matches!(actions[0], Action::RunLocal { .. }));
//! # Ok::<(), cuminarch::types::ParseError>(())
//! ```

pub use cuminarch_admission as admission;
pub use cuminarch_allotment as allotment;
pub use cuminarch_attempts as attempts;
pub use cuminarch_config as config;
pub use cuminarch_engine as engine;
pub use cuminarch_membership as membership;
pub use cuminarch_node as node;
pub use cuminarch_once as once;
pub use cuminarch_platform as platform;
pub use cuminarch_protocol as protocol;
pub use cuminarch_quarantine as quarantine;
pub use cuminarch_routing as routing;
pub use cuminarch_types as types;

pub mod prelude;
