//! Node daemon: reads settings, starts a node and stops it gracefully.

use clap::{Arg, ArgAction, Command};
use cuminarch_node::{Node, NodeSettings};
use eyre::{Result, WrapErr};
use flume::Receiver;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

fn command() -> Command {
    Command::new("cuminarchd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Overload control node for one upstream")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("Settings file in YAML"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings file and exit"),
        )
}

fn read_settings(path: &str) -> Result<NodeSettings> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
    NodeSettings::parse(&text).wrap_err_with(|| path.to_owned())
}

/// Forwards the first SIGINT or SIGTERM; a second one exits the process immediately.
fn watch_signals() -> Result<Receiver<()>> {
    let mut signals = Signals::new([SIGINT, SIGTERM]).wrap_err("cannot handle signals")?;
    let (sender, receiver) = flume::bounded(1);
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for (count, _) in signals.forever().enumerate() {
            if count > 0 {
                std::process::exit(1);
            }
            let _ = sender.try_send(());
        }
    })?;
    Ok(receiver)
}

fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let matches = command().get_matches();
    let path: &String = matches.get_one("settings").expect("clap requires the settings argument");
    let settings = read_settings(path)?;
    if matches.get_flag("check") {
        println!("{path}: ok");
        return Ok(());
    }
    let signals = watch_signals()?;
    let node = Node::start(settings)?;
    let duty_error = flume::Selector::new()
        .recv(&signals, |_| None)
        .recv(node.duty_errors(), |error| error.ok())
        .wait();
    if let Some(error) = duty_error {
        return Err(error.into());
    }
    node.shutdown();
    Ok(())
}
