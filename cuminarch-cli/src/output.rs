use std::fmt;
use std::io::{self, Write};

use serde::Serialize;

/// Form of a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Where a command writes.
pub struct Outputs<'a> {
    /// Results.
    pub out: &'a mut dyn Write,
    /// Faults and remarks.
    pub errors: &'a mut dyn Write,
}

impl Outputs<'_> {
    /// Writes a report in the wanted form.
    ///
    /// # Errors
    ///
    /// Fails when the output does.
    pub fn report<T: fmt::Display + Serialize>(
        &mut self,
        format: OutputFormat,
        report: &T,
    ) -> io::Result<()> {
        match format {
            OutputFormat::Text => write!(self.out, "{report}")?,
            OutputFormat::Json => {
                serde_json::to_writer(&mut self.out, report)?;
                writeln!(self.out)?;
            }
        }
        self.out.flush()
    }

    /// Writes a remark.
    ///
    /// # Errors
    ///
    /// Fails when the output does.
    pub fn print_message(&mut self, remark: &dyn fmt::Display) -> io::Result<()> {
        writeln!(self.errors, "{remark}")
    }
}
