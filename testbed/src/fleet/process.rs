//! One process of a fleet.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;

use super::BACKEND_KEY;
use super::OPERATOR_KEY;
use super::POLL;
use super::PROCESS_KEY;

/// Ticks of processor time in a second, as `/proc` counts them.
const TICKS: u64 = 100;

/// Bytes of a memory page.
const PAGE: u64 = 4096;

/// One process.
#[derive(Debug)]
pub struct Process {
    /// Its name, such as `entry-1`, `sidecar-2`, `engine-2`.
    pub name: String,
    /// Its HTTP listener.
    pub http: SocketAddr,
    /// Its link listener, if it is of the product.
    pub link: Option<SocketAddr>,
    pub(super) program: PathBuf,
    pub(super) args: Vec<String>,
    pub(super) log: PathBuf,
    pub(super) child: Option<Child>,
    /// `None`: as the test's own.
    pub(super) machine: Option<Machine>,
}

/// The limits of a machine on a process.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// Memory in MB.
    pub memory_mb: usize,
    /// Open file descriptors.
    pub max_fds: usize,
}

/// A command for `program` that may open so many file descriptors.
pub fn limited(program: &Path, max_fds: usize) -> Command {
    let mut command = Command::new("sh");
    command
        .arg("-c")
        .arg(format!("ulimit -n {max_fds} && exec \"$0\" \"$@\""))
        .arg(program);
    command
}

/// Most bytes of memory that a process had at any time.
pub fn peak_memory(pid: u32) -> Option<usize> {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let peak = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: usize = peak.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kib << 10)
}

/// Open file descriptors of a process.
pub fn open_files(pid: u32) -> Option<usize> {
    Some(fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}

impl Process {
    /// Starts it, or starts it again. Its log is appended to.
    pub fn start(&mut self) -> anyhow::Result<()> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = match self.machine {
            None => Command::new(&self.program),
            Some(machine) => {
                let mut command = limited(&self.program, machine.max_fds);
                command.env("WIGEONBARROW_MEMORY_MB", machine.memory_mb.to_string());
                command
            }
        };
        let child = command
            .args(&self.args)
            .env("WIGEONBARROW_PROCESS_KEY", PROCESS_KEY)
            .env("WIGEONBARROW_OPERATOR_KEY", OPERATOR_KEY)
            .env("WIGEONBARROW_BACKEND_KEY", BACKEND_KEY)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("{}: build the workspace first", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Its process id, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it was started and has ended by itself.
    pub fn ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Sends it a signal by its name: `TERM`, `STOP`, `CONT`.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill")
                .args(["-s", name, &pid.to_string()])
                .status();
        }
    }

    /// Waits until it has ended by itself; its exit code.
    pub fn wait(&mut self, timeout: Duration) -> anyhow::Result<Option<i32>> {
        let Some(child) = &mut self.child else {
            anyhow::bail!("{} does not run", self.name);
        };
        let until = Instant::now() + timeout;
        loop {
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status.code());
            }
            anyhow::ensure!(Instant::now() < until, "{} goes on", self.name);
            std::thread::sleep(POLL);
        }
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Processor time that it has used, user's and system's.
    pub fn cpu(&self) -> Duration {
        let stat = self.proc("stat").unwrap_or_default();
        // The name, in parentheses, may hold blanks; user and system time are 11 fields on.
        let after = stat.rsplit(") ").next().unwrap_or_default();
        let fields = after.split_whitespace().skip(11).take(2);
        let ticks: u64 = fields.filter_map(|field| field.parse::<u64>().ok()).sum();
        Duration::from_millis(ticks * 1000 / TICKS)
    }

    /// Memory that it has in use, in bytes.
    pub fn memory(&self) -> u64 {
        let statm = self.proc("statm").unwrap_or_default();
        let resident = statm.split_whitespace().nth(1);
        resident
            .and_then(|pages| pages.parse::<u64>().ok())
            .unwrap_or(0)
            * PAGE
    }

    fn proc(&self, file: &str) -> Option<String> {
        fs::read_to_string(format!("/proc/{}/{file}", self.pid()?)).ok()
    }
}
