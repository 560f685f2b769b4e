//! Reads a streamed answer and checks it token by token.

use serde::Deserialize;

use crate::token;

/// Compares an answer with what it must be, as it comes.
#[derive(Debug)]
pub struct Checker {
    hash: u64,
    max_tokens: u64,
    /// Tokens of which the text has begun to come.
    number: u64,
    /// Text of the last of them that is still to come.
    rest: String,
}

impl Checker {
    /// Expects `max_tokens` tokens of the answer to a prompt with this hash.
    pub fn new(hash: u64, max_tokens: u64) -> Self {
        Self {
            hash,
            max_tokens,
            number: 0,
            rest: String::new(),
        }
    }

    /// Takes more text; whether it is as expected.
    pub fn take(&mut self, mut text: &str) -> bool {
        while !text.is_empty() {
            if self.rest.is_empty() {
                if self.number == self.max_tokens {
                    return false;
                }
                self.rest = token::text(self.hash, self.number);
                self.number += 1;
            }
            let len = self.rest.len().min(text.len());
            let (Some(head), Some(expected)) = (text.get(..len), self.rest.get(..len)) else {
                return false;
            };
            if head != expected {
                return false;
            }
            self.rest.drain(..len);
            text = &text[len..];
        }
        true
    }

    /// Whole tokens taken.
    pub fn tokens(&self) -> u64 {
        self.number - u64::from(!self.rest.is_empty())
    }

    /// Whether the answer is whole.
    pub fn whole(&self) -> bool {
        self.tokens() == self.max_tokens
    }
}

/// An error as callers of the product see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Error {
    /// Its stable code.
    #[serde(default)]
    pub code: String,
    /// Whether the request ran: `not_run`, `ran` or `may_have_run`.
    #[serde(default)]
    pub ran: String,
    /// When to come back.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// What one line of a stream means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Text of the answer.
    Text(String),
    /// The engine's tokens, from a number on.
    Tokens(u64, Vec<String>),
    /// The answer has ended.
    End,
    /// It has failed.
    Failed(Error),
    /// Nothing that matters here: a heartbeat, usage, an empty line.
    Other,
    /// Not understood.
    Bad,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    error: Option<Error>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

#[derive(Deserialize)]
struct EngineChunk {
    #[serde(default)]
    offset: u64,
    #[serde(default)]
    tokens: Vec<String>,
    #[serde(default)]
    done: bool,
    #[serde(default)]
    error: Option<String>,
}

/// Reads a line of the product's stream.
pub fn product(line: &str) -> Event {
    let Some(data) = data(line) else {
        return Event::Other;
    };
    if data == "[DONE]" {
        return Event::End;
    }
    let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
        return Event::Bad;
    };
    if let Some(error) = chunk.error {
        return Event::Failed(error);
    }
    let mut texts = chunk.choices.into_iter().map(|choice| choice.text);
    match texts.next() {
        Some(text) if !text.is_empty() => Event::Text(text),
        _ => Event::Other,
    }
}

/// Reads a line of an engine's stream.
pub fn engine(line: &str) -> Event {
    let Some(data) = data(line) else {
        return Event::Other;
    };
    let Ok(chunk) = serde_json::from_str::<EngineChunk>(data) else {
        return Event::Bad;
    };
    if let Some(code) = chunk.error {
        return Event::Failed(Error {
            code,
            ..Error::default()
        });
    }
    if chunk.done {
        Event::End
    } else if chunk.tokens.is_empty() {
        Event::Other
    } else {
        Event::Tokens(chunk.offset, chunk.tokens)
    }
}

fn data(line: &str) -> Option<&str> {
    line.strip_prefix("data:").map(str::trim)
}

/// Splits a stream of bytes into lines.
#[derive(Debug, Default)]
pub struct Lines {
    buf: Vec<u8>,
}

impl Lines {
    /// Takes more bytes and gives each line that is whole, without its end.
    pub fn feed(&mut self, bytes: &[u8], mut each: impl FnMut(&str)) {
        self.buf.extend_from_slice(bytes);
        let mut start = 0;
        while let Some(len) = self.buf[start..].iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&self.buf[start..start + len]);
            each(line.trim_end_matches('\r'));
            start += len + 1;
        }
        self.buf.drain(..start);
    }
}
