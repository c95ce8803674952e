use std::fmt;

use cuminarch_config::Weakening;
use cuminarch_types::{ChangeId, Revision};
use serde::Serialize;

use crate::wait_state_machine::ZoneProgress;
use crate::{ExitStatus, SheetDiff};

/// Outcome of a change.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub(crate) enum ChangeReport {
    /// The change is accepted.
    Accepted {
        change: ChangeId,
        revision: Revision,
        is_settled: bool,
        is_recorded: bool,
        superseded_by: Option<Revision>,
    },
    /// Another change came first.
    Outdated {
        change: ChangeId,
        base: Revision,
        highest: Revision,
        later: Vec<LaterChange>,
        diff: SheetDiff,
    },
    /// The platform does not know the base revision.
    UnknownBase { change: ChangeId, base: Revision, highest: Revision },
    /// The change weakens the configuration in force.
    Weaker { change: ChangeId, weakens: Vec<Weakening> },
    /// Nothing was written.
    NotAccepted { change: ChangeId, reason: String },
    /// The change may have been accepted.
    Unknown { change: ChangeId, reason: String },
}

/// A change accepted after the base of an outdated one.
#[derive(Debug, Serialize)]
pub(crate) struct LaterChange {
    pub revision: Revision,
    pub change: ChangeId,
}

impl ChangeReport {
    /// Returns the exit status for this outcome.
    pub(crate) const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Accepted { .. } => ExitStatus::Success,
            Self::Outdated { .. } | Self::UnknownBase { .. } => ExitStatus::Outdated,
            Self::Weaker { .. } => ExitStatus::Weaker,
            Self::NotAccepted { .. } => ExitStatus::Unavailable,
            Self::Unknown { .. } => ExitStatus::Unknown,
        }
    }
}

impl fmt::Display for ChangeReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { change, revision, is_settled, is_recorded, superseded_by } => {
                writeln!(formatter, "accepted as revision {revision} by change {change}")?;
                if *is_settled {
                    writeln!(formatter, "the answer to the write was lost; the change was found")?;
                }
                if !is_recorded {
                    writeln!(formatter, "not in the history yet; the next change puts it there")?;
                }
                if let Some(later) = superseded_by {
                    writeln!(formatter, "revision {later} has replaced it since")?;
                }
                Ok(())
            }
            Self::Outdated { base, highest, later, diff, .. } => {
                writeln!(
                    formatter,
                    "not accepted: made from revision {base}, but {highest} is known"
                )?;
                for LaterChange { revision, change } in later {
                    writeln!(formatter, "revision {revision} was accepted by change {change}")?;
                }
                if later.is_empty() {
                    writeln!(formatter, "the platform has lost revision {highest}")?;
                }
                write!(formatter, "{}", diff.unified)
            }
            Self::UnknownBase { base, highest, .. } => {
                writeln!(
                    formatter,
                    "not accepted: made from revision {base}, but only {highest} is known"
                )?;
                writeln!(formatter, "if the platform was restored from a backup, add --restored")
            }
            Self::Weaker { weakens, .. } => {
                writeln!(formatter, "not accepted: the change weakens what is in force")?;
                for weakening in weakens {
                    writeln!(formatter, "weaker: {weakening}")?;
                }
                writeln!(formatter, "if that is meant, add --allow-weaker")
            }
            Self::NotAccepted { reason, .. } => writeln!(formatter, "not accepted: {reason}"),
            Self::Unknown { change, reason } => {
                writeln!(formatter, "change {change} may be accepted: {reason}")?;
                writeln!(formatter, "to settle it, repeat the command with --change {change}")
            }
        }
    }
}

/// Result of waiting for the zones.
#[derive(Debug, Serialize)]
pub(crate) struct WaitReport {
    pub revision: Revision,
    pub is_in_force: bool,
    pub missing: Vec<ZoneProgress>,
}

impl fmt::Display for WaitReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for zone in &self.missing {
            write!(formatter, "{zone}")?;
        }
        match (self.is_in_force, self.missing.is_empty()) {
            (true, _) => {
                writeln!(formatter, "revision {} is in force in every zone", self.revision)
            }
            (false, true) => writeln!(formatter, "no zone reports"),
            (false, false) => {
                writeln!(formatter, "revision {} is not in force in every zone", self.revision)
            }
        }
    }
}
