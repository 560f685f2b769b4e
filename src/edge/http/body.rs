//! Reads callers' bodies within limits of size, time and memory.

use std::sync::Arc;
use std::time::Duration;

use rocket::data::ToByteUnit;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time;

use super::answer;
use super::auth;
use crate::wire::outcome;

/// Maximum size of a body in bytes. Fits a million tokens of 8 bytes each, with JSON escapes and the
/// rest of the JSON.
pub const MAX_BODY: usize = 24 << 20;

/// Granularity in which body memory is reserved.
const UNIT_BYTES: usize = 4 << 10;

/// Delay before a caller should retry, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Memory pool for callers' bodies.
pub struct Pool {
    units: Arc<Semaphore>,
    /// Timeout for receiving a body.
    timeout: Duration,
}

/// A body with its share of the pool, which is released when `permit` is dropped.
pub struct Body {
    pub bytes: Vec<u8>,
    /// Held until the request has ended.
    pub permit: OwnedSemaphorePermit,
}

impl Pool {
    /// A pool of `memory` bytes. Bodies must arrive within `timeout`.
    pub fn new(memory: usize, timeout: Duration) -> Self {
        Self {
            units: Arc::new(Semaphore::new(memory / UNIT_BYTES)),
            timeout,
        }
    }

    /// Reads a full body. A body without a Content-Length reserves the maximum size.
    pub async fn read(
        &self,
        headers: &auth::Headers<'_>,
        data: rocket::Data<'_>,
    ) -> Result<Body, answer::Error> {
        let length = headers.0.get_one("Content-Length");
        let expected = match length.map(str::parse::<usize>) {
            None => MAX_BODY,
            Some(Ok(length)) if length <= MAX_BODY => length,
            Some(Ok(_)) => return Err(too_large()),
            Some(Err(_)) => {
                return Err(answer::Error::bad_request("Content-Length is not a number"));
            }
        };
        let units = expected.div_ceil(UNIT_BYTES).max(1) as u32;
        let permit = Arc::clone(&self.units)
            .try_acquire_many_owned(units)
            .map_err(|_| out_of_memory())?;
        let read = data.open(MAX_BODY.bytes()).into_bytes();
        let read = time::timeout(self.timeout, read).await;
        let bytes = match read {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) => return Err(answer::Error::bad_request("the body ended early")),
            Err(_) => return Err(timed_out(self.timeout)),
        };
        if !bytes.is_complete() {
            return Err(too_large());
        }
        Ok(Body {
            bytes: bytes.into_inner(),
            permit,
        })
    }
}

fn too_large() -> answer::Error {
    let text = format!("the body is larger than {MAX_BODY} bytes");
    let failure = outcome::Failure::not_run(outcome::Cause::TooLarge, None, &text);
    answer::Error::new(failure)
}

fn out_of_memory() -> answer::Error {
    let text = "the memory for requests is used up";
    let failure = outcome::Failure::not_run(outcome::Cause::Busy, Some(RETRY_MS), text);
    answer::Error::new(failure)
}

fn timed_out(timeout: Duration) -> answer::Error {
    let text = format!("the body did not come within {} ms", timeout.as_millis());
    let failure = outcome::Failure::not_run(outcome::Cause::SlowCaller, Some(RETRY_MS), &text);
    answer::Error::new(failure)
}
