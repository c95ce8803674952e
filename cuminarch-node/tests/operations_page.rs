//! Checks that the example log lines of the operations page match the code.

use cuminarch_engine::RefusalReason;
use cuminarch_node::NodeEvent;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

fn examples() -> Vec<&'static str> {
    PAGE.lines().filter(|line| line.starts_with("CU") && line.contains(" request=")).collect()
}

fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let from = line.find(&format!(" {key}="))? + key.len() + 2;
    line[from..].split(' ').next()
}

#[test]
fn every_example_begins_with_an_event_that_exists() {
    assert!(examples().len() >= 5);
    for line in examples() {
        let is_known = NodeEvent::ALL.iter().any(|event| line.starts_with(&format!("{event} ")));
        assert!(is_known, "{line}");
    }
}

#[test]
fn reasons_of_refusals_are_those_of_the_engine() {
    let refused = |line: &&str| line.contains("call-refused") || line.contains("door-refused");
    for line in examples().into_iter().filter(refused) {
        let reason = value(line, "reason").unwrap();
        assert!(RefusalReason::from_text(reason).is_some(), "{line}");
    }
}

#[test]
fn examples_have_the_keys_that_the_code_writes() {
    let sources = [
        include_str!("../src/data/runner.rs"),
        include_str!("../src/data/link_client.rs"),
        include_str!("../src/data/local.rs"),
        include_str!("../src/data/answer.rs"),
    ]
    .concat();
    for key in [
        "request",
        "route",
        "account",
        "service",
        "outcome",
        "reason",
        "why",
        "left_out",
        "endpoint",
        "passed_bytes",
    ] {
        let is_written =
            sources.contains(&format!("{key}:% =")) || sources.contains(&format!("{key} ="));
        assert!(is_written, "{key}");
        assert!(examples().iter().any(|line| value(line, key).is_some()), "{key}");
    }
}
