use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::DaemonSettings;

/// A daemon running as a separate process; killed when this is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    program: PathBuf,
    settings_path: PathBuf,
    child: Mutex<Child>,
}

impl DaemonProcess {
    /// Time between two checks for the exit of the process.
    const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

    /// Writes the settings to a file and starts the program with it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written or the program cannot be started.
    pub fn start(program: &Path, settings: &DaemonSettings) -> io::Result<Self> {
        let name =
            format!("cuminarch-{}-{}.yaml", std::process::id(), settings.caller_address.port());
        let settings_path = std::env::temp_dir().join(name);
        std::fs::write(&settings_path, settings.to_yaml())?;
        let child = Mutex::new(spawn(program, &settings_path)?);
        Ok(Self { program: program.to_owned(), settings_path, child })
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has already been waited for.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child()), signal)?)
    }

    /// Waits for the process to exit; returns `None` if it is still running after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot report the state of the process.
    pub fn wait(&self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.child().try_wait()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            thread::sleep(Self::EXIT_POLL_INTERVAL);
        }
    }

    /// Waits for the process to exit and starts it again with the same settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn restart(&self) -> io::Result<()> {
        let mut child = self.child();
        child.wait()?;
        *child = spawn(&self.program, &self.settings_path)?;
        Ok(())
    }

    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap_or_else(PoisonError::into_inner);
        // The process may have exited already.
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

fn spawn(program: &Path, settings_path: &Path) -> io::Result<Child> {
    Command::new(program)
        .arg("--settings")
        .arg(settings_path)
        .env("RUST_LOG", "error")
        .stdout(Stdio::null())
        .spawn()
}
