use clap::ArgMatches;
use cuminarch_types::Revision;

use crate::commands::apply::{ChangeOptions, Submission, current, give_up, submit};
use crate::commands::{Session, required, store};
use crate::configuration::read_revision;
use crate::{CliError, ExitStatus};

/// Puts the sheet of an earlier revision into force again, as a new revision.
pub(crate) fn rollback(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let revision: Revision = required(matches, "revision")?;
    let options = ChangeOptions::new(matches)?;
    let store = store(matches)?;
    let current = match current(session, &store, &options) {
        Ok(current) => current,
        Err(error) => return give_up(session, &options, error),
    };
    let earlier = read_revision(&store, revision)?;
    let base = current.as_ref().map(|document| document.revision).unwrap_or_default();
    let submission = Submission { sheet: earlier.sheet, base, is_restored: false };
    submit(session, &store, &options, current.as_ref(), submission)
}
