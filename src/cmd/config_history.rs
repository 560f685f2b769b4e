//! `wigeonbarrow config history`

use clap::ArgMatches;
use clap::Command;
use serde::Deserialize;
use serde::Serialize;

use crate::util;

const USAGE: &str = "Lists the revisions that were put in force: when, by whom and why.";

/// One revision, as control remembers it.
#[derive(Debug, Deserialize, Serialize)]
struct Row {
    revision: u64,
    author: String,
    note: String,
    unix_ms: u64,
}

pub fn command() -> Command {
    Command::new("history").about(USAGE)
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let client = util::Client::new(matches)?;
    let rows: Vec<Row> = client.get("/admin/v1/history")?;
    if util::is_json(matches) {
        return util::print_json(&rows);
    }
    println!("revision  unix time      author  note");
    for row in rows {
        println!(
            "{:<8}  {:<13}  {}  {}",
            row.revision, row.unix_ms, row.author, row.note
        );
    }
    Ok(())
}
