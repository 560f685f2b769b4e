//! A fleet whose backend servers are scripted: an entry, and two servers of each service, each behind
//! a sidecar.

#![allow(dead_code)] // Each test file uses a part.

use std::sync::Arc;
use std::time::Duration;

use testbed::announce;
use testbed::fleet;
use testbed::fleet::Fleet;
use testbed::script;
use testbed::script::Script;
use testbed::script::Server;
use testbed::script::Upload;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

/// Longest wait for an answer. Only a hanging run comes near it.
const WAIT: Duration = Duration::from_secs(60);

/// Most requests until the scripted server is chosen, which others avoid for a while after a failure.
const TRIES: usize = 400;

const PAUSE: Duration = Duration::from_millis(20);

/// Calls below `/again` may run again.
const CONFIG: &str = r#"
[service.crew-portal]
kind = "plain"

[route.again]
service = "crew-portal"
prefix = "/again"
repeatable = true
"#;

/// An answer as a caller got it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether it ended as it should.
    pub whole: bool,
}

pub struct Site {
    fleet: Fleet,
    /// Servers of the plain service. The first one is scripted.
    pub servers: Vec<Server>,
}

impl Site {
    pub async fn start() -> Self {
        let plan = fleet::Plan {
            engines: 0,
            config: CONFIG.to_owned(),
            ..fleet::Plan::default()
        };
        let fleet = Fleet::start(&plan).await.expect("a fleet");
        let mut site = Self {
            fleet,
            servers: Vec::new(),
        };
        for number in 1..=2 {
            let server = Server::start().await.expect("a server");
            announce(&mut site.fleet, &portal(number, &server));
            site.servers.push(server);
        }
        for at in 0..2 {
            site.until_served(at).await;
        }
        site
    }

    /// Waits until a server gets calls.
    async fn until_served(&self, at: usize) {
        let end = time::Instant::now() + WAIT;
        let headers = "Content-Length: 5\r\n";
        self.servers[at].set(Some(Script::status("200 OK", headers)));
        while self.servers[at].played().is_empty() {
            assert!(time::Instant::now() < end, "a server is never chosen");
            self.ask("/again/a", Upload::Plain, 5).await;
        }
        self.servers[at].set(None);
    }

    /// Sends a call to the plain service and reads its answer. `None`: there is none.
    pub async fn ask(&self, path: &str, upload: Upload, bytes: usize) -> Option<Answer> {
        let url = &self.fleet.urls()[0];
        let addr = url.strip_prefix("http://").expect("an address");
        let mut tcp = TcpStream::connect(addr).await.ok()?;
        let request = request(path, upload, bytes);
        tcp.write_all(&request).await.ok()?;
        let mut all = Vec::new();
        let read = time::timeout(WAIT, tcp.read_to_end(&mut all)).await;
        // An error is an end that came early.
        let _ = read.expect("an end");
        parse(&all)
    }

    /// Sends calls until the first server has answered one by this script. `check` sees each answer.
    pub async fn ask_scripted(
        &self,
        script: &Script,
        (path, upload, bytes): (&str, Upload, usize),
        check: impl Fn(Option<&Answer>),
    ) {
        self.servers[0].set(Some(script.clone()));
        let played = self.servers[0].played().len();
        for tries in 0.. {
            assert!(tries < TRIES, "never chosen: {path} {script:?}");
            check(self.ask(path, upload, bytes).await.as_ref());
            if self.servers[0].played().len() > played {
                return;
            }
            time::sleep(PAUSE).await;
        }
    }
}

fn portal(number: usize, server: &Server) -> announce::Announcement {
    announce::Announcement {
        server: format!("crew-portal-{number}"),
        service: "crew-portal".to_owned(),
        kind: "plain",
        url: format!("http://{}", server.addr),
        incarnation: script::INCARNATION,
        models: Vec::new(),
        slots: 8,
        memory_tokens: 0,
        ttl_ms: 2_000,
        leaving: false,
    }
}

/// Starts a sidecar, and announces a server to it until the test ends.
pub fn announce(fleet: &mut Fleet, announcement: &announce::Announcement) {
    let entry = fleet.get("entry-1").link.expect("its link").to_string();
    let args = ["--role=sidecar", "--entries", &entry];
    let number = fleet.processes.len();
    let sidecar = fleet.add_daemon("scripted-sidecar", number, None, &args);
    let sidecar = sidecar.expect("a sidecar");
    let settings = announce::Settings {
        sidecar: format!("http://{}", fleet.processes[sidecar].http),
        key: fleet::BACKEND_KEY.to_owned(),
    };
    let announcement = announcement.clone();
    let current = move || announcement.clone();
    let (presence, _) = watch::channel(None);
    let changed = Arc::new(Notify::new());
    tokio::spawn(announce::run(settings, current, changed, presence));
}

fn request(path: &str, upload: Upload, bytes: usize) -> Vec<u8> {
    let head = format!(
        "POST /services/crew-portal{path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
         Authorization: Bearer {}\r\nX-Time-Limit-Ms: 20000\r\n",
        fleet::WORKSPACE_KEY
    );
    upload.request(&head, bytes)
}

fn parse(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let head = head.to_ascii_lowercase();
    let len = head
        .lines()
        .find_map(|one| one.strip_prefix("content-length:"));
    let len: Option<usize> = len.and_then(|one| one.trim().parse().ok());
    let whole = match len {
        Some(len) => body.len() == len,
        None => body.ends_with("0\r\n\r\n"),
    };
    Some(Answer {
        status,
        whole,
        body: body.to_owned(),
        head,
    })
}
