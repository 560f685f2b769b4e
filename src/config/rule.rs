//! Rules over the merged configuration.

use std::collections::BTreeMap;

use super::Finding;
use super::Policy;
use super::draft::Draft;
use super::draft::Item;
use super::draft::Place;
use super::schema::Section;

/// Longest name in bytes.
const MAX_NAME: usize = 128;

/// Characters of a key hash.
const HASH_LEN: usize = 64;

/// Finds what breaks a rule.
pub fn check(draft: &Draft, findings: &mut Vec<Finding>) {
    for section in Section::ALL {
        for (name, item) in draft.items(*section) {
            check_name(*section, name, item, findings);
            check_required(*section, name, item, findings);
        }
    }
    check_services(draft, Section::Model, "engine", findings);
    check_services(draft, Section::Route, "plain", findings);
    check_hashes(draft, findings);
    check_routes(draft, findings);
    check_policy(draft, findings);
}

fn check_name(section: Section, name: &str, item: &Item, findings: &mut Vec<Finding>) {
    if section == Section::Policy {
        return;
    }
    let key = section.key();
    if name.is_empty() || name.len() > MAX_NAME {
        let text = format!("the name of a {key} must have 1 to {MAX_NAME} bytes");
        findings.push(item.place.finding(text));
    }
    if name
        .chars()
        .any(|one| one.is_whitespace() || one.is_control())
    {
        let text = format!("{key}.{name:?}: no white space in a name");
        findings.push(item.place.finding(text));
    }
}

fn check_required(section: Section, name: &str, item: &Item, findings: &mut Vec<Finding>) {
    for field in section.fields().iter().filter(|one| one.required) {
        if !item.is_given(field.name) {
            let text = format!("{}.{name}: {} is missing", section.key(), field.name);
            findings.push(item.place.finding(text));
        }
    }
}

/// Judges the services that items of a section name: they must be there and of that kind.
fn check_services(draft: &Draft, section: Section, kind: &str, findings: &mut Vec<Finding>) {
    for (name, item) in draft.items(section) {
        let Some(service) = item.text("service") else {
            continue;
        };
        let key = section.key();
        let text = match draft.item(Section::Service, service) {
            None => format!("{key}.{name}: there is no service {service}"),
            Some(found) if found.text("kind").is_some_and(|one| one != kind) => {
                format!("{key}.{name}: service {service} is not of kind {kind}")
            }
            Some(_) => continue,
        };
        findings.push(item.place("service").finding(text));
    }
}

fn check_hashes(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut seen: BTreeMap<&str, (&str, Place)> = BTreeMap::new();
    for (name, item) in draft.items(Section::Workspace) {
        let Some(hash) = item.text("key_hash") else {
            continue;
        };
        let place = item.place("key_hash");
        let is_hex = |one: u8| one.is_ascii_digit() || (b'a'..=b'f').contains(&one);
        if hash.len() != HASH_LEN || !hash.bytes().all(is_hex) {
            let text = format!(
                "workspace.{name}: key_hash must be {HASH_LEN} lower-case hex digits, as \
                 `wigeonbarrow key hash` prints them"
            );
            findings.push(place.finding(text));
            continue;
        }
        match seen.get(hash) {
            Some((other, at)) => {
                let text = format!(
                    "workspace.{name}: workspace.{other} has the same key_hash ({}:{})",
                    at.file, at.line
                );
                findings.push(place.finding(text));
            }
            None => {
                seen.insert(hash, (name, place));
            }
        }
    }
}

fn check_routes(draft: &Draft, findings: &mut Vec<Finding>) {
    let mut seen: BTreeMap<(&str, &str, &str), (&str, Place)> = BTreeMap::new();
    for (name, item) in draft.items(Section::Route) {
        let method = item.text("method").unwrap_or_default();
        if !method.bytes().all(|one| one.is_ascii_uppercase()) {
            let text = format!("route.{name}: method must be in capitals, as GET or POST");
            findings.push(item.place("method").finding(text));
        }
        let (Some(service), Some(prefix)) = (item.text("service"), item.text("prefix")) else {
            continue;
        };
        let place = item.place("prefix");
        if !prefix.starts_with('/') || prefix.contains(['?', '#']) {
            let text = format!("route.{name}: prefix must begin with a slash, without ? or #");
            findings.push(place.finding(text));
        }
        let id = (service, prefix, method);
        match seen.get(&id) {
            Some((other, at)) => {
                let text = format!(
                    "route.{name}: route.{other} has the same service, prefix and method ({}:{})",
                    at.file, at.line
                );
                findings.push(place.finding(text));
            }
            None => {
                seen.insert(id, (name, place));
            }
        }
    }
}

fn check_policy(draft: &Draft, findings: &mut Vec<Finding>) {
    let Some(policy) = draft.item(Section::Policy, "") else {
        return;
    };
    let default = Policy::default();
    let short = policy
        .number("short_tokens")
        .unwrap_or(default.short_tokens);
    let long = policy.number("long_tokens").unwrap_or(default.long_tokens);
    if short >= long {
        let key = match policy.number("short_tokens") {
            Some(_) => "short_tokens",
            None => "long_tokens",
        };
        let text = format!("short_tokens ({short}) must be below long_tokens ({long})");
        findings.push(policy.place(key).finding(text));
    }
}
