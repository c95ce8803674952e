use std::fmt;
use std::fs;

use clap::ArgMatches;
use cuminarch_config::{Severity, SheetReport};
use serde::Serialize;

use crate::commands::{Session, required_arg};
use crate::{CliError, ExitStatus};

/// Result of a check.
#[derive(Debug, Serialize)]
struct CheckReport {
    sheet: String,
    is_sound: bool,
    faults: Vec<DiagnosticReport>,
}

/// One fault for scripts.
#[derive(Debug, Serialize)]
struct DiagnosticReport {
    severity: Severity,
    line: Option<u64>,
    column: Option<u64>,
    path: String,
    reason: String,
    #[serde(skip)]
    text: String,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            writeln!(formatter, "{}: {}", self.sheet, fault.text)?;
        }
        let errors = self.faults.iter().filter(|fault| fault.severity == Severity::Error).count();
        let warnings = self.faults.len() - errors;
        let verdict = if self.is_sound { "ok" } else { "refused" };
        writeln!(formatter, "{}: {verdict}, {errors} errors, {warnings} warnings", self.sheet)
    }
}

/// Checks a sheet and names all its faults.
pub(crate) fn check(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let path: String = required_arg(matches, "sheet")?;
    let text = fs::read_to_string(&path)
        .map_err(|source| CliError::File { path: path.clone(), source })?;
    let found = SheetReport::from_text(&text);
    let faults: Vec<DiagnosticReport> = found
        .diagnostics()
        .iter()
        .map(|fault| DiagnosticReport {
            severity: fault.severity(),
            line: fault.position.map(|position| position.line),
            column: fault.position.map(|position| position.column),
            path: fault.path.clone(),
            reason: fault.kind.to_string(),
            text: fault.to_string(),
        })
        .collect();
    let denies_warnings = matches.get_flag("deny-warnings");
    let is_refused =
        |fault: &DiagnosticReport| denies_warnings || fault.severity == Severity::Error;
    let is_sound = !faults.iter().any(is_refused);
    session.report(&CheckReport { sheet: path, is_sound, faults })?;
    Ok(if is_sound { ExitStatus::Success } else { ExitStatus::InvalidSheet })
}
