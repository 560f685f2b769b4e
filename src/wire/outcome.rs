//! What became of a request or an attempt, and why.

key! {
    /// Whether a request ran. Part of every refusal and failure that a caller sees.
    #[serde(rename_all = "snake_case")]
    pub enum Ran {
        /// It did not start on any backend server, and never will.
        NotRun,
        /// It ran to its end on a backend server.
        Ran,
        /// Contact was lost after it may have been started.
        MayHaveRun,
    }

    /// Why something was refused or failed. The stable machine-readable `code` of an error
    /// answer is [`Cause::code`].
    #[serde(rename_all = "snake_case")]
    pub enum Cause {
        /// The request itself is malformed.
        BadRequest,
        /// No or a wrong key.
        Unauthorized,
        /// No such model, service or path.
        NotFound,
        /// The body is larger than the limit.
        TooLarge,
        /// The workspace is over its share or its limit of requests in progress.
        OverShare,
        /// All suitable backend servers, or a queue on the way, are full.
        Busy,
        /// The time limit cannot be met, or has passed.
        Deadline,
        /// No backend server is present for the model or service.
        NoServer,
        /// The backend server is leaving.
        Leaving,
        /// This process is draining.
        Draining,
        /// The engine's memory cannot hold the request now.
        Memory,
        /// The prompt is larger than the whole fleet can hold.
        TooLong,
        /// The request is quarantined: it crashed backend servers.
        Quarantined,
        /// The same idempotency key is running.
        KeyRunning,
        /// The same idempotency key has run to its end.
        KeyRan,
        /// The idempotency key came with another body before.
        KeyMismatch,
        /// The control quorum cannot be reached.
        NoQuorum,
        /// A fencing number older than the one in force.
        Fenced,
        /// The attempt's id was refused, withdrawn or finished before.
        Tombstoned,
        /// The backend server died or was lost while it ran.
        ServerLost,
        /// The backend server answered with an error of its own.
        ServerError,
        /// The caller went away.
        Cancelled,
        /// The caller did not send its request in time.
        SlowCaller,
        /// A fault of this system.
        Internal,
    }
}

impl Cause {
    /// The stable code that stands in error answers, logs and metric labels.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::TooLarge => "too_large",
            Self::OverShare => "over_share",
            Self::Busy => "busy",
            Self::Deadline => "deadline",
            Self::NoServer => "no_server",
            Self::Leaving => "leaving",
            Self::Draining => "draining",
            Self::Memory => "memory",
            Self::TooLong => "too_long",
            Self::Quarantined => "quarantined",
            Self::KeyRunning => "key_running",
            Self::KeyRan => "key_ran",
            Self::KeyMismatch => "key_mismatch",
            Self::NoQuorum => "no_quorum",
            Self::Fenced => "fenced",
            Self::Tombstoned => "tombstoned",
            Self::ServerLost => "server_lost",
            Self::ServerError => "server_error",
            Self::Cancelled => "cancelled",
            Self::SlowCaller => "slow_caller",
            Self::Internal => "internal",
        }
    }

    /// The HTTP status that an error answer with this cause has.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::TooLong => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::SlowCaller => 408,
            Self::TooLarge => 413,
            Self::KeyMismatch => 422,
            Self::KeyRunning | Self::KeyRan | Self::Fenced => 409,
            Self::OverShare => 429,
            Self::Cancelled => 499,
            Self::Internal | Self::Tombstoned => 500,
            Self::ServerLost | Self::ServerError => 502,
            Self::Busy
            | Self::NoServer
            | Self::Leaving
            | Self::Draining
            | Self::Memory
            | Self::Quarantined
            | Self::NoQuorum => 503,
            Self::Deadline => 504,
        }
    }
}

data! {
    /// The final word on a request that was refused or failed.
    pub struct Failure {
        /// Why.
        pub cause: Cause,
        /// Whether it ran.
        pub ran: Ran,
        /// When to come back, in milliseconds from now. `None`: sending it again is useless.
        pub retry_after_ms: Option<u64>,
        /// For people.
        pub message: String,
    }
}

impl Failure {
    /// A failure of something that did not run.
    pub fn not_run(cause: Cause, retry_after_ms: Option<u64>, message: &str) -> Self {
        Self {
            cause,
            ran: Ran::NotRun,
            retry_after_ms,
            message: message.to_owned(),
        }
    }

    /// A failure of something that may have run.
    pub fn may_have_run(cause: Cause, message: &str) -> Self {
        Self {
            cause,
            ran: Ran::MayHaveRun,
            retry_after_ms: None,
            message: message.to_owned(),
        }
    }
}
