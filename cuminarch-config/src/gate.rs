use std::sync::Arc;

use cuminarch_types::Revision;

use crate::{ConfigDocument, Policy, Sheet, SheetError};

/// Lets only rising revisions into force, whoever offers them.
#[derive(Clone, Debug, Default)]
pub struct ConfigGate {
    in_force: Option<ConfigDocument>,
}

/// What becomes of an offered document.
#[derive(Clone, Debug)]
pub enum GateDecision {
    /// It is put into force as this policy.
    Accepted(Arc<Policy>),
    /// A revision at least as high is in force.
    NotNewer,
    /// It cannot be put into force; the one in force stays.
    Refused(SheetError),
}

impl ConfigGate {
    /// A gate with nothing in force.
    #[must_use]
    pub const fn new() -> Self {
        Self { in_force: None }
    }

    /// Revision in force; 0 for the safe defaults.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.in_force.as_ref().map(|document| document.revision).unwrap_or_default()
    }

    /// The document in force.
    #[must_use]
    pub const fn document(&self) -> Option<&ConfigDocument> {
        self.in_force.as_ref()
    }

    /// Offers a document.
    pub fn offer(&mut self, document: &ConfigDocument) -> GateDecision {
        if document.revision <= self.revision() {
            return GateDecision::NotNewer;
        }
        let policy = Sheet::parse(&document.sheet)
            .and_then(|sheet| Policy::from_sheet(document.revision, &sheet));
        match policy {
            Ok(policy) => {
                self.in_force = Some(document.clone());
                GateDecision::Accepted(Arc::new(policy))
            }
            Err(error) => GateDecision::Refused(error),
        }
    }
}
