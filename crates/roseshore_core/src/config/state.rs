//! The state of the configuration and how a record changes it.

use super::check::{IndexedFleet, MAX_CHANGES, MAX_ID};
use super::command::{Change, Command, FORMAT, Object, ObjectKey};
use crate::fleet::Fleet;
use crate::ids::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of offsets for which a command is remembered, and greatest age of a command's view.
///
/// Every copy of a command has an offset of at least `made_at`. A copy at most this many offsets
/// after `made_at` therefore finds every earlier copy among the remembered ones; a later copy is
/// [`Decision::TooOld`].
pub const WINDOW: Offset = 4096;
/// Longest message of a decision, in characters.
const MAX_MESSAGE: usize = 400;

/// Author of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// Operator who issued the command.
    pub operator: String,
    /// Id of the command.
    pub command: CommandId,
}

/// Origin of the current content of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct Meta {
    /// Version of the object: the offset of the record that last changed it.
    pub version: Offset,
    /// Author of that change.
    pub author: Arc<Author>,
    pub(super) hash: u64,
}

/// Why a command was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "why")]
pub enum Reason {
    /// An object has another version than the operator saw.
    Conflict {
        /// Object with the conflict.
        key: ObjectKey,
        /// Version that the operator saw.
        base: Option<Offset>,
        /// Current version; `None` if the object does not exist.
        version: Option<Offset>,
        /// Author of the last change; `None` if it is no longer remembered.
        winner: Option<Author>,
    },
    /// The command or the fleet that it would produce is invalid.
    Invalid {
        /// Invalid object; `None` if the command as a whole is invalid.
        key: Option<ObjectKey>,
        /// What is invalid and how to correct it.
        message: String,
    },
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reason::Conflict { key, base, version, winner } => {
                let name = |it: &Option<Offset>| match it {
                    Some(version) => format!("version {version}"),
                    None => "absent".into(),
                };
                write!(f, "{key} is {}, not {} as you saw it", name(version), name(base))?;
                if let Some(it) = winner {
                    write!(f, ": `{}` changed it with command `{}`", it.operator, it.command)?;
                }
                write!(f, "; look at the difference and apply again")
            }
            Reason::Invalid { key: Some(key), message } => write!(f, "{key}: {message}"),
            Reason::Invalid { key: None, message } => f.write_str(message),
        }
    }
}

/// Decision on a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// The changes are in force from the record's offset on.
    Accepted,
    /// The command has no effect.
    Rejected(Reason),
    /// The command has no effect; it is so old that an earlier copy may have been forgotten.
    TooOld,
}

/// Command of the last [`WINDOW`] offsets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RecentCommand {
    pub(super) offset: Offset,
    pub(super) digest: u64,
    pub(super) judged: Decision,
}

/// Deletion of an object, remembered so that a conflict can name its author.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Deletion {
    pub(super) offset: Offset,
    pub(super) author: Arc<Author>,
}

/// Result of folding one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoldedRecord {
    /// Offset of the record.
    pub offset: Offset,
    /// Its command and operator; `None` if it is unreadable.
    pub author: Option<Author>,
    /// Effect of the record.
    pub outcome: Outcome,
}

/// Effect of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record decided its command.
    Decided(Decision),
    /// No effect: a command with this id was decided at an earlier offset.
    Repeated {
        /// Offset of the record that decided the command.
        first: Offset,
        /// Whether both copies have the same content.
        same: bool,
    },
    /// No effect: this daemon cannot read the record as a command.
    Skipped {
        /// Why the record is unreadable.
        why: String,
    },
}

/// Folded configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    pub(super) offset: Offset,
    /// Hash of all records folded, each seeded with the hash of those before it.
    pub(super) chained_hash: u64,
    /// Wrapping sum of the hashes of all objects, remembered commands and deletions.
    pub(super) content_sum: u64,
    pub(super) indexed: IndexedFleet,
    pub(super) meta: BTreeMap<ObjectKey, Meta>,
    pub(super) recent: BTreeMap<CommandId, RecentCommand>,
    pub(super) recent_order: VecDeque<(Offset, CommandId)>,
    pub(super) deletions: BTreeMap<ObjectKey, Deletion>,
    pub(super) deletion_order: BTreeSet<(Offset, ObjectKey)>,
}

#[derive(Deserialize)]
struct Envelope {
    format: u32,
}

impl State {
    /// One past the last record folded.
    pub fn offset(&self) -> Offset {
        self.offset
    }

    /// Declared fleet.
    pub fn fleet(&self) -> &Fleet {
        self.indexed.fleet()
    }

    /// Returns the origin of an object; `None` if it does not exist.
    pub fn meta(&self, key: &ObjectKey) -> Option<&Meta> {
        self.meta.get(key)
    }

    /// Returns the offset, the record digest and the decision of a remembered command.
    pub fn decision(&self, id: &str) -> Option<(Offset, u64, &Decision)> {
        self.recent.get(id).map(|it| (it.offset, it.digest, &it.judged))
    }

    /// Digest of the state; daemons at equal offsets must have equal digests.
    pub fn digest(&self) -> u64 {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&self.offset.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.chained_hash.to_le_bytes());
        bytes[16..].copy_from_slice(&self.content_sum.to_le_bytes());
        xxh3_64(&bytes)
    }

    /// Folds the record at the next offset; any other offset is ignored.
    pub fn fold(&mut self, offset: Offset, data: &str) -> Option<FoldedRecord> {
        if offset != self.offset {
            return None;
        }
        self.offset += 1;
        self.chained_hash = xxh3_64_with_seed(data.as_bytes(), self.chained_hash);
        self.forget_before(offset.saturating_sub(WINDOW));
        Some(match read(offset, data) {
            Err(why) => FoldedRecord { offset, author: None, outcome: Outcome::Skipped { why } },
            Ok(command) => self.apply_command(offset, command, record_digest(data)),
        })
    }

    fn apply_command(&mut self, offset: Offset, command: Command, digest: u64) -> FoldedRecord {
        let author = Author { operator: command.operator, command: command.id };
        if let Some(first) = self.recent.get(&author.command) {
            let (first, same) = (first.offset, first.digest == digest);
            let outcome = Outcome::Repeated { first, same };
            return FoldedRecord { offset, author: Some(author), outcome };
        }
        let decision = if offset - command.made_at > WINDOW {
            Decision::TooOld
        } else {
            match self.try_apply(offset, command.changes, &author) {
                Ok(()) => Decision::Accepted,
                Err(reason) => Decision::Rejected(reason),
            }
        };
        let recent = RecentCommand { offset, digest, judged: decision.clone() };
        self.content_sum = self.content_sum.wrapping_add(recent.hash(&author.command));
        self.recent.insert(author.command.clone(), recent);
        self.recent_order.push_back((offset, author.command.clone()));
        FoldedRecord { offset, author: Some(author), outcome: Outcome::Decided(decision) }
    }

    fn try_apply(
        &mut self,
        offset: Offset,
        changes: Vec<Change>,
        author: &Author,
    ) -> Result<(), Reason> {
        check_shape(&changes)?;
        changes.iter().try_for_each(|change| self.check_base(change))?;
        let mut touched = Vec::with_capacity(changes.len());
        for change in changes {
            let old = self.indexed.replace(&change.key, change.put);
            touched.push((change.key, old));
        }
        if let Some(fault) = self.indexed.first_fault(&touched) {
            for (key, old) in touched {
                self.indexed.replace(&key, old);
            }
            return Err(invalid(Some(fault.key), &fault.message));
        }
        let author = Arc::new(author.clone());
        for (key, _) in touched {
            self.record_change(key, offset, &author);
        }
        Ok(())
    }

    /// Checks that an object has the version that the operator saw.
    fn check_base(&self, change: &Change) -> Result<(), Reason> {
        let meta = self.meta.get(&change.key);
        let version = meta.map(|it| it.version);
        if version == change.base {
            return Ok(());
        }
        let deleter = || self.deletions.get(&change.key).map(|it| &it.author);
        let winner = meta.map(|it| &it.author).or_else(deleter);
        Err(Reason::Conflict {
            key: change.key.clone(),
            base: change.base,
            version,
            winner: winner.map(|it| (**it).clone()),
        })
    }

    /// Records the version and author of a changed or deleted object.
    fn record_change(&mut self, key: ObjectKey, version: Offset, author: &Arc<Author>) {
        if let Some(old) = self.meta.remove(&key) {
            self.content_sum = self.content_sum.wrapping_sub(old.hash);
        }
        if let Some(object) = self.indexed.fleet().object(&key) {
            let hash = object_hash(&key, version, &object);
            self.content_sum = self.content_sum.wrapping_add(hash);
            self.forget_deletion(&key);
            self.meta.insert(key, Meta { version, author: Arc::clone(author), hash });
        } else {
            let deletion = Deletion { offset: version, author: Arc::clone(author) };
            self.content_sum = self.content_sum.wrapping_add(deletion.hash(&key));
            self.deletion_order.insert((version, key.clone()));
            self.deletions.insert(key, deletion);
        }
    }

    /// Drops the deletion record of an object.
    fn forget_deletion(&mut self, key: &ObjectKey) {
        if let Some(deletion) = self.deletions.remove(key) {
            self.content_sum = self.content_sum.wrapping_sub(deletion.hash(key));
            self.deletion_order.remove(&(deletion.offset, key.clone()));
        }
    }

    /// Drops the records of commands and deletions before an offset.
    fn forget_before(&mut self, before: Offset) {
        while let Some((_, id)) = self.recent_order.pop_front_if(|it| it.0 < before) {
            if let Some(old) = self.recent.remove(&id) {
                self.content_sum = self.content_sum.wrapping_sub(old.hash(&id));
            }
        }
        while self.deletion_order.first().is_some_and(|it| it.0 < before) {
            if let Some((_, key)) = self.deletion_order.pop_first() {
                self.forget_deletion(&key);
            }
        }
    }
}

impl RecentCommand {
    /// Contribution to the digest; messages are left out, so that daemons with different wording
    /// have equal digests.
    pub(super) fn hash(&self, id: &str) -> u64 {
        let decision = match &self.judged {
            Decision::Accepted => 0,
            Decision::Rejected(Reason::Conflict { .. }) => 1,
            Decision::Rejected(Reason::Invalid { .. }) => 2,
            Decision::TooOld => 3,
        };
        let seed = self.digest.wrapping_add(decision);
        xxh3_64_with_seed(id.as_bytes(), seed.rotate_left(17) ^ self.offset)
    }
}

impl Deletion {
    /// Contribution to the digest.
    pub(super) fn hash(&self, key: &ObjectKey) -> u64 {
        xxh3_64_with_seed(key.id.as_bytes(), self.offset ^ ((key.kind as u64) << 56))
    }
}

/// Digest of a record, which tells whether two copies of a command have the same content.
pub fn record_digest(data: &str) -> u64 {
    xxh3_64(data.as_bytes())
}

/// Contribution of an object to the digest.
pub(super) fn object_hash(key: &ObjectKey, version: Offset, object: &Object) -> u64 {
    let bytes = serde_json::to_vec(&(key, object)).unwrap_or_default();
    xxh3_64_with_seed(&bytes, version)
}

fn read(offset: Offset, data: &str) -> Result<Command, String> {
    let clip = |why: String| why.chars().take(MAX_MESSAGE).collect::<String>();
    let envelope: Envelope =
        serde_json::from_str(data).map_err(|err| clip(format!("no command: {err}")))?;
    if envelope.format != FORMAT {
        return Err(format!("format {} is not known here, only {FORMAT}", envelope.format));
    }
    let command: Command =
        serde_json::from_str(data).map_err(|err| clip(format!("unreadable command: {err}")))?;
    let named = |it: &str| !it.is_empty() && it.len() <= MAX_ID;
    if !named(&command.id) || !named(&command.operator) {
        return Err(format!("the command's id and operator need 1 to {MAX_ID} bytes"));
    }
    if command.made_at > offset {
        return Err(format!("made at {}, which is past its own place", command.made_at));
    }
    Ok(command)
}

fn check_shape(changes: &[Change]) -> Result<(), Reason> {
    if changes.is_empty() || changes.len() > MAX_CHANGES {
        let message = format!("a command has 1 to {MAX_CHANGES} changes");
        return Err(invalid(None, &message));
    }
    let mut keys: Vec<&ObjectKey> = changes.iter().map(|it| &it.key).collect();
    keys.sort_unstable();
    if let Some(pair) = keys.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(invalid(Some(pair[0].clone()), "it is changed twice in one command"));
    }
    let mut mixed = changes.iter();
    let mixed = mixed.find(|it| it.put.as_ref().is_some_and(|put| put.kind() != it.key.kind));
    if let Some(it) = mixed {
        return Err(invalid(Some(it.key.clone()), "its content is of another kind"));
    }
    let mut absent = changes.iter().filter(|it| it.put.is_none() && it.base.is_none());
    match absent.next() {
        Some(it) => Err(invalid(Some(it.key.clone()), "there is nothing to delete")),
        None => Ok(()),
    }
}

fn invalid(key: Option<ObjectKey>, message: &str) -> Reason {
    Reason::Invalid { key, message: message.chars().take(MAX_MESSAGE).collect() }
}
