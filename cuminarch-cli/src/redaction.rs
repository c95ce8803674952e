use std::collections::BTreeMap;

use compact_str::CompactString;
use cuminarch_config::Sheet;

/// Hides the keys of client accounts in texts that are shown to operators.
#[derive(Clone, Default)]
pub(crate) struct Redaction {
    /// Number of each key among all.
    keys: BTreeMap<CompactString, usize>,
}

impl Redaction {
    /// Characters that end a plain value in a sheet.
    const DELIMITERS: &[char] = &[' ', '\t', '\r', '\n', '[', ']', '{', '}', ',', '\'', '"'];

    /// Finds the keys in sheets. A text that is no sheet has none.
    pub(crate) fn of_sheets(texts: [&str; 2]) -> Self {
        let sheets = texts.into_iter().filter_map(|text| Sheet::parse(text).ok());
        let keys =
            sheets.filter_map(|sheet| sheet.accounts).flatten().flat_map(|account| account.keys);
        let mut numbers = BTreeMap::new();
        for key in keys.map(CompactString::from) {
            let number = numbers.len() + 1;
            numbers.entry(key).or_insert(number);
        }
        Self { keys: numbers }
    }

    /// Replaces each key by its number, so that a key that was replaced still shows as a difference.
    pub(crate) fn apply(&self, text: &str) -> String {
        let mut hidden = text.to_owned();
        let quoted = self.keys.iter().filter(|(key, _)| key.contains(Self::DELIMITERS));
        for (key, number) in quoted {
            hidden = hidden.replace(key.as_str(), &placeholder(*number));
        }
        if self.keys.is_empty() {
            return hidden;
        }
        let hide = |part: &str| {
            let value = part.trim_end_matches(Self::DELIMITERS);
            let end = &part[value.len()..];
            match self.keys.get(value) {
                Some(number) => placeholder(*number) + end,
                None => part.to_owned(),
            }
        };
        hidden.split_inclusive(Self::DELIMITERS).map(hide).collect()
    }
}

fn placeholder(number: usize) -> String {
    format!("<key-{number}>")
}
