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
use tokio::task;
use tokio::time;

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
    /// It answers with bytes of another request's answer before the right one.
    Doubles,
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
    /// Requests a second that it takes from all, if it names a limit.
    limit: Option<f64>,
    /// When anything arrived: requests, questions and orders alike.
    arrivals: Vec<Instant>,
    ran: Vec<Request>,
    tickets: BTreeMap<String, Ticket>,
}

/// A running stand-in.
pub struct Replica {
    /// Its life.
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
            while let Ok((tcp, _)) = listener.accept().await {
                let (id, state, working) = shared.clone();
                let counted = Work::begin(&opened);
                tokio::spawn(async move {
                    connection(tcp, id, state, working).await;
                    drop(counted);
                });
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

    /// Names a limit in all answers from now on, or none.
    pub fn limit(&self, per_second: Option<f64>) {
        self.state.lock().expect("state lock").limit = per_second;
    }

    /// When anything arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
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
        let now = Instant::now();
        let state = self.state.lock().expect("state lock");
        let held = state.tickets.values().filter(|ticket| ticket.until > now);
        held.map(|ticket| ticket.tokens).sum()
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

async fn connection(
    mut tcp: TcpStream,
    id: String,
    state: Arc<Mutex<State>>,
    working: Arc<AtomicUsize>,
) {
    while let Some(request) = read(&mut tcp).await {
        let (mut rx, mut tx) = tcp.split();
        let served = serve(&mut tx, &id, &state, &working, request);
        let mut probe = [0; 1];
        let left = async {
            // An error is the end of the connection as well.
            let _ = rx.read(&mut probe).await;
            awake(&state).await;
        };
        let keep = tokio::select! {
            served = served => served.unwrap_or(false),
            // The caller has gone, or sends what nobody asked for.
            () = left => false,
        };
        if !keep {
            return;
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

/// Reads one request. `None`: the connection ended.
async fn read(tcp: &mut TcpStream) -> Option<Request> {
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
    let mut body = vec![0; len.unwrap_or(0)];
    tcp.read_exact(&mut body).await.ok()?;
    Some(Request {
        line,
        headers,
        body,
    })
}

/// Counts an arrival. Returns the header line of the limit that it names, if it names one.
fn record_arrival(state: &Mutex<State>) -> String {
    let mut state = state.lock().expect("state lock");
    state.arrivals.push(Instant::now());
    let named = state.limit.map(|one| format!("Server-Limit: {one}\r\n"));
    named.unwrap_or_default()
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
    awake(state).await;
    let limit = record_arrival(state);
    if request.is("GET /v1/report") {
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
    let mood = state.lock().expect("state lock").mood;
    if mood == Mood::Full {
        let head = format!("{echo}X-Not-Executed: 1\r\n");
        return answer(tx, "503 Service Unavailable", &head, b"").await;
    }
    state.lock().expect("state lock").ran.push(request.clone());
    let _work = Work::begin(working);
    let sealed = format!("{echo}X-Response-Seal: seal-of-{id}\r\n");
    match mood {
        Mood::Mute => std::future::pending().await,
        Mood::Breaks if !request.is("/stream/") => Ok(false),
        _ if request.is("/stream/") => stream(tx, state, mood, &sealed, &request).await,
        Mood::Doubles => {
            let other = "X-Request-Id: of-another\r\nX-Response-Seal: s\r\n";
            answer(tx, "200 OK", other, b"not yours").await
        }
        _ if request.is("/slow/") => {
            time::sleep(Duration::from_secs(30)).await;
            answer(tx, "200 OK", &sealed, b"late").await
        }
        _ => answer(tx, "200 OK", &sealed, b"whole").await,
    }
}

async fn stream(
    tx: &mut (impl AsyncWriteExt + Unpin),
    state: &Mutex<State>,
    mood: Mood,
    head: &str,
    request: &Request,
) -> std::io::Result<bool> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    tx.write_all(head.as_bytes()).await?;
    let after: usize = request.header("last-event-id").parse().unwrap_or(0);
    for id in after + 1..=EVENTS {
        time::sleep(PAUSE).await;
        sleep_until(state, |state| state.stalled_until).await;
        awake(state).await;
        let event = format!("id: {id}\ndata: token {id}\n\n");
        if mood == Mood::Breaks && id == after + 6 {
            let half = &event[..event.len() / 2];
            let chunk = format!("{:x}\r\n{half}\r\n", half.len());
            tx.write_all(chunk.as_bytes()).await?;
            return Ok(false);
        }
        if mood == Mood::Stalls && id == after + 6 {
            std::future::pending::<()>().await;
        }
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        tx.write_all(chunk.as_bytes()).await?;
    }
    tx.write_all(b"0\r\n\r\n").await?;
    Ok(true)
}

/// Carries an order out. One that has arrived is carried out even if its sender has gone.
async fn order(
    tx: &mut (impl AsyncWriteExt + Unpin),
    state: &Arc<Mutex<State>>,
    request: Request,
) -> std::io::Result<bool> {
    let order: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let reserves = order["operation"] == "reserve";
    let delay = state.lock().expect("state lock").reserve_delay;
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
    let head = record_arrival(state);
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
