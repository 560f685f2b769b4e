//! The configurations that a process holds, and how it follows newer ones.
//!
//! Only a higher revision installs, so what is in force never reverts. The last few folders are
//! kept so that a process that is a few revisions behind gets a delta, and others a snapshot.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

use super::event::Event;
use super::node;
use crate::config;
use crate::log_event;
use crate::wire::agree;
use crate::wire::rpc;

/// Folders kept for deltas.
const KEPT: usize = 64;

/// How long a question for news is held by the one who is asked.
const PULL_WAIT: Duration = Duration::from_millis(2_000);

/// Pause after a question for news that failed.
const PULL_PAUSE: Duration = Duration::from_millis(100);

/// Files by name; texts are shared between revisions.
type Folder = BTreeMap<String, Arc<str>>;

/// The configurations that a process holds.
pub struct Store {
    /// In force here. Invariant: its revision only grows.
    set: ArcSwap<config::Set>,
    /// Invariant: revisions strictly ascend; the last is in force.
    kept: Mutex<VecDeque<(u64, Folder)>>,
    /// Revision in force, for those who wait for the next.
    current: watch::Sender<u64>,
    /// Newest revision heard of.
    heard: AtomicU64,
    /// Who told of it.
    source: Mutex<Option<SocketAddr>>,
    news: Notify,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            set: ArcSwap::default(),
            kept: Mutex::default(),
            current: watch::Sender::new(0),
            heard: AtomicU64::new(0),
            source: Mutex::default(),
            news: Notify::new(),
        }
    }
}

impl Store {
    /// The configuration in force here.
    pub fn set(&self) -> Arc<config::Set> {
        self.set.load_full()
    }

    /// Its revision.
    pub fn revision(&self) -> u64 {
        *self.current.borrow()
    }

    /// Newest revision that this process has heard of.
    pub fn heard(&self) -> u64 {
        self.heard.load(Ordering::Acquire).max(self.revision())
    }

    /// The files in force.
    pub fn files(&self) -> Vec<agree::File> {
        let kept = self.kept.lock().expect("conf lock");
        kept.back()
            .map(|(_, folder)| to_files(folder))
            .unwrap_or_default()
    }

    /// Hears of a revision in force elsewhere.
    pub fn seen(&self, revision: u64, addr: Option<SocketAddr>) {
        if revision <= self.heard.load(Ordering::Acquire) {
            return;
        }
        self.heard.fetch_max(revision, Ordering::AcqRel);
        if let Some(addr) = addr {
            *self.source.lock().expect("conf lock") = Some(addr);
        }
        self.news.notify_one();
    }

    /// Installs a folder if its revision is higher than the one in force. `Ok(false)`: it is not.
    pub fn install(
        &self,
        revision: u64,
        files: &[agree::File],
    ) -> Result<bool, Vec<config::Finding>> {
        if revision <= self.revision() {
            return Ok(false);
        }
        let set = config::merge(revision, files)?;
        let mut kept = self.kept.lock().expect("conf lock");
        if revision <= self.revision() {
            return Ok(false);
        }
        let folder = share(files, kept.back().map(|(_, folder)| folder));
        kept.push_back((revision, folder));
        while kept.len() > KEPT {
            kept.pop_front();
        }
        self.set.store(Arc::new(set));
        self.current.send_replace(revision);
        Ok(true)
    }

    /// Installs what a `Pull` was answered with.
    pub fn update(&self, update: rpc::Update) -> Result<bool, Vec<config::Finding>> {
        match update {
            rpc::Update::Same => Ok(false),
            rpc::Update::Snapshot { revision, files } => self.install(revision, &files),
            rpc::Update::Delta {
                from,
                revision,
                changed,
                removed,
            } => {
                if from != self.revision() {
                    return Ok(false);
                }
                let mut files = self.files();
                files.retain(|file| {
                    let replaced = changed.iter().any(|new| new.name == file.name);
                    !replaced && !removed.contains(&file.name)
                });
                files.extend(changed);
                self.install(revision, &files)
            }
        }
    }

    /// Answers a `Pull`, after `wait` at the most if there is nothing newer than `have`.
    pub async fn pull(&self, have: u64, wait: Duration) -> rpc::Update {
        let mut current = self.current.subscribe();
        let newer = current.wait_for(|revision| *revision > have);
        let _ = time::timeout(wait, newer).await;
        self.since(have)
    }

    fn since(&self, have: u64) -> rpc::Update {
        let kept = self.kept.lock().expect("conf lock");
        let Some((revision, folder)) = kept.back() else {
            return rpc::Update::Same;
        };
        if *revision <= have {
            return rpc::Update::Same;
        }
        match kept.iter().find(|(old, _)| *old == have) {
            Some((from, base)) => rpc::Update::Delta {
                from: *from,
                revision: *revision,
                changed: to_files(&changed(base, folder)),
                removed: removed(base, folder),
            },
            None => rpc::Update::Snapshot {
                revision: *revision,
                files: to_files(folder),
            },
        }
    }
}

/// Follows newer configurations: sends a long-polling request to one source at a time, and
/// asks a process at once if it is known to have a newer one.
pub async fn follow(node: Arc<node::Node>, sources: impl Fn() -> Vec<SocketAddr>) {
    let mut turn = rand::random_range(0..1_024_usize);
    loop {
        let store = node.conf_store();
        let told = store.source.lock().expect("conf lock").take();
        let behind = store.heard() > store.revision();
        let sources = sources();
        let Some(addr) = told.filter(|_| behind).or_else(|| pick(&sources, turn)) else {
            time::sleep(PULL_PAUSE).await;
            continue;
        };
        let wait = if behind { Duration::ZERO } else { PULL_WAIT };
        let ask = rpc::Ask::Pull {
            have: store.revision(),
            wait_ms: wait.as_millis() as u64,
        };
        let link = node.link(addr);
        let answer = link.ask(&ask, wait + node::ASK_TIMEOUT);
        let answer = tokio::select! {
            answer = answer => answer,
            // News of a newer revision elsewhere: ask there.
            () = store.news.notified(), if !behind => continue,
        };
        let installed = match answer {
            Ok(rpc::Answer::Update(update)) => {
                let installed = store.update(update);
                report(&node, &installed);
                installed.unwrap_or(false)
            }
            _ => false,
        };
        if !installed {
            turn = turn.wrapping_add(1);
            if behind {
                time::sleep(PULL_PAUSE).await;
            }
        }
    }
}

fn pick(sources: &[SocketAddr], turn: usize) -> Option<SocketAddr> {
    if sources.is_empty() {
        return None;
    }
    Some(sources[turn % sources.len()])
}

fn report(node: &node::Node, installed: &Result<bool, Vec<config::Finding>>) {
    match installed {
        Ok(false) => {}
        Ok(true) => {
            log_event!(node.log(), Event::ConfigInstalled, "revision" => node.conf_store().revision());
        }
        Err(findings) => {
            for finding in findings {
                log_event!(node.log(), Event::ConfigRefused, "finding" => finding.to_string());
            }
        }
    }
}

/// The folder of `files`, sharing equal texts with `base`.
fn share(files: &[agree::File], base: Option<&Folder>) -> Folder {
    files
        .iter()
        .map(|file| {
            let old = base.and_then(|base| base.get(&file.name));
            let text = match old {
                Some(old) if **old == *file.text => Arc::clone(old),
                _ => Arc::from(file.text.as_str()),
            };
            (file.name.clone(), text)
        })
        .collect()
}

fn to_files(folder: &Folder) -> Vec<agree::File> {
    folder
        .iter()
        .map(|(name, text)| agree::File {
            name: name.clone(),
            text: text.to_string(),
        })
        .collect()
}

fn changed(base: &Folder, folder: &Folder) -> Folder {
    folder
        .iter()
        .filter(|(name, text)| base.get(*name) != Some(*text))
        .map(|(name, text)| (name.clone(), Arc::clone(text)))
        .collect()
}

fn removed(base: &Folder, folder: &Folder) -> Vec<String> {
    base.keys()
        .filter(|name| !folder.contains_key(*name))
        .cloned()
        .collect()
}
