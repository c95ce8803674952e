//! Confines the errors of a sheet to the routes and accounts that have them.
//!
//! The operator program refuses a sheet with any error. A node that finds one in an accepted sheet,
//! for instance of a newer version, puts the rest into force.

use std::collections::{BTreeMap, BTreeSet};

use crate::check::check;
use crate::decode::DecodedSheet;
use crate::{AccountEntry, Diagnostic, DiagnosticKind, SetAsideEntry, Severity, Sheet, SheetError};

/// A part of a sheet to which an error can be confined, by positions in its lists.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Part {
    Route(usize),
    /// The list of accounts, which could not be read.
    Accounts,
    Account(usize),
    /// Account, and key of that account.
    Key(usize, usize),
}

impl Part {
    /// Returns the part to which the error at a path belongs, unless it concerns the whole sheet.
    fn of_path(path: &str) -> Option<Self> {
        if path == "accounts" {
            return Some(Self::Accounts);
        }
        let (list, rest) = path.split_once('[')?;
        let (index, rest) = rest.split_once(']')?;
        let index = index.parse().ok()?;
        match list {
            "routes" => Some(Self::Route(index)),
            "accounts" => {
                let key = rest.strip_prefix(".keys[").and_then(|rest| rest.strip_suffix(']'));
                let key = key.and_then(|key| key.parse().ok());
                Some(key.map_or(Self::Account(index), |key| Self::Key(index, key)))
            }
            _ => None,
        }
    }
}

/// A sheet and the positions that its entries had in the text.
struct Confined {
    sheet: Sheet,
    route_indexes: Vec<usize>,
    account_indexes: Vec<usize>,
}

/// Returns the sheet without the routes, accounts and keys that have errors, which it lists.
pub(crate) fn confine(decoded: DecodedSheet) -> Result<Sheet, SheetError> {
    let DecodedSheet { sheet, diagnostics, kept, .. } = decoded;
    let indexes = |list: &str| kept.get(list).cloned().unwrap_or_default();
    let (route_indexes, account_indexes) = (indexes("routes"), indexes("accounts"));
    let mut confined = Confined { sheet, route_indexes, account_indexes };
    confined.set_aside_undecoded(diagnostics)?;
    loop {
        let errors = check(&confined.sheet).into_iter();
        let errors = errors.filter(|found| found.severity() == Severity::Error);
        // In an accepted sheet, a rule that covers nothing does no harm.
        let is_harmful =
            |error: &Diagnostic| !matches!(error.kind, DiagnosticKind::NeverMatches { .. });
        let errors: Vec<Diagnostic> = errors.filter(is_harmful).collect();
        if errors.is_empty() {
            return Ok(confined.sheet);
        }
        confined.set_aside_invalid(errors)?;
    }
}

impl Confined {
    /// Sets entries aside that could not be decoded, by their positions in the text.
    fn set_aside_undecoded(&mut self, errors: Vec<Diagnostic>) -> Result<(), SheetError> {
        let parts = parts_of(errors)?;
        for (part, reason) in parts {
            match part {
                Part::Route(index) => {
                    match self.route_indexes.iter().position(|kept| *kept == index) {
                        Some(position) => self.set_route_aside(position, &reason),
                        None => self.add(format!("routes[{index}]"), reason, false),
                    }
                }
                Part::Accounts => self.add("accounts".to_owned(), reason, true),
                Part::Account(index) => {
                    match self.account_indexes.iter().position(|kept| *kept == index) {
                        Some(position) => self.set_account_aside(position, &reason),
                        None => self.add(format!("accounts[{index}]"), reason, true),
                    }
                }
                // The decoder has left the key out.
                Part::Key(index, key) => {
                    self.add(format!("accounts[{index}].keys[{key}]"), reason, true);
                }
            }
        }
        Ok(())
    }

    /// Sets entries aside that are inconsistent, by their positions in the sheet.
    fn set_aside_invalid(&mut self, errors: Vec<Diagnostic>) -> Result<(), SheetError> {
        // From the end, so that the positions of the others stay.
        for (part, reason) in parts_of(errors)?.into_iter().rev() {
            match part {
                Part::Route(position) => self.set_route_aside(position, &reason),
                Part::Accounts => self.add("accounts".to_owned(), reason, true),
                Part::Account(position) => self.set_account_aside(position, &reason),
                Part::Key(position, key) => {
                    let index = self.account_indexes[position];
                    self.accounts()[position].keys.remove(key);
                    self.add(format!("accounts[{index}].keys[{key}]"), reason, true);
                }
            }
        }
        Ok(())
    }

    fn add(&mut self, entry: String, reason: String, is_account: bool) {
        let entry = SetAsideEntry { is_account, ..SetAsideEntry::new(entry, reason) };
        self.sheet.set_aside.push(entry);
    }

    fn set_route_aside(&mut self, position: usize, reason: &str) {
        let index = self.route_indexes.remove(position);
        let route = self.sheet.routes.remove(position);
        let entry = SetAsideEntry::new(format!("routes[{index}]"), reason);
        self.sheet.set_aside.push(entry.with_route(route.host, route.prefix));
    }

    fn accounts(&mut self) -> &mut Vec<AccountEntry> {
        self.sheet.accounts.get_or_insert_default()
    }

    fn set_account_aside(&mut self, position: usize, reason: &str) {
        let index = self.account_indexes.remove(position);
        let account = self.accounts().remove(position);
        let entry = SetAsideEntry::new(format!("accounts[{index}]"), reason);
        self.sheet.set_aside.push(entry.with_keys(account.keys));
    }
}

/// Returns the reasons by parts; a key of an account that has errors itself is left out.
///
/// Fails with the errors that cannot be confined to a part.
fn parts_of(errors: Vec<Diagnostic>) -> Result<BTreeMap<Part, String>, SheetError> {
    let (confined, others): (Vec<_>, Vec<_>) =
        errors.into_iter().partition(|error| Part::of_path(&error.path).is_some());
    if !others.is_empty() {
        return Err(SheetError::new(others));
    }
    let mut parts: BTreeMap<Part, String> = BTreeMap::new();
    for error in confined {
        if let Some(part) = Part::of_path(&error.path) {
            parts.entry(part).or_insert_with(|| format!("{}: {}", error.path, error.kind));
        }
    }
    let accounts: BTreeSet<usize> = parts.keys().filter_map(account_of).collect();
    parts.retain(|part, _| !matches!(part, Part::Key(account, _) if accounts.contains(account)));
    Ok(parts)
}

const fn account_of(part: &Part) -> Option<usize> {
    match part {
        Part::Account(account) => Some(*account),
        _ => None,
    }
}
