//! Checks the client accounts of a sheet. Diagnostics name keys by their path only.

use std::collections::BTreeMap;

use cuminarch_types::{AccountName, ApiKey};

use crate::check::Checker;
use crate::{AccountEntry, DiagnosticKind};

impl Checker<'_> {
    pub(crate) fn check_accounts(&mut self) {
        let accounts = self.sheet.account_entries();
        let mut first_indexes: BTreeMap<&AccountName, usize> = BTreeMap::new();
        let mut first_paths: BTreeMap<&ApiKey, String> = BTreeMap::new();
        for (index, entry) in accounts.iter().enumerate() {
            if let Some(&first) = first_indexes.get(&entry.name) {
                let kind = DiagnosticKind::DuplicateAccount { account: entry.name.clone(), first };
                self.report(format!("accounts[{index}].name"), kind);
            } else {
                first_indexes.insert(&entry.name, index);
            }
            self.check_account(index, entry);
            for (position, key) in entry.keys.iter().enumerate() {
                let path = format!("accounts[{index}].keys[{position}]");
                if let Some(first) = first_paths.get(key) {
                    self.report(path, DiagnosticKind::DuplicateKey { first: first.clone() });
                } else {
                    first_paths.insert(key, path);
                }
            }
        }
    }

    fn check_account(&mut self, index: usize, entry: &AccountEntry) {
        if let Some(class) = &entry.class
            && !self.sheet.classes.iter().any(|known| known.name == *class)
        {
            let kind = DiagnosticKind::UnknownClass { class: class.clone() };
            self.report(format!("accounts[{index}].class"), kind);
        }
        if entry.keys.is_empty() {
            let kind = DiagnosticKind::AccountWithoutKeys { account: entry.name.clone() };
            self.report(format!("accounts[{index}].keys"), kind);
        }
    }
}
