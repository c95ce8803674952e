//! The command line.

use std::net::SocketAddr;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use cuminarch_types::{ChangeId, Revision, ZoneName};

use crate::OutputFormat;

/// Returns the definition of the command line.
#[must_use]
pub fn command() -> Command {
    Command::new("cuminarch")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operate a cuminarch fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .value_name("FORMAT")
                .value_parser(PossibleValuesParser::new(["text", "json"]))
                .default_value("text")
                .help("Format of reports"),
        )
        .subcommand(config())
        .subcommand(node())
        .subcommand(fleet())
        .subcommand(Command::new("completions").about("Print completions for a shell").arg(
            Arg::new("shell").value_name("SHELL").required(true).value_parser(value_parser!(Shell)),
        ))
}

fn config() -> Command {
    let check =
        Command::new("check").about("Check a sheet, without the platform").arg(sheet()).arg(
            Arg::new("deny-warnings")
                .long("deny-warnings")
                .action(ArgAction::SetTrue)
                .help("Treat warnings as errors"),
        );
    let diff = Command::new("diff")
        .about("Compare a sheet with the accepted one")
        .arg(sheet())
        .arg(platform());
    let rollback = Command::new("rollback")
        .about("Put the sheet of an earlier revision into force again, as a new revision")
        .arg(
            Arg::new("revision")
                .value_name("REVISION")
                .required(true)
                .value_parser(value_parser!(Revision)),
        )
        .arg(platform())
        .args(change_args());
    let show = Command::new("show").about("Print the accepted sheet").arg(platform()).arg(
        Arg::new("revision")
            .long("revision")
            .value_name("REVISION")
            .value_parser(value_parser!(Revision))
            .help("Print the sheet of this revision"),
    );
    let status = Command::new("status").about("Show what each zone has in force").arg(platform());
    let history = Command::new("history").about("List accepted changes").arg(platform());
    Command::new("config")
        .about("Work on the configuration")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([check, diff, apply(), show, status, history, rollback])
}

fn apply() -> Command {
    Command::new("apply")
        .about("Put a sheet into force")
        .arg(sheet())
        .arg(platform())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("REVISION")
                .value_parser(value_parser!(Revision))
                .help("Revision that the sheet was made from [default: that in its first line, else the accepted one]"),
        )
        .arg(
            Arg::new("restored")
                .long("restored")
                .action(ArgAction::SetTrue)
                .help("Accept a base that the platform has lost"),
        )
        .args(change_args())
}

fn node() -> Command {
    let dump = Command::new("dump").about("Print the state of a node").arg(
        Arg::new("address")
            .value_name("IP:PORT")
            .required(true)
            .value_parser(value_parser!(SocketAddr))
            .help("Admin address of the node"),
    );
    Command::new("node")
        .about("Look at one node")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(dump)
}

fn fleet() -> Command {
    let status = Command::new("status")
        .about("Count the announced endpoints and show what the zones report")
        .arg(platform());
    Command::new("fleet")
        .about("Look at all nodes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(status)
}

fn sheet() -> Arg {
    Arg::new("sheet").value_name("SHEET").required(true).help("The sheet, in YAML")
}

fn platform() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("Where the platform's object API listens")
}

/// Returns the arguments shared by the commands that change the configuration.
fn change_args() -> [Arg; 6] {
    [
        Arg::new("change")
            .long("change")
            .value_name("ID")
            .value_parser(value_parser!(ChangeId))
            .help("Id of the change; repeat an earlier id to find out whether it was accepted"),
        Arg::new("allow-weaker")
            .long("allow-weaker")
            .action(ArgAction::SetTrue)
            .help("Accept that requests become idempotent or lose protection"),
        Arg::new("limit-ms")
            .long("limit-ms")
            .value_name("MILLISECONDS")
            .value_parser(value_parser!(u64))
            .default_value("30000")
            .help("Time after which an unreachable platform is given up"),
        Arg::new("wait")
            .long("wait")
            .action(ArgAction::SetTrue)
            .help("Wait until the change is in force in every zone"),
        Arg::new("wait-limit-ms")
            .long("wait-limit-ms")
            .value_name("MILLISECONDS")
            .value_parser(value_parser!(u64))
            .default_value("30000")
            .help("Time after which zones are no longer waited for"),
        Arg::new("zones")
            .long("zones")
            .value_name("ZONE,...")
            .value_delimiter(',')
            .value_parser(value_parser!(ZoneName))
            .help("Zones to wait for besides those that report"),
    ]
}

/// Returns the requested format of reports.
#[must_use]
pub fn output_format(matches: &ArgMatches) -> OutputFormat {
    match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => OutputFormat::Json,
        _ => OutputFormat::Text,
    }
}
