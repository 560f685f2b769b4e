//! `wigeonbarrow drain`

use clap::ArgMatches;
use clap::Command;

use crate::util;

const USAGE: &str = "Stops new work at the process that --url names; what is in progress goes on. \
                     On a sidecar its backend server is leaving from then on.";

pub fn command() -> Command {
    Command::new("drain").about(USAGE)
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let client = util::Client::new(matches)?;
    let in_progress: usize = client.post("/admin/v1/drain", &())?;
    if util::is_json(matches) {
        return util::print_json(&in_progress);
    }
    println!("draining; {in_progress} in progress");
    Ok(())
}
