//! Time model of an engine: how long it takes to read a prompt, alone or split over several
//! engines, and how long a pass delays the answers being written.
//!
//! An engine works in passes. A pass that writes makes `stride` tokens for each answer, and each of
//! its steps may read one chunk of a prompt as well. So a long read stretches the gaps between
//! events, and a first token comes with the end of a pass.

use std::time::Duration;

/// Parameters of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that it serves at once.
    pub slots: u32,
    /// Memory in tokens.
    pub memory_tokens: u64,
    /// Steps of a pass that writes. Also the tokens of one event.
    pub stride: u32,
    /// Base time of a step in milliseconds.
    pub step_ms: f64,
    /// Milliseconds that each answer being written adds to a step.
    pub writer_ms: f64,
    /// Milliseconds that 1,000 tokens of context of the answers being written add to a step.
    pub context_ms_per_k: f64,
    /// Tokens read per millisecond.
    pub read_per_ms: f64,
    /// Attention cost in milliseconds per million pairs of a token and an earlier one.
    pub pairs_ms_per_m: f64,
    /// Most tokens read in one step.
    pub chunk: u32,
    /// Extra milliseconds of a step of a request with helpers.
    pub hop_ms: f64,
    /// Length of a usual prompt in tokens.
    pub usual_prompt: u64,
    /// Length of a usual answer in tokens.
    pub usual_answer: u64,
}

impl Engine {
    /// Milliseconds that each of `width` engines takes to read its segment of a prompt of `tokens`,
    /// split evenly.
    pub fn read_ms(&self, tokens: u64, width: usize) -> f64 {
        let tokens = tokens as f64;
        let linear = tokens / self.read_per_ms.max(f64::EPSILON);
        let pairs = tokens * tokens / 2.0 / 1e6 * self.pairs_ms_per_m;
        (linear + pairs) / width.max(1) as f64
    }

    /// Milliseconds of one step that writes `writers` answers with `context` tokens in all.
    pub fn step_ms(&self, writers: u32, context: u64) -> f64 {
        let per_writer = f64::from(writers) * self.writer_ms;
        self.step_ms + per_writer + context as f64 / 1e3 * self.context_ms_per_k
    }

    /// Milliseconds of one pass that writes `writers` answers with `context` tokens in all and
    /// reads nothing.
    pub fn pass_ms(&self, writers: u32, context: u64) -> f64 {
        f64::from(self.stride) * self.step_ms(writers, context)
    }

    /// Time to write `tokens` at that load.
    pub fn write_time(&self, tokens: u64, writers: u32, context: u64) -> Duration {
        let ms = tokens as f64 * self.step_ms(writers, context);
        Duration::from_secs_f64(ms.max(0.0) / 1e3)
    }
}
