//! `wigeonbarrow config rollback`

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use wigeonbarrow::wire::agree;

use super::config_apply;
use crate::util;

const USAGE: &str = "Puts the content of an earlier revision in force again, as a new revision: \
                     what is in force never goes back to an older revision.";

struct Args {
    revision: u64,
    author: String,
    note: String,
}

pub fn command() -> Command {
    Command::new("rollback")
        .about(USAGE)
        .arg(
            Arg::new("revision")
                .value_name("REVISION")
                .help("The earlier revision")
                .value_parser(value_parser!(u64))
                .required(true),
        )
        .args(config_apply::change_args())
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let args = Args {
        revision: matches.get_one("revision").copied().unwrap_or_default(),
        author: matches.get_one("author").cloned().unwrap_or_default(),
        note: matches.get_one("note").cloned().unwrap_or_default(),
    };
    let client = util::Client::new(matches)?;
    let now = client.newest()?;
    let path = format!("/admin/v1/config/{}", args.revision);
    let old: util::Folder = client.get(&path)?;
    let change = agree::Change {
        id: config_apply::change_id(matches)?,
        expected: now.revision,
        author: args.author,
        note: format!("rollback to {}: {}", args.revision, args.note),
        files: old.files,
    };
    let revision = util::apply(&client, &change)?;
    println!(
        "revision {revision} is in force, with the content of {}",
        args.revision
    );
    Ok(())
}
