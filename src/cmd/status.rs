//! `wigeonbarrow status`

use clap::ArgMatches;
use clap::Command;
use serde_json::Value;

use crate::util;

const USAGE: &str = "Tells what a process is and sees: roles, revision, who else is there, and who \
                     is behind by how many revisions.";

pub fn command() -> Command {
    Command::new("status").about(USAGE)
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let client = util::Client::new(matches)?;
    let status: Value = client.get("/admin/v1/status")?;
    if util::is_json(matches) {
        return util::print_json(&status);
    }
    let heard = status["heard"].as_u64().unwrap_or_default();
    for name in [
        "name",
        "zone",
        "roles",
        "uptime_seconds",
        "draining",
        "in_progress",
    ] {
        println!("{name:<16}{}", util::plain(&status[name]));
    }
    let revision = status["revision"].as_u64().unwrap_or_default();
    println!("{:<16}{revision} (newest heard of: {heard})", "revision");
    if let Some(control) = status.get("control").filter(|control| !control.is_null()) {
        println!("{:<16}{control}", "control");
    }
    let peers = status["view"]["peers"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    println!(
        "\nrole     name              zone            link                   revision  behind"
    );
    for peer in peers {
        let at = peer["revision"].as_u64().unwrap_or_default();
        println!(
            "{:<8} {:<17} {:<15} {:<22} {at:<9} {}",
            util::plain(&peer["role"]),
            util::plain(&peer["name"]),
            util::plain(&peer["zone"]),
            util::plain(&peer["link"]),
            heard.saturating_sub(at),
        );
    }
    Ok(())
}
