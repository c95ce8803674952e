use clap::ArgMatches;
use cuminarch_types::Revision;

use crate::commands::apply::{
    ChangeOptions, Submission, read_current_with_retries, report_unavailable, submit,
};
use crate::commands::{Session, platform_store, required_arg};
use crate::configuration::read_revision;
use crate::{CliError, ExitStatus};

/// Applies the sheet of an earlier revision as a new revision.
pub(crate) fn rollback(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let revision: Revision = required_arg(matches, "revision")?;
    let options = ChangeOptions::new(matches)?;
    let store = platform_store(matches)?;
    let current = match read_current_with_retries(session, &store, &options) {
        Ok(current) => current,
        Err(error) => return report_unavailable(session, &options, error),
    };
    let earlier = read_revision(&store, revision)?;
    let base = current.as_ref().map(|document| document.revision).unwrap_or_default();
    let submission = Submission { sheet: earlier.sheet, base, is_platform_restored: false };
    submit(session, &store, &options, current.as_ref(), submission)
}
