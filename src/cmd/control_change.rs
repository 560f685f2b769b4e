//! `wigeonbarrow control add`, `remove` and `replace`

use std::net::SocketAddr;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use wigeonbarrow::control::member;

use crate::util;

const ADD: &str = "Lets a new control process join; it votes once it has caught up.";
const REMOVE: &str = "Removes a member for good.";
const REPLACE: &str = "Lets a new control process join, then removes an old one.";

pub fn commands() -> [Command; 3] {
    [
        Command::new("add").about(ADD).arg(addr("new", "Who joins")),
        Command::new("remove")
            .about(REMOVE)
            .arg(addr("old", "Who leaves")),
        Command::new("replace")
            .about(REPLACE)
            .arg(addr("old", "Who leaves"))
            .arg(addr("new", "Who joins")),
    ]
}

fn addr(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name("IP:PORT")
        .help(format!("{help}: link address of the control process"))
        .value_parser(value_parser!(SocketAddr))
        .required(true)
}

pub fn run(name: &str, matches: &ArgMatches) -> Result<(), util::Error> {
    let addr = |name| {
        let found = matches.get_one::<SocketAddr>(name).copied();
        found.ok_or_else(|| util::Error::Usage(format!("{name} is needed")))
    };
    let order = match name {
        "add" => member::Order::Add(addr("new")?),
        "remove" => member::Order::Remove(addr("old")?),
        _ => member::Order::Replace {
            old: addr("old")?,
            new: addr("new")?,
        },
    };
    let client = util::Client::new(matches)?;
    match client.post("/admin/v1/members", &order)? {
        member::Outcome::Taken => {
            println!("begun; `wigeonbarrow control members` shows when it is done");
            Ok(())
        }
        member::Outcome::Refused(why) => Err(util::Error::Refused(why)),
        member::Outcome::Unavailable => {
            let text = "no leader is known, or another change of members is under way";
            Err(util::Error::Unknown(text.to_owned()))
        }
    }
}
