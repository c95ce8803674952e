//! A randomized soak test: runs real daemons as separate processes on loopback, injects
//! faults from outside, and checks promises by the observations of callers and upstreams.
//!
//! A seed determines the whole [`Schedule`]. Processes are killed, paused, terminated and
//! restarted; a proxy delays, resets, silences, or blocks in one direction the connections
//! from a daemon to its upstream and to the platform; the platform fails, is slow and
//! loses answers; configurations change. Faults overlap. [`Observations::violations`]
//! evaluates the observations.
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
