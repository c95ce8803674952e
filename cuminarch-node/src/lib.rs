//! The node: a process beside an upstream that carries all calls to and from it.
//!
//! A node accepts calls from callers and from other nodes, runs those that its engine admits at its
//! own upstream, and routes the upstream's own calls to other services. Each duty has its own
//! thread; bounded channels connect the threads.
//!
//! ```no_run
//! use cuminarch_node::{Node, NodeSettings};
//!
//! let settings = NodeSettings::parse(&std::fs::read_to_string("node.yaml")?)?;
//! let node = Node::start(settings)?;
//! node.shutdown();
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod admin;
mod capacity_metrics;
mod clock;
mod control;
mod data;
mod decisions;
mod duty;
mod error;
mod event;
mod headers;
pub mod interface;
pub mod logging;
mod metrics;
mod node;
mod parts;
mod settings;
mod timer;

pub use duty::{DutyError, DutyState};
pub use error::NodeError;
pub use event::NodeEvent;
pub use node::Node;
pub use parts::{ControlPlaneKind, NodeParts};
pub use settings::NodeSettings;
pub use timer::{Subscription, TimerService};
