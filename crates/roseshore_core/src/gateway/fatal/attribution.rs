//! Finds the suspects that explain the crashes of targets.
//!
//! The requests that crash targets have more in common than the part of the prompt at fault: a
//! first part that many sound requests have as well, or, if one request crashed all the targets,
//! everything that it consists of. So parts compete: the one under which the most targets crashed
//! is at fault, and the crashes that it explains no longer count against anything else. Parts with
//! runs that got further than most of their crashed ones come last, since a fatal part never does.
//!
//! Parts under which the same targets crashed cannot be distinguished, and only requests with all of
//! them are refused. That includes the request itself: while a single request explains as much as a
//! part does, other requests with the part may run, and either get far, which clears the part, or
//! crash a target that the request does not explain.

use super::history::{Crash, Survivals};
use super::run::Stage;
use super::{CrashLimits, SAME_CRASH_WINDOW};
use crate::gateway::fingerprint::{Fingerprint, Suspects};
use crate::prelude::*;

/// Crashes of several targets that are less than this apart may have one cause outside of them.
const TOGETHER: Duration = Duration::from_millis(30);
/// The same for machines that fall silent, which is noticed when requests wait for them.
const SILENT_TOGETHER: Duration = Duration::from_secs(2);

/// What is known of one suspect.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    pub(super) suspect: Fingerprint,
    /// Crashes that count against it.
    pub(super) crashes: Vec<Crash>,
    pub(super) survivals: Survivals,
}

/// A decision to refuse requests, and the suspects that it rests on.
#[derive(Clone, Debug)]
pub(super) struct Block {
    /// One request; or parts, where a request is refused that has all of them.
    suspects: Vec<Fingerprint>,
    /// Whether it holds for the requests of all organisations.
    for_all: bool,
    /// The crashes that it explains, including those that an earlier block explains as well.
    crashes: Vec<Crash>,
    /// When the last of them occurred.
    pub(super) latest: Instant,
    /// How far the runs got in most of them.
    pub(super) stage: Stage,
}

impl Block {
    /// A block that rests on suspects under which the same targets crashed, where `full` has all
    /// crashes of one of them; `None` without a crash.
    fn of(group: &[Evidence], full: &Evidence, for_all: bool) -> Option<Block> {
        let latest = full.latest()?;
        let suspects = group.iter().map(|evidence| evidence.suspect).collect();
        let mut stages: Vec<Stage> = full.crashes.iter().map(|crash| crash.stage).collect();
        stages.sort_unstable();
        let stage = stages[stages.len() / 2];
        Some(Block { suspects, for_all, crashes: full.crashes.clone(), latest, stage })
    }

    /// Whether a suspect is one of those that it rests on.
    pub(super) fn names(&self, suspect: Fingerprint) -> bool {
        self.suspects.iter().any(|known| self.same(*known, suspect))
    }

    /// The suspect for which a request is refused, if it is.
    pub(super) fn refuses(&self, suspects: &Suspects) -> Option<Fingerprint> {
        let has = |known: &Fingerprint| suspects.all().any(|suspect| self.same(*known, suspect));
        let first = self.suspects.first().copied();
        first.filter(|_| self.suspects.iter().all(has))
    }

    fn same(&self, known: Fingerprint, suspect: Fingerprint) -> bool {
        known.digest == suspect.digest
            && (self.for_all || known.organisation == suspect.organisation)
    }
}

impl Evidence {
    /// Number of crashes where a run had hardly begun.
    fn early(&self) -> usize {
        self.count(Crash::is_early)
    }

    /// Number of crashes of a kind. Targets that crash together count once where they may have done
    /// so for one reason: machines that fall silent, as behind a cut; and for a part, as many
    /// requests with it may run on a rack that fails.
    fn count(&self, counts: impl Fn(&Crash) -> bool) -> usize {
        let (silent, ended): (Vec<&Crash>, Vec<&Crash>) =
            self.crashes.iter().filter(|crash| counts(crash)).partition(|crash| crash.silent);
        let ended = if self.suspect.is_part() { apart(ended, TOGETHER) } else { ended.len() };
        ended + apart(silent, SILENT_TOGETHER)
    }

    fn exceeds(&self, limits: CrashLimits) -> bool {
        self.count(|_| true) >= limits.all || self.early() >= limits.early
    }

    /// Whether runs got further than most of those that crashed.
    fn outlived(&self) -> bool {
        let beyond = self.crashes.iter().filter(|crash| self.survivals.beyond(crash.stage));
        beyond.count() * 2 > self.crashes.len()
    }

    /// Whether a target crashed under it whenever one did under `other`.
    fn covers(&self, other: &Evidence) -> bool {
        other.crashes.iter().all(|crash| self.has(crash))
    }

    fn has(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| same_crash(known, crash))
    }

    fn latest(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// Adds what is known of the same part with other organisations.
    fn merge(&mut self, other: &Evidence) {
        let added = other.crashes.iter().filter(|crash| !self.has(crash)).copied();
        let added: Vec<Crash> = added.collect();
        self.crashes.extend(added);
        self.survivals.merge(&other.survivals);
        let survivals = &self.survivals;
        self.crashes.retain(|crash| !survivals.acquit(crash));
    }
}

/// Number of crashes, those within `window` of the first of them counted once.
fn apart(mut crashes: Vec<&Crash>, window: Duration) -> usize {
    crashes.sort_unstable_by_key(|crash| crash.at);
    let mut counted: Option<Instant> = None;
    let new = |crash: &&Crash| {
        let new = counted.is_none_or(|last| crash.at.saturating_duration_since(last) >= window);
        counted = if new { Some(crash.at) } else { counted };
        new
    };
    crashes.into_iter().filter(new).count()
}

/// Whether two reports are about the same crash of a target.
pub(super) fn same_crash(a: &Crash, b: &Crash) -> bool {
    same_crash_within(a, b, SAME_CRASH_WINDOW)
}

/// Whether two reports are about the same crash of a target, if their times may differ by less than
/// `window` then.
pub(super) fn same_crash_within(a: &Crash, b: &Crash, window: Duration) -> bool {
    let gap = a.at.max(b.at).saturating_duration_since(a.at.min(b.at));
    a.target == b.target && gap < window
}

/// Attributes crashes to suspects.
pub(super) fn attribute(evidence: Vec<Evidence>, limits: CrashLimits) -> Vec<Block> {
    let (mut parts, mut requests): (Vec<Evidence>, Vec<Evidence>) =
        evidence.into_iter().partition(|evidence| evidence.suspect.is_part());
    let unreduced = requests.clone();
    let mut blocks = Vec::new();
    let all_organisations = across_organisations(&parts);
    block_parts(all_organisations, true, limits, &mut blocks, &mut [&mut parts, &mut requests]);
    block_parts(parts, false, limits, &mut blocks, &mut [&mut requests]);
    drop_redundant(&mut blocks);
    // A part acquits the requests that ran beside it, until one of them crashes a target that the
    // part does not explain.
    let unexplained = unreduced.iter().zip(&requests).filter(|(_, left)| !left.crashes.is_empty());
    let blocked = unexplained.map(|(all, _)| all).filter(|all| all.exceeds(limits));
    let block = |it: &Evidence| Block::of(std::slice::from_ref(it), it, false);
    blocks.extend(blocked.filter_map(block));
    blocks
}

/// Evidence on the parts under which targets crashed with several organisations, merged over these.
fn across_organisations(parts: &[Evidence]) -> Vec<Evidence> {
    let mut sorted: Vec<&Evidence> = parts.iter().collect();
    sorted
        .sort_unstable_by_key(|evidence| (evidence.suspect.digest, evidence.suspect.organisation));
    let groups = sorted.chunk_by(|a, b| a.suspect.digest == b.suspect.digest);
    let merged = groups.filter(|group| group.len() > 1).map(|group| {
        let mut merged = group[0].clone();
        group[1..].iter().for_each(|evidence| merged.merge(evidence));
        merged
    });
    merged.collect()
}

/// Drops blocks whose crashes the other blocks explain, those that explain the fewest first.
fn drop_redundant(blocks: &mut Vec<Block>) {
    blocks.sort_by_key(|block| block.crashes.len());
    let mut index = 0;
    while index < blocks.len() {
        let explained = |crash: &Crash| {
            let others = blocks.iter().enumerate().filter(|(n, _)| *n != index);
            others.flat_map(|(_, block)| &block.crashes).any(|known| same_crash(known, crash))
        };
        if blocks[index].crashes.iter().all(explained) {
            blocks.remove(index);
        } else {
            index += 1;
        }
    }
}

/// Blocks the parts that explain the most crashes, one group after the other, and takes the crashes
/// that these explain out of all other evidence.
fn block_parts(
    mut parts: Vec<Evidence>,
    for_all: bool,
    limits: CrashLimits,
    blocks: &mut Vec<Block>,
    others: &mut [&mut Vec<Evidence>],
) {
    let all = parts.clone();
    loop {
        let exceeding = parts.iter().filter(|evidence| evidence.exceeds(limits));
        let rank = |evidence: &&Evidence| {
            (!evidence.outlived(), evidence.early(), evidence.crashes.len(), evidence.suspect)
        };
        let Some(first) = exceeding.max_by_key(rank).cloned() else { return };
        let equal = |evidence: &mut Evidence| evidence.covers(&first) && first.covers(evidence);
        let group: Vec<Evidence> = parts.extract_if(.., equal).collect();
        let requests = others.iter().flat_map(|list| list.iter());
        let mut requests = requests.filter(|evidence| !evidence.suspect.is_part());
        if requests.any(|request| request.covers(&first)) {
            continue;
        }
        let full = all.iter().find(|evidence| evidence.suspect == first.suspect);
        blocks.extend(Block::of(&group, full.unwrap_or(&first), for_all));
        let lists = others.iter_mut().map(|list| &mut **list).chain([&mut parts]);
        for evidence in lists.flatten() {
            evidence.crashes.retain(|crash| !first.has(crash));
        }
    }
}
