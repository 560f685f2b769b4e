//! One request: sent, read to its end, judged.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use super::answer;
use super::mix;
use super::prompt;

/// Time that the final word may come after the limit.
pub const GRACE: Duration = Duration::from_millis(500);
/// Time after the limit at which the caller gives up.
const GIVE_UP: Duration = Duration::from_secs(20);
/// Priority of requests to an engine directly.
const PRIORITY: u8 = 100;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With its whole, right answer.
    Right,
    /// With an error before any of the answer: its status and what it says.
    Refused(u16, answer::Error),
    /// With an error within the answer.
    Failed(answer::Error),
    /// With an answer that is not its own, too long or too short.
    Wrong(String),
    /// Without any end.
    Cut(String),
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Record {
    /// The request.
    pub call: mix::Call,
    /// Hash of its prompt.
    pub hash: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// Time by which it was sent after it was due.
    pub lag: Duration,
    /// Time from when it was due to its first token.
    pub first: Option<Duration>,
    /// Time from when it was due to its end.
    pub total: Duration,
    /// Whether its final word came after its limit.
    pub late: bool,
    /// Answer tokens that came.
    pub tokens: u64,
    /// Time to first token over that of an idle engine without a cache, if known.
    pub slowdown: Option<f64>,
}

/// How to send.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Model to ask for.
    pub model: String,
    /// Time limit.
    pub limit: Duration,
    /// Key of the engines that are asked directly.
    pub backend_key: String,
    /// Prompt tokens that an engine prefills a second, for the slowdown; 0 for none.
    pub prefill_rate: f64,
}

/// A request that is ready to be sent.
pub struct Ready {
    /// The request.
    pub call: mix::Call,
    /// Hash of its prompt.
    pub hash: u64,
    /// Its body.
    pub body: Vec<u8>,
}

impl Ready {
    /// Builds the body.
    pub fn new(call: mix::Call, settings: &Settings, vocabulary: &prompt::Vocabulary) -> Self {
        let mut body = Vec::with_capacity(call.recipe.tokens as usize * 8 + 200);
        let max = call.max_tokens;
        let model = &settings.model;
        let head = if call.direct {
            let id: u128 = rand::rng().random();
            let limit = settings.limit.as_millis();
            format!(
                r#"{{"id":"{id:032x}","model":"{model}","max_tokens":{max},"priority":{PRIORITY},"deadline_ms":{limit},"prompt":""#
            )
        } else {
            format!(r#"{{"model":"{model}","max_tokens":{max},"stream":true,"prompt":""#)
        };
        body.extend_from_slice(head.as_bytes());
        let hash = vocabulary.write(&call.recipe, &mut body);
        body.extend_from_slice(b"\"}");
        Self { call, hash, body }
    }

    /// Sends it, `due` being when it should have gone.
    pub async fn send(
        self,
        client: &reqwest::Client,
        url: &str,
        key: &str,
        settings: &Settings,
        due: Instant,
    ) -> Record {
        let sent = Instant::now();
        let path = if self.call.direct {
            "/v1/runs"
        } else {
            "/v1/completions"
        };
        let mut request = client
            .post(format!("{url}{path}"))
            .bearer_auth(key)
            .header("Content-Type", "application/json")
            .header("X-Time-Limit-Ms", settings.limit.as_millis().to_string())
            .timeout(settings.limit + GIVE_UP)
            .body(self.body);
        if self.call.once {
            let key = format!("load-{:x}", self.hash);
            request = request.header("X-Not-Repeatable", "true");
            request = request.header("Idempotency-Key", key);
        }
        let mut reader = Reader {
            direct: self.call.direct,
            checker: answer::Checker::new(self.hash, self.call.max_tokens),
            first: None,
            outcome: None,
        };
        let outcome = match request.send().await {
            Ok(response) => reader.read(response).await,
            Err(err) => Outcome::Cut(cause(&err)),
        };
        let end = Instant::now();
        let ideal = self.call.recipe.tokens as f64 / settings.prefill_rate;
        let slowdown = reader
            .first
            .map(|first| (first - due).as_secs_f64() / ideal);
        Record {
            slowdown: slowdown.filter(|_| settings.prefill_rate > 0.0),
            hash: self.hash,
            outcome,
            lag: sent - due,
            first: reader.first.map(|first| first - due),
            total: end - due,
            late: end - sent > settings.limit + GRACE,
            tokens: reader.checker.tokens(),
            call: self.call,
        }
    }
}

struct Reader {
    direct: bool,
    checker: answer::Checker,
    first: Option<Instant>,
    outcome: Option<Outcome>,
}

impl Reader {
    async fn read(&mut self, mut response: reqwest::Response) -> Outcome {
        let status = response.status().as_u16();
        if !response.status().is_success() {
            let body = response.bytes().await.unwrap_or_default();
            return Outcome::Refused(status, refusal(&body));
        }
        let mut lines = answer::Lines::default();
        loop {
            match response.chunk().await {
                Ok(Some(bytes)) => lines.feed(&bytes, |line| self.line(line)),
                Ok(None) => break,
                Err(err) => {
                    let cut = Outcome::Cut(cause(&err));
                    return self.outcome.take().unwrap_or(cut);
                }
            }
        }
        let cut = || Outcome::Cut("no end mark".to_owned());
        self.outcome.take().unwrap_or_else(cut)
    }

    fn line(&mut self, line: &str) {
        let event = if self.direct {
            answer::engine(line)
        } else {
            answer::product(line)
        };
        if event == answer::Event::Other {
            return;
        }
        let verdict = match event {
            // Once judged, an answer can only turn wrong by going on.
            _ if self.outcome.is_some() => Some(wrong("more after the end")),
            answer::Event::Text(text) => self.take(&text),
            answer::Event::Tokens(offset, _) if offset != self.checker.tokens() => {
                Some(wrong("offset"))
            }
            answer::Event::Tokens(_, tokens) => self.take(&tokens.concat()),
            answer::Event::End if self.checker.whole() => Some(Outcome::Right),
            answer::Event::End => Some(wrong("too short")),
            answer::Event::Failed(error) if self.first.is_none() => {
                Some(Outcome::Refused(200, error))
            }
            answer::Event::Failed(error) => Some(Outcome::Failed(error)),
            answer::Event::Bad => Some(Outcome::Wrong(line.chars().take(80).collect())),
            answer::Event::Other => None,
        };
        if verdict.is_some() {
            self.outcome = verdict;
        }
    }

    fn take(&mut self, text: &str) -> Option<Outcome> {
        self.first.get_or_insert_with(Instant::now);
        (!self.checker.take(text)).then(|| wrong("another token"))
    }
}

fn wrong(what: &str) -> Outcome {
    Outcome::Wrong(what.to_owned())
}

/// The error in a body of the product or of an engine.
fn refusal(body: &[u8]) -> answer::Error {
    #[derive(serde::Deserialize)]
    struct Product {
        error: answer::Error,
    }
    #[derive(serde::Deserialize)]
    struct Engine {
        error: String,
    }
    if let Ok(product) = serde_json::from_slice::<Product>(body) {
        return product.error;
    }
    let code = serde_json::from_slice::<Engine>(body)
        .map_or_else(|_| "not_understood".to_owned(), |engine| engine.error);
    answer::Error {
        code,
        ..answer::Error::default()
    }
}

/// The innermost cause, which says most.
fn cause(err: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = err;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
