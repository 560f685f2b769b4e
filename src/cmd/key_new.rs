//! `wigeonbarrow key new`

use clap::ArgMatches;
use clap::Command;
use serde::Serialize;
use wigeonbarrow::config;

use crate::util;

const USAGE: &str = "Draws a workspace key. Give the key to the workspace's callers, and put the \
                     hash into the configuration; the key itself is stored nowhere.";

#[derive(Serialize)]
struct Key {
    key: String,
    key_hash: String,
}

pub fn command() -> Command {
    Command::new("new").about(USAGE)
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let key = format!("wb-{:032x}", rand::random::<u128>());
    let key_hash = config::key_hash(&key);
    if util::is_json(matches) {
        return util::print_json(&Key { key, key_hash });
    }
    println!("key       {key}");
    println!("key_hash  {key_hash}");
    Ok(())
}
