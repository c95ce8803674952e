//! The operators' program: checks sheets and puts them into force.

use std::io;
use std::process::ExitCode;

use cuminarch_cli::{Outputs, command, run};
use cuminarch_platform::SystemClock;

fn main() -> ExitCode {
    env_logger::init();
    let matches = command().get_matches();
    let (mut out, mut errors) = (io::stdout().lock(), io::stderr().lock());
    let mut outputs = Outputs { out: &mut out, errors: &mut errors };
    run(&matches, &SystemClock::new(), &mut outputs).into()
}
