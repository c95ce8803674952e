//! State machine that makes all decisions about the calls of a node.
//!
//! [`Engine`] combines admission, attempt budgets, idempotency keys and routing. A driver passes it
//! each [`Event`] with the current time and executes the [`Action`]s it returns. The engine has no
//! thread, socket or clock, so the node and the virtual-time benchmarks drive the same code.
//!
//! ```
//! use std::sync::Arc;
//! use cuminarch_config::Policy;
//! use cuminarch_engine::{Action, Arrival, Engine, EngineSettings, Event};
//! use cuminarch_types::{Incarnation, MonoTime, RequestId};
//!
//! let settings = EngineSettings::new(
//!     "katalog-1".parse()?, "katalog".parse()?, "zrh-a".parse()?, "ch-central".parse()?,
//! );
//! let mut engine = Engine::new(settings, Arc::new(Policy::safe_default()));
//! let call = engine.next_call();
//! let arrival = Arrival::inbound(RequestId::new(1), "GET", "/patterns");
//! let actions = engine.handle(Event::arrive(call, arrival), MonoTime::ZERO);
//! assert!(matches!(actions[0], Action::RunLocal { .. }));
//! # Ok::<(), cuminarch_types::ParseError>(())
//! ```

mod action;
mod allotment_counts;
mod allotment_notice;
mod allotment_peers;
mod allotments;
mod allotted;
mod arrival;
mod budget;
mod call;
mod capacity;
mod credential;
mod destination;
mod engine;
mod event;
mod inbound;
mod keys;
mod load;
mod nested;
mod outbound;
mod quarantine_notice;
mod quarantined;
mod refusal;
mod routed;
mod settings;
mod shedding;
mod signals;
mod summary;
mod time;
mod token;
mod trials;

pub use action::{Action, Forward};
pub use allotment_counts::{AllotmentCounts, AllotmentState, AllotmentSummary};
pub use allotment_notice::AllotmentNotice;
pub use arrival::{Arrival, Direction, RequestKey};
pub use capacity::{CapacityChange, EndpointCapacity};
pub use destination::Destination;
pub use engine::Engine;
pub use event::{ClaimResult, Event, LocalEnd, RemoteRefusal};
pub use quarantine_notice::QuarantineNotice;
pub use refusal::{Refusal, RefusalReason};
pub use settings::{AdmissionKind, EngineSettings};
pub use summary::EngineSummary;
