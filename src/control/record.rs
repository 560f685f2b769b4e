//! Records of the log file: length, check of the length, check of the content, content.
//!
//! A file that ends within a record was torn by a crash before its sync: the rest is cut off. A
//! record that is whole but fails its check was synced and has rotted: it is refused, so that
//! nothing acknowledged is dropped in silence.

use std::fmt;

use serde::Serialize;

use super::log;
use super::member;

/// Bytes before a record's content.
const HEAD: usize = 12;

/// Largest content of a record in bytes.
const MAX_RECORD: usize = 512 << 20;

/// Smallest unit that a disk writes as a whole. A crash may leave such a unit of zeros.
const SECTOR: usize = 512;

data! {
    /// One record.
    pub enum Record {
        /// First of a file: whose it is.
        Identity(member::Member),
        /// All entries up to here. Replaces what came before.
        Snapshot(log::Snapshot),
        /// The durable word.
        Hard(log::Hard),
        /// An entry; replaces a former one of its index and all after it.
        Entry(log::Entry),
        /// Entries up to here are committed.
        Commit(u64),
    }
}

/// A file that must not be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Corrupt {
    /// Where, in bytes from the start of the file.
    pub offset: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Corrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "corrupt at byte {}: {}", self.offset, self.message)
    }
}

impl std::error::Error for Corrupt {}

/// What a file holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scan {
    /// Whose it is.
    pub identity: Option<member::Member>,
    /// What it says.
    pub saved: log::Saved,
    /// Bytes that are whole. What follows was torn and is to be cut off.
    pub len: usize,
}

/// Appends a record to `buf`.
fn put<T: Serialize>(buf: &mut Vec<u8>, tag: u8, body: &T) {
    let start = buf.len();
    buf.extend_from_slice(&[0; HEAD]);
    buf.push(tag);
    bincode::serde::encode_into_std_write(body, buf, bincode::config::standard())
        .expect("a record always encodes");
    let len = (buf.len() - start - HEAD) as u32;
    let check = crc32fast::hash(&buf[start + HEAD..]);
    let len = len.to_le_bytes();
    buf[start..start + 4].copy_from_slice(&len);
    buf[start + 4..start + 8].copy_from_slice(&crc32fast::hash(&len).to_le_bytes());
    buf[start + 8..start + 12].copy_from_slice(&check.to_le_bytes());
}

/// Appends the record of whose file it is.
pub fn put_identity(buf: &mut Vec<u8>, me: &member::Member) {
    put(buf, 0, me);
}

/// Appends what `write` says.
pub fn put_write(buf: &mut Vec<u8>, write: &log::Write) {
    if let Some(snapshot) = &write.snapshot {
        put(buf, 1, snapshot);
    }
    if let Some(hard) = &write.hard {
        put(buf, 2, hard);
    }
    for entry in &write.entries {
        put(buf, 3, entry);
    }
    if let Some(commit) = &write.commit {
        put(buf, 4, commit);
    }
}

enum Step {
    Record(Record, usize),
    Torn,
}

/// Reads a whole file.
pub fn scan(bytes: &[u8]) -> Result<Scan, Corrupt> {
    let mut scan = Scan::default();
    while scan.len < bytes.len() {
        let corrupt = |message: String| Corrupt {
            offset: scan.len,
            message,
        };
        match next(&bytes[scan.len..]).map_err(&corrupt)? {
            Step::Torn => break,
            Step::Record(record, used) => {
                take(&mut scan, record).map_err(|message| Corrupt {
                    offset: scan.len,
                    message,
                })?;
                scan.len += used;
            }
        }
    }
    Ok(scan)
}

fn next(bytes: &[u8]) -> Result<Step, String> {
    if bytes.len() < HEAD || is_zero(bytes) {
        return Ok(Step::Torn);
    }
    let word = |at: usize| {
        let word = bytes[at..at + 4].try_into().expect("four bytes");
        u32::from_le_bytes(word)
    };
    if crc32fast::hash(&bytes[..4]) != word(4) {
        return Err("the length of a record fails its check".to_owned());
    }
    let len = word(0) as usize;
    if len == 0 || len > MAX_RECORD {
        return Err(format!("a record of {len} bytes"));
    }
    let Some(content) = bytes.get(HEAD..HEAD + len) else {
        return Ok(Step::Torn);
    };
    if crc32fast::hash(content) != word(8) {
        let last = bytes.len() == HEAD + len;
        if last && has_zero_sector(content) {
            return Ok(Step::Torn);
        }
        return Err("the content of a record fails its check".to_owned());
    }
    Ok(Step::Record(parse(content)?, HEAD + len))
}

fn parse(content: &[u8]) -> Result<Record, String> {
    let body = &content[1..];
    match content[0] {
        0 => decode(body).map(Record::Identity),
        1 => decode(body).map(Record::Snapshot),
        2 => decode(body).map(Record::Hard),
        3 => decode(body).map(Record::Entry),
        4 => decode(body).map(Record::Commit),
        tag => Err(format!("a record of unknown kind {tag}")),
    }
}

fn decode<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    let conf = bincode::config::standard().with_limit::<MAX_RECORD>();
    let (value, used) =
        bincode::serde::decode_from_slice(body, conf).map_err(|err| err.to_string())?;
    if used != body.len() {
        return Err(format!("{} bytes too many in a record", body.len() - used));
    }
    Ok(value)
}

fn take(scan: &mut Scan, record: Record) -> Result<(), String> {
    let saved = &mut scan.saved;
    match record {
        Record::Identity(me) => scan.identity = Some(me),
        Record::Hard(hard) => saved.hard = hard,
        Record::Commit(commit) => saved.commit = saved.commit.max(commit),
        Record::Snapshot(snapshot) => {
            saved.entries.clear();
            saved.snapshot = Some(snapshot);
        }
        Record::Entry(entry) => {
            let base = saved.snapshot.as_ref().map_or(0, |s| s.tail.index);
            let Some(at) = entry.index.checked_sub(base + 1) else {
                return Err(format!("entry {} lies within the snapshot", entry.index));
            };
            if at as usize > saved.entries.len() {
                return Err(format!("entries before {} are missing", entry.index));
            }
            saved.entries.truncate(at as usize);
            saved.entries.push(entry);
        }
    }
    Ok(())
}

fn is_zero(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}

fn has_zero_sector(content: &[u8]) -> bool {
    content.len() >= SECTOR && content.chunks(SECTOR).any(is_zero)
}
