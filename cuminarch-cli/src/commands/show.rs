use std::fmt;

use clap::ArgMatches;
use cuminarch_config::ConfigDocument;
use cuminarch_types::Revision;
use serde::Serialize;

use crate::commands::{Session, platform_store};
use crate::configuration::{read_current, read_revision, with_header};
use crate::{CliError, ExitStatus};

/// A document, printed as a sheet that can be edited and applied again.
#[derive(Debug, Serialize)]
#[serde(transparent)]
struct ShowReport {
    document: Option<ConfigDocument>,
}

impl fmt::Display for ShowReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.document {
            Some(document) => formatter.write_str(&with_header(document)),
            None => writeln!(formatter, "# no sheet has been accepted"),
        }
    }
}

/// Prints an accepted sheet and its revision.
pub(crate) fn show(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let store = platform_store(matches)?;
    let document = match matches.get_one::<Revision>("revision") {
        Some(revision) => Some(read_revision(&store, *revision)?),
        None => read_current(&store)?,
    };
    session.report(&ShowReport { document })?;
    Ok(ExitStatus::Success)
}
