//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A file with one line for each observation, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be created.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, started_at: Instant::now() })
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let at_s = self.started_at.elapsed().as_secs_f64();
        let Ok(mut file) = self.file.lock() else { return };
        // A record that cannot be written shows up as missing.
        let _ = writeln!(file, "{at_s:8.3} s  {}", text.as_ref());
    }
}

/// Runs a case whose arguments are the path of the record and a temporary folder. The case returns
/// whether the rule held, or `None` if the case could not run.
pub fn run_case(run: impl Fn(&Path, &Record) -> std::io::Result<Option<bool>>) -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(record), Some(folder)) = (arguments.next(), arguments.next()) else {
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(&record)) else { return ExitCode::from(2) };
    match run(Path::new(&folder), &record) {
        Ok(Some(true)) => ExitCode::SUCCESS,
        Ok(Some(false)) => ExitCode::from(1),
        Ok(None) => {
            record.line("the case could not run");
            ExitCode::from(2)
        }
        Err(error) => {
            record.line(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
