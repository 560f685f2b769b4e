//! `wigeonbarrow config apply`

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use serde::Serialize;
use wigeonbarrow::wire::agree;
use wigeonbarrow::wire::id;

use crate::util;

const USAGE: &str = "Puts a folder in force as the next revision. Of changes that expect the same \
                     revision exactly one wins. A change whose answer was lost is sent again with \
                     its --change-id and gets its first answer.";

struct Args<'a> {
    folder: &'a std::path::Path,
    expect: Option<u64>,
    author: String,
    note: String,
    change: id::Change,
    json: bool,
}

#[derive(Serialize)]
struct Applied {
    revision: u64,
}

pub fn command() -> Command {
    Command::new("apply")
        .about(USAGE)
        .arg(util::folder_arg())
        .arg(
            Arg::new("expect")
                .long("expect")
                .value_name("REVISION")
                .help("Revision that the folder is based on [default: the one in force]")
                .value_parser(value_parser!(u64)),
        )
        .args(change_args())
}

/// Arguments of every command that changes the configuration.
pub fn change_args() -> Vec<Arg> {
    vec![
        Arg::new("author")
            .long("author")
            .env("USER")
            .value_name("NAME")
            .help("Who changes")
            .default_value("operator"),
        Arg::new("note")
            .long("note")
            .value_name("TEXT")
            .help("Why")
            .default_value(""),
        Arg::new("change-id")
            .long("change-id")
            .value_name("HEX")
            .help("Id of a change that is sent again [default: a new one]"),
    ]
}

/// The id in the arguments, or a new one.
pub fn change_id(matches: &ArgMatches) -> Result<id::Change, util::Error> {
    match matches.get_one::<String>("change-id") {
        None => Ok(id::Change(rand::random())),
        Some(text) => u128::from_str_radix(text, 16)
            .map(id::Change)
            .map_err(|err| util::Error::Usage(format!("--change-id: {err}"))),
    }
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let args = Args {
        folder: util::folder(matches),
        expect: matches.get_one("expect").copied(),
        author: matches.get_one("author").cloned().unwrap_or_default(),
        note: matches.get_one("note").cloned().unwrap_or_default(),
        change: change_id(matches)?,
        json: util::is_json(matches),
    };
    let files = util::read_folder(args.folder)?;
    util::check(&files)?;
    let client = util::Client::new(matches)?;
    let expected = match args.expect {
        Some(expected) => expected,
        None => client.newest()?.revision,
    };
    let change = agree::Change {
        id: args.change,
        expected,
        author: args.author,
        note: args.note,
        files,
    };
    let revision = util::apply(&client, &change)?;
    if args.json {
        return util::print_json(&Applied { revision });
    }
    println!("revision {revision} is in force");
    Ok(())
}
