//! Carrying a folded state over the log's retention.
//!
//! A snapshot is a pure function of the state, so two daemons that write one at the same offset
//! write the same. It is cut into [`MAX_PART_BYTES`]s, each a record of its own; [`Assembly`] puts parts of
//! any order, repeated and mixed with those of other snapshots, together again.

use super::command::{Object, ObjectKey};
use super::state::{Author, Deletion, Meta, Recent, State, object_hash};
use crate::ids::*;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The most bytes of one part's content.
pub const MAX_PART_BYTES: usize = 256 << 10;
const FORMAT: u32 = 1;
const MAX_PARTS: u32 = 4096;
/// Unfinished snapshots that are kept; older ones are dropped first.
const MAX_UNFINISHED: usize = 4;

quick_error! {
    /// Why a snapshot cannot be used.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SnapshotError {
        /// It cannot be read.
        Unreadable(why: String) {
            display("the snapshot cannot be read: {why}")
        }
        /// Its format is not known here.
        Format(got: u32) {
            display("the snapshot has format {got}, this daemon reads {FORMAT}")
        }
        /// Its content does not have the digest that it names.
        Digest(offset: Offset) {
            display("the snapshot at offset {offset} does not match its digest")
        }
    }
}

/// A checked snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    state: State,
}

#[derive(Serialize, Deserialize)]
struct Content {
    format: u32,
    offset: Offset,
    chain: u64,
    digest: u64,
    objects: Vec<Entry>,
    recent: BTreeMap<CommandId, Recent>,
    gone: Vec<(ObjectKey, Deletion)>,
}

#[derive(Serialize, Deserialize)]
struct Entry {
    key: ObjectKey,
    version: Offset,
    author: Arc<Author>,
    object: Object,
}

#[derive(Serialize, Deserialize)]
struct Part {
    format: u32,
    offset: Offset,
    digest: u64,
    index: u32,
    parts: u32,
    data: String,
}

impl Snapshot {
    /// The state that it carries.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The records that carry a state, equal for equal states.
    pub fn records(state: &State) -> Vec<String> {
        let digest = state.digest();
        let text = content(state, digest);
        let cuts = cuts(&text);
        let parts = cuts.len() as u32;
        let part = |(part, data): (usize, &str)| Part {
            format: FORMAT,
            offset: state.offset,
            digest,
            index: part as u32,
            parts,
            data: data.to_owned(),
        };
        let records = cuts.into_iter().enumerate().map(part);
        records.map(|it| serde_json::to_string(&it).unwrap_or_default()).collect()
    }

    /// Reads and checks a snapshot's content.
    fn read(text: &str, offset: Offset, digest: u64) -> Result<Snapshot, SnapshotError> {
        let content: Content =
            serde_json::from_str(text).map_err(|err| SnapshotError::Unreadable(err.to_string()))?;
        if content.format != FORMAT {
            return Err(SnapshotError::Format(content.format));
        }
        let state = rebuild(content);
        if state.offset != offset || state.digest() != digest {
            return Err(SnapshotError::Digest(offset));
        }
        Ok(Snapshot { state })
    }
}

fn content(state: &State, digest: u64) -> String {
    let entry = |(key, meta): (&ObjectKey, &Meta)| {
        Some(Entry {
            key: key.clone(),
            version: meta.version,
            author: Arc::clone(&meta.author),
            object: state.fleet().object(key)?,
        })
    };
    let content = Content {
        format: FORMAT,
        offset: state.offset,
        chain: state.chain,
        digest,
        objects: state.meta.iter().filter_map(entry).collect(),
        recent: state.recent.clone(),
        gone: state.gone.iter().map(|(key, it)| (key.clone(), it.clone())).collect(),
    };
    serde_json::to_string(&content).unwrap_or_default()
}

/// Makes the state anew, its digest included, from what the snapshot says.
fn rebuild(content: Content) -> State {
    let mut state = State { offset: content.offset, chain: content.chain, ..State::default() };
    for entry in content.objects {
        let hash = object_hash(&entry.key, entry.version, &entry.object);
        state.sum = state.sum.wrapping_add(hash);
        let meta = Meta { version: entry.version, author: entry.author, hash };
        state.view.replace(&entry.key, Some(entry.object));
        state.meta.insert(entry.key, meta);
    }
    for (id, recent) in content.recent {
        state.sum = state.sum.wrapping_add(recent.hash(&id));
        state.order.push_back((recent.offset, id.clone()));
        state.recent.insert(id, recent);
    }
    for (key, gone) in content.gone {
        state.sum = state.sum.wrapping_add(gone.hash(&key));
        state.gone_order.insert((gone.offset, key.clone()));
        state.gone.insert(key, gone);
    }
    state.order.make_contiguous().sort();
    state
}

/// Cuts a text into pieces of at most [`MAX_PART_BYTES`] bytes, between characters.
fn cuts(text: &str) -> Vec<&str> {
    let mut out = Vec::new();
    let mut rest = text;
    while rest.len() > MAX_PART_BYTES {
        let (head, tail) = rest.split_at(rest.floor_char_boundary(MAX_PART_BYTES));
        out.push(head);
        rest = tail;
    }
    out.push(rest);
    out
}

/// Parts of snapshots on their way to being whole.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    unfinished: BTreeMap<(Offset, u64), BTreeMap<u32, String>>,
}

impl Assembly {
    /// Takes one record of the snapshot stream; gives the snapshot that it completes.
    ///
    /// # Errors
    /// When the record or the completed snapshot cannot be used; it is dropped then.
    pub fn take(&mut self, data: &str) -> Result<Option<Snapshot>, SnapshotError> {
        let part: Part =
            serde_json::from_str(data).map_err(|err| SnapshotError::Unreadable(err.to_string()))?;
        if part.format != FORMAT {
            return Err(SnapshotError::Format(part.format));
        }
        if part.index >= part.parts || part.parts > MAX_PARTS {
            return Err(SnapshotError::Unreadable("parts do not add up".into()));
        }
        let id = (part.offset, part.digest);
        let parts = self.unfinished.entry(id).or_default();
        parts.insert(part.index, part.data);
        if parts.len() < part.parts as usize {
            while self.unfinished.len() > MAX_UNFINISHED {
                self.unfinished.pop_first();
            }
            return Ok(None);
        }
        let parts = self.unfinished.remove(&id).unwrap_or_default();
        let text: String = parts.into_values().collect();
        Snapshot::read(&text, part.offset, part.digest).map(Some)
    }
}

/// What the last record of the snapshot stream tells of the newest snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tail {
    /// The offset that it was folded to.
    pub offset: Offset,
    /// How many records it has, the last one included.
    pub parts: u32,
}

impl Tail {
    /// Reads the last record of the stream; `None` if it is no part of a snapshot known here.
    pub fn read(data: &str) -> Option<Tail> {
        let part: Part = serde_json::from_str(data).ok()?;
        let whole = part.format == FORMAT && part.index + 1 == part.parts;
        whole.then_some(Tail { offset: part.offset, parts: part.parts })
    }
}
