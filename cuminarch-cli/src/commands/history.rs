use std::fmt;

use clap::ArgMatches;
use cuminarch_types::{ByteCount, ChangeId, Revision};
use serde::Serialize;

use crate::commands::{Session, platform_store};
use crate::configuration::read_history;
use crate::{CliError, ExitStatus};

/// Accepted changes, latest first.
#[derive(Debug, Serialize)]
struct HistoryReport {
    changes: Vec<AcceptedChange>,
}

#[derive(Debug, Serialize)]
struct AcceptedChange {
    revision: Revision,
    change: ChangeId,
    sheet_bytes: ByteCount,
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{:>10}  {:>8}  change", "revision", "bytes")?;
        for AcceptedChange { revision, change, sheet_bytes } in &self.changes {
            writeln!(formatter, "{:>10}  {:>8}  {change}", revision.get(), sheet_bytes.get())?;
        }
        Ok(())
    }
}

/// Lists the accepted changes that the platform still holds.
pub(crate) fn history(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let changes = read_history(&platform_store(matches)?)?
        .into_iter()
        .map(|document| AcceptedChange {
            revision: document.revision,
            change: document.change,
            sheet_bytes: ByteCount::new(document.sheet.len() as u64),
        })
        .collect();
    session.report(&HistoryReport { changes })?;
    Ok(ExitStatus::Success)
}
