//! Child processes and their output.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// Why a process could not be run.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program is not built.
    #[error("{0} is not built; build the workspace with its examples in the same profile first")]
    NotBuilt(String),
    /// The operating system refused.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The process printed something unexpected, or nothing.
    #[error("unexpected output: {0:?}")]
    Output(String),
    /// The process ended with an error.
    #[error("exit code {code:?}: {output}")]
    Failed {
        /// Exit code.
        code: Option<i32>,
        /// What it printed.
        output: String,
    },
}

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
    first_line: String,
}

impl Process {
    /// Starts a program and waits for its first line of output. Its errors go to `log`.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError`] when it does not start or ends without a line of output.
    pub fn spawn(
        program: &Path,
        arguments: &[String],
        log: &Path,
    ) -> Result<Process, ProcessError> {
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::options().create(true).append(true).open(log)?)
            .spawn()?;
        let mut first_line = String::new();
        if let Some(output) = child.stdout.as_mut() {
            BufReader::new(output).read_line(&mut first_line)?;
        }
        if first_line.is_empty() {
            let _ = child.kill();
            let errors = std::fs::read_to_string(log).unwrap_or_default();
            return Err(ProcessError::Output(errors));
        }
        Ok(Process { child, first_line })
    }

    /// Returns the first line of output.
    pub fn first_line(&self) -> &str {
        &self.first_line
    }

    /// Returns the address that follows `prefix` in the first line.
    ///
    /// # Errors
    ///
    /// Returns [`ProcessError::Output`] when there is none.
    pub fn address_after(&self, prefix: &str) -> Result<SocketAddr, ProcessError> {
        let address = self.first_line.trim().strip_prefix(prefix).and_then(|it| it.parse().ok());
        address.ok_or_else(|| ProcessError::Output(self.first_line.clone()))
    }

    /// Returns the resident memory in bytes.
    pub fn resident_bytes(&self) -> u64 {
        crate::process::resident_bytes_of(&self.child.id().to_string())
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks the process for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the end of the process and returns its exit code; kills it after `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            async_std::task::sleep(Duration::from_millis(10)).await;
        }
        self.kill();
        None
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(pid) = pid {
            // Fails only when the process has already ended.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a built program beside this one: `shallottackd` or `examples/platform`.
///
/// # Errors
///
/// Returns [`ProcessError::NotBuilt`] when it is not there.
pub fn program(name: &str) -> Result<PathBuf, ProcessError> {
    let own = std::env::current_exe()?;
    // This program is in `examples` or `deps` below the folder of the build profile.
    let profile = own.parent().and_then(Path::parent).unwrap_or(Path::new("."));
    let path = profile.join(name);
    if path.is_file() { Ok(path) } else { Err(ProcessError::NotBuilt(name.to_owned())) }
}

/// Runs a program to its end and returns its output.
pub(super) fn run(
    program: &Path,
    arguments: &[&str],
    environment: &[(&str, &str)],
) -> Result<String, ProcessError> {
    let output = Command::new(program)
        .args(arguments)
        .envs(environment.iter().copied())
        .stdin(Stdio::null())
        .output()?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    if output.status.success() {
        return Ok(text);
    }
    let errors = String::from_utf8_lossy(&output.stderr);
    Err(ProcessError::Failed { code: output.status.code(), output: format!("{text}{errors}") })
}
