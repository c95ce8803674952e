use std::collections::BTreeSet;
use std::path::Path;

/// Cases that are known to miss their bound, from `KNOWN-RED.txt`.
///
/// Each entry begins with a line `case: NAME`.
#[derive(Clone, Debug, Default)]
pub struct KnownRed {
    names: BTreeSet<String>,
}

impl KnownRed {
    /// Reads the entries of a text.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let names = text.lines().filter_map(|line| line.strip_prefix("case: "));
        Self { names: names.map(|name| name.trim().to_owned()).collect() }
    }

    /// Reads the repository's file; none listed if there is none.
    #[must_use]
    pub fn from_repository() -> Self {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../KNOWN-RED.txt");
        std::fs::read_to_string(path).map(|text| Self::parse(&text)).unwrap_or_default()
    }

    /// Whether a case is listed.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}
