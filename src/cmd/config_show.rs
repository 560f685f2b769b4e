//! `wigeonbarrow config show`

use clap::ArgMatches;
use clap::Command;

use crate::util;

const USAGE: &str = "Prints the configuration in force.";

pub fn command() -> Command {
    Command::new("show").about(USAGE)
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let client = util::Client::new(matches)?;
    let folder = client.newest()?;
    if util::is_json(matches) {
        return util::print_json(&folder);
    }
    println!("# revision {}", folder.revision);
    for file in &folder.files {
        println!("\n# file {}\n{}", file.name, file.text.trim_end());
    }
    Ok(())
}
