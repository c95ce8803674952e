//! Runs seeded fault schedules against real daemons; fails if a promise is violated.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::{Arg, Command, value_parser};
use cuminarch_soak::{Sabotage, Schedule, Soak};
use eyre::{Result, WrapErr};

fn command() -> Command {
    Command::new("cuminarch-soak")
        .about("Randomized fault soak of real daemons on loopback")
        .arg(
            Arg::new("daemon")
                .long("daemon")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Path of the daemon; defaults to cuminarchd in the folder of this program"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("First seed; defaults to one derived from the clock"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Number of consecutive seeds to run"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("6")
                .value_parser(value_parser!(u64).range(1..))
                .help("Period in which faults begin, in seconds"),
        )
        .arg(
            Arg::new("sabotage")
                .long("sabotage")
                .value_name("PROMISE")
                .value_parser(|text: &str| {
                    text.parse::<Sabotage>().map_err(|error| error.to_string())
                })
                .help("Violate this promise on purpose, to verify that the soak detects it"),
        )
}

/// Returns a seed derived from the current time.
fn fresh_seed() -> Result<u64> {
    let now =
        SystemTime::now().duration_since(UNIX_EPOCH).wrap_err("the system clock is before 1970")?;
    Ok(u64::from(now.subsec_nanos()) ^ now.as_secs())
}

fn default_daemon_path() -> Result<PathBuf> {
    let program = std::env::current_exe().wrap_err("cannot determine the path of this program")?;
    Ok(program.with_file_name("cuminarchd"))
}

fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    let daemon =
        matches.get_one::<PathBuf>("daemon").cloned().map_or_else(default_daemon_path, Ok)?;
    let first = matches.get_one::<u64>("seed").copied().map_or_else(fresh_seed, Ok)?;
    let number = |name| *matches.get_one::<u64>(name).expect("the argument has a default");
    let (seeds, seconds) = (number("seeds"), number("seconds"));
    let sabotage = matches.get_one::<Sabotage>("sabotage").copied();
    let mut broken = 0;
    for seed in first..first.saturating_add(seeds) {
        let schedule = Schedule::from_seed(seed, Duration::from_secs(seconds));
        let report = Soak::new(daemon.clone(), schedule).with_sabotage(sabotage).run()?;
        print!("{report}");
        broken += u64::from(!report.violations.is_empty());
    }
    println!("{seeds} seeds, {broken} with a broken promise");
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
