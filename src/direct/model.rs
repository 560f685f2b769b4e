//! Time model of an engine: how long reading a prompt takes, alone or in parts, and how long a
//! pass keeps those who write waiting.
//!
//! An engine works in passes. A pass with writers makes `stride` tokens for each of them, and
//! each of its steps may read one chunk of somebody's prompt. So a long read beside writers
//! stretches their pauses, and a first token comes with the end of a pass.

use std::time::Duration;

/// What an engine needs for its work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that it serves at once.
    pub slots: u32,
    /// Memory in tokens.
    pub memory_tokens: u64,
    /// Steps of a pass with writers. Also the tokens of one event.
    pub stride: u32,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds that a writer adds to a step.
    pub writer_ms: f64,
    /// Milliseconds that 1,000 tokens of a writer's context add to a step.
    pub context_ms_per_k: f64,
    /// Tokens read a millisecond.
    pub read_per_ms: f64,
    /// Milliseconds a million pairs of a token and an earlier one.
    pub pairs_ms_per_m: f64,
    /// Most tokens read in one step.
    pub chunk: u32,
    /// Milliseconds that a step of a request with helpers costs besides.
    pub hop_ms: f64,
    /// Tokens of a usual prompt.
    pub usual_prompt: u64,
    /// Tokens of a usual answer.
    pub usual_answer: u64,
}

impl Engine {
    /// Time to read a prompt of `tokens`, split evenly over `width` engines, on each of them.
    pub fn read_ms(&self, tokens: u64, width: usize) -> f64 {
        let tokens = tokens as f64;
        let linear = tokens / self.read_per_ms.max(f64::EPSILON);
        let pairs = tokens * tokens / 2.0 / 1e6 * self.pairs_ms_per_m;
        (linear + pairs) / width.max(1) as f64
    }

    /// Time of one step with `writers` that hold `context` tokens together.
    pub fn step_ms(&self, writers: u32, context: u64) -> f64 {
        let per_writer = f64::from(writers) * self.writer_ms;
        self.step_ms + per_writer + context as f64 / 1e3 * self.context_ms_per_k
    }

    /// Time of one pass with `writers` that hold `context` tokens together, nothing read beside.
    pub fn pass_ms(&self, writers: u32, context: u64) -> f64 {
        f64::from(self.stride) * self.step_ms(writers, context)
    }

    /// Time to write `tokens` at that load.
    pub fn write_time(&self, tokens: u64, writers: u32, context: u64) -> Duration {
        let ms = tokens as f64 * self.step_ms(writers, context);
        Duration::from_secs_f64(ms.max(0.0) / 1e3)
    }
}
