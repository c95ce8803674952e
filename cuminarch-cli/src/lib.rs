//! The operator program as a library: checks sheets, puts them into force and
//! shows what is in force.
//!
//! [`run`] takes parsed arguments and writes to the given outputs, so that tests
//! and other programs can call every command. [`ApplyProcess`] is the way of one
//! change into force as a state machine that does no I/O.
//!

mod apply_process;
pub mod paths;

pub use apply_process::{ApplyAction, ApplyEvent, ApplyOutcome, ApplyProcess, ApplyRequest};
