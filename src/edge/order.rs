//! Orders of operators to backend servers: fenced, and weights loaded within the fleet's budget.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;

use super::node;
use crate::wire::agree;
use crate::wire::order;
use crate::wire::outcome;
use crate::wire::rpc;

/// Time for the quorum's word.
const AGREE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for an order to be carried out: weights come from a rate-limited store.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);

/// When to try again without a quorum, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// What an operator wants done.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Wish {
    /// The backend server.
    pub server: String,
    /// What to do.
    pub kind: order::Kind,
    /// Name of the model, adapter or role.
    pub name: String,
}

/// Carries a wish out at the backend server whose sidecar listens at `link`; the order's number.
pub async fn place(
    node: &Arc<node::Node>,
    link: SocketAddr,
    wish: Wish,
) -> Result<u64, outcome::Failure> {
    if wish.kind.draws_weights() {
        reserve(node, &wish).await?;
    }
    let placed = send(node, link, &wish).await;
    if wish.kind.draws_weights() {
        // A lost answer leaves the slot to its expiry.
        let loaded = agree::Command::Loaded {
            server: wish.server,
        };
        node.propose(loaded, AGREE_TIMEOUT).await;
    }
    placed
}

async fn reserve(node: &Arc<node::Node>, wish: &Wish) -> Result<(), outcome::Failure> {
    let load = agree::Command::Load {
        server: wish.server.clone(),
        model: wish.name.clone(),
    };
    match node.propose(load, AGREE_TIMEOUT).await {
        agree::Verdict::Done { .. } => Ok(()),
        agree::Verdict::Wait { retry_after_ms } => {
            let text = "the fleet's budget of weight loads is used up";
            let cause = outcome::Cause::Busy;
            Err(outcome::Failure::not_run(cause, Some(retry_after_ms), text))
        }
        _ => Err(no_quorum()),
    }
}

async fn send(
    node: &Arc<node::Node>,
    link: SocketAddr,
    wish: &Wish,
) -> Result<u64, outcome::Failure> {
    let draw = agree::Command::Fence {
        server: wish.server.clone(),
    };
    let agree::Verdict::Number(fence) = node.propose(draw, AGREE_TIMEOUT).await else {
        return Err(no_quorum());
    };
    let order = order::Order {
        fence,
        server: wish.server.clone(),
        kind: wish.kind,
        name: wish.name.clone(),
    };
    let ask = rpc::Ask::Order(order);
    match node.link(link).ask(&ask, ORDER_TIMEOUT).await {
        Ok(rpc::Answer::Ordered(Ok(()))) => Ok(fence),
        Ok(rpc::Answer::Ordered(Err(failure))) => Err(failure),
        Ok(_) => {
            let text = "no sidecar there";
            let cause = outcome::Cause::NoServer;
            Err(outcome::Failure::not_run(cause, None, text))
        }
        Err(err) => {
            let text = format!("the order's answer was lost: {err}");
            let cause = outcome::Cause::ServerLost;
            Err(outcome::Failure::may_have_run(cause, &text))
        }
    }
}

fn no_quorum() -> outcome::Failure {
    let text = "no quorum of control processes answers";
    outcome::Failure::not_run(outcome::Cause::NoQuorum, Some(RETRY_MS), text)
}
