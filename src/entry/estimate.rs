//! Estimates the tokens of a request, for each model from the usage that engines report.

use std::collections::HashMap;

use crate::config;
use crate::wire::run;

/// Bytes of a prompt per token, before any usage was reported.
const BYTES_PER_TOKEN: f64 = 4.0;

/// Part of `max_tokens` that a response uses, before any usage was reported.
const OUTPUT_PART: f64 = 0.5;

/// Weight of a new sample in the running means.
const GAIN: f64 = 0.1;

/// Shorter prompts say too little about bytes per token.
const MIN_SAMPLE_TOKENS: u64 = 16;

/// Most models remembered.
const MAX_MODELS: usize = 1_024;

/// Ratios learned for one model.
#[derive(Clone, Copy, Debug)]
struct Ratio {
    bytes_per_token: f64,
    output_part: f64,
}

impl Default for Ratio {
    fn default() -> Self {
        Self {
            bytes_per_token: BYTES_PER_TOKEN,
            output_part: OUTPUT_PART,
        }
    }
}

/// Token estimates.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// By model; at most [`MAX_MODELS`].
    models: HashMap<String, Ratio>,
}

impl Estimate {
    /// Estimated tokens of a prompt of `bytes`.
    pub fn prompt(&self, model: &str, bytes: u64) -> u64 {
        let tokens = bytes as f64 / self.ratio(model).bytes_per_token;
        (tokens.ceil() as u64).max(1)
    }

    /// Estimated tokens of a response of at most `max_tokens`.
    pub fn output(&self, model: &str, max_tokens: u32) -> u64 {
        (f64::from(max_tokens) * self.ratio(model).output_part) as u64
    }

    /// Whether any usage of a model was reported.
    pub fn knows(&self, model: &str) -> bool {
        self.models.contains_key(model)
    }

    /// Learns from the usage of a completed run.
    pub fn observe(&mut self, model: &str, bytes: u64, max_tokens: u32, usage: run::Usage) {
        if !self.models.contains_key(model) && self.models.len() >= MAX_MODELS {
            return;
        }
        let first = !self.models.contains_key(model);
        let gain = if first { 1.0 } else { GAIN };
        let ratio = self.models.entry(model.to_owned()).or_default();
        if usage.prompt_tokens >= MIN_SAMPLE_TOKENS && bytes > 0 {
            let sample = bytes as f64 / usage.prompt_tokens as f64;
            ratio.bytes_per_token += gain * (sample - ratio.bytes_per_token);
        }
        if max_tokens > 0 {
            let sample = usage.output_tokens as f64 / f64::from(max_tokens);
            ratio.output_part += gain * (sample.clamp(0.0, 1.0) - ratio.output_part);
        }
    }

    /// Learns from the length of a segment of a prompt.
    pub fn learn(&mut self, model: &str, bytes: u64, tokens: u64) {
        let output_part = self.ratio(model).output_part;
        let usage = run::Usage {
            prompt_tokens: tokens,
            ..run::Usage::default()
        };
        self.observe(model, bytes, 0, usage);
        if let Some(ratio) = self.models.get_mut(model) {
            ratio.output_part = output_part;
        }
    }

    fn ratio(&self, model: &str) -> Ratio {
        self.models.get(model).copied().unwrap_or_default()
    }
}

/// Class of a prompt of `tokens`.
pub fn class(policy: &config::Policy, tokens: u64) -> run::Class {
    if tokens <= policy.short_tokens {
        run::Class::Short
    } else if tokens < policy.long_tokens {
        run::Class::Medium
    } else {
        run::Class::Long
    }
}
