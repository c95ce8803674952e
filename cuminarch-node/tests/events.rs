//! Checks that the event catalogue in `docs/events.md` matches the code.

use std::collections::BTreeSet;

use cuminarch_node::NodeEvent;

#[test]
fn the_catalogue_lists_every_event_and_no_other() {
    let catalogue = include_str!("../../docs/events.md");
    let listed: BTreeSet<String> = catalogue
        .lines()
        .filter_map(|line| line.strip_prefix("| CU"))
        .map(|line| {
            let mut cells = line.split('|').map(str::trim);
            let (code, name) = (cells.next().unwrap(), cells.next().unwrap());
            assert!(
                cells.filter(|cell| !cell.is_empty()).count() >= 2,
                "CU{code} lacks a description or an action"
            );
            format!("CU{code} {name}")
        })
        .collect();
    let known: BTreeSet<String> = NodeEvent::ALL.iter().map(ToString::to_string).collect();
    assert_eq!(listed, known);
    assert_eq!(known.len(), NodeEvent::ALL.len(), "two events have the same code and name");
}
