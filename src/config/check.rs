//! Merges configuration files and finds what is wrong in them, all at once.

use super::Finding;
use super::Set;
use super::draft;
use super::rule;
use crate::wire::agree;

/// See [`super::merge`].
pub(super) fn merge(revision: u64, files: &[agree::File]) -> Result<Set, Vec<Finding>> {
    let mut order: Vec<&agree::File> = files.iter().collect();
    order.sort_by(|a, b| a.name.cmp(&b.name));
    let mut findings = names(&order);
    let mut draft = draft::Draft::default();
    for file in &order {
        draft.read(file, &mut findings);
    }
    // What a file that could not be read would have defined is not known, so what refers to it
    // is not judged.
    if !draft.is_partial() {
        rule::check(&draft, &mut findings);
    }
    if findings.is_empty() {
        return draft.build(revision).map_err(|finding| vec![finding]);
    }
    findings.sort_by(|a, b| (&a.file, a.line, &a.text).cmp(&(&b.file, b.line, &b.text)));
    Err(findings)
}

/// Judges the names of the files. `order` is sorted by name.
fn names(order: &[&agree::File]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut find = |file: &agree::File, text: &str| {
        findings.push(Finding {
            file: file.name.clone(),
            line: 0,
            text: text.to_owned(),
        });
    };
    for file in order {
        let stem = file.name.strip_suffix(".toml");
        if stem.is_none_or(str::is_empty) {
            find(file, "the name of a file must end in .toml");
        }
        if file.name.contains(['/', '\\', '\0']) {
            find(file, "the name of a file must have no folder in it");
        }
    }
    for pair in order.windows(2) {
        if pair[0].name == pair[1].name {
            find(pair[1], "two files have this name");
        }
    }
    findings
}
