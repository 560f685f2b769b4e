//! How much of the response the caller has, and whether the next chunk continues it.

use bytes::Bytes;

use super::Action;

/// The part of the response that was sent to the caller.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Texts of the tokens sent. A later attempt continues after them.
    tokens: Vec<String>,
    /// Tokens or bytes sent. Invariant: for prompts the length of `tokens`.
    length: u64,
    /// Whether the head was sent.
    head: bool,
}

/// Where a chunk lies relative to what was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Position {
    /// It continues what was sent; the action sends its new part.
    Next(Action),
    /// All of it was sent before.
    Duplicate,
    /// It does not adjoin: something before it is missing.
    Gap,
}

impl Answer {
    /// Texts of the tokens sent.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Tokens or bytes sent.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Whether anything was sent.
    pub fn begun(&self) -> bool {
        self.head || self.length > 0
    }

    /// Whether the head was sent.
    pub fn has_head(&self) -> bool {
        self.head
    }

    /// Adds the head; `None` if it was sent before.
    pub fn head(&mut self, status: u16, headers: Vec<(String, String)>) -> Option<Action> {
        if self.head {
            return None;
        }
        self.head = true;
        Some(Action::Head { status, headers })
    }

    /// Adds tokens, the first of which has number `offset`.
    pub fn add_tokens(&mut self, offset: u64, mut tokens: Vec<String>) -> Position {
        let known = match self.count_known(offset, tokens.len() as u64) {
            Ok(known) => known,
            Err(position) => return position,
        };
        tokens.drain(..known as usize);
        self.length += tokens.len() as u64;
        self.tokens.extend_from_slice(&tokens);
        Position::Next(Action::Tokens(tokens))
    }

    /// Adds bytes, the first of which has number `offset`.
    pub fn add_bytes(&mut self, offset: u64, mut bytes: Bytes) -> Position {
        if !self.head {
            return Position::Gap;
        }
        let known = match self.count_known(offset, bytes.len() as u64) {
            Ok(known) => known,
            Err(position) => return position,
        };
        let rest = bytes.split_off(known as usize);
        self.length += rest.len() as u64;
        Position::Next(Action::Bytes(rest))
    }

    /// How many of `count` tokens or bytes from `offset` on were sent before. An error if none of
    /// them is new, or if some before them are missing.
    fn count_known(&self, offset: u64, count: u64) -> Result<u64, Position> {
        if offset > self.length {
            return Err(Position::Gap);
        }
        if offset.saturating_add(count) <= self.length {
            return Err(Position::Duplicate);
        }
        Ok(self.length - offset)
    }
}
