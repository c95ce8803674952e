use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::DaemonSettings;

/// A daemon as a separate process; ended when this is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    program: PathBuf,
    settings_path: PathBuf,
    child: Mutex<Child>,
}

impl DaemonProcess {
    /// Time between two looks at whether it has ended.
    const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

    /// Starts the program with these settings, which it gets as a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written or the program not be started.
    pub fn start(program: &Path, settings: &DaemonSettings) -> io::Result<Self> {
        let name =
            format!("cuminarch-{}-{}.yaml", std::process::id(), settings.caller_address.port());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_yaml())?;
        let child = Mutex::new(spawn(program, &path)?);
        Ok(Self { program: program.to_owned(), settings_path: path, child })
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// Fails when the process has been waited for already.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child()), signal)?)
    }

    /// Waits for its end; none if it still runs after `limit`.
    ///
    /// # Errors
    ///
    /// Fails when the operating system does.
    pub fn wait(&self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        let until = Instant::now() + limit;
        loop {
            let status = self.child().try_wait()?;
            if status.is_some() || Instant::now() >= until {
                return Ok(status);
            }
            thread::sleep(Self::EXIT_POLL_INTERVAL);
        }
    }

    /// Starts it again with the same settings, once it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
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
        // It may have ended already.
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(&self.settings_path);
    }
}

fn spawn(program: &Path, settings: &Path) -> io::Result<Child> {
    Command::new(program)
        .arg("--settings")
        .arg(settings)
        .env("RUST_LOG", "error")
        .stdout(Stdio::null())
        .spawn()
}
