//! Runs one benchmark; with `--check`, fails if a figure is out of bounds.

use std::process::ExitCode;

use clap::{Arg, ArgAction, Command};
use cuminarch_bench::{KnownRed, Verdict, capacity, control, decisions, overhead};

fn command() -> Command {
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .global(true)
        .help("Fail if a figure is out of bounds and KNOWN-RED.txt does not list it");
    Command::new("cuminarch-bench")
        .about("Benchmarks of cuminarch")
        .subcommand_required(true)
        .arg(check)
        .subcommand(Command::new("capacity").about("Memory of a node's state, with slopes"))
        .subcommand(Command::new("control").about("Membership and configuration, virtual time"))
        .subcommand(
            Command::new("decisions")
                .about("Policy under load, virtual time")
                .arg(
                    Arg::new("only").long("only").help("Run the scenarios with this in their name"),
                )
                .arg(
                    Arg::new("without")
                        .long("without")
                        .value_parser(decisions::Mechanism::NAMES)
                        .help("Take a mechanism away"),
                ),
        )
        .subcommand(Command::new("overhead").about("Time added to a call, real sockets"))
}

fn report(verdict: &Verdict, known_red: &KnownRed) -> bool {
    let known = verdict.known_failures(known_red);
    for case in &known {
        println!("known red  {case}");
    }
    let misses = verdict.new_failures(known_red);
    for case in &misses {
        println!("MISS       {case}");
    }
    let count = verdict.cases().len();
    println!("{count} bounded figures: {} known red, {} missed besides", known.len(), misses.len());
    misses.is_empty()
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let verdict = match matches.subcommand() {
        Some(("capacity", _)) => capacity::run().unwrap_or_else(|error| {
            eprintln!("capacity: {error:?}");
            Verdict::new()
        }),
        Some(("control", _)) => control::run(),
        Some(("decisions", matches)) => {
            let only = matches.get_one::<String>("only").map_or("", String::as_str);
            let without = matches.get_one::<String>("without");
            let without = without.and_then(|name| decisions::Mechanism::from_name(name));
            decisions::run_matching(only, without)
        }
        _ => overhead::run(),
    };
    let is_good = report(&verdict, &KnownRed::from_repository());
    if matches.get_flag("check") && !is_good {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
