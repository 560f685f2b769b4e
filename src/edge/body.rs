//! Reads the bodies of requests within limits of size, time and memory.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::body::Body as _;
use tokio::sync::Notify;
use tokio::time;

use super::guard;
use crate::overload;

/// Longest wait of a body for memory.
const MEMORY_WAIT: Duration = Duration::from_secs(1);

/// Interval in which a body that waits for memory asks again.
const MEMORY_POLL: Duration = Duration::from_millis(50);

/// Bytes after which what was received is recorded.
const RECORD_BYTES: usize = 4 << 10;

/// Time in which the rest of a rejected request's body is read, so that its caller gets the response
/// before the connection closes.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Limits on one body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest size.
    pub bytes: usize,
    /// Longest time without any byte.
    pub idle: Duration,
    /// When it must have come.
    pub deadline: Instant,
}

/// Why a body was not read. Its request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It is larger than allowed.
    TooLarge,
    /// It ended early, or its framing is wrong.
    Broken,
    /// It paused for too long or did not come in time.
    Late,
    /// It made less progress than others while memory or connections were used up.
    Yielded,
    /// There is no memory for it.
    Full,
}

impl Failure {
    /// What is counted as refused. `None`: the caller is gone.
    fn cause(self) -> Option<guard::Cause> {
        match self {
            Self::TooLarge => Some(guard::Cause::BodySize),
            Self::Broken => None,
            Self::Late => Some(guard::Cause::BodyTime),
            Self::Yielded => Some(guard::Cause::BodyProgress),
            Self::Full => Some(guard::Cause::Memory),
        }
    }
}

/// Memory for the bodies of one listener.
#[derive(Debug)]
pub struct Pool {
    began: Instant,
    memory: Mutex<overload::Memory>,
    /// One for each body that is being read.
    reading: Mutex<HashMap<u64, Arc<Notify>>>,
    freed: Notify,
}

impl Pool {
    /// A pool of `bytes`.
    pub fn new(bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            began: Instant::now(),
            memory: Mutex::new(overload::Memory::new(bytes)),
            reading: Mutex::default(),
            freed: Notify::new(),
        })
    }

    /// Bytes in use.
    pub fn used(&self) -> usize {
        self.memory().used()
    }

    /// Reads a whole body.
    pub async fn read(
        self: &Arc<Self>,
        body: &mut body::Incoming,
        slot: &guard::Slot,
        limits: &Limits,
    ) -> Result<Whole, Failure> {
        let read = self.read_within(body, slot, limits).await;
        slot.serve();
        if let Some(cause) = read.as_ref().err().and_then(|failure| failure.cause()) {
            slot.guard().refused(cause);
        }
        read
    }

    async fn read_within(
        self: &Arc<Self>,
        body: &mut body::Incoming,
        slot: &guard::Slot,
        limits: &Limits,
    ) -> Result<Whole, Failure> {
        if is_announced_over(body, limits.bytes) {
            return Err(Failure::TooLarge);
        }
        let announced = body.size_hint().exact().map(|bytes| bytes as usize);
        let most = announced.unwrap_or(limits.bytes);
        let mut reader = Reader::new(self, most);
        slot.wait_for_body();
        let idle = time::sleep(limits.idle);
        tokio::pin!(idle);
        let mut received = Instant::now();
        let deadline = time::sleep_until(limits.deadline.into());
        tokio::pin!(deadline);
        let yields = Arc::clone(&reader.yields);
        let yields = yields.notified();
        tokio::pin!(yields);
        let gives_up = slot.has_to_give_up_body();
        tokio::pin!(gives_up);
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = &mut yields => return Err(Failure::Yielded),
                () = &mut gives_up => return Err(Failure::Yielded),
                () = &mut deadline => return Err(Failure::Late),
                () = &mut idle => {
                    let due = received + limits.idle;
                    if due <= Instant::now() {
                        return Err(Failure::Late);
                    }
                    idle.as_mut().reset(due.into());
                    continue;
                }
            };
            let data = match frame {
                None => break,
                Some(Err(_)) => return Err(Failure::Broken),
                // Trailers are not passed on.
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            received = Instant::now();
            if reader.bytes.len() + data.len() > limits.bytes {
                return Err(Failure::TooLarge);
            }
            if reader.push(&data).await? {
                slot.wait_for_body();
            }
        }
        Ok(reader.finish())
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn memory(&self) -> MutexGuard<'_, overload::Memory> {
        self.memory.lock().expect("body memory lock")
    }

    fn reading(&self) -> MutexGuard<'_, HashMap<u64, Arc<Notify>>> {
        self.reading.lock().expect("bodies lock")
    }
}

/// Whether a body announces more bytes than allowed.
pub fn is_announced_over(body: &body::Incoming, bytes: usize) -> bool {
    body.size_hint().lower() > bytes as u64
}

/// Reads the rest of a rejected request's body for a while and drops it.
pub fn discard(mut body: body::Incoming, limit: usize) {
    if body.is_end_stream() {
        return;
    }
    let reading = async move {
        let mut left = limit;
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            if bytes > left {
                return;
            }
            left -= bytes;
        }
    };
    tokio::spawn(time::timeout(DISCARD_TIME, reading));
}

/// The bytes of a body that is being read.
struct Reader {
    pool: Arc<Pool>,
    id: u64,
    /// Told when it has to yield.
    yields: Arc<Notify>,
    /// Most bytes that it may have.
    most: usize,
    bytes: Vec<u8>,
    /// Bytes that are recorded with the memory.
    recorded: usize,
}

impl Reader {
    fn new(pool: &Arc<Pool>, most: usize) -> Self {
        let id = pool.memory().begin(pool.now());
        let yields = Arc::<Notify>::default();
        pool.reading().insert(id, Arc::clone(&yields));
        Self {
            pool: Arc::clone(pool),
            id,
            yields,
            most,
            bytes: Vec::new(),
            recorded: 0,
        }
    }

    /// Copies `data`, which keeps the whole buffer that it was read into. Returns whether the body
    /// has progressed.
    async fn push(&mut self, data: &[u8]) -> Result<bool, Failure> {
        let needed = self.bytes.len() + data.len();
        let mut has_progressed = false;
        if needed > self.bytes.capacity() {
            self.record();
            has_progressed = true;
            let capacity = (2 * self.bytes.capacity()).min(self.most).max(needed);
            self.claim(capacity).await?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        if self.bytes.len() >= self.recorded + RECORD_BYTES {
            has_progressed |= self.record();
        }
        Ok(has_progressed)
    }

    /// Records what has been received since the last time.
    fn record(&mut self) -> bool {
        let now = self.pool.now();
        let more = self.bytes.len() - self.recorded;
        self.recorded = self.bytes.len();
        self.pool.memory().receive(now, self.id, more)
    }

    /// Takes memory for `capacity` bytes, and reads no further before it has it.
    async fn claim(&self, capacity: usize) -> Result<(), Failure> {
        let give_up = time::Instant::now() + MEMORY_WAIT;
        loop {
            let freed = self.pool.freed.notified();
            let grant = self.pool.memory().grow(self.pool.now(), self.id, capacity);
            match grant {
                overload::Grant::Granted => return Ok(()),
                overload::Grant::Yields(id) => {
                    if let Some(yields) = self.pool.reading().get(&id) {
                        yields.notify_one();
                    }
                }
                overload::Grant::Waits => {}
            }
            if time::Instant::now() >= give_up {
                return Err(Failure::Full);
            }
            // A body that yields gives its memory back in its own task.
            let _ = time::timeout(MEMORY_POLL, freed).await;
        }
    }

    fn finish(mut self) -> Whole {
        let held = self.pool.memory().finish(self.id);
        Whole {
            bytes: std::mem::take(&mut self.bytes),
            claim: Claim {
                pool: Arc::clone(&self.pool),
                bytes: held,
            },
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.pool.reading().remove(&self.id);
        self.pool.memory().abandon(self.id);
        self.pool.freed.notify_waiters();
    }
}

/// A body that was read whole.
#[derive(Debug)]
pub struct Whole {
    pub bytes: Vec<u8>,
    /// Its memory, held until the request has ended.
    pub claim: Claim,
}

impl Whole {
    /// The body as shared bytes, which hold the claim as long as they are used.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Whole {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Memory of a body that was read whole. Dropping it gives the memory back.
#[derive(Debug)]
pub struct Claim {
    pool: Arc<Pool>,
    bytes: usize,
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.pool.memory().release(self.bytes);
        self.pool.freed.notify_waiters();
    }
}
