use std::fmt;

use crate::Diagnostic;

/// Diagnostics of a sheet that cannot be put into force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SheetError {
    diagnostics: Vec<Diagnostic>,
}

impl SheetError {
    /// Creates an error from the diagnostics of a sheet.
    #[must_use]
    pub const fn new(diagnostics: Vec<Diagnostic>) -> Self {
        Self { diagnostics }
    }

    /// Returns the diagnostics in order of position.
    #[must_use]
    pub fn diagnostics(&self) -> &[Diagnostic] {
        &self.diagnostics
    }
}

impl fmt::Display for SheetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.diagnostics.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            diagnostic.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for SheetError {}
