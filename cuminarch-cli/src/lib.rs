//! The operators' program as a library: checks sheets, puts them into force and shows what is in
//! force.
//!
//! [`run`] takes parsed arguments and writes to the given outputs, which lets tests and other
//! programs call every command. [`ApplyStateMachine`] applies one change and does no I/O.
//!
//! ```
//! use cuminarch_cli::{ExitStatus, Outputs, command, run};
//! use cuminarch_platform::SystemClock;
//!
//! let matches = command().try_get_matches_from(["cuminarch", "completions", "bash"])?;
//! let (mut out, mut errors) = (Vec::new(), Vec::new());
//! let mut outputs = Outputs { out: &mut out, errors: &mut errors };
//! assert_eq!(run(&matches, &SystemClock::new(), &mut outputs), ExitStatus::Success);
//! assert!(!out.is_empty());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod apply_state_machine;
mod args;
mod commands;
mod configuration;
mod diff;
mod driver;
mod error;
mod exit_status;
mod members;
mod output;
pub mod paths;
mod redaction;
mod wait_state_machine;

pub use apply_state_machine::{
    ApplyAction, ApplyEvent, ApplyOutcome, ApplyRequest, ApplyStateMachine,
};
pub use args::command;
pub use commands::run;
pub use configuration::{CheckedSheet, read_current, read_history, read_revision, read_sheet};
pub use diff::SheetDiff;
pub use driver::{read_with_retries, run_apply};
pub use error::CliError;
pub use exit_status::ExitStatus;
pub use members::read_members;
pub use output::{OutputFormat, Outputs};
pub use wait_state_machine::{WaitStateMachine, WaitStep, ZoneProgress, ZoneState};
