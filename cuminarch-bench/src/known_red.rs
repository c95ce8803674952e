use std::collections::BTreeSet;
use std::path::Path;

/// The cases that `KNOWN-RED.txt` lists as known to be out of bounds.
///
/// Each entry of the file begins with a line `case: NAME`.
#[derive(Clone, Debug, Default)]
pub struct KnownRed {
    names: BTreeSet<String>,
}

impl KnownRed {
    /// Parses the entries of a text in the format of `KNOWN-RED.txt`.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let names = text.lines().filter_map(|line| line.strip_prefix("case: "));
        Self { names: names.map(|name| name.trim().to_owned()).collect() }
    }

    /// Reads `KNOWN-RED.txt` at the root of the repository; empty if the file cannot be read.
    #[must_use]
    pub fn from_repository() -> Self {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../KNOWN-RED.txt");
        std::fs::read_to_string(path).map(|text| Self::parse(&text)).unwrap_or_default()
    }

    /// Returns `true` if the case is listed.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}
