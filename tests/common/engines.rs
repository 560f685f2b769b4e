//! An engine's time model and prompts for it, as they come in practice.
#![allow(dead_code)]

use std::time::Duration;

use wigeonbarrow::direct::catalog::Kind;
use wigeonbarrow::direct::catalog::Route;
use wigeonbarrow::direct::model::Engine;
use wigeonbarrow::direct::place::Need;

pub fn engine() -> Engine {
    Engine {
        slots: 16,
        memory_tokens: 405_000,
        stride: 34,
        step_ms: 1.31,
        writer_ms: 0.000_917,
        context_ms_per_k: 0.002_13,
        read_per_ms: 154.0,
        pairs_ms_per_m: 0.162,
        chunk: 2_048,
        hop_ms: 0.1,
        usual_prompt: 11_000,
        usual_answer: 1_266,
    }
}

pub fn short(prompt: u64) -> Need {
    Need {
        prompt,
        answer: 1_200,
        written: 0,
        objective: Duration::from_millis(300),
        left: Duration::from_secs(10),
        write_ratio: 1.0,
        priority_gap: 0,
        bound_ms: 250,
        draw: 1,
    }
}

pub fn long(prompt: u64) -> Need {
    Need {
        objective: Duration::from_secs(4),
        left: Duration::from_secs(15),
        bound_ms: 1_000,
        ..short(prompt)
    }
}

/// The route of a kind of prompts.
pub fn route(kind: Kind, objective: Duration, max_pause: Option<Duration>) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind,
        timeout: Duration::from_secs(15),
        objective,
        max_pause,
        priority: 0,
        targets: Vec::new(),
        max_servers: 2,
        public: false,
        resumable: true,
        homes: Vec::new(),
    }
}
