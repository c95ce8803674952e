//! Tests of the program as a process: exit codes, output streams and platform faults over HTTP.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use cuminarch_testing::{PlatformFault, PlatformServer};
use rstest::rstest;

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/examples")
}

fn cuminarch(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cuminarch"))
        .args(arguments)
        .current_dir(examples())
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

#[rstest]
#[case::sound(&["config", "check", "verband.yaml", "--deny-warnings"], 0)]
#[case::other_sound(&["config", "check", "dukkeoye.yaml", "--deny-warnings"], 0)]
#[case::missing_file(&["config", "check", "no-such-file.yaml"], 1)]
#[case::no_command(&["config"], 2)]
#[case::bad_argument(&["config", "show", "--platform", "nowhere"], 2)]
#[case::not_a_sheet(&["config", "check", "../glossary.md"], 3)]
#[case::no_platform(&["config", "show", "--platform", "127.0.0.1:1"], 6)]
fn exit_codes(#[case] arguments: &[&str], #[case] code: i32) {
    let output = cuminarch(arguments);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

#[test]
fn change_whose_answer_was_lost_is_reported_as_accepted() {
    let platform = PlatformServer::start().unwrap();
    let address = platform.address().to_string();
    platform.store().set_fault(PlatformFault::LoseAnswers);
    let arguments = ["config", "apply", "verband.yaml", "--platform", &address];
    let output = cuminarch(&arguments);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(text(&output.stdout).starts_with("accepted as revision 1 by change change-"));
    assert!(text(&output.stdout).contains("the answer to the write was lost"));
}

#[test]
fn one_of_two_concurrent_programs_is_accepted() {
    let platform = PlatformServer::start().unwrap();
    let address = platform.address().to_string();
    let run = |sheet: &'static str| {
        let address = address.clone();
        std::thread::spawn(move || {
            cuminarch(&["config", "apply", sheet, "--platform", &address, "--base", "0"])
        })
    };
    let programs = [run("verband.yaml"), run("dukkeoye.yaml")];
    let mut codes: Vec<i32> =
        programs.map(|program| program.join().unwrap().status.code().unwrap()).to_vec();
    codes.sort_unstable();
    assert_eq!(codes, [0, 4]);
}

#[test]
fn completions_name_the_commands() {
    let output = cuminarch(&["completions", "bash"]);
    assert!(text(&output.stdout).contains("rollback"));
}
