//! Configuration files as read: each value with its place, merged key by key.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;

use super::Finding;
use super::Set;
use super::schema;
use super::schema::Kind;
use super::schema::Section;
use crate::wire::agree;

/// Where something stands.
#[derive(Clone, Copy, Debug)]
pub struct Place<'a> {
    /// Name of the file.
    pub file: &'a str,
    /// Line, from 1.
    pub line: u64,
}

impl Place<'_> {
    /// A finding here.
    pub fn finding(&self, text: String) -> Finding {
        Finding {
            file: self.file.to_owned(),
            line: self.line,
            text,
        }
    }
}

/// A service, model, workspace or route, or the policy.
#[derive(Debug)]
pub struct Item<'a> {
    /// Where it first stands.
    pub place: Place<'a>,
    /// Its values that have the right type, each with its place. Of several the last holds.
    fields: BTreeMap<&'static str, (toml::Value, Place<'a>)>,
    /// Keys that stand there, also with a wrong value.
    given: BTreeSet<&'static str>,
}

impl<'a> Item<'a> {
    /// The text under `key`.
    pub fn text(&self, key: &str) -> Option<&str> {
        self.fields.get(key).and_then(|(value, _)| value.as_str())
    }

    /// The number under `key`.
    pub fn number(&self, key: &str) -> Option<u64> {
        let (value, _) = self.fields.get(key)?;
        value.as_integer().map(|number| number as u64)
    }

    /// Whether `key` stands there, also with a wrong value.
    pub fn is_given(&self, key: &str) -> bool {
        self.given.contains(key)
    }

    /// Where the value under `key` stands, else the item.
    pub fn place(&self, key: &str) -> Place<'a> {
        self.fields.get(key).map_or(self.place, |(_, place)| *place)
    }

    fn build<T: DeserializeOwned>(&self, name: &str) -> Result<T, Finding> {
        let fields = self.fields.iter();
        let table: toml::Table = fields
            .map(|(key, (value, _))| ((*key).to_owned(), value.clone()))
            .collect();
        table
            .try_into()
            .map_err(|err: toml::de::Error| self.place.finding(format!("{name}: {err}")))
    }
}

/// The items of all files, merged.
#[derive(Debug, Default)]
pub struct Draft<'a> {
    items: BTreeMap<(Section, String), Item<'a>>,
    /// Whether some file could not be read.
    partial: bool,
}

impl<'a> Draft<'a> {
    /// Whether some file could not be read, so that items may be missing.
    pub fn is_partial(&self) -> bool {
        self.partial
    }

    /// The items of a section in the order of their names.
    pub fn items(&self, section: Section) -> impl Iterator<Item = (&str, &Item<'a>)> {
        let from = (section, String::new());
        let items = self.items.range(from..);
        items
            .take_while(move |((at, _), _)| *at == section)
            .map(|((_, name), item)| (name.as_str(), item))
    }

    /// An item by name.
    pub fn item(&self, section: Section, name: &str) -> Option<&Item<'a>> {
        self.items.get(&(section, name.to_owned()))
    }

    /// Reads a file over those read before.
    pub fn read(&mut self, file: &'a agree::File, findings: &mut Vec<Finding>) {
        let lines = Lines::new(file);
        let (table, errors) = DeTable::parse_recoverable(&file.text);
        for err in &errors {
            let place = lines.place(&err.span().unwrap_or(0..0));
            findings.push(place.finding(err.message().to_owned()));
        }
        if !errors.is_empty() {
            self.partial = true;
            return;
        }
        for (key, value) in table.get_ref() {
            let place = lines.place(&key.span());
            let Some(section) = Section::of(key.get_ref()) else {
                let known: Vec<_> = Section::ALL.iter().map(|one| one.key()).collect();
                let text = format!("unknown key {}; known: {}", key.get_ref(), known.join(", "));
                findings.push(place.finding(text));
                continue;
            };
            self.read_section(&lines, section, place, value.get_ref(), findings);
        }
    }

    fn read_section(
        &mut self,
        lines: &Lines<'a>,
        section: Section,
        place: Place<'a>,
        value: &DeValue,
        findings: &mut Vec<Finding>,
    ) {
        let key = section.key();
        let DeValue::Table(table) = value else {
            let found = value.type_str();
            findings.push(place.finding(format!("{key} must be a table, is {found}")));
            return;
        };
        if section == Section::Policy {
            return self.read_item(lines, section, "", place, table, findings);
        }
        for (name, value) in table {
            let place = lines.place(&name.span());
            let name = name.get_ref();
            let DeValue::Table(table) = value.get_ref() else {
                let found = value.get_ref().type_str();
                let text = format!("{key}.{name} must be a table, is {found}");
                findings.push(place.finding(text));
                continue;
            };
            self.read_item(lines, section, name, place, table, findings);
        }
    }

    fn read_item(
        &mut self,
        lines: &Lines<'a>,
        section: Section,
        name: &str,
        place: Place<'a>,
        table: &DeTable,
        findings: &mut Vec<Finding>,
    ) {
        let id = (section, name.to_owned());
        let item = self.items.entry(id).or_insert_with(|| Item {
            place,
            fields: BTreeMap::new(),
            given: BTreeSet::new(),
        });
        for (key, value) in table {
            let place = lines.place(&key.span());
            let Some(field) = section.field(key.get_ref()) else {
                findings.push(place.finding(unknown(section, key.get_ref())));
                continue;
            };
            item.given.insert(field.name);
            match convert(field, value) {
                Ok(value) => {
                    item.fields.insert(field.name, (value, place));
                }
                Err(text) => findings.push(place.finding(text)),
            }
        }
    }

    /// Builds the set. To be called when there are no findings.
    pub fn build(&self, revision: u64) -> Result<Set, Finding> {
        let mut set = Set {
            revision,
            service: self.build_all(Section::Service)?,
            model: self.build_all(Section::Model)?,
            workspace: self.build_all(Section::Workspace)?,
            route: self.build_all(Section::Route)?,
            ..Set::default()
        };
        if let Some(policy) = self.item(Section::Policy, "") {
            set.policy = policy.build("policy")?;
        }
        Ok(set)
    }

    fn build_all<T: DeserializeOwned>(
        &self,
        section: Section,
    ) -> Result<BTreeMap<String, T>, Finding> {
        let items = self.items(section);
        items
            .map(|(name, item)| Ok((name.to_owned(), item.build(name)?)))
            .collect()
    }
}

fn unknown(section: Section, key: &str) -> String {
    let known: Vec<_> = section.fields().iter().map(|one| one.name).collect();
    let section = section.key();
    format!(
        "unknown key {key} in a {section}; known: {}",
        known.join(", ")
    )
}

/// The value of a field, or why it cannot be that.
fn convert(field: &schema::Field, value: &Spanned<DeValue>) -> Result<toml::Value, String> {
    let name = field.name;
    let value = value.get_ref();
    let found = value.type_str();
    match (&field.kind, value) {
        (Kind::Text, DeValue::String(text)) => Ok(toml::Value::String(text.to_string())),
        (Kind::Flag, DeValue::Boolean(flag)) => Ok(toml::Value::Boolean(*flag)),
        (Kind::Number(min, max), DeValue::Integer(number)) => {
            let parsed = i128::from_str_radix(number.as_str(), number.radix());
            let range = i128::from(*min)..=i128::from(*max);
            match parsed.ok().filter(|one| range.contains(one)) {
                Some(one) => Ok(toml::Value::Integer(one as i64)),
                None => Err(format!("{name} must be {min} to {max}, is {number}")),
            }
        }
        (Kind::OneOf(known), DeValue::String(text)) => {
            if known.contains(&text.as_ref()) {
                return Ok(toml::Value::String(text.to_string()));
            }
            Err(format!(
                "{name} must be one of {}, is {text}",
                known.join(", ")
            ))
        }
        (Kind::Text | Kind::OneOf(_), _) => Err(format!("{name} must be a text, is {found}")),
        (Kind::Flag, _) => Err(format!("{name} must be true or false, is {found}")),
        (Kind::Number(..), _) => Err(format!("{name} must be a whole number, is {found}")),
    }
}

/// Lines of a file.
struct Lines<'a> {
    file: &'a str,
    /// Offsets at which lines end.
    ends: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(file: &'a agree::File) -> Self {
        let text = file.text.as_bytes().iter().enumerate();
        let ends = text.filter(|(_, byte)| **byte == b'\n').map(|(at, _)| at);
        Self {
            file: &file.name,
            ends: ends.collect(),
        }
    }

    fn place(&self, span: &Range<usize>) -> Place<'a> {
        let before = self.ends.partition_point(|end| *end < span.start);
        Place {
            file: self.file,
            line: before as u64 + 1,
        }
    }
}
