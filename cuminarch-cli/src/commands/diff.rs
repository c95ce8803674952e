use std::fmt;

use clap::ArgMatches;
use cuminarch_config::Weakening;
use cuminarch_types::Revision;
use serde::Serialize;

use crate::commands::{Session, platform_store, required_arg};
use crate::configuration::{parse_policy, read_current, read_sheet};
use crate::{CliError, ExitStatus, SheetDiff};

/// Differences between a sheet and the accepted one.
#[derive(Debug, Serialize)]
struct DiffReport {
    accepted_revision: Revision,
    diff: SheetDiff,
    weakens: Vec<Weakening>,
}

impl fmt::Display for DiffReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.diff)?;
        for weakening in &self.weakens {
            writeln!(formatter, "weaker: {weakening}")?;
        }
        Ok(())
    }
}

/// Compares a sheet with the accepted one.
pub(crate) fn diff(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let path: String = required_arg(matches, "sheet")?;
    let sheet = read_sheet(&path)?;
    let current = read_current(&platform_store(matches)?)?;
    let revision = current.as_ref().map(|document| document.revision).unwrap_or_default();
    let old = current.as_ref().map_or("", |document| document.sheet.as_str());
    let weakens = match &current {
        Some(document) => Weakening::between(
            &parse_policy(revision, &document.sheet)?,
            &parse_policy(revision, &sheet.text)?,
        ),
        None => Vec::new(),
    };
    let diff = SheetDiff::between(old, &sheet.text, &format!("revision {revision}"), &path);
    session.report(&DiffReport { accepted_revision: revision, diff, weakens })?;
    Ok(ExitStatus::Success)
}
