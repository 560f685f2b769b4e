//! The data folder of the control role.
//!
//! It holds one log file, `log-<generation>`: the identity of its owner, a snapshot, and the
//! records since. A new snapshot starts the next generation in a file of its own. The old file is
//! removed only after the new one is synced, so the folder never holds more than two.

use std::fmt;
use std::fs;
use std::io;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use crate::control::log;
use crate::control::member;
use crate::control::record;
use crate::wire::id;

const LOG_PREFIX: &str = "log-";
const LOCK_NAME: &str = "lock";
const TEMP_NAME: &str = "new";

/// Why a data folder cannot be used.
#[derive(Debug)]
pub enum Error {
    /// A system call failed.
    Io(PathBuf, io::Error),
    /// Another process has locked it.
    Locked(PathBuf),
    /// A log file is corrupt.
    Corrupt(PathBuf, record::Corrupt),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Locked(path) => write!(f, "{}: in use by another process", path.display()),
            Self::Corrupt(path, err) => write!(
                f,
                "{}: {err}; move the data folder away and start again: this process then comes \
                 back as a new member and catches up from the others",
                path.display()
            ),
        }
    }
}

impl std::error::Error for Error {}

/// Why a write failed.
#[derive(Debug)]
pub enum Failure {
    /// The write did not take effect and may be retried.
    Retry(io::Error),
    /// The contents of the disk are unknown. No further write is allowed.
    Final(io::Error),
}

/// An open data folder.
#[derive(Debug)]
pub struct Disk {
    path: PathBuf,
    me: member::Member,
    generation: u64,
    file: fs::File,
    /// Synced length of the file in bytes.
    len: u64,
    /// Locked while the folder is in use.
    _lock: fs::File,
}

/// What [`Disk::open`] found.
#[derive(Debug)]
pub struct Opened {
    /// The folder.
    pub disk: Disk,
    /// The member that owns the folder.
    pub me: member::Member,
    /// The contents of its log.
    pub saved: log::Saved,
    /// Whether the folder was empty or belonged to another process, so that `me` is a new
    /// incarnation.
    pub is_new: bool,
    /// Bytes of an incomplete last record that were truncated.
    pub torn: u64,
}

impl Disk {
    /// Opens the folder at `path` for the process at `addr`. If it is empty or belongs to another
    /// process, starts a new log with the incarnation `life`. Another process's files are moved
    /// to a subfolder.
    pub fn open(path: &Path, addr: SocketAddr, life: id::Incarnation) -> Result<Opened, Error> {
        let io = |err| Error::Io(path.to_owned(), err);
        fs::create_dir_all(path).map_err(io)?;
        let lock = fs::File::create(path.join(LOCK_NAME)).map_err(io)?;
        if lock.try_lock().is_err() {
            return Err(Error::Locked(path.to_owned()));
        }
        if let Some(generation) = newest_generation(path).map_err(io)? {
            let name = file_path(path, generation);
            let bytes = fs::read(&name).map_err(io)?;
            let corrupt = |err| Error::Corrupt(name.clone(), err);
            let scan = record::scan(&bytes).map_err(corrupt)?;
            let Some(me) = scan.identity else {
                let why = "the file does not say whose it is".to_owned();
                return Err(corrupt(record::Corrupt {
                    offset: 0,
                    message: why,
                }));
            };
            if me.addr == addr {
                let torn = (bytes.len() - scan.len) as u64;
                let disk = Self::resume(path, me, generation, scan.len as u64, lock);
                return Ok(Opened {
                    disk: disk.map_err(io)?,
                    me,
                    saved: scan.saved,
                    is_new: false,
                    torn,
                });
            }
            set_aside(path, me).map_err(io)?;
        }
        let me = member::Member { addr, life };
        Ok(Opened {
            disk: Self::create(path, me, lock).map_err(io)?,
            me,
            saved: log::Saved::default(),
            is_new: true,
            torn: 0,
        })
    }

    fn create(path: &Path, me: member::Member, lock: fs::File) -> io::Result<Self> {
        let mut buf = Vec::new();
        record::put_identity(&mut buf, &me);
        let file = write_generation(path, 1, &buf)?;
        if let Some(parent) = path.parent() {
            // The parent of a relative path may be empty.
            let parent = if parent.as_os_str().is_empty() {
                Path::new(".")
            } else {
                parent
            };
            fs::File::open(parent)?.sync_all()?;
        }
        Ok(Self {
            path: path.to_owned(),
            me,
            generation: 1,
            file,
            len: buf.len() as u64,
            _lock: lock,
        })
    }

    fn resume(
        path: &Path,
        me: member::Member,
        generation: u64,
        len: u64,
        lock: fs::File,
    ) -> io::Result<Self> {
        let name = file_path(path, generation);
        let file = fs::OpenOptions::new().append(true).open(name)?;
        file.set_len(len)?;
        file.sync_all()?;
        let mut disk = Self {
            path: path.to_owned(),
            me,
            generation,
            file,
            len,
            _lock: lock,
        };
        disk.remove_older()?;
        Ok(disk)
    }

    /// Synced length of the log file in bytes.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether the log file is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Writes and syncs `writes` atomically.
    pub fn write(&mut self, writes: &[log::Write]) -> Result<(), Failure> {
        let last_snapshot = writes.iter().rposition(|write| write.snapshot.is_some());
        match last_snapshot {
            Some(at) => self.start_generation(&writes[at..]),
            None => self.append(writes),
        }
    }

    fn append(&mut self, writes: &[log::Write]) -> Result<(), Failure> {
        let mut buf = Vec::new();
        for write in writes {
            record::put_write(&mut buf, write);
        }
        // Truncate what an earlier failed attempt left behind.
        self.file.set_len(self.len).map_err(Failure::Retry)?;
        self.file.write_all(&buf).map_err(Failure::Retry)?;
        // After a failed sync the system may drop the unwritten pages: a second sync would then
        // succeed without the data.
        self.file.sync_data().map_err(Failure::Final)?;
        self.len += buf.len() as u64;
        Ok(())
    }

    /// Starts the next generation with `writes`, the first of which holds a snapshot.
    fn start_generation(&mut self, writes: &[log::Write]) -> Result<(), Failure> {
        let mut buf = Vec::new();
        record::put_identity(&mut buf, &self.me);
        for write in writes {
            record::put_write(&mut buf, write);
        }
        let next = self.generation + 1;
        self.file = write_generation(&self.path, next, &buf).map_err(Failure::Retry)?;
        self.generation = next;
        self.len = buf.len() as u64;
        self.remove_older().map_err(Failure::Retry)
    }

    fn remove_older(&mut self) -> io::Result<()> {
        for generation in generations(&self.path)? {
            if generation < self.generation {
                fs::remove_file(file_path(&self.path, generation))?;
            }
        }
        Ok(())
    }
}

/// Creates the file of a generation atomically.
fn write_generation(path: &Path, generation: u64, bytes: &[u8]) -> io::Result<fs::File> {
    let temp = path.join(TEMP_NAME);
    let mut file = fs::File::create(&temp)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    let name = file_path(path, generation);
    fs::rename(temp, &name)?;
    fs::File::open(path)?.sync_all()?;
    fs::OpenOptions::new().append(true).open(name)
}

/// Moves another process's log files into a subfolder.
fn set_aside(path: &Path, owner: member::Member) -> io::Result<()> {
    let aside = path.join(format!("foreign-{}", owner.life.0));
    fs::create_dir_all(&aside)?;
    for generation in generations(path)? {
        let name = file_path(path, generation);
        fs::rename(&name, file_path(&aside, generation))?;
    }
    fs::File::open(&aside)?.sync_all()?;
    fs::File::open(path)?.sync_all()
}

fn file_path(path: &Path, generation: u64) -> PathBuf {
    path.join(format!("{LOG_PREFIX}{generation:016x}"))
}

fn newest_generation(path: &Path) -> io::Result<Option<u64>> {
    Ok(generations(path)?.into_iter().max())
}

fn generations(path: &Path) -> io::Result<Vec<u64>> {
    let mut out = Vec::new();
    for item in fs::read_dir(path)? {
        let name = item?.file_name();
        let digits = name.to_str().and_then(|name| name.strip_prefix(LOG_PREFIX));
        if let Some(digits) = digits
            && let Ok(generation) = u64::from_str_radix(digits, 16)
        {
            out.push(generation);
        }
    }
    Ok(out)
}
