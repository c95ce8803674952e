//! Decides which requests an endpoint runs now, queues or refuses.
//!
//! [`Admission`] keeps an adaptive concurrency limit from what the node itself
//! measures, a short bounded queue ordered by [`Rank`](cuminarch_types::Rank)
//! and an admission level below which everything is refused at once.
//!
//! ```
//! use std::time::Duration;
//! use cuminarch_admission::{Admission, AdmissionSettings, Offer};
//! use cuminarch_types::{CallId, MonoTime, Rank};
//!
//! let mut admission = Admission::new(AdmissionSettings::new());
//! let deadline = MonoTime::from_millis(500);
//! let offer = admission.offer(CallId::new(1), Rank::MAX, deadline, MonoTime::ZERO);
//! assert_eq!(offer.decision, Offer::Run);
//! let started = admission.finish(CallId::new(1), Some(Duration::from_millis(3)), MonoTime::ZERO);
//! assert!(started.is_empty());
//! ```

mod admission;
mod call_weights;
mod control;
mod least_squares;
mod level;
mod limiter;
mod origin;
mod origins;
mod senders;
mod settings;
mod shedder;
mod shortage;
mod slot_admission;

pub use admission::{Admission, AdmissionDecision, OfferReply, QueueEvent};
pub use call_weights::FanoutEstimator;
pub use control::{AdmissionControl, AdmissionRequest};
pub use level::LevelControl;
pub use limiter::Limiter;
pub use origin::Origin;
pub use origins::InternalRouteDetector;
pub use settings::AdmissionSettings;
pub use shedder::{ServiceShortage, Shedder};
pub use slot_admission::SlotAdmission;
