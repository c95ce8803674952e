//! Reads sheets from files and documents from the platform.

use std::cmp::Reverse;
use std::fs;

use cuminarch_config::{ConfigDocument, Diagnostic, Policy, Sheet, SheetError, SheetReport};
use cuminarch_platform::{Object, ObjectStore, PlatformError};
use cuminarch_types::Revision;

use crate::CliError;
use crate::apply_state_machine::documents;
use crate::paths::{CONFIG_HISTORY, CURRENT_CONFIG, object_path};

/// Prefix of the line that [`with_header`] puts before a sheet.
const REVISION_HEADER: &str = "# cuminarch revision: ";

/// A sheet without errors.
#[derive(Debug)]
pub struct CheckedSheet {
    /// The text without the line that names the revision.
    pub text: String,
    /// The parsed sheet.
    pub sheet: Sheet,
    /// Revision that the sheet was made from, if the text names one.
    pub base: Option<Revision>,
    /// Diagnostics that do not prevent the sheet from being applied.
    pub warnings: Vec<Diagnostic>,
}

/// Reads a sheet from a file and checks it.
///
/// # Errors
///
/// Returns an error if the file cannot be read or the sheet has errors.
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

/// Returns the sheet of a document after a line that names its revision.
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

/// Parses a sheet and builds its policy.
///
/// # Errors
///
/// Returns an error if the sheet has errors.
pub fn parse_policy(revision: Revision, sheet: &str) -> Result<Policy, CliError> {
    let to_error =
        |source: SheetError| CliError::Sheet { path: format!("revision {revision}"), source };
    let sheet = SheetReport::from_text(sheet).into_sheet().map_err(to_error)?;
    Policy::from_sheet(revision, &sheet).map_err(to_error)
}

/// Reads the accepted document, if there is one.
///
/// # Errors
///
/// Returns an error if the platform does not answer or the object is not a valid document.
pub fn read_current(store: &dyn ObjectStore) -> Result<Option<ConfigDocument>, CliError> {
    Ok(store
        .get(&object_path(CURRENT_CONFIG))?
        .map(|object| parse_document(&object))
        .transpose()?)
}

/// Reads the accepted documents that the platform still holds, latest first.
///
/// # Errors
///
/// See [`read_current`].
pub fn read_history(store: &dyn ObjectStore) -> Result<Vec<ConfigDocument>, CliError> {
    let current = read_current(store)?;
    let listing = store.list(&object_path(CONFIG_HISTORY))?;
    let mut history: Vec<ConfigDocument> =
        documents(&listing).map(|(_, document)| document).collect();
    let is_new =
        |document: &ConfigDocument| !history.iter().any(|stored| stored.change == document.change);
    history.extend(current.filter(is_new));
    history.sort_by_key(|document| Reverse(document.revision));
    Ok(history)
}

/// Reads the document of a revision.
///
/// # Errors
///
/// Returns an error if the platform does not hold the revision; see also [`read_current`].
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
