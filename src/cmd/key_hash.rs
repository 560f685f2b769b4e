//! `wigeonbarrow key hash`

use std::io;

use clap::ArgMatches;
use clap::Command;
use wigeonbarrow::config;

use crate::util;

const USAGE: &str = "Reads a key from standard input and prints its hash for the configuration.";

pub fn command() -> Command {
    Command::new("hash").about(USAGE)
}

pub fn run(_: &ArgMatches) -> Result<(), util::Error> {
    let mut key = String::new();
    io::stdin()
        .read_line(&mut key)
        .map_err(|err| util::Error::Usage(err.to_string()))?;
    println!("{}", config::key_hash(key.trim()));
    Ok(())
}
