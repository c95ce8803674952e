use std::fmt;

use crate::Diagnostic;

/// A sheet that cannot be put into force, with every fault found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SheetError {
    diagnostics: Vec<Diagnostic>,
}

impl SheetError {
    /// An error made of the faults of a sheet.
    #[must_use]
    pub const fn new(faults: Vec<Diagnostic>) -> Self {
        Self { diagnostics: faults }
    }

    /// The faults in order of place.
    #[must_use]
    pub fn diagnostics(&self) -> &[Diagnostic] {
        &self.diagnostics
    }
}

impl fmt::Display for SheetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.diagnostics.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            fault.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for SheetError {}
