//! A TCP proxy that injects faults, on the fly, into connections that stand and into new ones.
//!
//! Control is by lines of text over TCP, one answer line each: `mode NAME MODE` for one pair (or
//! `*` for all), with the modes of [`Mode`]; `list` for all pairs with their connections.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use anyhow::bail;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

/// Bytes read at once.
const CHUNK: usize = 64 * 1024;
/// Chunks on their way in one direction.
const DEPTH: usize = 64;

/// Which way bytes flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From the client to the target.
    Up,
    /// From the target to the client.
    Down,
}

/// What the proxy does with a pair's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// `pass`: nothing.
    Pass,
    /// `cut`: closes both sides of all; new ones are closed at once.
    Cut,
    /// `reset`: closes both sides of those that stand; new ones pass.
    Reset,
    /// `drop [up|down]`: reads and throws away, both ways or one.
    Drop(Option<Way>),
    /// `delay MS`: each chunk comes this much later.
    Delay(Duration),
    /// `freeze`: reads nothing.
    Freeze,
    /// `half-open [up|down]`: closes towards the target (up, the default) or the client only.
    HalfOpen(Way),
}

impl FromStr for Mode {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let mode = match words[..] {
            ["pass"] => Self::Pass,
            ["cut"] => Self::Cut,
            ["reset"] => Self::Reset,
            ["drop"] => Self::Drop(None),
            ["drop", way] => Self::Drop(Some(way.parse()?)),
            ["delay", ms] => Self::Delay(Duration::from_millis(ms.parse()?)),
            ["freeze"] => Self::Freeze,
            ["half-open"] => Self::HalfOpen(Way::Up),
            ["half-open", way] => Self::HalfOpen(way.parse()?),
            _ => bail!("no such mode: {text}"),
        };
        Ok(mode)
    }
}

impl FromStr for Way {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        match text {
            "up" => Ok(Self::Up),
            "down" => Ok(Self::Down),
            _ => bail!("no such direction: {text}"),
        }
    }
}

impl Mode {
    /// Whether bytes that flow this way are thrown away.
    fn drops(self, way: Way) -> bool {
        match self {
            Self::Drop(only) => only.is_none_or(|only| only == way),
            _ => false,
        }
    }

    /// Whether bytes that flow this way are left unread.
    fn holds(self) -> bool {
        self == Self::Freeze
    }
}

/// A listener with its target.
pub struct Pair {
    /// Name in control lines.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The mode, and the number of resets so far. A connection that was opened before the last reset
    /// closes, also if the mode has changed again since.
    mode: watch::Sender<(u64, Mode)>,
    /// Connections that stand.
    open: Arc<AtomicUsize>,
}

impl Pair {
    /// Listens and forwards to `target`.
    pub async fn open(name: &str, listen: SocketAddr, target: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(listen)
            .await
            .with_context(|| format!("cannot listen on {listen}"))?;
        let (mode, watch) = watch::channel((0, Mode::Pass));
        let open = Arc::new(AtomicUsize::new(0));
        let pair = Self {
            name: name.to_owned(),
            addr: listener.local_addr()?,
            mode,
            open: Arc::clone(&open),
        };
        tokio::spawn(accept(listener, target, watch, open));
        Ok(pair)
    }

    /// Sets the mode of all its connections.
    pub fn set(&self, mode: Mode) {
        let resets = u64::from(mode == Mode::Reset);
        self.mode
            .send_modify(|state| *state = (state.0 + resets, mode));
    }

    /// Connections that stand.
    pub fn connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn mode(&self) -> Mode {
        self.mode.borrow().1
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    watch: watch::Receiver<(u64, Mode)>,
    open: Arc<AtomicUsize>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let mut watch = watch.clone();
        let (resets, mode) = *watch.borrow_and_update();
        if mode == Mode::Cut {
            continue;
        }
        let open = Arc::clone(&open);
        open.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            // A connection that never gets an answer is what a silent partition looks like.
            let _ = connect(client, target, watch, resets).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn connect(
    client: TcpStream,
    target: SocketAddr,
    mut watch: watch::Receiver<(u64, Mode)>,
    resets: u64,
) -> std::io::Result<()> {
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let up = tokio::spawn(forward(Way::Up, client_rx, server_tx, watch.clone()));
    let down = tokio::spawn(forward(Way::Down, server_rx, client_tx, watch.clone()));
    let (up_abort, down_abort) = (up.abort_handle(), down.abort_handle());
    let both = async {
        let _ = up.await;
        let _ = down.await;
    };
    tokio::pin!(both);
    loop {
        tokio::select! {
            () = &mut both => break,
            changed = watch.changed() => {
                let (latest, mode) = *watch.borrow_and_update();
                if changed.is_err() || mode == Mode::Cut || latest != resets {
                    up_abort.abort();
                    down_abort.abort();
                    break;
                }
            }
        }
    }
    Ok(())
}

/// Forwards one direction through a bounded queue, so that a delay does not slow the flow.
async fn forward(
    way: Way,
    mut rdr: OwnedReadHalf,
    wtr: OwnedWriteHalf,
    mut watch: watch::Receiver<(u64, Mode)>,
) {
    let (tx, rx) = mpsc::channel(DEPTH);
    let writer = write(way, wtr, rx, watch.clone());
    let reader = async move {
        let mut buf = vec![0; CHUNK];
        loop {
            let mode = watch.borrow_and_update().1;
            if mode.holds() {
                if watch.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let read = tokio::select! {
                biased;
                changed = watch.changed() => match changed {
                    Ok(()) => continue,
                    Err(_) => return,
                },
                read = rdr.read(&mut buf) => read,
            };
            let Ok(len) = read else {
                return;
            };
            if len == 0 {
                return;
            }
            let mode = watch.borrow().1;
            if mode.drops(way) {
                continue;
            }
            let due = match mode {
                Mode::Delay(delay) => Instant::now() + delay,
                _ => Instant::now(),
            };
            if tx.send((due, buf[..len].to_vec())).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(reader, writer);
}

async fn write(
    way: Way,
    mut wtr: OwnedWriteHalf,
    mut rx: mpsc::Receiver<(Instant, Vec<u8>)>,
    mut watch: watch::Receiver<(u64, Mode)>,
) {
    loop {
        let chunk = tokio::select! {
            biased;
            () = half_open(way, &mut watch) => {
                let _ = wtr.shutdown().await;
                // What still comes is read and thrown away.
                while rx.recv().await.is_some() {}
                return;
            }
            chunk = rx.recv() => chunk,
        };
        let Some((due, bytes)) = chunk else {
            // The other end has closed: so does this one, unless it must not be heard.
            if !watch.borrow().1.drops(way) {
                let _ = wtr.shutdown().await;
                return;
            }
            quiet(way, &mut watch).await;
            return;
        };
        tokio::time::sleep_until(due).await;
        if wtr.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Waits until this way is to be closed.
async fn half_open(way: Way, watch: &mut watch::Receiver<(u64, Mode)>) {
    let wanted = |state: &(u64, Mode)| state.1 == Mode::HalfOpen(way);
    if watch.wait_for(wanted).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Waits until this way is no longer dropped.
async fn quiet(way: Way, watch: &mut watch::Receiver<(u64, Mode)>) {
    let _ = watch.wait_for(|state| !state.1.drops(way)).await;
}

/// The proxy: pairs and their control port.
pub struct Proxy {
    /// Its pairs.
    pub pairs: Vec<Pair>,
}

impl Proxy {
    /// Obeys one control line.
    pub fn obey(&self, line: &str) -> anyhow::Result<String> {
        let line = line.trim();
        if line == "list" {
            let pairs: Vec<_> = self
                .pairs
                .iter()
                .map(|p| format!("{} {} {:?} {}", p.name, p.addr, p.mode(), p.connections()))
                .collect();
            return Ok(pairs.join("; "));
        }
        let rest = line
            .strip_prefix("mode ")
            .context("`mode NAME MODE` or `list`")?;
        let (name, mode) = rest.split_once(' ').context("a name and a mode")?;
        let mode: Mode = mode.parse()?;
        let mut met = 0;
        for pair in &self.pairs {
            if name == "*" || pair.name == name {
                pair.set(mode);
                met += 1;
            }
        }
        if met == 0 {
            bail!("no such pair: {name}");
        }
        Ok("ok".to_owned())
    }

    /// Serves control lines, for ever.
    pub async fn control(self: Arc<Self>, listener: TcpListener) -> anyhow::Result<()> {
        loop {
            let (stream, _) = listener.accept().await?;
            let proxy = Arc::clone(&self);
            tokio::spawn(async move {
                let (rdr, mut wtr) = stream.into_split();
                let mut lines = BufReader::new(rdr).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let answer = match proxy.obey(&line) {
                        Ok(answer) => answer,
                        Err(err) => format!("error: {err}"),
                    };
                    if wtr
                        .write_all(format!("{answer}\n").as_bytes())
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    }
}
