//! Decides which requests an endpoint runs now, queues or refuses.
//!
//! [`Admission`] combines an adaptive concurrency limit based on the node's own measurements, a
//! short bounded queue ordered by [`Rank`](cuminarch_types::Rank) and an admission level below
//! which requests are refused immediately. [`SlotAdmission`] serves endpoints that state their
//! capacity.
//!
//! ```
//! use std::time::Duration;
//! use cuminarch_admission::{Admission, AdmissionDecision, AdmissionSettings};
//! use cuminarch_types::{CallId, MonoTime, Rank};
//!
//! let mut admission = Admission::new(AdmissionSettings::new());
//! let deadline = MonoTime::from_millis(500);
//! let offer = admission.offer(CallId::new(1), Rank::MAX, deadline, MonoTime::ZERO);
//! assert_eq!(offer.decision, AdmissionDecision::Run);
//! let started = admission.finish(CallId::new(1), Some(Duration::from_millis(3)), MonoTime::ZERO);
//! assert!(started.is_empty());
//! ```

mod account_demand;
mod admission;
mod capacity_estimator;
mod class_shares;
mod control;
mod fanout_estimator;
mod internal_route_detector;
mod least_squares;
mod level;
mod level_times;
mod limiter;
mod longest_runs;
mod nested_failures;
mod origin;
mod recent_starts;
mod return_times;
mod run_times;
mod sender_model;
mod settings;
mod share_plan;
mod shed_decision;
mod shedder;
mod shortage;
mod slot_admission;
mod start_pacer;
mod start_ramp;
mod usage_estimator;
mod usage_histogram;

pub use account_demand::{AccountDemand, ReportedUsage};
pub use admission::{Admission, AdmissionDecision, OfferReply, QueueEvent};
pub use capacity_estimator::CapacityEstimator;
pub use control::{AdmissionControl, AdmissionRequest, LearnedCapacity};
pub use fanout_estimator::FanoutEstimator;
pub use internal_route_detector::InternalRouteDetector;
pub use level::LevelControl;
pub use limiter::Limiter;
pub use longest_runs::LongestRuns;
pub use nested_failures::NestedFailures;
pub use origin::Origin;
pub use return_times::RefusedRequest;
pub use settings::AdmissionSettings;
pub use shed_decision::{AccountShare, ShedDecision};
pub use shedder::{ServiceShortage, Shedder};
pub use slot_admission::SlotAdmission;
pub use start_pacer::{RateLimitChange, StartPacer};
pub use start_ramp::StartRamp;
