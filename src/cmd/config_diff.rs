//! `wigeonbarrow config diff`

use std::collections::BTreeMap;

use clap::ArgMatches;
use clap::Command;
use serde::Serialize;

use crate::util;

const USAGE: &str = "Prints which files of a folder differ from the configuration in force.";

struct Args<'a> {
    folder: &'a std::path::Path,
    json: bool,
}

#[derive(Serialize)]
struct Row {
    file: String,
    change: &'static str,
    lines: Vec<String>,
}

pub fn command() -> Command {
    Command::new("diff").about(USAGE).arg(util::folder_arg())
}

pub fn run(matches: &ArgMatches) -> Result<(), util::Error> {
    let args = Args {
        folder: util::folder(matches),
        json: util::is_json(matches),
    };
    let new = by_name(util::read_folder(args.folder)?);
    let client = util::Client::new(matches)?;
    let folder = client.newest()?;
    let old = by_name(folder.files);
    let rows = rows(&old, &new);
    if args.json {
        return util::print_json(&rows);
    }
    if rows.is_empty() {
        println!("no difference to revision {}", folder.revision);
    }
    for row in rows {
        println!("{} {}", row.change, row.file);
        for line in row.lines {
            println!("  {line}");
        }
    }
    Ok(())
}

fn by_name(files: Vec<wigeonbarrow::wire::agree::File>) -> BTreeMap<String, String> {
    files
        .into_iter()
        .map(|file| (file.name, file.text))
        .collect()
}

fn rows(old: &BTreeMap<String, String>, new: &BTreeMap<String, String>) -> Vec<Row> {
    let mut rows = Vec::new();
    for (name, text) in new {
        let change = match old.get(name) {
            None => "added",
            Some(before) if before != text => "changed",
            Some(_) => continue,
        };
        let before = old.get(name).map_or("", String::as_str);
        rows.push(row(name, change, before, text));
    }
    for (name, text) in old {
        if !new.contains_key(name) {
            rows.push(row(name, "removed", text, ""));
        }
    }
    rows
}

/// Lines that stand in one text only. Their order is kept; moved lines do not show.
fn row(name: &str, change: &'static str, old: &str, new: &str) -> Row {
    let only = |sign: char, text: &str, other: &str| -> Vec<String> {
        let known: Vec<&str> = other.lines().collect();
        text.lines()
            .filter(|line| !line.trim().is_empty() && !known.contains(line))
            .map(|line| format!("{sign} {line}"))
            .collect()
    };
    let mut lines = only('-', old, new);
    lines.extend(only('+', new, old));
    Row {
        file: name.to_owned(),
        change,
        lines,
    }
}
