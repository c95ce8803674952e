use std::fmt;

use crate::Fault;

/// A sheet that cannot be put into force, with every fault found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SheetError {
    faults: Vec<Fault>,
}

impl SheetError {
    /// An error made of the faults of a sheet.
    #[must_use]
    pub const fn new(faults: Vec<Fault>) -> Self {
        Self { faults }
    }

    /// The faults in order of place.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

impl fmt::Display for SheetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            fault.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for SheetError {}
