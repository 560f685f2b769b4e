//! Placement on one given server. A server that has a limit does not help others and is not helped,
//! so that the requests it is granted are exactly those that it takes.

use crate::direct::model;
use crate::direct::place;

/// Places a prompt on `server`, whose index is `writer`. `None`: it does not have the memory now.
pub fn engine(
    engine: &model::Engine,
    need: &place::Need,
    server: &place::Server,
    writer: usize,
) -> Option<place::Place> {
    if server.load.memory + need.prompt + need.answer > engine.memory_tokens {
        return None;
    }
    let segment_ms = engine.read_ms(need.prompt, 1);
    Some(place::Place {
        first_ms: place::short::first_ms(engine, need, server, segment_ms),
        segment_ms,
        ..plain(writer)
    })
}

/// Places a call on the server of a plain service whose index is `writer`.
pub fn plain(writer: usize) -> place::Place {
    place::Place {
        writer,
        helpers: Vec::new(),
        reserved: Vec::new(),
        first_ms: 0.0,
        segment_ms: 0.0,
        delay_ms: 0.0,
        takes_turn: false,
    }
}
