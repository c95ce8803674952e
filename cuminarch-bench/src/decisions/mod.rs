//! Benchmarks policy under load in virtual time, against a naive mesh and an oracle.
//!
//! A discrete-event simulation drives one engine for each endpoint of the users' fleets. A quarter
//! of each endpoint's slots is simulated, and demand is scaled down accordingly. The same requests,
//! from the same seeds, also go through a naive mesh with retries at each layer and unbounded
//! queues.

mod engine_mesh;
mod figures;
mod naive;
mod oracle;
mod scenario;
mod system;
mod view;
mod world;

use std::sync::Mutex;
use std::thread;

use crate::{Bound, Case, Verdict};
use engine_mesh::EngineMesh;
use figures::Figures;
use naive::NaiveMesh;
pub use scenario::Mechanism;
use scenario::{Cause, Scenario};
use world::World;

const THREADS: usize = 4;
const MIN_GOODPUT: f64 = 0.95;
const MIN_PROTECTED_SHARE: f64 = 0.999;
const MAX_RECOVERY_S: f64 = 2.0;
/// Recorded if the fleet did not recover during the run.
const NO_RECOVERY_S: f64 = 999.0;

struct Row {
    scenario: Scenario,
    cuminarch: Figures,
    naive: Figures,
}

/// Runs the benchmark, prints its table and returns the bounded figures.
#[must_use]
pub fn run() -> Verdict {
    run_matching("", None)
}

/// Runs the scenarios whose name contains `part`, with a mechanism switched off if one is given.
#[must_use]
pub fn run_matching(part: &str, disabled: Option<Mechanism>) -> Verdict {
    let scenarios = Scenario::all().into_iter().filter(|scenario| scenario.name.contains(part));
    let rows = run_all(scenarios.map(|scenario| scenario.with_disabled(disabled)).collect());
    print_table(&rows);
    let mut verdict = Verdict::new();
    for row in &rows {
        record_cases(row, &mut verdict);
    }
    verdict
}

fn run_all(scenarios: Vec<Scenario>) -> Vec<Row> {
    let waiting = Mutex::new(scenarios.into_iter().enumerate().collect::<Vec<_>>());
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let next = waiting.lock().ok().and_then(|mut waiting| waiting.pop());
                    let Some((index, scenario)) = next else { break };
                    let row = run_one(scenario);
                    if let Ok(mut done) = done.lock() {
                        done.push((index, row));
                    }
                }
            });
        }
    });
    let mut rows = done.into_inner().unwrap_or_default();
    rows.sort_by_key(|(index, _)| *index);
    rows.into_iter().map(|(_, row)| row).collect()
}

fn run_one(scenario: Scenario) -> Row {
    let mut world = World::new(scenario.clone());
    let mut mesh = EngineMesh::new(&world);
    world.run(&mut mesh);
    let cuminarch = Figures::new(&scenario, &world.roots);
    let mut world = World::new(scenario.clone());
    world.run(&mut NaiveMesh::default());
    let naive = Figures::new(&scenario, &world.roots);
    Row { scenario, cuminarch, naive }
}

fn print_table(rows: &[Row]) {
    println!("goodput: share of the oracle's; prot.: protected completed of what fits; recovery:");
    println!("seconds to 99% of prompt answers; att.: attempts a request; waste: deep work lost");
    println!(
        "{:24} {:9} {:>7} {:>7} {:>8} {:>5} {:>4} {:>6}  completed by kind (oracle)",
        "scenario", "side", "goodput", "prot.", "recovery", "att.", "max", "waste"
    );
    for row in rows {
        print_figures(row, "cuminarch", &row.cuminarch);
        print_figures(row, "naive", &row.naive);
    }
}

fn print_figures(row: &Row, side: &str, figures: &Figures) {
    let recovery = figures.recovery_s.map_or("never".to_owned(), |span| format!("{span:.1}"));
    let kinds = row.scenario.system.kinds.iter();
    let by_kind: Vec<String> = kinds
        .zip(figures.by_kind.iter().zip(&figures.oracle_by_kind))
        .map(|(kind, (share, oracle))| format!("{} {share:.3} ({oracle:.2})", kind.name))
        .collect();
    println!(
        "{:24} {:9} {:>7} {:>7} {:>8} {:5.1} {:4} {:6.3}  {}",
        row.scenario.name,
        side,
        format_share(row, figures.goodput, 3),
        format_share(row, figures.protected, 4),
        recovery,
        figures.attempts_mean,
        figures.attempts_max,
        figures.waste,
        by_kind.join(", ")
    );
}

/// Formats a share of the oracle's result; `-` for a retry storm, in which the oracle completes
/// nothing.
fn format_share(row: &Row, share: f64, digits: usize) -> String {
    if row.scenario.cause == Cause::RetryStorm {
        return "-".to_owned();
    }
    format!("{share:.digits$}")
}

fn record_cases(row: &Row, verdict: &mut Verdict) {
    let name = |figure: &str| format!("decisions/{}/{figure}", row.scenario.name);
    let figures = &row.cuminarch;
    let attempts = f64::from(figures.attempts_max);
    verdict.record(Case::new(
        name("attempts"),
        attempts,
        Bound::AtMost(f64::from(system::GRANT_ATTEMPTS)),
    ));
    let recovery_s = figures.recovery_s.unwrap_or(NO_RECOVERY_S);
    verdict.record(Case::new(name("recovery"), recovery_s, Bound::AtMost(MAX_RECOVERY_S)));
    if matches!(row.scenario.cause, Cause::Surge(_)) {
        verdict.record(Case::new(name("goodput"), figures.goodput, Bound::AtLeast(MIN_GOODPUT)));
        if figures.protected_fits {
            let bound = Bound::AtLeast(MIN_PROTECTED_SHARE);
            verdict.record(Case::new(name("protected"), figures.protected, bound));
        }
    }
}
