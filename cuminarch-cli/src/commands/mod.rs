//! The commands: functions that take parsed arguments and write to the outputs.

mod apply;
mod change_report;
mod check;
mod diff;
mod fleet;
mod history;
mod node;
mod rollback;
mod show;
mod status;
mod wait;

use std::net::SocketAddr;

use clap::ArgMatches;
use clap_complete::Shell;
use cuminarch_platform::{Clock, HttpObjectStore};

use crate::args::{command, output_format};
use crate::{CliError, ExitStatus, OutputFormat, Outputs};

/// Format, clock and outputs of a command.
pub(crate) struct Session<'a, 'b> {
    pub format: OutputFormat,
    pub clock: &'a dyn Clock,
    pub outputs: &'a mut Outputs<'b>,
}

impl Session<'_, '_> {
    fn report<T: std::fmt::Display + serde::Serialize>(
        &mut self,
        report: &T,
    ) -> Result<(), CliError> {
        Ok(self.outputs.report(self.format, report)?)
    }

    fn print_message(&mut self, message: &dyn std::fmt::Display) -> Result<(), CliError> {
        Ok(self.outputs.print_message(message)?)
    }
}

/// Runs the command selected by the arguments.
#[must_use]
pub fn run(matches: &ArgMatches, clock: &dyn Clock, outputs: &mut Outputs<'_>) -> ExitStatus {
    let mut session = Session { format: output_format(matches), clock, outputs };
    let result = dispatch(matches, &mut session);
    result.unwrap_or_else(|error| {
        let _ = session.outputs.print_message(&error);
        error.exit_status()
    })
}

fn dispatch(matches: &ArgMatches, session: &mut Session<'_, '_>) -> Result<ExitStatus, CliError> {
    match matches.subcommand() {
        Some(("config", matches)) => config(matches, session),
        Some(("node", matches)) => match matches.subcommand() {
            Some(("dump", matches)) => node::dump(matches, session),
            _ => Err(no_command()),
        },
        Some(("fleet", matches)) => match matches.subcommand() {
            Some(("status", matches)) => fleet::status(matches, session),
            _ => Err(no_command()),
        },
        Some(("completions", matches)) => completions(matches, session),
        _ => Err(no_command()),
    }
}

fn config(matches: &ArgMatches, session: &mut Session<'_, '_>) -> Result<ExitStatus, CliError> {
    match matches.subcommand() {
        Some(("check", matches)) => check::check(matches, session),
        Some(("diff", matches)) => diff::diff(matches, session),
        Some(("apply", matches)) => apply::apply(matches, session),
        Some(("show", matches)) => show::show(matches, session),
        Some(("status", matches)) => status::status(matches, session),
        Some(("history", matches)) => history::history(matches, session),
        Some(("rollback", matches)) => rollback::rollback(matches, session),
        _ => Err(no_command()),
    }
}

fn completions(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let shell: Shell = required_arg(matches, "shell")?;
    let mut command = command();
    clap_complete::generate(shell, &mut command, "cuminarch", &mut session.outputs.out);
    Ok(ExitStatus::Success)
}

fn no_command() -> CliError {
    CliError::Argument("no command".to_owned())
}

/// Returns an argument that is required or has a default.
fn required_arg<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &str,
) -> Result<T, CliError> {
    matches
        .get_one::<T>(name)
        .cloned()
        .ok_or_else(|| CliError::Argument(format!("{name} is missing")))
}

fn platform_store(matches: &ArgMatches) -> Result<HttpObjectStore, CliError> {
    let address: SocketAddr = required_arg(matches, "platform")?;
    Ok(HttpObjectStore::new(address).with_user_agent("cuminarch-cli"))
}
