//! The configuration, its history, and the verdicts on its changes.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::Limits;
use crate::wire::agree;
use crate::wire::id;

/// Revisions whose files are kept, for rollback and for processes that lag behind.
pub const KEPT_CONTENTS: usize = 64;

/// Bytes of file texts kept. Above it, files of the oldest revisions are dropped, except those of
/// the last two.
pub const KEPT_BYTES: usize = 16 << 20;

/// Revisions whose metadata is kept.
const KEPT_METAS: usize = 2_000;

/// Changes whose verdict is kept. A retry of an older change expects an outdated revision, so it
/// can only conflict.
const KEPT_VERDICTS: usize = 10_000;

type Hash = [u8; 32];

data! {
    /// Metadata of one revision.
    pub struct Meta {
        /// Revision number, from 1 without gaps.
        pub revision: u64,
        /// The change that created it.
        pub change: id::Change,
        /// Author of the change.
        pub author: String,
        /// The author's note on the change.
        pub note: String,
        /// Wall clock of the leader at the change, in milliseconds since the Unix epoch.
        pub wall_ms: u64,
    }

    /// The configuration and its history.
    #[derive(Default)]
    pub struct Conf {
        limits: Limits,
        /// Newest last. Invariant: revisions ascend by one.
        metas: VecDeque<Meta>,
        /// File names and text hashes of the newest revisions, newest last.
        contents: VecDeque<(u64, BTreeMap<String, Hash>)>,
        /// File texts by hash. Invariant: exactly those that `contents` refers to.
        texts: BTreeMap<Hash, String>,
        /// Verdicts on changes. A retried change gets the verdict of its first attempt.
        answers: BTreeMap<id::Change, agree::Verdict>,
        /// Changes in `answers`, oldest first.
        order: VecDeque<id::Change>,
    }
}

impl Conf {
    /// Limits of the agreed state that this configuration sets.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The current revision, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.metas.back().map_or(0, |meta| meta.revision)
    }

    /// Metadata of the revisions kept, newest last.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Meta> {
        self.metas.iter()
    }

    /// The files of a revision, or `None` if they are not kept.
    pub fn files(&self, revision: u64) -> Option<Vec<agree::File>> {
        let (_, folder) = self.contents.iter().find(|(kept, _)| *kept == revision)?;
        let files = folder.iter().map(|(name, hash)| agree::File {
            name: name.clone(),
            text: self.texts[hash].clone(),
        });
        Some(files.collect())
    }

    pub(super) fn recorded_verdict(&self, change: id::Change) -> Option<agree::Verdict> {
        self.answers.get(&change).cloned()
    }

    /// Applies a change if it expects the current revision. A retry gets the recorded verdict.
    pub(super) fn change(
        &mut self,
        wall_ms: u64,
        limits: Option<Limits>,
        change: &agree::Change,
    ) -> agree::Verdict {
        if let Some(verdict) = self.recorded_verdict(change.id) {
            return verdict;
        }
        let verdict = self.apply_change(wall_ms, limits, change);
        self.answers.insert(change.id, verdict.clone());
        self.order.push_back(change.id);
        if self.order.len() > KEPT_VERDICTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.answers.remove(&oldest);
        }
        verdict
    }

    fn apply_change(
        &mut self,
        wall_ms: u64,
        limits: Option<Limits>,
        change: &agree::Change,
    ) -> agree::Verdict {
        let revision = self.revision();
        if change.expected != revision {
            let author = self.metas.back().map(|meta| meta.author.clone());
            return agree::Verdict::Conflict {
                revision,
                author: author.unwrap_or_default(),
            };
        }
        let revision = revision + 1;
        self.limits = limits.unwrap_or(self.limits);
        self.metas.push_back(Meta {
            revision,
            change: change.id,
            author: change.author.clone(),
            note: change.note.clone(),
            wall_ms,
        });
        if self.metas.len() > KEPT_METAS {
            self.metas.pop_front();
        }
        self.store_files(revision, &change.files);
        agree::Verdict::Done { revision }
    }

    fn store_files(&mut self, revision: u64, files: &[agree::File]) {
        let mut folder = BTreeMap::new();
        for file in files {
            let hash: Hash = *blake3::hash(file.text.as_bytes()).as_bytes();
            self.texts.entry(hash).or_insert_with(|| file.text.clone());
            folder.insert(file.name.clone(), hash);
        }
        self.contents.push_back((revision, folder));
        while self.contents.len() > KEPT_CONTENTS
            || (self.contents.len() > 2 && self.text_bytes() > KEPT_BYTES)
        {
            self.drop_oldest_contents();
        }
    }

    fn text_bytes(&self) -> usize {
        self.texts.values().map(String::len).sum()
    }

    fn drop_oldest_contents(&mut self) {
        let Some((_, dropped)) = self.contents.pop_front() else {
            return;
        };
        for hash in dropped.values() {
            let mut rest = self.contents.iter();
            if !rest.any(|(_, folder)| folder.values().any(|kept| kept == hash)) {
                self.texts.remove(hash);
            }
        }
    }
}
