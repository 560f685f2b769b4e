//! What the commands share: errors with exit codes, the client of the processes, folders.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use reqwest::blocking;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wigeonbarrow::config;
use wigeonbarrow::wire::agree;

/// Time for one answer of a process. A change may take 10 s to be agreed.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Time for an order to be carried out: weights come from a rate-limited store.
const ORDER_TIMEOUT: Duration = Duration::from_secs(630);

/// Why a command ended without success.
#[derive(Debug)]
pub enum Error {
    /// Wrong usage.
    Usage(String),
    /// A file or folder could not be read.
    File(PathBuf, io::Error),
    /// The configuration has findings.
    Findings(Vec<String>),
    /// A process refused.
    Refused(String),
    /// Another change won.
    Conflict {
        /// Revision in force.
        revision: u64,
        /// Its author.
        author: String,
    },
    /// No process answered: not known whether it was done.
    Unknown(String),
}

impl Error {
    /// The program's exit code.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::File(..) | Self::Findings(_) | Self::Refused(_) => 1,
            Self::Usage(_) => 2,
            Self::Conflict { .. } => 3,
            Self::Unknown(_) => 4,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) | Self::Refused(text) | Self::Unknown(text) => write!(f, "{text}"),
            Self::File(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Findings(findings) => {
                write!(f, "{} findings", findings.len())?;
                for finding in findings {
                    write!(f, "\n  {finding}")?;
                }
                Ok(())
            }
            Self::Conflict { revision, author } => {
                write!(
                    f,
                    "revision {revision} by {author} is in force; look at it first"
                )
            }
        }
    }
}

/// The configuration in force, as a process tells it.
#[derive(Debug, Deserialize, Serialize)]
pub struct Folder {
    /// Its revision.
    pub revision: u64,
    /// Its files.
    pub files: Vec<agree::File>,
}

/// Asks the processes that the arguments name.
pub struct Client {
    urls: Vec<String>,
    key: String,
    http: blocking::Client,
}

impl Client {
    /// A client by the arguments `--url` and `--operator-key-file`.
    pub fn new(matches: &ArgMatches) -> Result<Self, Error> {
        let urls = matches.get_many::<String>("url").unwrap_or_default();
        let key = match matches.get_one::<PathBuf>("operator-key-file") {
            Some(path) => fs::read_to_string(path).map_err(|err| Error::File(path.clone(), err))?,
            None => std::env::var("WIGEONBARROW_OPERATOR_KEY").map_err(|_| {
                Error::Usage(
                    "WIGEONBARROW_OPERATOR_KEY or --operator-key-file is needed".to_owned(),
                )
            })?,
        };
        let http = blocking::Client::builder()
            .timeout(TIMEOUT)
            .build()
            .map_err(|err| Error::Usage(err.to_string()))?;
        Ok(Self {
            urls: urls
                .map(|url| url.trim_end_matches('/').to_owned())
                .collect(),
            key: key.trim().to_owned(),
            http,
        })
    }

    /// Asks for a page; the processes are tried in turn.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.each(|url| self.http.get(format!("{url}{path}")))
    }

    /// The newest configuration that any of the processes knows: one may lag behind.
    pub fn newest(&self) -> Result<Folder, Error> {
        let mut newest: Option<Folder> = None;
        let mut failure = Error::Usage("--url is needed".to_owned());
        for url in &self.urls {
            let request = self.http.get(format!("{url}/admin/v1/config"));
            match request.bearer_auth(&self.key).send() {
                Ok(answer) => {
                    let folder: Folder = read(answer)?;
                    if newest
                        .as_ref()
                        .is_none_or(|known| known.revision < folder.revision)
                    {
                        newest = Some(folder);
                    }
                }
                Err(err) => failure = Error::Unknown(format!("{url}: {err}")),
            }
        }
        newest.ok_or(failure)
    }

    /// Posts to one process after another until one answers. Whatever is posted must be
    /// idempotent.
    pub fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Error> {
        self.each(|url| self.http.post(format!("{url}{path}")).json(body))
    }

    /// Posts to the first process only.
    pub fn post_once<B, T>(&self, path: &str, body: &B) -> Result<T, Error>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let Some(url) = self.urls.first() else {
            return Err(Error::Usage("--url is needed".to_owned()));
        };
        let request = self.http.post(format!("{url}{path}")).json(body);
        match request.bearer_auth(&self.key).timeout(ORDER_TIMEOUT).send() {
            Ok(answer) => read(answer),
            Err(err) => Err(Error::Unknown(format!("{url}: {err}"))),
        }
    }

    fn each<T: DeserializeOwned>(
        &self,
        request: impl Fn(&str) -> blocking::RequestBuilder,
    ) -> Result<T, Error> {
        let mut failures = Vec::new();
        for url in &self.urls {
            match request(url).bearer_auth(&self.key).send() {
                Ok(answer) => return read(answer),
                Err(err) => failures.push(format!("{url}: {err}")),
            }
        }
        Err(Error::Unknown(failures.join("; ")))
    }
}

fn read<T: DeserializeOwned>(answer: blocking::Response) -> Result<T, Error> {
    let status = answer.status();
    let text = answer
        .text()
        .map_err(|err| Error::Unknown(err.to_string()))?;
    if !status.is_success() {
        return Err(Error::Refused(format!("{status}: {text}")));
    }
    serde_json::from_str(&text).map_err(|err| Error::Refused(format!("{err} in: {text}")))
}

/// Reads the `.toml` files of a folder, in the order of their names.
pub fn read_folder(path: &Path) -> Result<Vec<agree::File>, Error> {
    let fail = |err| Error::File(path.to_owned(), err);
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(fail)? {
        let path = entry.map_err(fail)?.path();
        if path.extension().is_none_or(|extension| extension != "toml") {
            continue;
        }
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let name = name.into_owned();
        let text = fs::read_to_string(&path).map_err(|err| Error::File(path, err))?;
        files.push(agree::File { name, text });
    }
    if files.is_empty() {
        return Err(Error::Usage(format!("{}: no .toml files", path.display())));
    }
    files.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(files)
}

/// Merges and checks files; the error holds all findings.
pub fn check(files: &[agree::File]) -> Result<config::Set, Error> {
    config::merge(0, files).map_err(|findings| {
        Error::Findings(findings.iter().map(config::Finding::to_string).collect())
    })
}

/// Posts a change and tells what became of it.
pub fn apply(client: &Client, change: &agree::Change) -> Result<u64, Error> {
    match client.post("/admin/v1/config", change)? {
        agree::Verdict::Done { revision } => Ok(revision),
        agree::Verdict::Conflict { revision, author } => Err(Error::Conflict { revision, author }),
        agree::Verdict::Invalid(findings) => Err(Error::Findings(findings)),
        agree::Verdict::Unavailable => {
            let text = format!(
                "no quorum; send it again with --change-id {:x}",
                change.id.0
            );
            Err(Error::Unknown(text))
        }
        other => Err(Error::Refused(format!("unexpected answer {other:?}"))),
    }
}

/// A JSON value for people: text without its quotes.
pub fn plain(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Whether `--json` is set.
pub fn is_json(matches: &ArgMatches) -> bool {
    matches.get_flag("json")
}

/// Prints `value` as JSON.
pub fn print_json<T: Serialize>(value: &T) -> Result<(), Error> {
    let text =
        serde_json::to_string_pretty(value).map_err(|err| Error::Refused(err.to_string()))?;
    println!("{text}");
    Ok(())
}

/// The folder that a command's argument names.
pub fn folder(matches: &ArgMatches) -> &Path {
    matches
        .get_one::<PathBuf>("folder")
        .map_or(Path::new("."), PathBuf::as_path)
}

/// The argument that names a folder.
pub fn folder_arg() -> clap::Arg {
    clap::Arg::new("folder")
        .value_name("FOLDER")
        .help("Folder of TOML files")
        .value_parser(clap::value_parser!(PathBuf))
        .required(true)
}
