//! `wigeonbarrow control members`

use clap::ArgMatches;
use clap::Command;
use serde_json::Value;

use crate::util;

const USAGE: &str = "Shows what a control process knows of the members: who leads, the term, who \
                     votes, and who lags. --url names control processes.";

pub fn command() -> Command {
    Command::new("members").about(USAGE)
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let client = util::Client::new(matches)?;
    let status: Value = client.get("/admin/v1/members")?;
    if util::is_json(matches) {
        return util::print_json(&status);
    }
    let Some(fields) = status.as_object() else {
        return Err(util::Error::Refused(format!("unexpected answer {status}")));
    };
    for (name, value) in fields.iter().filter(|(_, value)| !value.is_array()) {
        println!("{name:<12}{}", util::plain(value));
    }
    for (field, title) in [
        ("members", "member"),
        ("followers", "follower"),
        ("callers", "caller"),
    ] {
        for row in status[field].as_array().into_iter().flatten() {
            println!("{title:<12}{row}");
        }
    }
    Ok(())
}
