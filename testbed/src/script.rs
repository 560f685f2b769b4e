//! Answers as a script says, byte by byte: they may begin before their request has arrived, end with a
//! reset, or be none.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

/// Time from the last byte read to the end of the connection.
const PAUSE: Duration = Duration::from_millis(20);

/// Texts in place of a status that are none of a response to a request.
pub const ODD_STATUSES: [&str; 12] = [
    "000 Zero",
    "0 Zero",
    "1 One",
    "001 One",
    "42 Two digits",
    "099 Below",
    "101 Switching Protocols",
    "600 Above",
    "999 Last",
    "1000 Four digits",
    "abc No number",
    "",
];

/// Incarnation that a [`Server`] names where it is taken for an engine.
pub const INCARNATION: u64 = 7;

/// Bytes in a chunk of an upload.
const CHUNK: usize = 64 << 10;

/// How a caller's body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upload {
    /// By its length.
    Plain,
    /// In chunks.
    Chunked,
}

impl Upload {
    /// Both.
    pub const ALL: [Self; 2] = [Self::Plain, Self::Chunked];

    /// A request with a body of so many bytes. `head`: its request line and other headers.
    pub fn request(self, head: &str, bytes: usize) -> Vec<u8> {
        let body = vec![b'x'; bytes];
        let mut request = head.as_bytes().to_vec();
        match self {
            Self::Plain => {
                request.extend_from_slice(format!("Content-Length: {bytes}\r\n\r\n").as_bytes());
                request.extend_from_slice(&body);
            }
            Self::Chunked => {
                request.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
                for chunk in body.chunks(CHUNK) {
                    request.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    request.extend_from_slice(chunk);
                    request.extend_from_slice(b"\r\n");
                }
                request.extend_from_slice(b"0\r\n\r\n");
            }
        }
        request
    }
}

/// How much of a request's body is read before its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// Nothing.
    Nothing,
    /// Half of its bytes.
    Half,
    /// All of its bytes.
    All,
}

impl Read {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Nothing, Self::Half, Self::All];

    fn bytes(self, len: usize) -> usize {
        match self {
            Self::Nothing => 0,
            Self::Half => len / 2,
            Self::All => len,
        }
    }
}

/// How a request is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    /// What is written once its head has arrived. `{id}` becomes its `X-Request-Id`.
    pub answer: String,
    /// What is read then.
    pub read: Read,
    /// Whether the connection is reset afterwards. Otherwise it is closed.
    pub resets: bool,
}

impl Script {
    /// An answer without a length that begins at once and breaks off with a reset.
    pub fn early(headers: &str, part: &str, read: Read) -> Self {
        Self {
            answer: format!("HTTP/1.1 200 OK\r\n{headers}\r\n{part}"),
            read,
            resets: true,
        }
    }

    /// A whole answer whose status line has this text in place of a status.
    pub fn status(text: &str, headers: &str) -> Self {
        Self {
            answer: format!(
                "HTTP/1.1 {text}\r\n{headers}Connection: close\r\nContent-Length: 5\r\n\r\nwhole"
            ),
            read: Read::All,
            resets: false,
        }
    }

    /// Plays it on a connection on which the head of a request has arrived, and `len` bytes of its
    /// body are to come.
    pub async fn play(&self, tcp: &mut TcpStream, id: &str, len: usize) -> io::Result<()> {
        tcp.write_all(self.answer.replace("{id}", id).as_bytes())
            .await?;
        let mut body = vec![0; self.read.bytes(len)];
        tcp.read_exact(&mut body).await?;
        time::sleep(PAUSE).await;
        if self.resets {
            tcp.set_zero_linger()?;
        }
        Ok(())
    }
}

#[derive(Debug, Default)]
struct State {
    script: Option<Script>,
    /// Request lines of those that the script answered.
    played: Vec<String>,
}

/// A plain service or an engine without runs, whose answers to `POST` are scripted.
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    task: task::JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Starts one.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let addr = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let task = tokio::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let state = Arc::clone(&shared);
                // An error is the end of the connection.
                tokio::spawn(async move { serve(tcp, &state).await });
            }
        });
        Ok(Self { addr, state, task })
    }

    /// How it answers from now on. `None`: as it should.
    pub fn set(&self, script: Option<Script>) {
        self.state.lock().expect("state lock").script = script;
    }

    /// Request lines of those that its scripts answered.
    pub fn played(&self) -> Vec<String> {
        self.state.lock().expect("state lock").played.clone()
    }
}

async fn serve(mut tcp: TcpStream, state: &Mutex<State>) -> io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(tcp.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let line = head.lines().next().unwrap_or_default().to_owned();
        let headers = head.lines().filter_map(|one| one.split_once(':'));
        let mut lengths = headers.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let len = lengths.next().and_then(|(_, len)| len.trim().parse().ok());
        let len = len.unwrap_or_default();
        if line.starts_with("POST") {
            let script = {
                let mut state = state.lock().expect("state lock");
                let script = state.script.clone();
                state.played.extend(script.as_ref().map(|_| line.clone()));
                script
            };
            if let Some(script) = script {
                return script.play(&mut tcp, "", len).await;
            }
        }
        let mut body = vec![0; len];
        tcp.read_exact(&mut body).await?;
        let body = match line.split(' ').nth(1).unwrap_or_default() {
            "/v1/runs" => format!("{{\"incarnation\":{INCARNATION},\"runs\":[]}}"),
            // Faster than others, so that prompts come here first.
            "/v1/load" => "{\"prefill_rate\":100000000,\"token_micros\":1}".to_owned(),
            path if path.starts_with("/v1/cache") => "{\"first\":0,\"next\":0}".to_owned(),
            path if path.starts_with("/v1/") => String::new(),
            _ => "whole".to_owned(),
        };
        let status = if body.is_empty() { 404 } else { 200 };
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        tcp.write_all(text.as_bytes()).await?;
    }
}
