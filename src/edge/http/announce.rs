//! `POST /v1/announce`: a backend server announces itself to its sidecar.

use std::sync::Arc;

use rocket::http::ContentType;

use super::Front;
use super::answer;
use super::auth;
use super::body;
use crate::edge::sidecar;

/// The routes, below `/v1`.
pub fn routes() -> Vec<rocket::Route> {
    rocket::routes![announce]
}

#[rocket::post("/announce")]
async fn announce(
    front: &rocket::State<Arc<Front>>,
    headers: auth::Headers<'_>,
    body: body::Unread,
) -> Result<(ContentType, String), answer::Error> {
    front.auth.backend(&headers)?;
    let body = body.read(front).await?;
    let announcement: sidecar::Announcement = serde_json::from_slice(&body.bytes)
        .map_err(|err| answer::Error::bad_request(&err.to_string()))?;
    let Some(role) = front.node().sidecar() else {
        return Err(answer::Error::bad_request("no sidecar here"));
    };
    let presence = role.announce(announcement);
    Ok((
        ContentType::JSON,
        serde_json::to_string(&presence).unwrap_or_default(),
    ))
}
