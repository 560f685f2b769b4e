//! `wigeonbarrow config check`

use clap::ArgMatches;
use clap::Command;
use serde::Serialize;

use crate::util;

const USAGE: &str = "Checks a folder and prints every finding with its file and line.";

struct Args<'a> {
    folder: &'a std::path::Path,
    json: bool,
}

#[derive(Serialize)]
struct Summary {
    files: usize,
    services: usize,
    models: usize,
    workspaces: usize,
    routes: usize,
}

pub fn command() -> Command {
    Command::new("check").about(USAGE).arg(util::folder_arg())
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let args = Args {
        folder: util::folder(matches),
        json: util::is_json(matches),
    };
    let files = util::read_folder(args.folder)?;
    let set = util::check(&files)?;
    let summary = Summary {
        files: files.len(),
        services: set.service.len(),
        models: set.model.len(),
        workspaces: set.workspace.len(),
        routes: set.route.len(),
    };
    if args.json {
        return util::print_json(&summary);
    }
    println!(
        "ok: {} files, {} services, {} models, {} workspaces, {} routes",
        summary.files, summary.services, summary.models, summary.workspaces, summary.routes
    );
    Ok(())
}
