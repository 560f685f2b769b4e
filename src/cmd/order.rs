//! `wigeonbarrow order`

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use serde::Serialize;

use crate::util;

const USAGE: &str = "Gives an order to a backend server, with a fencing number drawn from the \
                     quorum: an older order that comes late is refused. Weight loads stay within \
                     the fleet's budget. --url names an entry.";

const KINDS: [&str; 5] = [
    "load_model",
    "unload_model",
    "load_adapter",
    "unload_adapter",
    "set_role",
];

#[derive(Serialize)]
struct Args {
    server: String,
    kind: String,
    name: String,
}

pub fn command() -> Command {
    Command::new("order")
        .about(USAGE)
        .arg(
            Arg::new("server")
                .value_name("SERVER")
                .help("Name of the backend server")
                .required(true),
        )
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .help("What to do")
                .value_parser(KINDS)
                .required(true),
        )
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .help("Name of the model, adapter or role")
                .required(true),
        )
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let text = |name| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let args = Args {
        server: text("server"),
        kind: text("kind"),
        name: text("name"),
    };
    let client = util::Client::new(matches)?;
    // Sent to one process only: an order must not be given twice.
    let fence: u64 = client.post_once("/admin/v1/orders", &args)?;
    if util::is_json(matches) {
        return util::print_json(&fence);
    }
    println!("done, under fencing number {fence}");
    Ok(())
}
