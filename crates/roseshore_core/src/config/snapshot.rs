//! Snapshots, which preserve a folded state beyond the retention of the log.
//!
//! A snapshot is a pure function of the state, so daemons that write one at the same offset write
//! the same records. It is split into parts of at most [`MAX_PART_BYTES`] bytes, one record each.
//! [`Assembly`] reassembles parts that arrive in any order, repeated or mixed with those of other
//! snapshots.

use super::command::{Object, ObjectKey};
use super::state::{Author, Deletion, Meta, RecentCommand, State, object_hash};
use crate::ids::*;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Largest content of one part, in bytes.
pub const MAX_PART_BYTES: usize = 256 << 10;
const FORMAT: u32 = 1;
const MAX_PARTS: u32 = 4096;
/// Number of incomplete snapshots that are kept; those with the lowest offset are dropped first.
const MAX_INCOMPLETE: usize = 4;

quick_error! {
    /// Why a snapshot is unusable.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SnapshotError {
        /// The snapshot cannot be parsed.
        Unreadable(why: String) {
            display("the snapshot cannot be read: {why}")
        }
        /// The format is unknown to this daemon.
        Format(got: u32) {
            display("the snapshot has format {got}, this daemon reads {FORMAT}")
        }
        /// The content does not have the digest stated in its parts.
        Digest(offset: Offset) {
            display("the snapshot at offset {offset} does not match its digest")
        }
    }
}

/// Snapshot whose digest has been verified.
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
    recent: BTreeMap<CommandId, RecentCommand>,
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
    /// State at the snapshot's offset.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the snapshot records of a state, equal for equal states.
    pub fn records(state: &State) -> Vec<String> {
        let digest = state.digest();
        let text = content(state, digest);
        let pieces = pieces(&text);
        let parts = pieces.len() as u32;
        let part = |(part, data): (usize, &str)| Part {
            format: FORMAT,
            offset: state.offset,
            digest,
            index: part as u32,
            parts,
            data: data.to_owned(),
        };
        let records = pieces.into_iter().enumerate().map(part);
        records.map(|it| serde_json::to_string(&it).unwrap_or_default()).collect()
    }

    /// Parses the content of a snapshot and verifies its digest.
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
        chain: state.chained_hash,
        digest,
        objects: state.meta.iter().filter_map(entry).collect(),
        recent: state.recent.clone(),
        gone: state.deletions.iter().map(|(key, it)| (key.clone(), it.clone())).collect(),
    };
    serde_json::to_string(&content).unwrap_or_default()
}

/// Rebuilds the state, including the hashes of its digest, from the content of a snapshot.
fn rebuild(content: Content) -> State {
    let mut state =
        State { offset: content.offset, chained_hash: content.chain, ..State::default() };
    for entry in content.objects {
        let hash = object_hash(&entry.key, entry.version, &entry.object);
        state.content_sum = state.content_sum.wrapping_add(hash);
        let meta = Meta { version: entry.version, author: entry.author, hash };
        state.indexed.replace(&entry.key, Some(entry.object));
        state.meta.insert(entry.key, meta);
    }
    for (id, recent) in content.recent {
        state.content_sum = state.content_sum.wrapping_add(recent.hash(&id));
        state.recent_order.push_back((recent.offset, id.clone()));
        state.recent.insert(id, recent);
    }
    for (key, deletion) in content.gone {
        state.content_sum = state.content_sum.wrapping_add(deletion.hash(&key));
        state.deletion_order.insert((deletion.offset, key.clone()));
        state.deletions.insert(key, deletion);
    }
    state.recent_order.make_contiguous().sort();
    state
}

/// Splits a text at character boundaries into pieces of at most [`MAX_PART_BYTES`] bytes.
fn pieces(text: &str) -> Vec<&str> {
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

/// Reassembles snapshots from their parts.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    incomplete: BTreeMap<(Offset, u64), BTreeMap<u32, String>>,
}

impl Assembly {
    /// Adds one record of the snapshot stream; returns the snapshot that it completes, if any.
    ///
    /// # Errors
    /// When the record or the completed snapshot is unusable; it is dropped.
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
        let parts = self.incomplete.entry(id).or_default();
        parts.insert(part.index, part.data);
        if parts.len() < part.parts as usize {
            while self.incomplete.len() > MAX_INCOMPLETE {
                self.incomplete.pop_first();
            }
            return Ok(None);
        }
        let parts = self.incomplete.remove(&id).unwrap_or_default();
        let text: String = parts.into_values().collect();
        Snapshot::read(&text, part.offset, part.digest).map(Some)
    }
}

/// Extent of the newest snapshot, read from the last record of the snapshot stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tail {
    /// Offset of the snapshot's state.
    pub offset: Offset,
    /// Number of its records, including the last one.
    pub parts: u32,
}

impl Tail {
    /// Parses the last record of the stream; `None` if it is not the last part of a snapshot in a
    /// known format.
    pub fn read(data: &str) -> Option<Tail> {
        let part: Part = serde_json::from_str(data).ok()?;
        let whole = part.format == FORMAT && part.index + 1 == part.parts;
        whole.then_some(Tail { offset: part.offset, parts: part.parts })
    }
}
