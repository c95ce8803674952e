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

/// One diagnostic; `text` is for people, the other fields are for scripts.
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
        for diagnostic in &self.faults {
            writeln!(formatter, "{}: {}", self.sheet, diagnostic.text)?;
        }
        let errors =
            self.faults.iter().filter(|diagnostic| diagnostic.severity == Severity::Error).count();
        let warnings = self.faults.len() - errors;
        let verdict = if self.is_sound { "ok" } else { "refused" };
        writeln!(formatter, "{}: {verdict}, {errors} errors, {warnings} warnings", self.sheet)
    }
}

/// Checks a sheet and reports all its diagnostics.
pub(crate) fn check(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let path: String = required_arg(matches, "sheet")?;
    let text = fs::read_to_string(&path)
        .map_err(|source| CliError::File { path: path.clone(), source })?;
    let report = SheetReport::from_text(&text);
    let diagnostics: Vec<DiagnosticReport> = report
        .diagnostics()
        .iter()
        .map(|diagnostic| DiagnosticReport {
            severity: diagnostic.severity(),
            line: diagnostic.position.map(|position| position.line),
            column: diagnostic.position.map(|position| position.column),
            path: diagnostic.path.clone(),
            reason: diagnostic.kind.to_string(),
            text: diagnostic.to_string(),
        })
        .collect();
    let denies_warnings = matches.get_flag("deny-warnings");
    let is_refused =
        |diagnostic: &DiagnosticReport| denies_warnings || diagnostic.severity == Severity::Error;
    let is_sound = !diagnostics.iter().any(is_refused);
    session.report(&CheckReport { sheet: path, is_sound, faults: diagnostics })?;
    Ok(if is_sound { ExitStatus::Success } else { ExitStatus::InvalidSheet })
}
