//! Plays seeded fault schedules against real daemons; fails if a promise breaks.

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
                .help("Program of the daemon; beside this one if left out"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .help("First seed; a fresh one if left out"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Number of seeds, played one after the other"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("6")
                .value_parser(value_parser!(u64).range(1..))
                .help("Time in which faults begin, in seconds"),
        )
        .arg(
            Arg::new("sabotage")
                .long("sabotage")
                .value_name("PROMISE")
                .value_parser(|text: &str| {
                    text.parse::<Sabotage>().map_err(|error| error.to_string())
                })
                .help("Breach this promise on purpose, to see that it is noticed"),
        )
}

/// A seed that no earlier run had.
fn fresh_seed() -> Result<u64> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).wrap_err("the clock is before 1970")?;
    Ok(u64::from(now.subsec_nanos()) ^ now.as_secs())
}

fn default_daemon_path() -> Result<PathBuf> {
    let own = std::env::current_exe().wrap_err("cannot find this program")?;
    Ok(own.with_file_name("cuminarchd"))
}

fn main() -> Result<ExitCode> {
    let matches = command().get_matches();
    let daemon =
        matches.get_one::<PathBuf>("daemon").cloned().map_or_else(default_daemon_path, Ok)?;
    let first = matches.get_one::<u64>("seed").copied().map_or_else(fresh_seed, Ok)?;
    let number = |name| *matches.get_one::<u64>(name).expect("an argument with a default");
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
