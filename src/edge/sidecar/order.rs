//! Orders to the backend server, forwarded only with the current fencing number or a newer one.
//!
//! The sidecar enforces the number whether the backend server checks it or not: it is the only
//! path to its backend server. Orders are forwarded one at a time.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::Mutex;

use super::core;
use super::engine;
use crate::edge::node;
use crate::sidecar::fence;
use crate::wire::agree;
use crate::wire::order;
use crate::wire::outcome;
use crate::wire::outcome::Cause;

/// Timeout of the query to the quorum for the current number.
const LEARN_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for the backend server to execute an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(590);

/// Retry-after time of a rejected order, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Forwards orders to the backend server.
pub struct Orders {
    node: Arc<node::Node>,
    client: reqwest::Client,
    key: String,
    /// Locked while an order is in progress, so that none overtakes another.
    fence: Mutex<fence::Fence>,
}

#[derive(Serialize)]
struct Body<'a> {
    fence: u64,
    order: Inner<'a>,
}

#[derive(Serialize)]
struct Inner<'a> {
    kind: order::Kind,
    name: &'a str,
}

impl Orders {
    /// `key` is sent to the backend server as the bearer token.
    pub fn new(node: &Arc<node::Node>, key: &str) -> Self {
        Self {
            node: Arc::clone(node),
            client: engine::client(),
            key: key.to_owned(),
            fence: Mutex::default(),
        }
    }

    /// Forwards one order and waits for its result.
    pub async fn pass(
        &self,
        status: &core::Status,
        order: order::Order,
    ) -> Result<(), outcome::Failure> {
        let Some(announcement) = &status.announcement else {
            return Err(rejected(
                Cause::NoServer,
                "the backend server is not present",
            ));
        };
        if announcement.server != order.server {
            let text = format!("this is the sidecar of {}", announcement.server);
            return Err(rejected(Cause::NoServer, &text));
        }
        let mut fence = self.fence.lock().await;
        if fence.current().is_none() {
            fence.learn(self.current(&order.server).await?);
        }
        fence.pass(order.fence).map_err(|cause| {
            let text = format!(
                "fencing number {} is older than the one in force",
                order.fence
            );
            rejected(cause, &text)
        })?;
        let url = announcement.url.trim_end_matches('/');
        self.send(url, &order).await
    }

    /// The current number, from the quorum.
    async fn current(&self, server: &str) -> Result<u64, outcome::Failure> {
        let command = agree::Command::Fenced {
            server: server.to_owned(),
        };
        if let agree::Verdict::Number(number) = self.node.propose(command, LEARN_TIMEOUT).await {
            return Ok(number);
        }
        let text = "the fencing number in force is not known: no quorum answers";
        Err(rejected(Cause::NoQuorum, text))
    }

    async fn send(&self, url: &str, order: &order::Order) -> Result<(), outcome::Failure> {
        let body = Body {
            fence: order.fence,
            order: Inner {
                kind: order.kind,
                name: &order.name,
            },
        };
        let request = self
            .client
            .post(format!("{url}/v1/orders"))
            .bearer_auth(&self.key)
            .timeout(ORDER_TIMEOUT)
            .json(&body);
        match request.send().await {
            Ok(response) if response.status().is_success() => Ok(()),
            Ok(response) if response.status() == reqwest::StatusCode::CONFLICT => Err(rejected(
                Cause::Fenced,
                "the backend server knows a newer number",
            )),
            Ok(response) => {
                let text = format!("the backend server answered {}", response.status());
                Err(outcome::Failure::may_have_run(Cause::ServerError, &text))
            }
            Err(err) => {
                let text = format!("the backend server's answer was lost: {err}");
                Err(outcome::Failure::may_have_run(Cause::ServerLost, &text))
            }
        }
    }
}

fn rejected(cause: Cause, text: &str) -> outcome::Failure {
    outcome::Failure::not_run(cause, Some(RETRY_AFTER_MS), text)
}
