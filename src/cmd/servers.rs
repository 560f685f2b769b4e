//! `wigeonbarrow servers`

use clap::ArgMatches;
use clap::Command;
use serde_json::Value;

use crate::util;

const USAGE: &str = "Lists the backend servers that an entry sees, with their load. --url names \
                     the entry.";

pub fn command() -> Command {
    Command::new("servers").about(USAGE)
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let client = util::Client::new(matches)?;
    let list: Vec<Value> = client.get("/admin/v1/servers")?;
    if util::is_json(matches) {
        return util::print_json(&list);
    }
    println!("server                zone             running  slots  memory used  leaving  models");
    for server in list {
        let load = &server["load"];
        let memory = load["memory_tokens"].as_u64().unwrap_or_default();
        let used = load["used_tokens"].as_u64().unwrap_or_default();
        println!(
            "{:<21} {:<16} {:<8} {:<6} {:>10}%  {:<7}  {}",
            util::plain(&server["name"]),
            util::plain(&server["zone"]),
            load["running"],
            load["slots"],
            (used * 100).checked_div(memory).unwrap_or_default(),
            server["leaving"],
            util::plain(&server["models"]),
        );
    }
    Ok(())
}
