//! What the HTTP servers of the testbed share.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use rocket::Build;
use rocket::Rocket;
use rocket::http::Status;
use rocket::request;
use rocket::request::FromRequest;
use rocket::response::content::RawJson;
use serde::Serialize;
use tokio::sync::oneshot;

/// Largest body taken, in mebibytes.
pub const BODY_MIB: u64 = 64;

/// A status and a JSON body.
pub type Answer = (Status, RawJson<String>);

/// Answers with a JSON body.
pub fn json(status: Status, body: &impl Serialize) -> Answer {
    let text = serde_json::to_string(body).unwrap_or_default();
    (status, RawJson(text))
}

/// Answers with `{"error": code}`.
pub fn error(status: Status, code: &str) -> Answer {
    json(status, &serde_json::json!({"error": code}))
}

/// The key that callers must show; none is asked for where it is empty.
pub struct Key(pub String);

/// Proof that the caller has shown the key.
pub struct Caller;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Caller {
    type Error = ();

    async fn from_request(request: &'r rocket::Request<'_>) -> request::Outcome<Self, ()> {
        let key = request.rocket().state::<Key>().map_or("", |key| &key.0);
        let shown = request.headers().get_one("Authorization").unwrap_or("");
        if key.is_empty() || shown.strip_prefix("Bearer ") == Some(key) {
            request::Outcome::Success(Self)
        } else {
            request::Outcome::Error((Status::Unauthorized, ()))
        }
    }
}

/// A server that has begun to listen.
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Ends when the server does.
    pub task: tokio::task::JoinHandle<()>,
}

/// Starts a server; port 0 picks a free one. Signals are left to the program.
pub async fn serve(rocket: Rocket<Build>, listen: SocketAddr) -> anyhow::Result<Server> {
    let shutdown = rocket::config::Shutdown {
        ctrlc: false,
        signals: HashSet::new(),
        grace: 3600,
        mercy: 3600,
        ..Default::default()
    };
    let config = rocket::Config {
        address: listen.ip(),
        port: listen.port(),
        log_level: rocket::config::LogLevel::Off,
        keep_alive: 60,
        shutdown,
        ..rocket::Config::release_default()
    };
    let (tx, rx) = oneshot::channel();
    let tx = Arc::new(std::sync::Mutex::new(Some(tx)));
    let lift = rocket::fairing::AdHoc::on_liftoff("address", move |rocket| {
        Box::pin(async move {
            let addr = SocketAddr::new(rocket.config().address, rocket.config().port);
            let tx = tx.lock().ok().and_then(|mut tx| tx.take());
            if let Some(tx) = tx {
                let _ = tx.send(addr);
            }
        })
    });
    let rocket = rocket.configure(config).attach(lift).ignite().await?;
    let launch = tokio::spawn(async move { rocket.launch().await.map(drop) });
    tokio::select! {
        addr = rx => {
            let addr = addr.context("the server ended at once")?;
            let task = tokio::spawn(async move {
                if let Ok(Err(err)) = launch.await {
                    eprintln!("server: {err}");
                }
            });
            Ok(Server { addr, task })
        }
        () = tokio::time::sleep(std::time::Duration::from_secs(30)) => {
            anyhow::bail!("cannot listen on {listen}")
        }
    }
}

/// Waits for SIGTERM or an interrupt.
pub async fn terminated() -> anyhow::Result<()> {
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = term.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
    }
    Ok(())
}
