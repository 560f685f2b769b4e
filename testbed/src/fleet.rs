//! A fleet of real processes on loopback: control, entries, and engines or plain services with
//! their sidecars. Everything is ended, by pid, when the fleet is dropped.

use std::env;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;

mod operator;
pub mod process;

pub use process::Process;

/// Key between the processes.
pub const PROCESS_KEY: &str = "process-key-of-the-testbed";

/// Key of operators.
pub const OPERATOR_KEY: &str = "operator-key-of-the-testbed";

/// Key between sidecar and backend server.
pub const BACKEND_KEY: &str = "backend-key-of-the-testbed";

/// Key of the workspace `demo`.
pub const WORKSPACE_KEY: &str = "workspace-key-of-the-testbed";

/// First port that fleets use; below the range that connections are given.
const FIRST_PORT: u16 = 10_000;

/// Ports of one fleet. The first is held as the block's lock.
const BLOCK: u16 = 500;

/// Blocks that there are.
const BLOCKS: u16 = 44;

/// Longest wait for a process to be ready.
const READY: Duration = Duration::from_secs(30);

const POLL: Duration = Duration::from_millis(25);

/// Flag of an entry that a plan may set otherwise.
const DRAIN_NOTICE: &str = "--drain-notice-ms=";

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Control processes: 1, 3 or 5.
    pub controls: usize,
    /// Entries.
    pub entries: usize,
    /// Engines, each with a sidecar.
    pub engines: usize,
    /// Replicas of the plain service, each with a sidecar.
    pub services: usize,
    /// Further flags of every entry.
    pub entry_flags: Vec<String>,
    /// Further flags of every stand-in engine; `{n}` becomes its number, `{dir}` the folder.
    pub engine_flags: Vec<String>,
    /// Further flags of every stand-in service, alike.
    pub service_flags: Vec<String>,
    /// Further configuration, as the file `50-plan.toml`.
    pub config: String,
    /// Whether the links between processes go through a fault proxy, `proxy-1`.
    pub proxied: bool,
    /// Limits of the machines of entries.
    pub entry_machine: Option<process::Machine>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            controls: 1,
            entries: 1,
            engines: 2,
            services: 0,
            entry_flags: Vec::new(),
            engine_flags: Vec::new(),
            service_flags: Vec::new(),
            config: String::new(),
            proxied: false,
            entry_machine: None,
        }
    }
}

/// What processes use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time since their start.
    pub cpu: Duration,
    /// Memory now, in bytes.
    pub memory: u64,
}

/// A running fleet.
pub struct Fleet {
    /// Scratch folder: data, configuration and logs.
    pub dir: PathBuf,
    /// Its processes.
    pub processes: Vec<Process>,
    /// Held so that no other fleet takes the block of ports.
    _block: TcpListener,
    next_port: u16,
    /// Whether links go through the proxy.
    proxied: bool,
    /// Limits of the machines of entries.
    entry_machine: Option<process::Machine>,
    /// The proxy's pairs, as its flags say them.
    pairs: Vec<String>,
    keep: bool,
}

impl Fleet {
    /// Starts a fleet and waits until every part of it serves.
    pub async fn start(plan: &Plan) -> anyhow::Result<Self> {
        let mut fleet = Self::empty()?;
        fleet.proxied = plan.proxied;
        fleet.entry_machine = plan.entry_machine;
        fleet.write_config(plan)?;
        let control_links: Vec<SocketAddr> = (0..plan.controls)
            .map(|_| fleet.addr())
            .collect::<Result<_, _>>()?;
        let entry_links: Vec<SocketAddr> = (0..plan.entries)
            .map(|_| fleet.addr())
            .collect::<Result<_, _>>()?;
        let members = join(&control_links);
        for (at, link) in control_links.iter().enumerate() {
            let data = fleet.dir.join(format!("data-{}", at + 1));
            let data = data.to_string_lossy().into_owned();
            let args = ["--role=control", "--data", &data, "--members", &members];
            fleet.add_daemon("control", at + 1, Some(*link), &args)?;
        }
        for (at, link) in entry_links.iter().enumerate() {
            let mut args = vec!["--role=entry", "--seeds", &members];
            args.extend(plan.entry_flags.iter().map(String::as_str));
            if !args.iter().any(|arg| arg.starts_with(DRAIN_NOTICE)) {
                args.push("--drain-notice-ms=300");
            }
            fleet.add_daemon("entry", at + 1, Some(*link), &args)?;
        }
        for at in 1..=plan.engines {
            fleet.add_engine(at, &join(&entry_links), &plan.engine_flags)?;
        }
        for at in 1..=plan.services {
            fleet.add_service(at, &join(&entry_links), &plan.service_flags)?;
        }
        if plan.proxied {
            fleet.add_proxy()?;
        }
        fleet.apply_config().await?;
        fleet.ready("entry").await?;
        fleet.serving(plan).await?;
        Ok(fleet)
    }

    fn empty() -> anyhow::Result<Self> {
        let (block, first) = (0..BLOCKS)
            .map(|at| FIRST_PORT + at * BLOCK)
            .find_map(|port| {
                let block = TcpListener::bind(("127.0.0.1", port)).ok()?;
                Some((block, port))
            })
            .context("no free block of ports")?;
        let name = format!("wigeonbarrow-{}-{first}", std::process::id());
        let dir = env::temp_dir().join(name);
        // Process ids come again: a folder left by a failed test must not be taken for a data folder.
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir)?;
        Ok(Self {
            dir,
            processes: Vec::new(),
            _block: block,
            next_port: first + 1,
            proxied: false,
            entry_machine: None,
            pairs: Vec::new(),
            keep: env::var_os("WIGEONBARROW_KEEP").is_some(),
        })
    }

    /// An address with a port of the fleet's block that is free.
    pub fn addr(&mut self) -> anyhow::Result<SocketAddr> {
        loop {
            let port = self.next_port;
            anyhow::ensure!(!port.is_multiple_of(BLOCK), "the block of ports is used up");
            self.next_port += 1;
            if TcpListener::bind(("127.0.0.1", port)).is_ok() {
                return Ok(SocketAddr::from(([127, 0, 0, 1], port)));
            }
        }
    }

    /// Starts a process of the product.
    pub fn add_daemon(
        &mut self,
        role: &str,
        number: usize,
        link: Option<SocketAddr>,
        more: &[&str],
    ) -> anyhow::Result<usize> {
        let http = self.addr()?;
        let link = match link {
            Some(link) => link,
            None => self.addr()?,
        };
        let name = format!("{role}-{number}");
        let own = if self.proxied { self.addr()? } else { link };
        if self.proxied {
            self.pairs.push(format!("--pair={name}={link},{own}"));
        }
        let zone = format!("zone-{}", number % 3);
        let mut args: Vec<String> = more.iter().map(|&arg| arg.to_owned()).collect();
        for (flag, value) in [
            ("--name", name.clone()),
            ("--zone", zone),
            ("--http", http.to_string()),
            ("--link", own.to_string()),
            ("--advertise", link.to_string()),
        ] {
            args.push(flag.to_owned());
            args.push(value);
        }
        self.add(&name, "wigeonbarrowd", http, Some(link), args)
    }

    /// Starts a stand-in engine and its sidecar.
    pub fn add_engine(
        &mut self,
        number: usize,
        entries: &str,
        more: &[String],
    ) -> anyhow::Result<()> {
        let server = format!("wigeon-pool-{number}");
        let args = ["--server", &server, "--service", "wigeon-pool"];
        self.add_backend("engine", "sidecar", number, entries, &args, more)
    }

    /// Starts a stand-in service and its sidecar.
    pub fn add_service(
        &mut self,
        number: usize,
        entries: &str,
        more: &[String],
    ) -> anyhow::Result<()> {
        let server = format!("crew-portal-{number}");
        let args = ["--server", &server, "--service", "crew-portal"];
        self.add_backend("service", "portal-sidecar", number, entries, &args, more)
    }

    fn add_backend(
        &mut self,
        kind: &str,
        sidecar: &str,
        number: usize,
        entries: &str,
        own: &[&str],
        more: &[String],
    ) -> anyhow::Result<()> {
        let flags = ["--role=sidecar", "--entries", entries];
        let sidecar = self.add_daemon(sidecar, number, None, &flags)?;
        let listen = self.addr()?;
        let mut args: Vec<String> = own.iter().map(|&arg| arg.to_owned()).collect();
        let announce = format!("http://{}", self.processes[sidecar].http);
        for (flag, value) in [
            ("--listen", listen.to_string()),
            ("--sidecar", announce),
            ("--backend-key", BACKEND_KEY.to_owned()),
        ] {
            args.push(flag.to_owned());
            args.push(value);
        }
        let dir = self.dir.to_string_lossy();
        for flag in more {
            let flag = flag.replace("{n}", &number.to_string());
            args.push(flag.replace("{dir}", &dir));
        }
        let program = format!("stand-in-{kind}");
        self.add(&format!("{kind}-{number}"), &program, listen, None, args)?;
        Ok(())
    }

    /// Starts the proxy; its HTTP address is that of its control port.
    fn add_proxy(&mut self) -> anyhow::Result<()> {
        let control = self.addr()?;
        let mut args = self.pairs.clone();
        args.push(format!("--control={control}"));
        self.add("proxy-1", "fault-proxy", control, None, args)?;
        Ok(())
    }

    /// Sets the proxy's mode for the links of one process, or of all with `*`.
    pub fn fault(&mut self, name: &str, mode: &str) -> anyhow::Result<()> {
        let control = self.get("proxy-1").http;
        let mut stream = TcpStream::connect(control)?;
        writeln!(stream, "mode {name} {mode}")?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        anyhow::ensure!(answer == "ok\n", "proxy: {answer}");
        Ok(())
    }

    fn add(
        &mut self,
        name: &str,
        program: &str,
        http: SocketAddr,
        link: Option<SocketAddr>,
        args: Vec<String>,
    ) -> anyhow::Result<usize> {
        let mut process = Process {
            name: name.to_owned(),
            http,
            link,
            program: programs()?.join(program),
            args,
            log: self.dir.join(format!("{name}.log")),
            child: None,
            machine: self.entry_machine.filter(|_| name.starts_with("entry-")),
        };
        process.start()?;
        self.processes.push(process);
        Ok(self.processes.len() - 1)
    }

    /// The process of that name.
    pub fn get(&mut self, name: &str) -> &mut Process {
        let found = self
            .processes
            .iter_mut()
            .find(|process| process.name == name);
        found.unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Base URLs of the entries.
    pub fn urls(&self) -> Vec<String> {
        let entries = self
            .processes
            .iter()
            .filter(|p| p.name.starts_with("entry-"));
        entries
            .map(|entry| format!("http://{}", entry.http))
            .collect()
    }

    /// Processor time and memory of all processes whose names begin with `prefix`.
    pub fn usage(&self, prefix: &str) -> Usage {
        let all = self.processes.iter().filter(|p| p.name.starts_with(prefix));
        all.fold(Usage::default(), |sum, process| Usage {
            cpu: sum.cpu + process.cpu(),
            memory: sum.memory + process.memory(),
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.kill();
        }
        if !self.keep && !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Waits until `check` says yes, for a generous while.
pub async fn wait_for<F>(what: &str, mut check: impl FnMut() -> F) -> anyhow::Result<()>
where
    F: Future<Output = bool>,
{
    let until = Instant::now() + READY;
    while !check().await {
        anyhow::ensure!(Instant::now() < until, "waited in vain: {what}");
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

/// Writes a line to standard output at once.
pub fn say(text: &str) {
    let mut out = std::io::stdout();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

/// The folder of the built programs: that of this program, or above it for a test.
fn programs() -> anyhow::Result<PathBuf> {
    let own = env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    if folder.ends_with("deps") {
        return Ok(folder.parent().unwrap_or(folder).to_owned());
    }
    Ok(folder.to_owned())
}

fn join(addrs: &[SocketAddr]) -> String {
    let addrs: Vec<String> = addrs.iter().map(SocketAddr::to_string).collect();
    addrs.join(",")
}
