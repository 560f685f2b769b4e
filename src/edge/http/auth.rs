//! Authentication by workspace keys, the operators' key and the backend server's key.
//!
//! Keys are compared as BLAKE3 hashes in constant time. Keys and their hashes are never logged.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;

use arc_swap::ArcSwap;
use rocket::http::HeaderMap;
use rocket::request;
use subtle::ConstantTimeEq;

use super::answer;
use crate::config;
use crate::wire::outcome;

/// The headers of a request.
pub struct Headers<'r>(pub &'r HeaderMap<'r>);

#[rocket::async_trait]
impl<'r> request::FromRequest<'r> for Headers<'r> {
    type Error = Infallible;

    async fn from_request(
        request: &'r request::Request<'_>,
    ) -> request::Outcome<Self, Self::Error> {
        request::Outcome::Success(Self(request.headers()))
    }
}

/// Number of hex digits of a key's hash that select the candidates. Their full hashes are compared
/// in constant time.
const PREFIX_LEN: usize = 8;

/// Delay before a caller should retry at an entry without a configuration, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Workspaces by key hash, for one revision of the configuration.
#[derive(Default)]
struct Index {
    revision: u64,
    workspaces: HashMap<String, Vec<(String, String)>>,
}

/// Checks credentials.
pub struct Auth {
    operator: blake3::Hash,
    backend: blake3::Hash,
    index: ArcSwap<Index>,
}

impl Auth {
    /// Checks credentials against these keys. Workspace keys come from the configuration.
    pub fn new(operator_key: &str, backend_key: &str) -> Self {
        Self {
            operator: blake3::hash(operator_key.as_bytes()),
            backend: blake3::hash(backend_key.as_bytes()),
            index: ArcSwap::default(),
        }
    }

    /// The workspace whose key the request carries.
    pub fn workspace(
        &self,
        conf: &config::Set,
        headers: &Headers<'_>,
    ) -> Result<String, answer::Error> {
        if conf.revision == 0 {
            return Err(no_configuration());
        }
        let key = bearer(headers).ok_or_else(|| unauthorized("a workspace key is needed"))?;
        let hash = config::key_hash(key);
        let index = self.index(conf);
        let found = index.workspaces.get(&hash[..PREFIX_LEN]).and_then(|keys| {
            keys.iter()
                .find(|(known, _)| bool::from(known.as_bytes().ct_eq(hash.as_bytes())))
        });
        match found {
            Some((_, workspace)) => Ok(workspace.clone()),
            None => Err(unauthorized("the workspace key is not known")),
        }
    }

    /// Fails unless the request carries the operators' key.
    pub fn operator(&self, headers: &Headers<'_>) -> Result<(), answer::Error> {
        check_key(headers, &self.operator, "the operators' key is needed")
    }

    /// Fails unless the request carries the backend server's key.
    pub fn backend(&self, headers: &Headers<'_>) -> Result<(), answer::Error> {
        check_key(headers, &self.backend, "the backend server's key is needed")
    }

    fn index(&self, conf: &config::Set) -> Arc<Index> {
        let index = self.index.load_full();
        if index.revision == conf.revision {
            return index;
        }
        let mut workspaces: HashMap<String, Vec<(String, String)>> = HashMap::new();
        for (name, workspace) in &conf.workspace {
            let hash = workspace.key_hash.to_ascii_lowercase();
            let Some(prefix) = hash.get(..PREFIX_LEN) else {
                continue;
            };
            let keys = workspaces.entry(prefix.to_owned()).or_default();
            keys.push((hash, name.clone()));
        }
        let index = Arc::new(Index {
            revision: conf.revision,
            workspaces,
        });
        self.index.store(Arc::clone(&index));
        index
    }
}

fn check_key(headers: &Headers<'_>, key: &blake3::Hash, text: &str) -> Result<(), answer::Error> {
    let given = bearer(headers).unwrap_or_default();
    // `blake3::Hash` compares in constant time.
    if blake3::hash(given.as_bytes()) == *key {
        return Ok(());
    }
    Err(unauthorized(text))
}

fn bearer<'r>(headers: &Headers<'r>) -> Option<&'r str> {
    let value = headers.0.get_one("Authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// The error before the first configuration, when no workspace key can be checked.
fn no_configuration() -> answer::Error {
    let text = "this entry has no configuration yet";
    let cause = outcome::Cause::NoQuorum;
    answer::Error::new(outcome::Failure::not_run(cause, Some(RETRY_MS), text))
}

fn unauthorized(text: &str) -> answer::Error {
    let failure = outcome::Failure::not_run(outcome::Cause::Unauthorized, None, text);
    answer::Error::new(failure)
}
