//! The processes under test: their settings files, start, signals and end. This is the part of the
//! platform that starts and stops processes.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http;

/// Ports of a process, the same on all machines.
pub const FRONT: u16 = 8227;
pub const READY: u16 = 8220;
pub const CONTROL: u16 = 8229;
const METRICS: u16 = 7350;

/// A deployment of some machines, the first `core` of them with a data folder.
pub struct Cluster {
    folder: PathBuf,
    program: PathBuf,
    pub ips: Vec<Ipv4Addr>,
    core: usize,
    /// Numbers of the data folders. `None`: the machine has no disk.
    disks: Vec<Option<u32>>,
    children: Vec<Option<Child>>,
    pids: File,
}

impl Cluster {
    /// `net`: the first three numbers of all addresses.
    pub fn new(folder: &Path, net: [u8; 3], core: usize, others: usize) -> io::Result<Self> {
        let ips = (1..=core + others).map(|at| Ipv4Addr::new(net[0], net[1], net[2], at as u8));
        let ips: Vec<Ipv4Addr> = ips.collect();
        let children = ips.iter().map(|_| None).collect();
        let disks = (0..ips.len()).map(|at| (at < core).then_some(0)).collect();
        let pids = OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("pids"))?;
        let program = PathBuf::from("target/release/wigeonbarrow-platform");
        if !program.exists() {
            return Err(io::Error::other("the program is not built"));
        }
        Ok(Self {
            folder: folder.to_owned(),
            program,
            ips,
            core,
            disks,
            children,
            pids,
        })
    }

    pub fn len(&self) -> usize {
        self.ips.len()
    }

    pub fn addr(&self, at: usize, port: u16) -> SocketAddr {
        SocketAddr::from((self.ips[at], port))
    }

    pub fn zone(&self, at: usize) -> String {
        format!("zone-{}", at % 3)
    }

    /// Settings as in DEPLOY.md, with the bounds of the sheet of toponymia-gaz.
    fn settings(&self, at: usize, first: bool) -> String {
        let ip = self.ips[at];
        let seeds: Vec<String> = self.ips[..self.core.min(3)]
            .iter()
            .map(|ip| format!("\"{ip}:{CONTROL}\""))
            .collect();
        let folder = self.folder.display();
        let data = self.disks[at].map_or(String::new(), |number| {
            format!("data_dir = \"{folder}/data-{at}-{number}\"\n")
        });
        let zone = self.zone(at);
        let seeds = seeds.join(",");
        format!(
            "node_name = \"front-{at}\"\nrole = \"entry\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region\"\n\
             internal_ports = [7340,7355]\nseeds = [{seeds}]\nbootstrap = {first}\n\
             loss_counts = {counts}\n{data}discovery = \"registration\"\nentry = \"vip\"\n\
             heartbeat_ms = 1200\nconfig_mode = \"highest\"\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"spans\"]\n\
             [zones]\nzone-0 = \"region\"\nzone-1 = \"region\"\nzone-2 = \"region\"\n\
             [listen]\nfront = \"{ip}:{FRONT}\"\nready_address = \"{ip}:{READY}\"\ncontrol = \"{ip}:{CONTROL}\"\n\
             [limits]\ncpu_share = 0.45\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 64\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n\
             drain_ms = 2000\ngrace_s = 8\nlost_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250\n\
             outer_ms = 5000\nstrict_revoke = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
             budget_window_s = 10\nbudget_slack = 110\nrecovery_s = 12\npass_ms = 120\nretry_after_s = 0\n\
             stall_ms = 1500\nhold_max_ms = 20000\nfree_ms = 4000\nidle_max_ms = 9000\n",
            counts = self.disks[at].is_some(),
        )
    }

    /// Starts the process of a machine with the command of the deploy file. `first`: the whole system
    /// starts for the first time.
    pub fn start(&mut self, at: usize, first: bool) -> io::Result<()> {
        let path = self.folder.join(format!("settings-{at}.toml"));
        fs::write(&path, self.settings(at, first))?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{at}")))?;
        let child = Command::new(&self.program)
            .arg(format!("--metrics={}:{METRICS}", self.ips[at]))
            .env_clear()
            .env("WIGEONBARROW_BOOT", &path)
            .env("WIGEONBARROW_PROCESS_KEY", "processes-of-one-deployment")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        writeln!(self.pids, "{}", child.id())?;
        self.children[at] = Some(child);
        Ok(())
    }

    /// Gives a machine an empty disk: one that had none gets its first, another loses what it had.
    pub fn new_disk(&mut self, at: usize) {
        self.disks[at] = Some(self.disks[at].map_or(0, |number| number + 1));
    }

    /// Whether the metrics of a machine say that it leads control. Only to aim a disruption.
    pub fn leads(&self, at: usize) -> bool {
        let timeout = Duration::from_millis(500);
        let page = http::call(self.addr(at, METRICS), "GET", "/metrics", b"", timeout);
        page.is_some_and(|page| {
            let text = String::from_utf8_lossy(&page.body).into_owned();
            text.lines().any(|line| line == "control_leads 1")
        })
    }

    /// Whether the log of a machine has a line with all of these texts. Only to aim a disruption.
    pub fn has_logged(&self, at: usize, texts: &[&str]) -> bool {
        let log = fs::read_to_string(self.folder.join(format!("log-{at}")));
        let has_line = |log: String| {
            let mut lines = log.lines();
            lines.any(|line| texts.iter().all(|text| line.contains(text)))
        };
        log.is_ok_and(has_line)
    }

    /// Kills the process of a machine, without the delay of a shell.
    pub fn kill(&mut self, at: usize) {
        if let Some(child) = &mut self.children[at] {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.children[at] = None;
    }

    /// Sends a signal to the process of a machine: STOP, CONT, TERM, KILL.
    pub fn signal(&self, at: usize, name: &str) {
        if let Some(child) = &self.children[at] {
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -{name} {}", child.id()))
                .status();
        }
    }

    /// Whether the process of a machine says that it is ready.
    pub fn is_ready(&self, at: usize) -> bool {
        let timeout = Duration::from_millis(500);
        let ready = http::call(self.addr(at, READY), "GET", "/v1/ready", b"", timeout);
        ready.is_some_and(|ready| ready.status == 200)
    }

    /// Sends a configuration until it is acknowledged. The number of the machine that did, from the
    /// order `first`, `first` + 1 and so on.
    pub fn configure(&self, first: usize, text: &str) -> Option<usize> {
        for turn in 0..80 {
            let at = (first + turn) % self.len();
            let addr = self.addr(at, CONTROL);
            let timeout = Duration::from_secs(1);
            let reply = http::call(addr, "PUT", "/v1/config", text.as_bytes(), timeout);
            match reply.map(|reply| reply.status) {
                Some(200) => return Some(at),
                Some(400) => return None,
                _ => std::thread::sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    /// Datagrams that the kernel dropped at the socket of a machine, for the record only.
    pub fn dropped_datagrams(&self, at: usize) -> u64 {
        let octets = self.ips[at].octets();
        let key = octets.iter().rev().map(|one| format!("{one:02X}"));
        let key = key.collect::<String>() + ":";
        let table = fs::read_to_string("/proc/net/udp").unwrap_or_default();
        let line = table.lines().find(|line| {
            line.split_whitespace()
                .nth(1)
                .is_some_and(|one| one.starts_with(&key))
        });
        line.and_then(|line| line.split_whitespace().last()?.parse().ok())
            .unwrap_or(0)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
