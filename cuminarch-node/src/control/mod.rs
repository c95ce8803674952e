//! Membership and configuration: runs the [`cuminarch_membership::Fleet`] state machine with
//! network links, a system clock and the platform.
//!
//! The control thread owns the state machine and the links. Calls to the platform block, so each
//! kind has its own thread; bounded rings connect these threads to the control thread.

mod claims;
mod link;
mod links;
mod platform;
mod thread;

pub use claims::ClaimThread;
pub use platform::{PlatformThreads, read_members};
pub use thread::{ControlThread, FleetQuery};
