//! A small deployment on loopback addresses, started with the command of the deploy file.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// Machines of the core: they have a disk.
pub const CORE: usize = 3;

/// Ports between nodes that a machine has.
const INTERNAL_PORTS: u16 = 15;

/// Longest wait for a condition of the start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
    replica: u16,
}

/// A deployment.
pub struct Site {
    root: PathBuf,
    dir: PathBuf,
    net: [u8; 2],
    ports: Ports,
    machines: usize,
    children: Mutex<Vec<Option<process::Child>>>,
    pub record: Arc<Record>,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.end();
    }
}

impl Site {
    /// Starts `machines`, the first [`CORE`] with a disk.
    pub fn start(root: &Path, machines: usize, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let seed = process::id();
        let dir = std::env::temp_dir().join(format!("review-{seed}"));
        fs::create_dir_all(&dir)?;
        let site = Arc::new(Self {
            root: root.to_owned(),
            dir,
            net: [64 + (seed % 100) as u8, (seed / 100 % 250) as u8],
            ports: free_ports()?,
            machines,
            children: Mutex::new((0..machines).map(|_| None).collect()),
            record: Arc::clone(record),
        });
        for at in 0..machines {
            site.start_machine(at, true)?;
        }
        Ok(site)
    }

    fn ip(&self, last: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], last as u8 + 1))
    }

    /// Name of a machine.
    pub fn name(at: usize) -> String {
        if at < CORE {
            format!("core-{at}")
        } else {
            format!("front-{at}")
        }
    }

    /// Where clients reach it.
    pub fn front(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(at), self.ports.front)
    }

    /// Where replicas and the operator reach it.
    pub fn control(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(at), self.ports.control)
    }

    /// The same of all machines.
    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.machines).map(|at| self.control(at)).collect()
    }

    /// Address for a replica.
    pub fn replica(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(100 + at), self.ports.replica)
    }

    /// Starts the process of a machine. `first`: the whole system starts for the first time.
    pub fn start_machine(&self, at: usize, first: bool) -> io::Result<()> {
        let settings = self.dir.join(format!("{at}.toml"));
        fs::write(&settings, self.settings(at, first))?;
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml"))?;
        let run = quoted(&deploy, "run = ").ok_or_else(|| io::Error::other("no command"))?;
        let run = run.replace("{{ip}}", &self.ip(at).to_string());
        let key = quoted(&deploy, "WIGEONBARROW_PROCESS_KEY = ").unwrap_or_default();
        let mut words = run.split(' ');
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{at}.log")))?;
        let child = process::Command::new(self.root.join(words.next().unwrap_or_default()))
            .args(words)
            .current_dir(&self.root)
            .env("WIGEONBARROW_PROCESS_KEY", key)
            .env("WIGEONBARROW_BOOT", &settings)
            .stdin(process::Stdio::null())
            .stdout(log)
            .spawn()?;
        self.children.lock().expect("children lock")[at] = Some(child);
        self.record
            .note(&format!("process of {} starts", Self::name(at)));
        Ok(())
    }

    fn settings(&self, at: usize, first: bool) -> String {
        let ip = self.ip(at);
        let Ports {
            front,
            ready,
            control,
            internal,
            ..
        } = self.ports;
        let seeds: Vec<String> = (0..CORE)
            .map(|one| format!("\"{}\"", self.control(one)))
            .collect();
        let disk = if at < CORE {
            format!(
                "data_dir = \"{}\"\n",
                self.dir.join(format!("data-{at}")).display()
            )
        } else {
            String::new()
        };
        format!(
            "node_name = \"{}\"\nrole = \"entry\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"zone-a\"\n\
             region = \"region-a\"\ninternal_ports = [{internal},{}]\nseeds = [{}]\n\
             bootstrap = {first}\nloss_counts = {}\n{disk}discovery = \"registration\"\n\
             entry = \"vip\"\nheartbeat_ms = 1200\nconfig_mode = \"highest\"\n\
             [zones]\nzone-a = \"region-a\"\n\
             [listen]\nfront = \"{ip}:{front}\"\nready_address = \"{ip}:{ready}\"\n\
             control = \"{ip}:{control}\"\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nlost_ms = 200\nconfig_ms = 2000\n\
             rollback_slack_ms = 250\nouter_ms = 5000\nretry_budget_ratio = 0.2\n\
             budget_window_s = 10\nbudget_slack = 112\nrecovery_s = 12\npass_ms = 120\n\
             stall_ms = 1500\nhold_max_ms = 20000\nfree_ms = 4000\nidle_max_ms = 9000\n",
            Self::name(at),
            internal + INTERNAL_PORTS,
            seeds.join(","),
            at < CORE,
        )
    }

    /// Whether it tells the platform that it is ready.
    pub fn is_ready(&self, at: usize) -> bool {
        let addr = SocketAddr::new(self.ip(at), self.ports.ready);
        let text = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        http::exchange(addr, text.as_bytes(), Duration::from_secs(1))
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until it is ready.
    pub fn await_ready(&self, at: usize) -> io::Result<()> {
        let what = format!("{} is ready", Self::name(at));
        await_that(&what, || self.is_ready(at))?;
        self.record.note(&what);
        Ok(())
    }

    /// Sends SIGTERM to the process of a machine and waits for its end.
    pub fn terminate(&self, at: usize) -> io::Result<()> {
        let mut child = {
            let mut children = self.children.lock().expect("children lock");
            children[at]
                .take()
                .ok_or_else(|| io::Error::other("it does not run"))?
        };
        self.record.note(&format!("SIGTERM to {}", Self::name(at)));
        // By the shell: not every machine has the program.
        let command = format!("kill -TERM {}", child.id());
        process::Command::new("sh")
            .args(["-c", &command])
            .status()?;
        child.wait()?;
        self.record
            .note(&format!("process of {} has ended", Self::name(at)));
        Ok(())
    }

    /// Kills all processes and removes their files.
    pub fn end(&self) {
        let mut children = self.children.lock().expect("children lock");
        for child in children.iter_mut().filter_map(Option::take) {
            let mut child = child;
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
        // Nothing depends on it any more.
        let _ = fs::remove_dir_all(&self.dir);
    }

    /// Copies the logs of the processes to `folder`.
    pub fn keep_logs(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        for at in 0..self.machines {
            let name = format!("{at}.log");
            fs::copy(self.dir.join(&name), folder.join(&name))?;
        }
        Ok(())
    }
}

/// Waits until `holds`.
pub fn await_that(what: &str, holds: impl Fn() -> bool) -> io::Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    while !holds() {
        if Instant::now() > end {
            return Err(io::Error::other(format!("never: {what}")));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

fn free_ports() -> io::Result<Ports> {
    let mut held = Vec::new();
    let mut free = || -> io::Result<u16> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let port = listener.local_addr()?.port();
        held.push(listener);
        Ok(port)
    };
    Ok(Ports {
        front: free()?,
        ready: free()?,
        control: free()?,
        internal: free()?.min(u16::MAX - INTERNAL_PORTS),
        replica: free()?,
    })
}

/// The first text in quotes after `name`.
fn quoted(text: &str, name: &str) -> Option<String> {
    let from = text.find(name)? + name.len();
    let value = text[from..].split('"').nth(1)?;
    Some(value.to_owned())
}
