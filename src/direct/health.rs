//! The health of backend servers.

use std::collections::HashMap;
use std::time::Duration;

use super::register;

/// Pause after a server could first not be reached; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause. A server that crashed is usually back after a few seconds.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Pause after a server rejected a request and named no time; it doubles with each rejection in a row. A
/// server that rejects at once looks idle and attracts more.
const FIRST_REJECTED_PAUSE: Duration = Duration::from_millis(100);

/// Longest such pause.
const MAX_REJECTED_PAUSE: Duration = Duration::from_secs(2);

/// Weight of the newest response in a server's failure rate, a moving average over about eight
/// responses.
const NEWEST_WEIGHT: f64 = 0.12;

/// Least failure rate that is reported; a lower one counts as 0.
const MIN_FAILURE_RATE: f64 = 0.25;

/// How long calls that may not be repeated avoid a server after it could not be reached or lost one,
/// unless it answers before. One that goes up and down by turns, or that hangs while its reports are
/// good, loses one such call after each pause otherwise.
const DOUBT: Duration = Duration::from_secs(6);

/// Time constant of the failure rate's exponential decay.
const FAILURE_DECAY: Duration = Duration::from_secs(8);

#[derive(Clone, Debug, Default)]
struct Server {
    /// Consecutive failures to reach it.
    unreachable: u32,
    /// When it last could not be reached.
    unreachable_at: Duration,
    /// Consecutive rejections.
    rejected: u32,
    /// It is sent no new requests before this time.
    paused_until: Duration,
    /// End of its last pause for not being reached. 0 once it has answered, a rejection included.
    unreachable_until: Duration,
    /// Moving average of failed responses, from 0 to 1.
    failure_rate: f64,
    /// When `failure_rate` was last updated.
    updated_at: Duration,
    /// Factor by which it is slower than its time model. 0: unknown.
    pace: f64,
}

/// The recent health of backend servers.
#[derive(Debug, Default)]
pub struct Health {
    by_instance: HashMap<register::Instance, Server>,
}

impl Health {
    /// Notes that a server could not be reached or crashed. Returns the end of its pause.
    pub fn record_unreachable(&mut self, now: Duration, instance: &register::Instance) -> Duration {
        let server = self.by_instance.entry(instance.clone()).or_default();
        server.unreachable = (server.unreachable + 1).min(8);
        server.unreachable_at = now;
        let pause = FIRST_PAUSE * 2u32.saturating_pow(server.unreachable - 1);
        server.paused_until = now + pause.min(MAX_PAUSE);
        server.unreachable_until = server.paused_until;
        server.paused_until
    }

    /// Notes that a server rejected a request.
    pub fn record_rejection(&mut self, now: Duration, instance: &register::Instance) {
        let server = self.by_instance.entry(instance.clone()).or_default();
        server.rejected = (server.rejected + 1).min(8);
        let pause = FIRST_REJECTED_PAUSE * 2u32.saturating_pow(server.rejected - 1);
        let until = now + pause.min(MAX_REJECTED_PAUSE);
        server.paused_until = server.paused_until.max(until);
        server.unreachable_until = Duration::ZERO;
    }

    /// Notes a response. `ok`: it was correct and in time.
    pub fn record_response(&mut self, now: Duration, instance: &register::Instance, ok: bool) {
        let server = self.by_instance.entry(instance.clone()).or_default();
        if ok {
            server.unreachable = 0;
            server.rejected = 0;
            server.paused_until = Duration::ZERO;
            server.unreachable_until = Duration::ZERO;
        }
        let before = decayed(server, now);
        server.failure_rate = before + NEWEST_WEIGHT * (f64::from(u8::from(!ok)) - before);
        server.updated_at = now;
    }

    /// Stores the factor by which a server is slower than its time model.
    pub fn set_pace(&mut self, instance: &register::Instance, pace: f64) {
        self.by_instance.entry(instance.clone()).or_default().pace = pace;
    }

    /// Factor by which a server is slower than its time model, 1 if unknown.
    pub fn pace(&self, instance: &register::Instance) -> f64 {
        let pace = self
            .by_instance
            .get(instance)
            .map_or(1.0, |server| server.pace);
        if pace > 0.0 { pace } else { 1.0 }
    }

    /// Whether a server is currently sent no new requests.
    pub fn is_paused(&self, now: Duration, instance: &register::Instance) -> bool {
        self.by_instance
            .get(instance)
            .is_some_and(|server| now < server.paused_until)
    }

    /// Whether a server could not be reached, or lost a call, and has not answered since.
    pub fn is_doubted(&self, now: Duration, instance: &register::Instance) -> bool {
        self.by_instance
            .get(instance)
            .is_some_and(|server| server.unreachable > 0 && now < server.unreachable_at + DOUBT)
    }

    /// Whether a server is in a pause because it could not be reached or crashed, and has not
    /// answered since.
    pub fn is_unreachable(&self, now: Duration, instance: &register::Instance) -> bool {
        self.by_instance
            .get(instance)
            .is_some_and(|server| now < server.unreachable_until)
    }

    /// Rate of failed responses, from 0 to 1; 0 if it is less than [`MIN_FAILURE_RATE`].
    pub fn failure_rate(&self, now: Duration, instance: &register::Instance) -> f64 {
        let rate = self
            .by_instance
            .get(instance)
            .map_or(0.0, |server| decayed(server, now));
        if rate < MIN_FAILURE_RATE { 0.0 } else { rate }
    }

    /// Forgets servers that are not in `known`.
    pub fn retain(&mut self, known: impl Fn(&register::Instance) -> bool) {
        self.by_instance.retain(|instance, _| known(instance));
    }
}

fn decayed(server: &Server, now: Duration) -> f64 {
    let since = now.saturating_sub(server.updated_at).as_secs_f64();
    server.failure_rate * (-since / FAILURE_DECAY.as_secs_f64()).exp()
}
