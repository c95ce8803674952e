use std::collections::BTreeSet;
use std::process;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::ArgMatches;
use cuminarch_config::{ConfigDocument, Sheet, Weakening};
use cuminarch_platform::{HttpObjectStore, ObjectStore};
use cuminarch_types::{ChangeId, Revision, ServiceName, ZoneName};

use crate::commands::change_report::{ChangeReport, LaterChange};
use crate::commands::wait::wait;
use crate::commands::{Session, platform_store, required_arg};
use crate::configuration::{parse_policy, read_current, read_history, read_sheet};
use crate::driver::{read_with_retries, run_apply};
use crate::members::read_members;
use crate::{ApplyOutcome, ApplyRequest, ApplyStateMachine, CliError, ExitStatus, SheetDiff};

/// Options shared by the commands that change the configuration.
pub(crate) struct ChangeOptions {
    change: ChangeId,
    is_rerun: bool,
    allows_weaker: bool,
    timeout: Duration,
    wait_timeout: Option<Duration>,
    zones: Vec<ZoneName>,
}

/// A sheet and the revision that it was made from.
pub(crate) struct Submission {
    pub sheet: String,
    pub base: Revision,
    pub is_platform_restored: bool,
}

impl ChangeOptions {
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self, CliError> {
        let given_id = matches.get_one::<ChangeId>("change").cloned();
        let wait_limit = Duration::from_millis(required_arg(matches, "wait-limit-ms")?);
        let zones = matches.get_many::<ZoneName>("zones").unwrap_or_default();
        Ok(Self {
            is_rerun: given_id.is_some(),
            change: given_id.map_or_else(new_change_id, Ok)?,
            allows_weaker: matches.get_flag("allow-weaker"),
            timeout: Duration::from_millis(required_arg(matches, "limit-ms")?),
            wait_timeout: matches.get_flag("wait").then_some(wait_limit),
            zones: zones.cloned().collect(),
        })
    }

    fn seed(&self) -> u64 {
        self.change.as_str().bytes().fold(0, |seed, byte| seed.rotate_left(7) ^ u64::from(byte))
    }
}

/// Returns a unique change id made of the time and the process id.
fn new_change_id() -> Result<ChangeId, CliError> {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let text = format!("change-{:x}-{:x}", since_epoch.as_nanos(), process::id());
    ChangeId::new(text).map_err(|error| CliError::Argument(error.to_string()))
}

/// Puts a sheet into force.
pub(crate) fn apply(
    matches: &ArgMatches,
    session: &mut Session<'_, '_>,
) -> Result<ExitStatus, CliError> {
    let path: String = required_arg(matches, "sheet")?;
    let sheet = read_sheet(&path)?;
    for warning in &sheet.warnings {
        session.print_message(&format_args!("{path}: {warning}"))?;
    }
    let options = ChangeOptions::new(matches)?;
    let store = platform_store(matches)?;
    let current = match read_current_with_retries(session, &store, &options) {
        Ok(current) => current,
        Err(error) => return report_unavailable(session, &options, error),
    };
    warn_unannounced_services(session, &store, &sheet.sheet)?;
    let base = matches.get_one::<Revision>("base").copied().or(sheet.base);
    let base = match base {
        Some(base) => base,
        None => show_diff(session, current.as_ref(), &sheet.text, &path)?,
    };
    let is_platform_restored = matches.get_flag("restored");
    let submission = Submission { sheet: sheet.text, base, is_platform_restored };
    submit(session, &store, &options, current.as_ref(), submission)
}

/// Reads the accepted document, with retries within the time limit.
pub(crate) fn read_current_with_retries(
    session: &Session<'_, '_>,
    store: &HttpObjectStore,
    options: &ChangeOptions,
) -> Result<Option<ConfigDocument>, CliError> {
    let deadline = session.clock.now().after(options.timeout);
    read_with_retries(session.clock, deadline, options.seed(), || read_current(store))
}

/// Reports a change that was not submitted because the platform is unavailable.
pub(crate) fn report_unavailable(
    session: &mut Session<'_, '_>,
    options: &ChangeOptions,
    error: CliError,
) -> Result<ExitStatus, CliError> {
    let CliError::Platform(error) = error else { return Err(error) };
    let (change, reason) = (options.change.clone(), error.to_string());
    let report = if options.is_rerun {
        ChangeReport::Unknown { change, reason }
    } else {
        ChangeReport::NotAccepted { change, reason }
    };
    session.report(&report)?;
    Ok(report.exit_status())
}

/// Shows the differences of a sheet without a base to the accepted one, and returns the accepted
/// revision as its base.
fn show_diff(
    session: &mut Session<'_, '_>,
    current: Option<&ConfigDocument>,
    sheet: &str,
    path: &str,
) -> Result<Revision, CliError> {
    let revision = current.map(|document| document.revision).unwrap_or_default();
    let old = current.map_or("", |document| document.sheet.as_str());
    let diff = SheetDiff::between(old, sheet, &format!("revision {revision}"), path);
    session.print_message(&diff)?;
    Ok(revision)
}

/// Warns about services that are named in rules but have no announced endpoint.
fn warn_unannounced_services(
    session: &mut Session<'_, '_>,
    store: &dyn ObjectStore,
    sheet: &Sheet,
) -> Result<(), CliError> {
    let Ok(members) = read_members(store) else { return Ok(()) };
    let announced: BTreeSet<&ServiceName> = members.iter().map(|member| &member.service).collect();
    let named = sheet.rules.iter().flat_map(|rule| rule.services.iter().flatten());
    for service in named.filter(|service| !announced.is_empty() && !announced.contains(*service)) {
        session
            .print_message(&format_args!("warning: no endpoint has announced service {service}"))?;
    }
    Ok(())
}

/// Applies a sheet and, if requested, waits for the zones.
pub(crate) fn submit(
    session: &mut Session<'_, '_>,
    store: &HttpObjectStore,
    options: &ChangeOptions,
    current: Option<&ConfigDocument>,
    submission: Submission,
) -> Result<ExitStatus, CliError> {
    let weakens = find_weakenings(options, current, &submission)?;
    if !weakens.is_empty() && !options.allows_weaker {
        let report = ChangeReport::Weaker { change: options.change.clone(), weakens };
        session.report(&report)?;
        return Ok(report.exit_status());
    }
    for weakening in weakens {
        session.print_message(&format_args!("weaker: {weakening}"))?;
    }
    let base = submission.base;
    let request = ApplyRequest {
        change: options.change.clone(),
        sheet: submission.sheet,
        base,
        is_rerun: options.is_rerun,
        is_platform_restored: submission.is_platform_restored,
    };
    let deadline = session.clock.now().after(options.timeout);
    let mut state_machine = ApplyStateMachine::new(request, deadline, options.seed());
    let outcome = run_apply(&mut state_machine, store, session.clock);
    let report = report_from_outcome(store, options, base, outcome);
    session.report(&report)?;
    match (&report, options.wait_timeout) {
        (ChangeReport::Accepted { revision, .. }, Some(timeout)) => {
            wait(session, store, *revision, &options.zones, timeout)
        }
        _ => Ok(report.exit_status()),
    }
}

/// Returns what a submission weakens in the document that it was made from. Returns nothing if
/// another change came first, since the change is then reported as outdated.
fn find_weakenings(
    options: &ChangeOptions,
    current: Option<&ConfigDocument>,
    submission: &Submission,
) -> Result<Vec<Weakening>, CliError> {
    match current {
        Some(document)
            if document.change != options.change && document.revision <= submission.base =>
        {
            let old = parse_policy(document.revision, &document.sheet)?;
            let new = parse_policy(document.revision, &submission.sheet)?;
            Ok(Weakening::between(&old, &new))
        }
        _ => Ok(Vec::new()),
    }
}

fn report_from_outcome(
    store: &HttpObjectStore,
    options: &ChangeOptions,
    base: Revision,
    outcome: ApplyOutcome,
) -> ChangeReport {
    let change = options.change.clone();
    match outcome {
        ApplyOutcome::Accepted { revision, is_settled, is_recorded, superseded_by } => {
            ChangeReport::Accepted { change, revision, is_settled, is_recorded, superseded_by }
        }
        ApplyOutcome::Outdated { highest, .. } => outdated_report(store, change, base, highest),
        ApplyOutcome::UnknownBase { highest } => {
            ChangeReport::UnknownBase { change, base, highest }
        }
        ApplyOutcome::NotAccepted { reason } => ChangeReport::NotAccepted { change, reason },
        ApplyOutcome::Unknown { reason } => ChangeReport::Unknown { change, reason },
    }
}

/// Reports the changes accepted since the base.
fn outdated_report(
    store: &HttpObjectStore,
    change: ChangeId,
    base: Revision,
    highest: Revision,
) -> ChangeReport {
    let history = read_history(store).unwrap_or_default();
    let later = history.iter().filter(|document| document.revision > base);
    let later = later
        .map(|document| LaterChange {
            revision: document.revision,
            change: document.change.clone(),
        })
        .collect();
    let old = history.iter().find(|document| document.revision == base);
    let new = history.first().filter(|document| document.revision > base);
    let diff = match (old, new) {
        (Some(old), Some(new)) => SheetDiff::between(
            &old.sheet,
            &new.sheet,
            &format!("revision {}", old.revision),
            &format!("revision {}", new.revision),
        ),
        _ => SheetDiff::default(),
    };
    ChangeReport::Outdated { change, base, highest, later, diff }
}
