//! The fold itself.

use super::check::{IndexedFleet, MAX_CHANGES, MAX_ID};
use super::command::{Change, Command, FORMAT, Object, ObjectKey};
use crate::fleet::Fleet;
use crate::ids::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How many offsets back a command is remembered, and how old a command's view may be.
///
/// Every copy of a command lies at its `made_at` or later, so a copy that is not older than this
/// finds every earlier copy among the remembered ones, and an older copy is refused.
pub const WINDOW: Offset = 4096;
const MAX_MESSAGE: usize = 400;

/// Who made a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Author {
    /// The operator.
    pub operator: String,
    /// The command.
    pub command: CommandId,
}

/// Where an object comes from.
#[derive(Clone, Debug, PartialEq)]
pub struct Meta {
    /// The offset of the record that last changed it.
    pub version: Offset,
    /// Who changed it.
    pub author: Arc<Author>,
    pub(super) hash: u64,
}

/// Why a command was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "why")]
pub enum Reason {
    /// An object is not what the operator saw.
    Conflict {
        /// Which object.
        key: ObjectKey,
        /// The version that the operator saw.
        base: Option<Offset>,
        /// The version that stands; `None` if there is no such object.
        version: Option<Offset>,
        /// Who changed it, if that is still remembered.
        winner: Option<Author>,
    },
    /// The declaration is invalid.
    Invalid {
        /// The object, if the fault is one object's.
        key: Option<ObjectKey>,
        /// What is wrong, and a way out.
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

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decision {
    /// It is in force from its offset on.
    Accepted,
    /// It changed nothing.
    Rejected(Reason),
    /// It changed nothing, and is so old that an earlier copy of it may be forgotten.
    TooOld,
}

/// A remembered command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Recent {
    pub(super) offset: Offset,
    pub(super) digest: u64,
    pub(super) judged: Decision,
}

/// A deleted object, remembered so that a conflict can name who deleted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Deletion {
    pub(super) offset: Offset,
    pub(super) author: Arc<Author>,
}

/// What one record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Folded {
    /// Its place.
    pub offset: Offset,
    /// Its command and operator, if it could be read.
    pub author: Option<Author>,
    /// What became of it.
    pub outcome: Outcome,
}

/// What became of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its command is decided.
    Decided(Decision),
    /// The command of this id was decided at an earlier offset; this copy changed nothing.
    Repeated {
        /// The place of the copy that counted.
        first: Offset,
        /// Whether both copies have the same content.
        same: bool,
    },
    /// It is no command that this daemon can read.
    Skipped {
        /// Why.
        why: String,
    },
}

/// The folded configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    pub(super) offset: Offset,
    pub(super) chain: u64,
    pub(super) sum: u64,
    pub(super) view: IndexedFleet,
    pub(super) meta: BTreeMap<ObjectKey, Meta>,
    pub(super) recent: BTreeMap<CommandId, Recent>,
    pub(super) order: VecDeque<(Offset, CommandId)>,
    pub(super) gone: BTreeMap<ObjectKey, Deletion>,
    pub(super) gone_order: BTreeSet<(Offset, ObjectKey)>,
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

    /// The declared fleet.
    pub fn fleet(&self) -> &Fleet {
        self.view.fleet()
    }

    /// Where an object comes from.
    pub fn meta(&self, key: &ObjectKey) -> Option<&Meta> {
        self.meta.get(key)
    }

    /// What became of a remembered command, where, and the digest of its record.
    pub fn decision(&self, id: &str) -> Option<(Offset, u64, &Decision)> {
        self.recent.get(id).map(|it| (it.offset, it.digest, &it.judged))
    }

    /// The digest over everything folded; equal offsets must have equal digests.
    pub fn digest(&self) -> u64 {
        let mut bytes = [0; 24];
        bytes[..8].copy_from_slice(&self.offset.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.chain.to_le_bytes());
        bytes[16..].copy_from_slice(&self.sum.to_le_bytes());
        xxh3_64(&bytes)
    }

    /// Folds the record at the next offset; any other offset is ignored.
    pub fn fold(&mut self, offset: Offset, data: &str) -> Option<Folded> {
        if offset != self.offset {
            return None;
        }
        self.offset += 1;
        self.chain = xxh3_64_with_seed(data.as_bytes(), self.chain);
        self.forget(offset.saturating_sub(WINDOW));
        Some(match read(offset, data) {
            Err(why) => Folded { offset, author: None, outcome: Outcome::Skipped { why } },
            Ok(command) => self.command(offset, command, record_digest(data)),
        })
    }

    fn command(&mut self, offset: Offset, command: Command, digest: u64) -> Folded {
        let author = Author { operator: command.operator, command: command.id };
        if let Some(first) = self.recent.get(&author.command) {
            let (first, same) = (first.offset, first.digest == digest);
            let outcome = Outcome::Repeated { first, same };
            return Folded { offset, author: Some(author), outcome };
        }
        let judged = if offset - command.made_at > WINDOW {
            Decision::TooOld
        } else {
            match self.attempt(offset, command.changes, &author) {
                Ok(()) => Decision::Accepted,
                Err(reason) => Decision::Rejected(reason),
            }
        };
        let recent = Recent { offset, digest, judged: judged.clone() };
        self.sum = self.sum.wrapping_add(recent.hash(&author.command));
        self.recent.insert(author.command.clone(), recent);
        self.order.push_back((offset, author.command.clone()));
        Folded { offset, author: Some(author), outcome: Outcome::Decided(judged) }
    }

    fn attempt(
        &mut self,
        offset: Offset,
        changes: Vec<Change>,
        author: &Author,
    ) -> Result<(), Reason> {
        check_shape(&changes)?;
        changes.iter().try_for_each(|change| self.current(change))?;
        let mut touched = Vec::with_capacity(changes.len());
        for change in changes {
            let old = self.view.replace(&change.key, change.put);
            touched.push((change.key, old));
        }
        if let Some(fault) = self.view.fault(&touched) {
            for (key, old) in touched {
                self.view.replace(&key, old);
            }
            return Err(invalid(Some(fault.key), &fault.message));
        }
        let author = Arc::new(author.clone());
        for (key, _) in touched {
            self.mark(key, offset, &author);
        }
        Ok(())
    }

    /// Whether an object is what the operator saw.
    fn current(&self, change: &Change) -> Result<(), Reason> {
        let meta = self.meta.get(&change.key);
        let version = meta.map(|it| it.version);
        if version == change.base {
            return Ok(());
        }
        let gone = || self.gone.get(&change.key).map(|it| &it.author);
        let winner = meta.map(|it| &it.author).or_else(gone);
        Err(Reason::Conflict {
            key: change.key.clone(),
            base: change.base,
            version,
            winner: winner.map(|it| (**it).clone()),
        })
    }

    /// Notes who changed an object last.
    fn mark(&mut self, key: ObjectKey, version: Offset, author: &Arc<Author>) {
        if let Some(old) = self.meta.remove(&key) {
            self.sum = self.sum.wrapping_sub(old.hash);
        }
        if let Some(object) = self.view.fleet().object(&key) {
            let hash = object_hash(&key, version, &object);
            self.sum = self.sum.wrapping_add(hash);
            self.revive(&key);
            self.meta.insert(key, Meta { version, author: Arc::clone(author), hash });
        } else {
            let gone = Deletion { offset: version, author: Arc::clone(author) };
            self.sum = self.sum.wrapping_add(gone.hash(&key));
            self.gone_order.insert((version, key.clone()));
            self.gone.insert(key, gone);
        }
    }

    /// Forgets that an object was deleted.
    fn revive(&mut self, key: &ObjectKey) {
        if let Some(gone) = self.gone.remove(key) {
            self.sum = self.sum.wrapping_sub(gone.hash(key));
            self.gone_order.remove(&(gone.offset, key.clone()));
        }
    }

    /// Forgets commands and deletions before an offset.
    fn forget(&mut self, before: Offset) {
        while let Some((_, id)) = self.order.pop_front_if(|it| it.0 < before) {
            if let Some(old) = self.recent.remove(&id) {
                self.sum = self.sum.wrapping_sub(old.hash(&id));
            }
        }
        while self.gone_order.first().is_some_and(|it| it.0 < before) {
            if let Some((_, key)) = self.gone_order.pop_first() {
                self.revive(&key);
            }
        }
    }
}

impl Recent {
    /// Its part of the digest; texts stay out, so that a clearer message is no divergence.
    pub(super) fn hash(&self, id: &str) -> u64 {
        let judged = match &self.judged {
            Decision::Accepted => 0,
            Decision::Rejected(Reason::Conflict { .. }) => 1,
            Decision::Rejected(Reason::Invalid { .. }) => 2,
            Decision::TooOld => 3,
        };
        let seed = self.digest.wrapping_add(judged);
        xxh3_64_with_seed(id.as_bytes(), seed.rotate_left(17) ^ self.offset)
    }
}

impl Deletion {
    /// Its part of the digest.
    pub(super) fn hash(&self, key: &ObjectKey) -> u64 {
        xxh3_64_with_seed(key.id.as_bytes(), self.offset ^ ((key.kind as u64) << 56))
    }
}

/// The digest by which two copies of a command are told to be the same.
pub fn record_digest(data: &str) -> u64 {
    xxh3_64(data.as_bytes())
}

/// An object's part of the digest.
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
