//! Reads sheets from files and documents from the platform.

use std::cmp::Reverse;
use std::fs;

use cuminarch_config::{ConfigDocument, Diagnostic, Policy, Sheet, SheetError, SheetReport};
use cuminarch_platform::{Object, ObjectStore, PlatformError};
use cuminarch_types::Revision;

use crate::CliError;
use crate::apply_process::documents;
use crate::paths::{CONFIG_HISTORY, CURRENT_CONFIG, object_path};

/// First words of the line that [`with_header`] puts before a sheet.
const REVISION_HEADER: &str = "# cuminarch revision: ";

/// A sheet that can come into force.
#[derive(Debug)]
pub struct CheckedSheet {
    /// The text without the line that names its revision.
    pub text: String,
    /// The sheet itself.
    pub sheet: Sheet,
    /// Revision that it was made from, if the text names one.
    pub base: Option<Revision>,
    /// Faults that do not keep it from coming into force.
    pub warnings: Vec<Diagnostic>,
}

/// Reads a sheet from a file and checks it as a whole.
///
/// # Errors
///
/// Fails when the file cannot be read or the sheet has faults.
pub fn read_sheet(path: &str) -> Result<CheckedSheet, CliError> {
    let text = fs::read_to_string(path)
        .map_err(|source| CliError::File { path: path.to_owned(), source })?;
    let report = SheetReport::from_text(&text);
    let warnings = report.warnings().cloned().collect();
    let sheet =
        report.into_sheet().map_err(|source| CliError::Sheet { path: path.to_owned(), source })?;
    let (base, text) = split_header(&text);
    Ok(CheckedSheet { text: text.to_owned(), sheet, base, warnings })
}

/// The sheet of a document with a first line that names its revision.
#[must_use]
pub fn with_header(document: &ConfigDocument) -> String {
    format!("{REVISION_HEADER}{}\n{}", document.revision, document.sheet)
}

fn split_header(text: &str) -> (Option<Revision>, &str) {
    let Some(rest) = text.strip_prefix(REVISION_HEADER) else { return (None, text) };
    let (line, sheet) = rest.split_once('\n').unwrap_or((rest, ""));
    match line.trim().parse() {
        Ok(revision) => (Some(revision), sheet),
        Err(_) => (None, text),
    }
}

/// The policy of a sheet.
///
/// # Errors
///
/// Fails when the sheet has faults.
pub fn parse_policy(revision: Revision, sheet: &str) -> Result<Policy, CliError> {
    let fail =
        |source: SheetError| CliError::Sheet { path: format!("revision {revision}"), source };
    let sheet = SheetReport::from_text(sheet).into_sheet().map_err(fail)?;
    Policy::from_sheet(revision, &sheet).map_err(fail)
}

/// The accepted document, if there is one.
///
/// # Errors
///
/// Fails when the platform does not answer or holds something else.
pub fn read_current(store: &dyn ObjectStore) -> Result<Option<ConfigDocument>, CliError> {
    Ok(store
        .get(&object_path(CURRENT_CONFIG))?
        .map(|object| parse_document(&object))
        .transpose()?)
}

/// The accepted documents that the platform still holds, the latest first.
///
/// # Errors
///
/// As for [`read_current`].
pub fn read_history(store: &dyn ObjectStore) -> Result<Vec<ConfigDocument>, CliError> {
    let current = read_current(store)?;
    let listing = store.list(&object_path(CONFIG_HISTORY))?;
    let mut history: Vec<ConfigDocument> =
        documents(&listing).map(|(_, document)| document).collect();
    let is_new =
        |document: &ConfigDocument| !history.iter().any(|kept| kept.change == document.change);
    history.extend(current.filter(is_new));
    history.sort_by_key(|document| Reverse(document.revision));
    Ok(history)
}

/// The document of a revision.
///
/// # Errors
///
/// Fails when the platform does not hold it, and as for [`read_current`].
pub fn read_revision(
    store: &dyn ObjectStore,
    revision: Revision,
) -> Result<ConfigDocument, CliError> {
    let history = read_history(store)?;
    let found = history.into_iter().find(|document| document.revision == revision);
    found.ok_or(CliError::UnknownRevision(revision))
}

fn parse_document(object: &Object) -> Result<ConfigDocument, PlatformError> {
    serde_json::from_str(&object.value)
        .map_err(|error| PlatformError::Protocol { reason: format!("{}: {error}", object.path) })
}
