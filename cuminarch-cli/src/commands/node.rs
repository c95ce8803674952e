use std::net::SocketAddr;

use clap::ArgMatches;

use crate::commands::{Session, required_arg};
use crate::{CliError, ExitStatus};

const TIMEOUT_SECS: u64 = 5;

/// Prints the state dump of a node, read from its admin address.
pub(crate) fn dump(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let address: SocketAddr = required_arg(matches, "address")?;
    let to_error = |reason: String| CliError::Node { address: address.to_string(), reason };
    let response = minreq::get(format!("http://{address}/dump"))
        .with_timeout(TIMEOUT_SECS)
        .send()
        .map_err(|error| to_error(error.to_string()))?;
    if response.status_code != 200 {
        return Err(to_error(format!("status {}", response.status_code)));
    }
    let text = response.as_str().map_err(|error| to_error(error.to_string()))?;
    writeln!(session.outputs.out, "{}", text.trim_end())?;
    Ok(ExitStatus::Success)
}
