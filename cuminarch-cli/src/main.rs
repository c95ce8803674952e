//! The operators' program: checks sheets and puts them into force.

use std::net::SocketAddr;

use clap::{Arg, Command};
use cuminarch_config::{ConfigDocument, Policy, Sheet};
use cuminarch_platform::{Expect, HttpObjectStore, ObjectPath, ObjectStore};
use cuminarch_types::{ChangeId, Revision};
use eyre::{Result, WrapErr, eyre};

fn command() -> Command {
    let sheet = Arg::new("sheet").value_name("SHEET").required(true).help("The sheet, in YAML");
    let platform = Arg::new("platform")
        .long("platform")
        .value_name("IP:PORT")
        .required(true)
        .value_parser(clap::value_parser!(SocketAddr))
        .help("Where the platform's object API listens");
    let check = Command::new("check").about("Check a sheet").arg(sheet.clone());
    let apply =
        Command::new("apply").about("Put a sheet into force").arg(sheet).arg(platform.clone());
    let show = Command::new("show").about("Print the accepted sheet").arg(platform);
    let config = Command::new("config")
        .about("Work on the configuration")
        .subcommand_required(true)
        .subcommands([check, apply, show]);
    Command::new("cuminarch")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operate a cuminarch fleet")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(config)
}

fn read_sheet(path: &str) -> Result<String> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
    let sheet = Sheet::parse(&text).wrap_err_with(|| path.to_owned())?;
    Policy::from_sheet(Revision::new(1), &sheet).wrap_err_with(|| path.to_owned())?;
    Ok(text)
}

fn main() -> Result<()> {
    env_logger::init();
    let matches = command().get_matches();
    let Some(("config", config)) = matches.subcommand() else { return Err(eyre!("no command")) };
    let current: ObjectPath = "config/current".parse()?;
    let store = |matches: &clap::ArgMatches| {
        let address = matches.get_one::<SocketAddr>("platform").copied();
        address.map(HttpObjectStore::new).ok_or_else(|| eyre!("no platform"))
    };
    match config.subcommand() {
        Some(("check", matches)) => {
            let path: &String = matches.get_one("sheet").expect("a required argument");
            read_sheet(path)?;
            println!("{path}: ok");
        }
        Some(("apply", matches)) => {
            let path: &String = matches.get_one("sheet").expect("a required argument");
            let text = read_sheet(path)?;
            let store = store(matches)?;
            let held = store.get(&current)?;
            let expect = held.as_ref().map_or(Expect::Absent, |held| Expect::Version(held.version));
            let before: Option<ConfigDocument> =
                held.map(|held| serde_json::from_str(&held.value)).transpose()?;
            let revision = before.map(|before| before.revision).unwrap_or_default().next();
            let change = ChangeId::new(format!("change-{}", std::process::id()))?;
            let document = ConfigDocument { revision, change, sheet: text };
            store.put(&current, &serde_json::to_string(&document)?, expect)?;
            println!("accepted as revision {revision}");
        }
        Some(("show", matches)) => match store(matches)?.get(&current)? {
            Some(object) => print!("{}", object.value),
            None => println!("no sheet has been accepted"),
        },
        _ => return Err(eyre!("no command")),
    }
    Ok(())
}
