use std::sync::Arc;

use cuminarch_types::Revision;

use crate::{ConfigDocument, Policy, Sheet, SheetError};

/// Holds the document in force and accepts only documents of a higher revision, from any source.
#[derive(Clone, Debug, Default)]
pub struct ConfigGate {
    in_force: Option<ConfigDocument>,
    digest_seed: u64,
}

/// Result of offering a document.
#[derive(Clone, Debug)]
pub enum GateDecision {
    /// The document is now in force as this policy.
    Accepted(Arc<Policy>),
    /// A revision at least as high is already in force.
    NotNewer,
    /// The document as a whole is invalid; the one in force stays.
    Refused(SheetError),
}

impl ConfigGate {
    /// Creates a gate with no document in force.
    #[must_use]
    pub const fn new() -> Self {
        Self { in_force: None, digest_seed: 0 }
    }

    /// Sets the seed of the digests of the accounts' keys.
    #[must_use]
    pub const fn with_digest_seed(mut self, digest_seed: u64) -> Self {
        self.digest_seed = digest_seed;
        self
    }

    /// Returns the revision in force, or 0 for the safe defaults.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.in_force.as_ref().map(|document| document.revision).unwrap_or_default()
    }

    /// Returns the document in force.
    #[must_use]
    pub const fn document(&self) -> Option<&ConfigDocument> {
        self.in_force.as_ref()
    }

    /// Puts a document into force if its revision is higher. Errors of its routes and accounts are
    /// confined to these; see [`Policy::set_aside`].
    pub fn offer(&mut self, document: &ConfigDocument) -> GateDecision {
        if document.revision <= self.revision() {
            return GateDecision::NotNewer;
        }
        let policy = Sheet::parse_confined(&document.sheet)
            .and_then(|sheet| Policy::compile(document.revision, &sheet, self.digest_seed));
        match policy {
            Ok(policy) => {
                self.in_force = Some(document.clone());
                GateDecision::Accepted(Arc::new(policy))
            }
            Err(error) => GateDecision::Refused(error),
        }
    }
}
