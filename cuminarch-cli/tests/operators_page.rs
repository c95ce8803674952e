//! Runs every command of the operators' page, in order, against a simulated platform.

mod zone_status;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use cuminarch_cli::ExitStatus;
use cuminarch_cli::paths::{CURRENT_CONFIG, object_path};
use cuminarch_config::{ConfigDocument, Policy, SheetReport, ZoneStatus};
use cuminarch_node::NodeSettings;
use cuminarch_platform::{ObjectStore, Precondition};
use cuminarch_testing::{MemoryStore, PlatformServer};
use cuminarch_types::Revision;
use tiny_http::{Response, Server};
use zone_status::status_of;

const PLATFORM: &str = "10.20.0.5:8080";
const ADMIN: &str = "10.20.1.11:7004";

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs")
}

fn page() -> String {
    fs::read_to_string(docs().join("operators.md")).unwrap()
}

/// Returns the page's code blocks in a language.
fn code_blocks(page: &str, language: &str) -> Vec<String> {
    let mut blocks = Vec::new();
    let mut block: Option<String> = None;
    for line in page.lines() {
        match (&mut block, line.trim()) {
            (None, fence) if fence == format!("```{language}") => block = Some(String::new()),
            (Some(text), "```") => {
                blocks.push(std::mem::take(text));
                block = None;
            }
            (Some(text), _) => *text += &format!("{line}\n"),
            _ => {}
        }
    }
    blocks
}

/// Reports each accepted revision as in force in every zone, until `is_over` is set.
fn report_zones(store: MemoryStore, is_over: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let (mut reported, mut sequence) = (Revision::default(), 0);
        while !is_over.load(Ordering::Relaxed) {
            let current = store.get(&object_path(CURRENT_CONFIG)).unwrap();
            let document: Option<ConfigDocument> =
                current.map(|object| serde_json::from_str(&object.value).unwrap());
            let revision = document.map(|document| document.revision).unwrap_or_default();
            if revision != reported {
                sequence += 1;
                for zone in ["zrh-a", "zrh-b", "brn-a"] {
                    let status = status_of(zone, revision.get(), sequence);
                    let path = object_path(&format!("status/{zone}"));
                    store
                        .put(&path, &serde_json::to_string(&status).unwrap(), Precondition::Any)
                        .unwrap();
                }
                reported = revision;
            }
            thread::sleep(Duration::from_millis(20));
        }
    })
}

/// Waits until the zones report the accepted revision.
fn wait_for_zones(store: &MemoryStore) {
    for _ in 0..1_000 {
        let read = |path: &str| store.get(&object_path(path)).unwrap().map(|object| object.value);
        let accepted = read(CURRENT_CONFIG)
            .map(|value| serde_json::from_str::<ConfigDocument>(&value).unwrap().revision);
        let reported = read("status/brn-a")
            .map(|value| serde_json::from_str::<ZoneStatus>(&value).unwrap().highest_revision);
        if accepted == reported {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("the zones do not report the accepted revision");
}

/// Runs one command line; a trailing `> FILE` redirects its output.
fn run(line: &str, folder: &Path) -> i32 {
    let (command, file) = match line.split_once(" > ") {
        Some((command, file)) => (command, Some(file)),
        None => (line, None),
    };
    let arguments = command.split_whitespace().skip(1);
    let output = Command::new(env!("CARGO_BIN_EXE_cuminarch"))
        .args(arguments)
        .current_dir(folder)
        .output()
        .unwrap();
    if let Some(file) = file {
        fs::write(folder.join(file), &output.stdout).unwrap();
    }
    eprintln!("{line}\n{}", String::from_utf8_lossy(&output.stdout));
    eprintln!("{}", String::from_utf8_lossy(&output.stderr));
    output.status.code().unwrap()
}

#[test]
fn every_command_on_the_page_succeeds() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("operators-page");
    fs::create_dir_all(&folder).unwrap();
    for name in ["verband.yaml", "dukkeoye.yaml"] {
        fs::copy(docs().join("examples").join(name), folder.join(name)).unwrap();
    }
    let platform = PlatformServer::start().unwrap();
    let admin = Arc::new(Server::http("127.0.0.1:0").unwrap());
    let admin_address = admin.server_addr().to_ip().unwrap().to_string();
    let node = Arc::clone(&admin);
    let node = thread::spawn(move || {
        while let Ok(request) = node.recv() {
            assert_eq!(request.url(), "/dump");
            request.respond(Response::from_string("{}")).unwrap();
        }
    });
    let is_over = Arc::new(AtomicBool::new(false));
    let zones = report_zones(platform.store().clone(), Arc::clone(&is_over));
    let commands: Vec<String> = code_blocks(&page(), "console")
        .iter()
        .flat_map(|block| block.lines())
        .map(|line| line.strip_prefix("$ ").unwrap_or_else(|| panic!("not a command: {line}")))
        .map(|line| line.replace(PLATFORM, &platform.address().to_string()))
        .map(|line| line.replace(ADMIN, &admin_address))
        .collect();
    assert!(commands.len() >= 15);
    for line in commands {
        wait_for_zones(platform.store());
        assert_eq!(run(&line, &folder), 0, "{line}");
    }
    is_over.store(true, Ordering::Relaxed);
    admin.unblock();
    zones.join().unwrap();
    node.join().unwrap();
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn yaml_on_the_page_makes_a_sheet() {
    let sheet = code_blocks(&page(), "yaml").concat();
    let report = SheetReport::from_text(&sheet);
    assert!(report.diagnostics().is_empty(), "{:?}", report.diagnostics());
    Policy::from_sheet(Revision::new(1), &report.into_sheet().unwrap()).unwrap();
}

#[test]
fn example_settings_are_read_by_the_node() {
    let text = fs::read_to_string(docs().join("examples/node.yaml")).unwrap();
    let settings = NodeSettings::parse(&text).unwrap();
    assert_eq!(settings.admin_address.to_string(), ADMIN);
    assert_eq!(settings.platform_address.to_string(), PLATFORM);
}

#[test]
fn exit_codes_on_the_page_are_those_of_the_program() {
    let page = page();
    let all = [
        ExitStatus::Success,
        ExitStatus::IoError,
        ExitStatus::Usage,
        ExitStatus::InvalidSheet,
        ExitStatus::Outdated,
        ExitStatus::Weaker,
        ExitStatus::Unavailable,
        ExitStatus::Unknown,
        ExitStatus::NotInForce,
    ];
    for status in all {
        let row = format!("| {} | {status} |", status.code());
        assert!(page.contains(&row), "missing: {row}");
    }
}
