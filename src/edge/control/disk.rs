//! The data folder of the control role.
//!
//! It holds one log file, `log-<generation>`: whose it is, a snapshot, and what came after it. A
//! new snapshot begins the next generation in a file of its own, which takes the place of the
//! old one only when it is synced, so the folder never holds more than two.

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
const NEW_NAME: &str = "new";

/// Why a data folder cannot be used.
#[derive(Debug)]
pub enum Error {
    /// A call of the system failed.
    Io(PathBuf, io::Error),
    /// Another process uses it.
    Locked(PathBuf),
    /// A log file has rotted.
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
    /// Nothing of it counts; it may be tried again.
    Retry(io::Error),
    /// What the disk holds is not known any more. Nothing may be written again.
    Final(io::Error),
}

/// An open data folder.
#[derive(Debug)]
pub struct Disk {
    path: PathBuf,
    me: member::Member,
    generation: u64,
    file: fs::File,
    /// Bytes of the file that are synced.
    len: u64,
    /// Held as long as the folder is in use.
    _lock: fs::File,
}

/// What [`Disk::open`] found.
#[derive(Debug)]
pub struct Opened {
    /// The folder.
    pub disk: Disk,
    /// Whose it is.
    pub me: member::Member,
    /// What it held.
    pub saved: log::Saved,
    /// Whether it was empty or foreign, so that this is a new life.
    pub is_new: bool,
    /// Torn bytes that were cut off.
    pub torn: u64,
}

impl Disk {
    /// Opens the folder at `path` for the process at `addr`. `life` is used if it is empty or
    /// belongs to another process, whose files are then set aside.
    pub fn open(path: &Path, addr: SocketAddr, life: id::Incarnation) -> Result<Opened, Error> {
        let io = |err| Error::Io(path.to_owned(), err);
        fs::create_dir_all(path).map_err(io)?;
        let lock = fs::File::create(path.join(LOCK_NAME)).map_err(io)?;
        if lock.try_lock().is_err() {
            return Err(Error::Locked(path.to_owned()));
        }
        if let Some(generation) = newest(path).map_err(io)? {
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
            disk: Self::begin(path, me, lock).map_err(io)?,
            me,
            saved: log::Saved::default(),
            is_new: true,
            torn: 0,
        })
    }

    fn begin(path: &Path, me: member::Member, lock: fs::File) -> io::Result<Self> {
        let mut buf = Vec::new();
        record::put_identity(&mut buf, &me);
        let file = replace(path, 1, &buf)?;
        if let Some(parent) = path.parent() {
            // Relative paths have an empty parent.
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
        disk.drop_older()?;
        Ok(disk)
    }

    /// Bytes of the log file.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether nothing was written yet.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Writes and syncs `writes`, all or nothing.
    pub fn write(&mut self, writes: &[log::Write]) -> Result<(), Failure> {
        let restart = writes.iter().rposition(|one| one.snapshot.is_some());
        match restart {
            Some(at) => self.restart(&writes[at..]),
            None => self.append(writes),
        }
    }

    fn append(&mut self, writes: &[log::Write]) -> Result<(), Failure> {
        let mut buf = Vec::new();
        for write in writes {
            record::put_write(&mut buf, write);
        }
        // What an earlier try left behind goes first.
        self.file.set_len(self.len).map_err(Failure::Retry)?;
        self.file.write_all(&buf).map_err(Failure::Retry)?;
        // After a failed sync the system may forget what it could not write: a second try
        // would succeed without the data.
        self.file.sync_data().map_err(Failure::Final)?;
        self.len += buf.len() as u64;
        Ok(())
    }

    /// Begins the next generation.
    fn restart(&mut self, writes: &[log::Write]) -> Result<(), Failure> {
        let mut buf = Vec::new();
        record::put_identity(&mut buf, &self.me);
        for write in writes {
            record::put_write(&mut buf, write);
        }
        let next = self.generation + 1;
        self.file = replace(&self.path, next, &buf).map_err(Failure::Retry)?;
        self.generation = next;
        self.len = buf.len() as u64;
        self.drop_older().map_err(Failure::Retry)
    }

    fn drop_older(&mut self) -> io::Result<()> {
        for generation in generations(&self.path)? {
            if generation < self.generation {
                fs::remove_file(file_path(&self.path, generation))?;
            }
        }
        Ok(())
    }
}

/// Makes the file of a generation appear as a whole.
fn replace(path: &Path, generation: u64, bytes: &[u8]) -> io::Result<fs::File> {
    let new = path.join(NEW_NAME);
    let mut file = fs::File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    let name = file_path(path, generation);
    fs::rename(new, &name)?;
    fs::File::open(path)?.sync_all()?;
    fs::OpenOptions::new().append(true).open(name)
}

/// Moves another process's files into a folder of their own.
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

fn newest(path: &Path) -> io::Result<Option<u64>> {
    Ok(generations(path)?.into_iter().max())
}

fn generations(path: &Path) -> io::Result<Vec<u64>> {
    let mut out = Vec::new();
    for item in fs::read_dir(path)? {
        let name = item?.file_name();
        let digits = name.to_str().and_then(|one| one.strip_prefix(LOG_PREFIX));
        if let Some(digits) = digits
            && let Ok(generation) = u64::from_str_radix(digits, 16)
        {
            out.push(generation);
        }
    }
    Ok(out)
}
