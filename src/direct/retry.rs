//! Decides after a failed attempt whether the request is sent again, and how the caller is
//! answered if it is not.

use std::time::Duration;

use super::catalog;
use super::register;

/// Why an attempt gave no response to pass on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Rejected by this entry, since too many requests wait already or it could not be in time: when
    /// to retry.
    Away(Duration),
    /// The rate limits of its servers are used up: when to retry.
    Limited(Duration),
    /// All its servers asked for a pause: when to retry.
    Paused(Duration),
    /// Not sent: no connection could be opened.
    Unsent,
    /// Not sent: a server that was chosen for it takes no requests any more, or asked for a pause.
    Withdrawn,
    /// Not sent: a helper server did not reserve memory for its segment of the prompt.
    Unreserved(register::Instance),
    /// Not sent: all servers are in evacuated zones or outside the request's home regions.
    Excluded,
    /// The server says that it did not run the request.
    NotRun {
        /// Address of the server that caused it, if known.
        at_fault: Option<String>,
        /// A different instance answered than the one that was chosen.
        displaced: bool,
    },
    /// Sent, and the response did not arrive whole: the request may have run.
    Broken,
    /// The server did not answer, and does not answer probes either.
    Silent,
    /// The server answers probes, but this request has waited too long.
    Slow,
    /// The server ran the request and answered with an error.
    Failed,
    /// Not sent: backend servers crashed under it, or under a part of its prompt.
    Suspect,
    /// The request's deadline has passed.
    Late,
    /// This process will stop before the response could be complete.
    Ending,
}

impl Failure {
    /// Whether the request certainly has not run.
    pub fn not_run(&self) -> bool {
        matches!(
            self,
            Self::Away(_)
                | Self::Limited(_)
                | Self::Paused(_)
                | Self::Unsent
                | Self::Withdrawn
                | Self::Unreserved(_)
                | Self::Excluded
                | Self::NotRun { .. }
                | Self::Suspect
                | Self::Ending
        )
    }
}

/// The attempts of a request so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    /// Attempts that may have run.
    pub ran: u32,
    /// All attempts, including those that could not be sent.
    pub tried: u32,
}

impl History {
    /// As it counts for another attempt while an earlier one is open.
    #[must_use]
    pub fn beside_open(self) -> Self {
        let tried = self.tried + KEPT_ATTEMPTS;
        Self { tried, ..self }
    }
}

/// Attempts of a request, including rejected and unsent ones: each loads the backend servers.
const MAX_ATTEMPTS: u32 = 6;

/// Attempts that are kept while an earlier one is open: it may still fail, when others have capacity
/// again.
const KEPT_ATTEMPTS: u32 = 2;

/// Least time before the deadline for which another attempt is worthwhile.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

/// Why a request is not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Too little time is left until its deadline.
    Time,
    /// It was tried as often as any request may be.
    Attempts,
    /// No other attempt mends this failure.
    Cause,
    /// It may have run, and its route allows one run.
    Unrepeatable,
    /// It may have run on as many servers as its route allows.
    Servers,
    /// The retry budget of its service is spent.
    Budget,
}

impl Denial {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Time => "time",
            Self::Attempts => "attempts",
            Self::Cause => "cause",
            Self::Unrepeatable => "unrepeatable",
            Self::Servers => "servers",
            Self::Budget => "budget",
        }
    }
}

/// Whether a request is sent again after `failure`, with `left` until its deadline.
pub fn is_allowed(
    route: &catalog::Route,
    failure: &Failure,
    history: History,
    left: Duration,
) -> bool {
    check(route, failure, history, left).is_ok()
}

/// [`is_allowed`], with the reason if it is not. The retry budget is not asked.
pub fn check(
    route: &catalog::Route,
    failure: &Failure,
    history: History,
    left: Duration,
) -> Result<(), Denial> {
    if left < MIN_TIME_LEFT {
        return Err(Denial::Time);
    }
    if history.tried >= MAX_ATTEMPTS {
        return Err(Denial::Attempts);
    }
    if matches!(
        failure,
        Failure::Away(_)
            | Failure::Limited(_)
            | Failure::Paused(_)
            | Failure::Excluded
            | Failure::Suspect
            | Failure::Late
            | Failure::Ending
    ) {
        return Err(Denial::Cause);
    }
    if failure.not_run() {
        return Ok(());
    }
    if !route.repeatable() {
        return Err(Denial::Unrepeatable);
    }
    if history.ran >= route.max_servers.max(1) {
        return Err(Denial::Servers);
    }
    Ok(())
}

/// Whether `failure` makes all entries avoid the server at once.
///
/// A call that may not be repeated is lost with its connection. A server that closes connections at
/// once looks idle, so it attracts the next calls: in a service of five servers, one that went up and
/// down lost 15 calls of 9 entries within 5 s.
pub fn suspects_server(route: &catalog::Route, failure: &Failure) -> bool {
    matches!(failure, Failure::Broken) && !route.repeatable()
}

/// The answer to a caller when there is no response to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request did not run and will not; retry after this time.
    Busy(Duration),
    /// The request may have run, and failed.
    Failed,
    /// The deadline has passed.
    TimedOut,
}

/// Least and most time after which a caller is asked to retry.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(2));

/// When to retry a request that is not sent because servers crashed under it. Most likely not at all.
pub const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(30);

/// When a request with `left` until its deadline is to be retried, if nothing better is known.
pub fn retry_after(left: Duration) -> Duration {
    (left / 6).clamp(RETRY_AFTER.0, RETRY_AFTER.1)
}

/// The answer to the caller after the last attempt.
pub fn reply(failure: &Failure, history: History, left: Duration) -> Reply {
    if let Failure::Away(retry_after) | Failure::Limited(retry_after) | Failure::Paused(retry_after) =
        failure
        && history.ran == 0
    {
        return Reply::Busy(*retry_after);
    }
    // Other entries keep running, so the caller can retry at once.
    if *failure == Failure::Ending && history.ran == 0 {
        return Reply::Busy(Duration::ZERO);
    }
    if *failure == Failure::Suspect && history.ran == 0 {
        return Reply::Busy(SUSPECT_RETRY_AFTER);
    }
    if history.ran == 0 && *failure != Failure::Late {
        return Reply::Busy(retry_after(left));
    }
    match failure {
        Failure::Late => Reply::TimedOut,
        _ => Reply::Failed,
    }
}
