use std::fmt;
use std::io::{self, Write};

use serde::Serialize;

/// Format of a report.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutputFormat {
    /// Plain text for people.
    #[default]
    Text,
    /// One JSON object per line, for scripts.
    Json,
}

/// The output streams of a command.
pub struct Outputs<'a> {
    /// Stream for results.
    pub out: &'a mut dyn Write,
    /// Stream for errors and messages.
    pub errors: &'a mut dyn Write,
}

impl Outputs<'_> {
    /// Writes a report in the given format.
    ///
    /// # Errors
    ///
    /// Returns an error if the write fails.
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

    /// Writes a message to the stream for errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the write fails.
    pub fn print_message(&mut self, message: &dyn fmt::Display) -> io::Result<()> {
        writeln!(self.errors, "{message}")
    }
}
