//! Re-exports of the types that most programs need.
//!
//! ```
//! use cuminarch::prelude::*;
//!
//! let service: ServiceName = "katalog".parse()?;
//! # Ok::<(), cuminarch::types::ParseError>(())
//! ```

pub use cuminarch_config::{Policy, Sheet};
pub use cuminarch_engine::{Action, Arrival, Engine, EngineSettings, Event, Refusal};
pub use cuminarch_node::{Node, NodeSettings};
pub use cuminarch_types::{
    Attempts, CallId, EndpointId, MonoTime, Outcome, Rank, RequestId, Revision, ServiceName,
    ZoneName,
};
