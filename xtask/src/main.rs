//! Developer tasks: `cargo xtask lint`, `test`, `doc`, `ci`, `bench` and `soak`.

mod style;

use std::path::Path;
use std::process::Command as Process;

use clap::{Arg, ArgMatches, Command};
use eyre::{Result, bail};

fn command() -> Command {
    let bench = Command::new("bench")
        .about("Run one benchmark and print its table")
        .arg(Arg::new("name").required(true).value_parser([
            "capacity",
            "control",
            "decisions",
            "overhead",
        ]))
        .arg(Arg::new("rest").num_args(0..).trailing_var_arg(true).allow_hyphen_values(true));
    let soak = Command::new("soak")
        .about("Run seeded fault schedules against real daemons; --help lists the options")
        .disable_help_flag(true)
        .arg(Arg::new("rest").num_args(0..).trailing_var_arg(true).allow_hyphen_values(true));
    Command::new("xtask")
        .about("Developer tasks")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("lint").about("Check format and lints"))
        .subcommand(Command::new("test").about("Run all tests"))
        .subcommand(Command::new("doc").about("Build the docs without warnings"))
        .subcommand(Command::new("ci").about("Run everything that has to pass"))
        .subcommand(bench)
        .subcommand(soak)
}

fn run_cargo(arguments: &[&str]) -> Result<()> {
    eprintln!("+ cargo {}", arguments.join(" "));
    let status = Process::new(env!("CARGO")).args(arguments).status()?;
    if !status.success() {
        bail!("cargo {} failed: {status}", arguments.join(" "));
    }
    Ok(())
}

fn lint() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let findings = style::check(&root)?;
    for finding in &findings {
        eprintln!("{finding}");
    }
    if !findings.is_empty() {
        bail!("{} violations of the house style", findings.len());
    }
    run_cargo(&["fmt", "--all", "--check"])?;
    run_cargo(&["clippy", "--workspace", "--all-targets", "--quiet", "--", "-D", "warnings"])?;
    let no_unwrap = ["-D", "warnings", "-D", "clippy::unwrap_used"];
    run_cargo(
        &[&["clippy", "--workspace", "--lib", "--bins", "--quiet", "--"][..], &no_unwrap].concat(),
    )
}

/// Returns the names of the tests that `KNOWN-RED.txt` lists as `case: test/NAME`.
fn known_red_tests() -> Result<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../KNOWN-RED.txt");
    let text = std::fs::read_to_string(path)?;
    Ok(text
        .lines()
        .filter_map(|line| line.strip_prefix("case: test/"))
        .map(str::to_owned)
        .collect())
}

fn test() -> Result<()> {
    let known_red = known_red_tests()?;
    let mut arguments = vec!["test", "--workspace", "--quiet", "--", "--exact"];
    for name in &known_red {
        eprintln!("known red  test/{name}: passed over");
        arguments.extend(["--skip", name]);
    }
    run_cargo(&arguments)
}

fn doc() -> Result<()> {
    run_cargo(&["doc", "--workspace", "--no-deps", "--quiet"])
}

fn bench(name: &str, rest: &[&str]) -> Result<()> {
    let mut arguments =
        vec!["run", "--release", "--quiet", "--package", "cuminarch-bench", "--", name];
    arguments.extend(rest);
    run_cargo(&arguments)
}

/// Uses the development profile to keep the daemons' overflow checks and assertions.
fn soak(rest: &[&str]) -> Result<()> {
    run_cargo(&["build", "--quiet", "--package", "cuminarchd"])?;
    run_cargo(&[&["run", "--quiet", "--package", "cuminarch-soak", "--"][..], rest].concat())
}

fn trailing_arguments(matches: &ArgMatches) -> Vec<&str> {
    matches.get_many::<String>("rest").unwrap_or_default().map(String::as_str).collect()
}

fn main() -> Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("lint", _)) => lint(),
        Some(("test", _)) => test(),
        Some(("doc", _)) => doc(),
        Some(("bench", matches)) => {
            let name: &String = matches.get_one("name").expect("the argument is required");
            bench(name, &trailing_arguments(matches))
        }
        Some(("soak", matches)) => soak(&trailing_arguments(matches)),
        _ => {
            lint()?;
            test()?;
            doc()?;
            bench("decisions", &["--check"])?;
            bench("control", &["--check"])
        }
    }
}
