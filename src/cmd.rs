//! The commands: one file each, named after it.

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::util;

mod config_apply;
mod config_check;
mod config_diff;
mod config_history;
mod config_rollback;
mod config_show;
mod control_change;
mod control_members;
mod drain;
mod explain;
mod key_hash;
mod key_new;
mod order;
mod servers;
mod status;
mod zone;

/// The whole command line.
pub fn command() -> Command {
    Command::new("wigeonbarrow")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Drives the serving layer: its configuration and its processes.")
        .after_help(
            "The operators' key comes from WIGEONBARROW_OPERATOR_KEY or --operator-key-file.\n\
             Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 another change won, \
             4 not known (no answer from any process; the same change may be sent again).",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("url")
                .long("url")
                .env("WIGEONBARROW_URL")
                .value_name("URL")
                .help("HTTP addresses of processes, with commas; tried in turn")
                .value_delimiter(',')
                .global(true)
                .default_value("http://127.0.0.1:8080"),
        )
        .arg(
            Arg::new("operator-key-file")
                .long("operator-key-file")
                .env("WIGEONBARROW_OPERATOR_KEY_FILE")
                .value_name("FILE")
                .help("File with the operators' key")
                .value_parser(value_parser!(std::path::PathBuf))
                .global(true),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print JSON, for machines")
                .action(ArgAction::SetTrue)
                .global(true),
        )
        .subcommand(
            Command::new("config")
                .about("The configuration: a folder of TOML files, merged in name order")
                .subcommand_required(true)
                .arg_required_else_help(true)
                .subcommand(config_check::command())
                .subcommand(config_diff::command())
                .subcommand(config_apply::command())
                .subcommand(config_show::command())
                .subcommand(config_history::command())
                .subcommand(config_rollback::command()),
        )
        .subcommand(
            Command::new("control")
                .about("The control processes")
                .subcommand_required(true)
                .arg_required_else_help(true)
                .subcommand(control_members::command())
                .subcommands(control_change::commands()),
        )
        .subcommand(
            Command::new("key")
                .about("Workspace keys")
                .subcommand_required(true)
                .arg_required_else_help(true)
                .subcommand(key_new::command())
                .subcommand(key_hash::command()),
        )
        .subcommand(
            Command::new("zone")
                .about("Evacuation of availability zones")
                .subcommand_required(true)
                .arg_required_else_help(true)
                .subcommands(zone::commands()),
        )
        .subcommand(status::command())
        .subcommand(servers::command())
        .subcommand(order::command())
        .subcommand(drain::command())
        .subcommand(explain::command())
}

/// Runs the command that the arguments name.
pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    match matches.subcommand() {
        Some(("config", matches)) => run_config(matches),
        Some(("key", matches)) => match matches.subcommand() {
            Some(("hash", matches)) => key_hash::run(matches),
            _ => key_new::run(matches),
        },
        Some(("control", matches)) => match matches.subcommand() {
            Some(("members", matches)) => control_members::run(matches),
            Some((name, matches)) => control_change::run(name, matches),
            None => Err(util::Error::Usage("a command is needed".to_owned())),
        },
        Some(("zone", matches)) => match matches.subcommand() {
            Some((name, matches)) => zone::run(name, matches),
            None => Err(util::Error::Usage("a command is needed".to_owned())),
        },
        Some(("drain", matches)) => drain::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("order", matches)) => order::run(matches),
        Some(("servers", matches)) => servers::run(matches),
        Some((_, matches)) => status::run(matches),
        None => Err(util::Error::Usage("a command is needed".to_owned())),
    }
}

fn run_config(matches: &ArgMatches) -> Result<(), util::Error> {
    match matches.subcommand() {
        Some(("check", matches)) => config_check::run(matches),
        Some(("diff", matches)) => config_diff::run(matches),
        Some(("apply", matches)) => config_apply::run(matches),
        Some(("history", matches)) => config_history::run(matches),
        Some(("rollback", matches)) => config_rollback::run(matches),
        Some((_, matches)) => config_show::run(matches),
        None => Err(util::Error::Usage("a command is needed".to_owned())),
    }
}
