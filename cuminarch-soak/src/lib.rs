//! A randomized soak: real daemons as separate processes on loopback, faults from
//! outside them, and promises checked by what callers and upstreams see.
//!
//! A seed gives the whole [`Schedule`]. Processes are killed, paused, terminated and
//! started again; connections from a daemon to its upstream and to the platform are
//! delayed, reset, silenced and cut one way by a proxy; the platform fails, is slow
//! and loses answers; configurations change. Series overlap. What was seen is judged
//! by [`Observations::violations`].
//!
//! ```
//! use std::time::Duration;
//!
//! use cuminarch_soak::Schedule;
//!
//! let schedule = Schedule::from_seed(7, Duration::from_secs(6));
//! assert_eq!(schedule, Schedule::from_seed(7, Duration::from_secs(6)));
//! println!("{schedule}");
//! ```

mod callers;
mod fault;
mod fleet;
mod link;
mod observations;
mod promise;
mod run;
mod sabotage;
mod schedule;
mod site;
mod watcher;

pub use fault::{Fault, LinkFault, SITE_COUNT};
pub use observations::{CallerResult, Observations, Termination};
pub use promise::{Promise, Violation};
pub use run::{Soak, SoakReport};
pub use sabotage::Sabotage;
pub use schedule::{Schedule, ScheduledFault};
