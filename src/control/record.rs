//! Records of the log file: length, checksum of the length, checksum of the content, content.
//!
//! If a file ends within a record, a crash came before the sync: the incomplete record is cut off.
//! A complete record with a wrong checksum was synced and is corrupt: the file is rejected, so that
//! no acknowledged data is dropped silently.

use std::fmt;

use serde::Serialize;

use super::log;
use super::member;

/// Bytes before a record's content.
const HEADER_BYTES: usize = 12;

/// Largest content of a record in bytes.
const MAX_RECORD_BYTES: usize = 512 << 20;

/// Smallest unit that a disk writes atomically. A crash may leave a unit full of zeros.
const SECTOR_BYTES: usize = 512;

data! {
    /// A record of the log file.
    pub enum Record {
        /// The owner of the file. Comes first.
        Identity(member::Member),
        /// A snapshot. Replaces all entries before it in the file.
        Snapshot(log::Snapshot),
        /// The hard state.
        Hard(log::Hard),
        /// An entry. Replaces an earlier one with its index and all after that.
        Entry(log::Entry),
        /// Entries up to here are committed.
        Commit(u64),
    }
}

/// The log file is corrupt and must not be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Corrupt {
    /// Offset of the corrupt record in bytes.
    pub offset: usize,
    /// Description of the fault.
    pub message: String,
}

impl fmt::Display for Corrupt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "corrupt at byte {}: {}", self.offset, self.message)
    }
}

impl std::error::Error for Corrupt {}

/// Content of a log file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Scan {
    /// Owner of the file.
    pub identity: Option<member::Member>,
    /// Hard state, snapshot and entries.
    pub saved: log::Saved,
    /// Length of the complete records. The rest is torn and has to be cut off.
    pub len: usize,
}

/// Appends a record to `buf`.
fn put<T: Serialize>(buf: &mut Vec<u8>, tag: u8, body: &T) {
    let start = buf.len();
    buf.extend_from_slice(&[0; HEADER_BYTES]);
    buf.push(tag);
    bincode::serde::encode_into_std_write(body, buf, bincode::config::standard())
        .expect("a record always encodes");
    let len = (buf.len() - start - HEADER_BYTES) as u32;
    let checksum = crc32fast::hash(&buf[start + HEADER_BYTES..]);
    let len = len.to_le_bytes();
    buf[start..start + 4].copy_from_slice(&len);
    buf[start + 4..start + 8].copy_from_slice(&crc32fast::hash(&len).to_le_bytes());
    buf[start + 8..start + 12].copy_from_slice(&checksum.to_le_bytes());
}

/// Appends the record that names the file's owner.
pub fn put_identity(buf: &mut Vec<u8>, me: &member::Member) {
    put(buf, 0, me);
}

/// Appends the records of `write`.
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
    /// A record and its length in the file.
    Record(Record, usize),
    /// The rest of the file is incomplete.
    Torn,
}

/// Reads the content of a log file.
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
                apply(&mut scan, record).map_err(|message| Corrupt {
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
    if bytes.len() < HEADER_BYTES || is_zero(bytes) {
        return Ok(Step::Torn);
    }
    let read_u32 = |at: usize| {
        let four = bytes[at..at + 4].try_into().expect("four bytes");
        u32::from_le_bytes(four)
    };
    if crc32fast::hash(&bytes[..4]) != read_u32(4) {
        return Err("the length of a record fails its check".to_owned());
    }
    let len = read_u32(0) as usize;
    if len == 0 || len > MAX_RECORD_BYTES {
        return Err(format!("a record of {len} bytes"));
    }
    let Some(content) = bytes.get(HEADER_BYTES..HEADER_BYTES + len) else {
        return Ok(Step::Torn);
    };
    if crc32fast::hash(content) != read_u32(8) {
        let last = bytes.len() == HEADER_BYTES + len;
        if last && has_zero_sector(content) {
            return Ok(Step::Torn);
        }
        return Err("the content of a record fails its check".to_owned());
    }
    Ok(Step::Record(parse(content)?, HEADER_BYTES + len))
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
    let conf = bincode::config::standard().with_limit::<MAX_RECORD_BYTES>();
    let (value, used) =
        bincode::serde::decode_from_slice(body, conf).map_err(|err| err.to_string())?;
    if used != body.len() {
        return Err(format!("{} bytes too many in a record", body.len() - used));
    }
    Ok(value)
}

fn apply(scan: &mut Scan, record: Record) -> Result<(), String> {
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
    content.len() >= SECTOR_BYTES && content.chunks(SECTOR_BYTES).any(is_zero)
}
