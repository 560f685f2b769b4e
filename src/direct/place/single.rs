//! Placing a request on one server by itself: one that names a limit helps nobody and is helped by
//! nobody, since all that it is given is to be what it takes.

use crate::direct::model;
use crate::direct::place;

/// Places a prompt on `server` alone, whose index is `first`. `None`: it has not the memory now.
pub fn engine(
    engine: &model::Engine,
    need: &place::Need,
    server: &place::Server,
    first: usize,
) -> Option<place::Place> {
    if server.load.memory + need.prompt + need.answer > engine.memory_tokens {
        return None;
    }
    let part_ms = engine.read_ms(need.prompt, 1);
    Some(place::Place {
        first_ms: place::short::first_ms(engine, need, server, part_ms),
        segment_ms: part_ms,
        ..plain(first)
    })
}

/// Places a call on the server of a plain service whose index is `first`.
pub fn plain(first: usize) -> place::Place {
    place::Place {
        writer: first,
        helpers: Vec::new(),
        reserved: Vec::new(),
        first_ms: 0.0,
        segment_ms: 0.0,
        delay_ms: 0.0,
        takes_turn: false,
    }
}
