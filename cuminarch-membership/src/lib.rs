//! Tracks the endpoints of the fleet and their states, and distributes the
//! configuration to them.
//!
//! [`Fleet`] is the state machine of one node: it takes a [`FleetEvent`] and the
//! current time and returns the [`FleetAction`]s to execute. It has no thread,
//! socket or clock. Messages may be lost, duplicated or reordered; nodes compare
//! digests to repair the loss.
//!
//! ```
//! use cuminarch_membership::{Fleet, FleetAction, FleetEvent, FleetSettings};
//! use cuminarch_protocol::{Member, MemberState};
//! use cuminarch_types::{Incarnation, MonoTime};
//!
//! let own = Member {
//!     endpoint: "katalog-1".parse()?,
//!     service: "katalog".parse()?,
//!     zone: "zrh-a".parse()?,
//!     region: "ch-central".parse()?,
//!     incarnation: Incarnation::new(1),
//!     statement: 0,
//!     data_address: "127.0.0.1:7001".parse()?,
//!     control_address: "127.0.0.1:7002".parse()?,
//!     state: MemberState::Active,
//!     upstream: None,
//! };
//! let mut fleet = Fleet::new(FleetSettings::new("shop"), own, MonoTime::ZERO);
//! let actions = fleet.handle(FleetEvent::Tick, MonoTime::from_millis(250));
//! assert!(actions.iter().any(|action| matches!(action, FleetAction::View(_))));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod action;
mod call_kind;
mod config_currency;
mod configuration;
mod control_plane;
mod detector;
mod event;
mod fleet;
mod heartbeats;
mod limiter;
mod patch;
mod peer;
mod pending_upstream;
mod platform;
mod registration;
mod roster;
mod settings;
mod spread;
mod summary;
mod table;
mod topology;
mod upstream_tracker;
mod zones;

pub use action::{FleetAction, FleetNotice, PlatformCall};
pub use config_currency::{ConfigCurrency, ConfigSource};
pub use control_plane::ControlPlane;
pub use cuminarch_types::ObjectVersion;
pub use event::{FleetEvent, PlatformReply, ZoneMembers, ZoneObject};
pub use fleet::Fleet;
pub use patch::{apply_patch, make_patch};
pub use pending_upstream::PendingUpstream;
pub use registration::Registration;
pub use roster::Roster;
pub use settings::FleetSettings;
pub use summary::FleetSummary;
pub use table::{MemberTable, MergeOutcome};
pub use topology::{homes, relays, relays_of_zone};
pub use upstream_tracker::UpstreamTracker;
