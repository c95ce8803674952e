//! The node daemon: reads settings, starts a node and stops it gracefully.

use clap::{Arg, ArgAction, Command};
use cuminarch_node::{Node, NodeSettings};
use eyre::{Result, WrapErr};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

fn command() -> Command {
    Command::new("cuminarchd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Overload control node beside one upstream")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("Settings of the node, in YAML"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and exit"),
        )
}

fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let matches = command().get_matches();
    let path: &String = matches.get_one("settings").expect("a required argument");
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
    let settings = NodeSettings::parse(&text)?;
    if matches.get_flag("check") {
        println!("{path}: ok");
        return Ok(());
    }
    let mut signals = Signals::new([SIGINT, SIGTERM]).wrap_err("cannot handle signals")?;
    let node = Node::start(settings)?;
    signals.forever().next();
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            std::process::exit(1);
        }
    });
    node.shutdown();
    Ok(())
}
