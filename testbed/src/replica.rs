//! A stand-in of the platform's backend server, from its published pages: it says what it is,
//! reports its load, sets memory aside, runs requests, and fails as it is told to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::script;

/// Events of a whole stream.
pub const EVENTS: usize = 20;

/// Pause between two events.
const PAUSE: Duration = Duration::from_millis(20);

/// A request as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method and path.
    pub line: String,
    /// Headers, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Request {
    /// A header's value.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Whether its prompt holds a part.
    pub fn has_part(&self, id: &str) -> bool {
        let parts = self.header("x-prompt-prefix").split(',');
        let mut ids = parts.filter_map(|part| part.trim().split(':').next());
        ids.any(|part| part == id)
    }

    fn is(&self, part: &str) -> bool {
        self.line.contains(part)
    }
}

/// How it serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// As it should.
    #[default]
    Well,
    /// It refuses all, truthfully.
    Full,
    /// It breaks streams off in the middle of their sixth event, and other answers before their
    /// first byte, after running them.
    Breaks,
    /// It runs requests and never answers.
    Mute,
    /// It stops in the middle of a stream, and leaves its connection open.
    Stalls,
    /// It resets the connection in the middle of a body, streams after their fifth event.
    Resets,
    /// Its streams have large events and no end.
    Floods,
    /// It answers with bytes of another request's answer before the right one.
    Doubles,
}

/// What something that arrives is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A caller's request.
    Request,
    /// A question for its report.
    Report,
    /// An order on memory.
    Order,
}

/// Rejections that ask for a pause.
#[derive(Clone, Debug)]
pub struct Shed {
    /// Values of `Retry-After`, each in a line of its own.
    pub retry_after: Vec<String>,
    /// What is rejected. Everything else is served.
    pub kinds: Vec<Kind>,
}

impl Shed {
    /// Rejects these kinds and asks for a pause of so many seconds.
    pub fn new(seconds: f64, kinds: &[Kind]) -> Self {
        Self {
            retry_after: vec![seconds.to_string()],
            kinds: kinds.to_vec(),
        }
    }
}

/// Bytes without end in place of an answer, until the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// No status line.
    Noise,
    /// Header lines.
    Headers,
    /// One header line.
    HeaderLine,
    /// Header lines, one after the other with pauses.
    SlowHeaders,
    /// Interim responses.
    Interim,
    /// A body in chunks.
    Body,
    /// A body in chunks, with pauses.
    SlowBody,
    /// The extension of a chunk.
    Extension,
    /// Lines after the last chunk.
    Trailers,
    /// Comments of a stream of events.
    Comments,
    /// One event of a stream.
    Event,
    /// More bytes after a whole answer.
    After,
}

impl Endless {
    /// All of them.
    pub const ALL: [Self; 12] = [
        Self::Noise,
        Self::Headers,
        Self::HeaderLine,
        Self::SlowHeaders,
        Self::Interim,
        Self::Body,
        Self::SlowBody,
        Self::Extension,
        Self::Trailers,
        Self::Comments,
        Self::Event,
        Self::After,
    ];

    /// What comes first, and what comes then again and again. `head`: the header lines of an answer.
    fn parts(self, head: &str) -> (String, String) {
        const LONG: usize = 16 << 10;
        let chunked = format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n");
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let events = format!("Content-Type: text/event-stream\r\n{head}");
        let stream = format!("HTTP/1.1 200 OK\r\n{events}Transfer-Encoding: chunked\r\n\r\n");
        match self {
            Self::Noise => (String::new(), "noise\r\n".repeat(LONG / 7)),
            Self::Headers => {
                let lines = "X-More: and more\r\n".repeat(64);
                (format!("HTTP/1.1 200 OK\r\n{head}"), lines)
            }
            Self::HeaderLine => {
                let first = format!("HTTP/1.1 200 OK\r\n{head}X-Long: ");
                (first, "x".repeat(LONG))
            }
            Self::SlowHeaders => {
                let first = format!("HTTP/1.1 200 OK\r\n{head}");
                (first, "X-More: and more\r\n".to_owned())
            }
            Self::Interim => {
                let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(64);
                (String::new(), interim)
            }
            Self::Body => (chunked, chunk(&"x".repeat(LONG))),
            Self::SlowBody => (chunked, chunk("x")),
            Self::Extension => (format!("{chunked}5;x="), "x".repeat(LONG)),
            Self::Trailers => {
                let first = format!("{chunked}{}0\r\n", chunk("whole"));
                (first, "X-More: and more\r\n".repeat(64))
            }
            Self::Comments => (stream, chunk(&": still here\n\n".repeat(64))),
            Self::Event => (
                format!("{stream}{}", chunk("data: ")),
                chunk(&"x".repeat(LONG)),
            ),
            Self::After => {
                let first = format!("HTTP/1.1 200 OK\r\n{head}Content-Length: 5\r\n\r\nwhole");
                (
                    first,
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother".repeat(64),
                )
            }
        }
    }

    fn pause(self) -> Duration {
        match self {
            Self::SlowHeaders | Self::SlowBody => Duration::from_millis(50),
            // Other tasks of the same thread go on.
            _ => Duration::from_micros(100),
        }
    }
}

/// What ends the body of an answer to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Framing {
    /// Its length, or its last chunk.
    #[default]
    Framed,
    /// The end of its connection, which `Connection: close` announces or nothing does.
    Unframed { announced: bool },
}

impl Framing {
    /// The header line that tells of the body's end. `framed`: the one of its length or chunks.
    fn line(self, framed: &str) -> &str {
        match self {
            Self::Framed => framed,
            Self::Unframed { announced: true } => "Connection: close\r\n",
            Self::Unframed { announced: false } => "",
        }
    }

    fn chunk(self, text: &str) -> String {
        match self {
            Self::Framed => format!("{:x}\r\n{text}\r\n", text.len()),
            Self::Unframed { .. } => text.to_owned(),
        }
    }
}

/// How it crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Time from the beginning of the answer to the crash.
    pub after: Duration,
    /// Its connections go silent. Otherwise they are reset, and new ones are refused.
    pub is_dark: bool,
    /// Time until its next life begins, at the same address.
    pub down: Duration,
}

/// A life, from its start to the next start.
#[derive(Clone, Copy, Debug, Default)]
struct Life {
    number: usize,
    /// How it has ended.
    crash: Option<Crash>,
}

/// Memory set aside under an id.
#[derive(Clone, Copy, Debug)]
struct Ticket {
    tokens: u64,
    /// When it ends unless it is renewed.
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    mood: Mood,
    /// Until when it does nothing at all, and says nothing.
    silent_until: Option<time::Instant>,
    /// Until when it writes no event of a stream.
    stalled_until: Option<time::Instant>,
    /// Delay after which reserve orders are carried out. They get no answer then.
    reserve_delay: Option<Duration>,
    /// Whether it rejects release orders as too busy.
    rejects_releases: bool,
    /// Time from the arrival of an order to its answer.
    order_time: Duration,
    /// What it answers with bytes without end, and how.
    endless: Option<(Endless, Vec<Kind>)>,
    /// What it rejects to get a pause.
    sheds: Option<Shed>,
    /// Requests at a time beyond which it rejects others and asks for a pause of a second.
    capacity: Option<usize>,
    /// When it rejected something so, and what.
    shed: Vec<(Instant, Request)>,
    /// Whether all its answers say that it leaves.
    leaves: bool,
    /// Lives whose answers said so, each with the time from which on they did.
    left: Vec<(String, Instant)>,
    /// Requests a second that it takes from all, if it names a limit.
    limit: Option<f64>,
    framing: Framing,
    /// How it answers requests, whatever else is set.
    script: Option<script::Script>,
    /// The prompt part under which it crashes.
    fatal: Option<(String, Crash)>,
    life: watch::Sender<Life>,
    crashes: Vec<Instant>,
    /// When anything arrived: requests, questions and orders alike.
    arrivals: Vec<(Instant, Kind)>,
    received: Vec<(Instant, Request)>,
    ran: Vec<Request>,
    tickets: BTreeMap<String, Ticket>,
}

/// A running stand-in.
pub struct Replica {
    /// Its first life.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    working: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    task: task::JoinHandle<()>,
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Replica {
    /// Starts one.
    pub async fn start(addr: SocketAddr, id: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let state = Arc::new(Mutex::new(State::default()));
        let working = Arc::new(AtomicUsize::new(0));
        let open = Arc::new(AtomicUsize::new(0));
        let shared = (id.to_owned(), Arc::clone(&state), Arc::clone(&working));
        let opened = Arc::clone(&open);
        let task = tokio::spawn(async move {
            let mut listener = listener;
            loop {
                let (id, state, working) = shared.clone();
                let mut life = state.lock().expect("state lock").life.subscribe();
                let number = life.borrow().number;
                let shared = (life_id(&id, number), Arc::clone(&state), working);
                let mut next = life.clone();
                let crash = tokio::select! {
                    crash = crashed(&mut life) => crash,
                    // An error: the stand-in has been dropped, and this task with it.
                    _ = next.wait_for(|life| life.number != number) => continue,
                    () = accept(&listener, &shared, &opened) => return,
                };
                let held = crash.is_dark.then_some(listener);
                time::sleep(crash.down).await;
                drop(held);
                let Ok(bound) = TcpListener::bind(addr).await else {
                    return;
                };
                listener = bound;
                let next = Life {
                    number: number + 1,
                    crash: None,
                };
                state.lock().expect("state lock").life.send_replace(next);
            }
        });
        Ok(Self {
            id: id.to_owned(),
            addr,
            state,
            working,
            open,
            task,
        })
    }

    /// Changes how it serves.
    pub fn set(&self, mood: Mood) {
        self.state.lock().expect("state lock").mood = mood;
    }

    /// Falls silent for a time and goes on afterwards: it neither reads nor writes meanwhile, and
    /// what arrives is served at the end. A time of zero ends the silence.
    pub fn silence(&self, time: Duration) {
        let until = time::Instant::now() + time;
        self.state.lock().expect("state lock").silent_until = Some(until);
    }

    /// Writes no events for a time, and serves everything else meanwhile.
    pub fn pause_streams(&self, time: Duration) {
        let until = time::Instant::now() + time;
        self.state.lock().expect("state lock").stalled_until = Some(until);
    }

    /// From now on reserve orders get no answer and are carried out after this delay. `None`: at
    /// once, and answered.
    pub fn delay_reserves(&self, delay: Option<Duration>) {
        self.state.lock().expect("state lock").reserve_delay = delay;
    }

    /// Changes what ends the bodies of its answers to requests.
    pub fn frame(&self, framing: Framing) {
        self.state.lock().expect("state lock").framing = framing;
    }

    /// From now on it answers requests as a script says, or as it should.
    pub fn script(&self, script: Option<script::Script>) {
        self.state.lock().expect("state lock").script = script;
    }

    /// From now on it crashes whenever it begins to answer a request with this prompt part.
    pub fn crash_on(&self, part: &str, crash: Crash) {
        self.state.lock().expect("state lock").fatal = Some((part.to_owned(), crash));
    }

    /// Id of its newest life.
    pub fn life(&self) -> String {
        let life = *self.state.lock().expect("state lock").life.borrow();
        life_id(&self.id, life.number)
    }

    /// Whether that life goes on.
    pub fn is_up(&self) -> bool {
        let life = *self.state.lock().expect("state lock").life.borrow();
        life.crash.is_none()
    }

    /// When it crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state.lock().expect("state lock").crashes.clone()
    }

    /// Requests that arrived, also those that it did not run.
    pub fn received(&self) -> Vec<(Instant, Request)> {
        self.state.lock().expect("state lock").received.clone()
    }

    /// From now on release orders are rejected and do nothing, or are carried out again.
    pub fn reject_releases(&self, rejects: bool) {
        self.state.lock().expect("state lock").rejects_releases = rejects;
    }

    /// From now on it answers orders so long after their arrival.
    pub fn delay_orders(&self, time: Duration) {
        self.state.lock().expect("state lock").order_time = time;
    }

    /// From now on it answers some kinds with bytes without end.
    pub fn flood(&self, endless: Endless, kinds: &[Kind]) {
        let endless = Some((endless, kinds.to_vec()));
        self.state.lock().expect("state lock").endless = endless;
    }

    /// From now on it rejects some kinds and asks for a pause, or does so no more.
    pub fn shed(&self, shed: Option<Shed>) {
        self.state.lock().expect("state lock").sheds = shed;
    }

    /// When it asked for a pause.
    pub fn shed_at(&self) -> Vec<Instant> {
        self.shed_requests().into_iter().map(|(at, _)| at).collect()
    }

    /// Takes so many requests at a time from now on, and asks for a pause of a second beyond.
    pub fn bound(&self, capacity: usize) {
        self.state.lock().expect("state lock").capacity = Some(capacity);
    }

    /// When it asked for a pause, and what it rejected.
    pub fn shed_requests(&self) -> Vec<(Instant, Request)> {
        self.state.lock().expect("state lock").shed.clone()
    }

    /// Whether all its answers say from now on that it leaves.
    pub fn leave(&self, leaves: bool) {
        let life = self.life();
        let mut state = self.state.lock().expect("state lock");
        if leaves && !state.leaves {
            state.left.push((life, Instant::now()));
        }
        state.leaves = leaves;
    }

    /// Lives whose answers say that they leave, each with the time from which on they do.
    pub fn left(&self) -> Vec<(String, Instant)> {
        self.state.lock().expect("state lock").left.clone()
    }

    /// Its next life begins, at the same address. Requests of the former one go on.
    pub fn succeed(&self) {
        let mut state = self.state.lock().expect("state lock");
        state.leaves = false;
        state.life.send_modify(|life| {
            life.number += 1;
            life.crash = None;
        });
    }

    /// Names a limit in all answers from now on, or none.
    pub fn limit(&self, per_second: Option<f64>) {
        self.state.lock().expect("state lock").limit = per_second;
    }

    /// When anything arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.arrived().into_iter().map(|(at, _)| at).collect()
    }

    /// When anything arrived, and what for.
    pub fn arrived(&self) -> Vec<(Instant, Kind)> {
        self.state.lock().expect("state lock").arrivals.clone()
    }

    /// Requests that it ran.
    pub fn ran(&self) -> Vec<Request> {
        self.state.lock().expect("state lock").ran.clone()
    }

    /// Requests at which it works now.
    pub fn working(&self) -> usize {
        self.working.load(Ordering::Acquire)
    }

    /// Connections that are open now.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Tokens set aside now.
    pub fn set_aside(&self) -> u64 {
        self.set_aside_for("")
    }

    /// Tokens set aside now under ids that begin so.
    pub fn set_aside_for(&self, prefix: &str) -> u64 {
        let now = Instant::now();
        let state = self.state.lock().expect("state lock");
        let tickets = state.tickets.iter();
        let held = tickets.filter(|(id, ticket)| id.starts_with(prefix) && ticket.until > now);
        held.map(|(_, ticket)| ticket.tokens).sum()
    }
}

/// Counts a request while it is worked at, which its caller's leaving ends, or an open connection.
struct Work(Arc<AtomicUsize>);

impl Work {
    fn begin(working: &Arc<AtomicUsize>) -> Self {
        working.fetch_add(1, Ordering::AcqRel);
        Self(Arc::clone(working))
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What the connections of a life share: its id, its state, and its requests in progress.
type Shared = (String, Arc<Mutex<State>>, Arc<AtomicUsize>);

fn life_id(first: &str, number: usize) -> String {
    match number {
        0 => first.to_owned(),
        _ => format!("{first}-{number}"),
    }
}

/// Waits until the life that runs has crashed.
async fn crashed(life: &mut watch::Receiver<Life>) -> Crash {
    // An error: the stand-in has been dropped.
    let Ok(ended) = life.wait_for(|life| life.crash.is_some()).await else {
        return std::future::pending().await;
    };
    ended.crash.expect("it has just crashed")
}

/// Accepts connections until the listener fails.
async fn accept(listener: &TcpListener, shared: &Shared, opened: &Arc<AtomicUsize>) {
    while let Ok((mut tcp, _)) = listener.accept().await {
        let (id, state, working) = shared.clone();
        let counted = Work::begin(opened);
        let mut life = state.lock().expect("state lock").life.subscribe();
        let number = life.borrow().number;
        tokio::spawn(async move {
            tokio::select! {
                () = connection(&mut tcp, id, state, working) => {}
                crash = crashed(&mut life) => {
                    if crash.is_dark {
                        // Ends with the stand-in at the latest.
                        let _ = life.wait_for(|life| life.number > number).await;
                    }
                    reset(&tcp);
                }
            }
            drop(counted);
        });
    }
}

/// Makes the close of a connection a reset.
fn reset(tcp: &TcpStream) {
    // Fails only if the connection has ended already.
    let _ = tcp.set_zero_linger();
}

async fn connection(
    tcp: &mut TcpStream,
    id: String,
    state: Arc<Mutex<State>>,
    working: Arc<AtomicUsize>,
) {
    while let Some((mut request, len)) = read_head(tcp).await {
        if let Some(script) = scripted(&state, &id, &request) {
            // Fails only if the connection has ended already.
            let _ = script.play(tcp, request.header("x-request-id"), len).await;
            return;
        }
        request.body.resize(len, 0);
        if tcp.read_exact(&mut request.body).await.is_err() {
            return;
        }
        let (mut rx, mut tx) = tcp.split();
        let served = serve(&mut tx, &id, &state, &working, request);
        let mut probe = [0; 1];
        let left = async {
            // An error is the end of the connection as well.
            let _ = rx.read(&mut probe).await;
            awake(&state).await;
        };
        let keep = tokio::select! {
            served = served => served,
            // The caller has gone, or sends what nobody asked for.
            () = left => Ok(false),
        };
        match keep {
            Ok(true) => {}
            Ok(false) => return,
            Err(_) => return reset(tcp),
        }
    }
}

/// Waits until it is not silent.
async fn awake(state: &Mutex<State>) {
    sleep_until(state, |state| state.silent_until).await;
}

/// Waits until a time of the state has passed, which may change meanwhile.
async fn sleep_until(state: &Mutex<State>, until: impl Fn(&State) -> Option<time::Instant>) {
    loop {
        let until = until(&state.lock().expect("state lock"));
        match until {
            Some(until) if until > time::Instant::now() => time::sleep_until(until).await,
            _ => return,
        }
    }
}

/// How a request is answered by script, if it is.
fn scripted(state: &Mutex<State>, id: &str, request: &Request) -> Option<script::Script> {
    let is_expected = !request.is(" /v1/") && request.header("x-expect-instance") == id;
    let mut state = state.lock().expect("state lock");
    let script = state.script.clone().filter(|_| is_expected)?;
    state.received.push((Instant::now(), request.clone()));
    state.ran.push(request.clone());
    Some(script)
}

/// Reads the head of a request, and the length of its body. `None`: the connection ended.
async fn read_head(tcp: &mut TcpStream) -> Option<(Request, usize)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(tcp.read_u8().await.ok()?);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.lines();
    let line = lines.next()?.to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|one| one.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let len = headers
        .get("content-length")
        .and_then(|one| one.parse().ok());
    let request = Request {
        line,
        headers,
        body: Vec::new(),
    };
    Some((request, len.unwrap_or(0)))
}

/// Counts an arrival. Returns the header lines that all its answers bear now.
fn record_arrival(state: &Mutex<State>, kind: Kind) -> String {
    let mut state = state.lock().expect("state lock");
    state.arrivals.push((Instant::now(), kind));
    let named = state.limit.map(|one| format!("Server-Limit: {one}\r\n"));
    let mut lines = named.unwrap_or_default();
    if state.leaves {
        lines += "Server-Leaving: 1\r\n";
    }
    lines
}

/// The header lines of a rejection that asks for a pause, if this kind is rejected now.
fn shed(state: &Mutex<State>, kind: Kind, request: &Request, working: usize) -> Option<String> {
    let mut state = state.lock().expect("state lock");
    let shed = state.sheds.clone();
    let shed = shed.filter(|shed| shed.kinds.contains(&kind));
    let is_full = state.capacity.is_some_and(|most| working >= most) && kind == Kind::Request;
    let shed = shed.or_else(|| is_full.then(|| Shed::new(1.0, &[kind])))?;
    state.shed.push((Instant::now(), request.clone()));
    let mut lines = String::new();
    for value in &shed.retry_after {
        lines += &format!("Retry-After: {value}\r\n");
    }
    Some(lines)
}

/// How something of this kind is answered without end, if it is.
fn endless(state: &Mutex<State>, kind: Kind) -> Option<Endless> {
    let state = state.lock().expect("state lock");
    let (endless, kinds) = state.endless.as_ref()?;
    kinds.contains(&kind).then_some(*endless)
}

/// Writes until the connection is closed.
async fn flood(
    tx: &mut (impl AsyncWriteExt + Unpin),
    endless: Endless,
    head: &str,
) -> std::io::Result<bool> {
    let (first, again) = endless.parts(head);
    tx.write_all(first.as_bytes()).await?;
    loop {
        tx.write_all(again.as_bytes()).await?;
        time::sleep(endless.pause()).await;
    }
}

async fn serve(
    tx: &mut (impl AsyncWriteExt + Unpin),
    id: &str,
    state: &Arc<Mutex<State>>,
    working: &Arc<AtomicUsize>,
    request: Request,
) -> std::io::Result<bool> {
    if request.is("POST /v1/order") {
        return order(tx, state, request).await;
    }
    if !request.is("GET /v1/report") {
        let received = (Instant::now(), request.clone());
        state.lock().expect("state lock").received.push(received);
    }
    awake(state).await;
    let is_report = request.is("GET /v1/report");
    let kind = if is_report {
        Kind::Report
    } else {
        Kind::Request
    };
    let limit = record_arrival(state, kind);
    if let Some(endless) = endless(state, kind) {
        let id = request.header("x-request-id");
        let head = format!("X-Request-Id: {id}\r\nX-Response-Seal: seal-of-{id}\r\n");
        return flood(tx, endless, &head).await;
    }
    if is_report {
        if let Some(lines) = shed(state, kind, &request, 0) {
            let head = limit + &lines;
            return answer(tx, "503 Service Unavailable", &head, b"").await;
        }
        let body = b"{\"queued\":0,\"active\":0,\"pace\":1.0}";
        return answer(tx, "200 OK", &limit, body).await;
    }
    let echo = format!(
        "{limit}X-Request-Id: {}\r\n",
        request.header("x-request-id")
    );
    if request.header("x-expect-instance") != id {
        return answer(tx, "421 Misdirected Request", &echo, b"").await;
    }
    let taken = working.load(Ordering::Acquire);
    if let Some(lines) = shed(state, kind, &request, taken) {
        let head = format!("{echo}X-Not-Executed: 1\r\n{lines}");
        return answer(tx, "503 Service Unavailable", &head, b"").await;
    }
    let (mood, framing, fatal) = {
        let state = state.lock().expect("state lock");
        (state.mood, state.framing, state.fatal.clone())
    };
    if mood == Mood::Full {
        let head = format!("{echo}X-Not-Executed: 1\r\n");
        return answer(tx, "503 Service Unavailable", &head, b"").await;
    }
    state.lock().expect("state lock").ran.push(request.clone());
    let _work = Work::begin(working);
    let sealed = format!("{echo}X-Response-Seal: seal-of-{id}\r\n");
    let fatal = fatal.filter(|(part, _)| request.has_part(part));
    if let Some((_, crash)) = fatal {
        let begin = begin(tx, state, framing, &sealed, &request);
        // Its end does not matter: the crash ends it in any case.
        let _ = time::timeout(crash.after, begin).await;
        end_life(state, crash);
        return std::future::pending().await;
    }
    match mood {
        Mood::Mute => std::future::pending().await,
        Mood::Breaks if !request.is("/stream/") => Ok(false),
        _ if request.is("/stream/") => stream(tx, state, mood, framing, &sealed, &request).await,
        Mood::Doubles => {
            let other = "X-Request-Id: of-another\r\nX-Response-Seal: s\r\n";
            answer(tx, "200 OK", other, b"not yours").await
        }
        _ if request.is("/slow/") => {
            time::sleep(Duration::from_secs(30)).await;
            answer(tx, "200 OK", &sealed, b"late").await
        }
        _ => whole(tx, mood, framing, &sealed).await,
    }
}

fn end_life(state: &Mutex<State>, crash: Crash) {
    let mut state = state.lock().expect("state lock");
    let is_new = state.life.send_if_modified(|life| {
        let is_new = life.crash.is_none();
        life.crash.get_or_insert(crash);
        is_new
    });
    if is_new {
        state.crashes.push(Instant::now());
    }
}

/// Begins an answer and never ends it.
async fn begin(
    tx: &mut (impl AsyncWriteExt + Unpin),
    state: &Mutex<State>,
    framing: Framing,
    head: &str,
    request: &Request,
) -> std::io::Result<()> {
    if request.is("/stream/") {
        stream(tx, state, Mood::Stalls, framing, head, request).await?;
    }
    half(tx, framing, head).await?;
    std::future::pending().await
}

/// The head of an answer and a part of its body.
async fn half(
    tx: &mut (impl AsyncWriteExt + Unpin),
    framing: Framing,
    head: &str,
) -> std::io::Result<()> {
    let end = framing.line("Content-Length: 5\r\n");
    let half = format!("HTTP/1.1 200 OK\r\n{head}{end}\r\nwh");
    tx.write_all(half.as_bytes()).await
}

async fn whole(
    tx: &mut (impl AsyncWriteExt + Unpin),
    mood: Mood,
    framing: Framing,
    head: &str,
) -> std::io::Result<bool> {
    half(tx, framing, head).await?;
    if mood == Mood::Resets {
        time::sleep(PAUSE).await;
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    tx.write_all(b"ole").await?;
    Ok(framing == Framing::Framed)
}

async fn stream(
    tx: &mut (impl AsyncWriteExt + Unpin),
    state: &Mutex<State>,
    mood: Mood,
    framing: Framing,
    head: &str,
    request: &Request,
) -> std::io::Result<bool> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n{}\r\n",
        framing.line("Transfer-Encoding: chunked\r\n")
    );
    tx.write_all(head.as_bytes()).await?;
    let after: usize = request.header("last-event-id").parse().unwrap_or(0);
    if mood == Mood::Floods {
        let text = "x".repeat(64 << 10);
        for id in after + 1.. {
            awake(state).await;
            let event = format!("id: {id}\ndata: {text}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            tx.write_all(chunk.as_bytes()).await?;
        }
    }
    for id in after + 1..=EVENTS {
        time::sleep(PAUSE).await;
        sleep_until(state, |state| state.stalled_until).await;
        awake(state).await;
        let event = format!("id: {id}\ndata: token {id}\n\n");
        if mood == Mood::Breaks && id == after + 6 {
            let half = &event[..event.len() / 2];
            tx.write_all(framing.chunk(half).as_bytes()).await?;
            return Ok(false);
        }
        if mood == Mood::Resets && id == after + 6 {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        if mood == Mood::Stalls && id == after + 6 {
            std::future::pending::<()>().await;
        }
        tx.write_all(framing.chunk(&event).as_bytes()).await?;
    }
    if framing == Framing::Framed {
        tx.write_all(b"0\r\n\r\n").await?;
    }
    Ok(framing == Framing::Framed)
}

/// Carries an order out. One that has arrived is carried out even if its sender has gone.
async fn order(
    tx: &mut (impl AsyncWriteExt + Unpin),
    state: &Arc<Mutex<State>>,
    request: Request,
) -> std::io::Result<bool> {
    let order: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let reserves = order["operation"] == "reserve";
    let (delay, rejects, order_time) = {
        let state = state.lock().expect("state lock");
        let rejects = state.rejects_releases && !reserves;
        (state.reserve_delay, rejects, state.order_time)
    };
    if let Some(lines) = shed(state, Kind::Order, &request, 0) {
        let head = record_arrival(state, Kind::Order) + &lines;
        return answer(tx, "503 Service Unavailable", &head, b"").await;
    }
    if let Some(endless) = endless(state, Kind::Order) {
        record_arrival(state, Kind::Order);
        return flood(tx, endless, "").await;
    }
    if rejects {
        let head = record_arrival(state, Kind::Order);
        return answer(tx, "503 Service Unavailable", &head, b"").await;
    }
    let delay = delay.filter(|_| reserves);
    let shared = Arc::clone(state);
    let carried_out = tokio::spawn(async move {
        time::sleep(delay.unwrap_or_default()).await;
        awake(&shared).await;
        carry_out(&shared, &order);
    });
    if delay.is_some() {
        return std::future::pending().await;
    }
    carried_out.await.map_err(std::io::Error::other)?;
    let head = record_arrival(state, Kind::Order);
    time::sleep(order_time).await;
    answer(tx, "200 OK", &head, b"{\"free_slots\":1}").await
}

fn carry_out(state: &Mutex<State>, order: &serde_json::Value) {
    let id = order["id"].as_str().unwrap_or_default().to_owned();
    let mut state = state.lock().expect("state lock");
    if order["operation"] != "reserve" {
        state.tickets.remove(&id);
        return;
    }
    let hold = order["hold_ms"].as_u64().unwrap_or_default();
    let ticket = Ticket {
        tokens: order["tokens"].as_u64().unwrap_or_default(),
        until: Instant::now() + Duration::from_millis(hold),
    };
    state.tickets.insert(id, ticket);
}

async fn answer(
    tx: &mut (impl AsyncWriteExt + Unpin),
    status: &str,
    head: &str,
    body: &[u8],
) -> std::io::Result<bool> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{head}Content-Length: {}\r\n\r\n",
        body.len()
    );
    tx.write_all(head.as_bytes()).await?;
    tx.write_all(body).await?;
    Ok(true)
}
