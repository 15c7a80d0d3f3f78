//! The weekly account of late and repeated answers.
//!
//! A daemon counts in a [`Counter`] and appends what it counted as a [`AccountDelta`] now and then. Parts
//! are numbered by their writer, so a part that was appended twice because a reply was lost counts
//! once. The [`Fold`] over all parts is the account of the system; it is written down as a
//! [`Summary`] before the log trims the parts it rests on.

use crate::ledger::history::EndedRequest;
use crate::prelude::*;
use crate::wall::millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Weeks that the account reaches back.
pub const MAX_WEEKS: usize = 8;
/// Rows of one week that are kept apart; the rest are added up under [`OTHERS`].
pub const MAX_ROWS: usize = 2_000;
/// The organisation under which rows beyond [`MAX_ROWS`] are added up.
pub const OTHERS: &str = "*";

const WEEK: u64 = 7 * 24 * 3600 * 1000;
/// The epoch was a Thursday; its week began three days before.
const MONDAY: u64 = 3 * 24 * 3600 * 1000;

/// Counts of one row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Whole answers in time.
    pub answered: u64,
    /// Whole answers after their deadline.
    pub late: u64,
    /// Recorded answers that were given again.
    pub repeated: u64,
    /// Refusals that did not run.
    pub refused: u64,
    /// Requests of which the caller was told that they may have run.
    pub unsettled: u64,
    /// Advisory requests that ended without a whole answer in time, however they ended.
    #[serde(default)]
    pub missed: u64,
}

impl Counts {
    fn of(ended: &EndedRequest) -> Counts {
        let mut counts = Counts::default();
        match ended.verdict {
            Verdict::Answered if ended.was_late() => counts.late = 1,
            Verdict::Answered => counts.answered = 1,
            Verdict::NotRun => counts.refused = 1,
            Verdict::MayHaveRun => counts.unsettled = 1,
        }
        counts.repeated = u64::from(ended.repeated);
        counts.missed = u64::from(ended.missed);
        counts
    }

    fn add(&mut self, other: Counts) {
        self.answered += other.answered;
        self.late += other.late;
        self.repeated += other.repeated;
        self.refused += other.refused;
        self.unsettled += other.unsettled;
        self.missed += other.missed;
    }

    /// How much a row matters to who reads the account.
    fn weight(&self) -> u64 {
        self.late + self.repeated + self.unsettled + self.missed
    }
}

/// What a row is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    /// The start of the week, Monday 00:00 UTC, milliseconds of the epoch.
    pub week: u64,
    /// The service.
    pub service: ServiceId,
    /// The customer.
    pub organisation: OrganisationId,
}

/// A row of the account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// What it is about.
    pub key: RowKey,
    /// The counts.
    pub counts: Counts,
}

/// What one daemon counted since its last part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountDelta {
    /// The daemon.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The part's number in that life, from 1.
    pub sequence: u64,
    /// The rows.
    pub rows: Vec<Row>,
}

/// The start of the week that a time lies in, milliseconds of the epoch.
pub fn week_of(millis: u64) -> u64 {
    ((millis + MONDAY) / WEEK * WEEK).saturating_sub(MONDAY)
}

/// One daemon's counts that are not in the log yet.
#[derive(Clone, Debug)]
pub struct Counter {
    host: HostId,
    incarnation: Incarnation,
    sequence: u64,
    rows: BTreeMap<RowKey, Counts>,
    /// The part that was appended without a reply, to be appended again as it is.
    pending: Option<AccountDelta>,
}

impl Counter {
    /// A daemon that has counted nothing yet.
    pub fn new(host: HostId, incarnation: Incarnation) -> Counter {
        Counter { host, incarnation, sequence: 0, rows: BTreeMap::new(), pending: None }
    }

    /// Counts a request.
    pub fn count(&mut self, ended: &EndedRequest) {
        let millis = millis(ended.ended_at);
        let key = RowKey {
            week: week_of(millis),
            service: ended.meta.service.clone(),
            organisation: ended.meta.organisation.clone(),
        };
        self.rows.entry(key).or_default().add(Counts::of(ended));
    }

    /// The part to append now, if there is anything to say.
    ///
    /// Until [`Counter::appended`] the same part is given again, so that an append whose reply was
    /// lost is repeated under its number.
    pub fn next_delta(&mut self) -> Option<AccountDelta> {
        if self.pending.is_none() && !self.rows.is_empty() {
            self.sequence += 1;
            let rows = std::mem::take(&mut self.rows);
            let rows = rows.into_iter().map(|(key, counts)| Row { key, counts }).collect();
            let (host, incarnation) = (self.host.clone(), self.incarnation);
            self.pending = Some(AccountDelta { host, incarnation, sequence: self.sequence, rows });
        }
        self.pending.clone()
    }

    /// The part due last is in the log.
    pub fn appended(&mut self) {
        self.pending = None;
    }

    /// Rows that are not known to be in the log.
    pub fn pending_rows(&self) -> usize {
        self.rows.len() + self.pending.as_ref().map_or(0, |p| p.rows.len())
    }
}

/// The account up to a place in the stream of parts, so that the parts before may be trimmed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// One past the last part that it covers.
    pub upto: Offset,
    /// The rows.
    pub rows: Vec<Row>,
    /// The last part taken of each daemon's life.
    pub taken: Vec<LastDelta>,
}

/// The last part taken of one daemon's life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastDelta {
    /// The daemon.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The number of the part.
    pub sequence: u64,
}

/// The account as the log gives it.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    next: Offset,
    rows: BTreeMap<RowKey, Counts>,
    /// Last life and part of each host; a life that ended writes nothing more.
    taken: BTreeMap<HostId, (Incarnation, u64)>,
    /// Offsets that were trimmed before they were read.
    lost: u64,
}

impl Fold {
    /// Goes on from a summary, if it reaches further than this fold.
    pub fn resume(&mut self, summary: &Summary) {
        if summary.upto <= self.next {
            return;
        }
        self.next = summary.upto;
        self.rows = summary.rows.iter().map(|r| (r.key.clone(), r.counts)).collect();
        let taken = summary.taken.iter();
        self.taken = taken.map(|t| (t.host.clone(), (t.incarnation, t.sequence))).collect();
    }

    /// The offset to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Records that were trimmed before this fold read them; their counts are missing.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Takes the record at an offset; `None` stands for one that cannot be read.
    pub fn apply(&mut self, offset: Offset, part: Option<&AccountDelta>) {
        if offset < self.next {
            return;
        }
        self.lost += offset - self.next;
        self.next = offset + 1;
        let Some(part) = part else { return };
        let last = self.taken.entry(part.host.clone()).or_default();
        let this = (part.incarnation, part.sequence);
        if this <= *last {
            return;
        }
        *last = this;
        for row in &part.rows {
            self.rows.entry(row.key.clone()).or_default().add(row.counts);
        }
        self.bound();
    }

    /// Forgets old weeks and adds up the lightest rows of a week that has too many.
    fn bound(&mut self) {
        let mut weeks: Vec<u64> = self.rows.keys().map(|k| k.week).collect();
        weeks.dedup();
        if let Some(&first) = weeks.iter().rev().nth(MAX_WEEKS - 1) {
            self.rows.retain(|key, _| key.week >= first);
        }
        for week in weeks {
            self.merge(week);
        }
    }

    fn merge(&mut self, week: u64) {
        let of_week = self.rows.iter().filter(|(k, _)| k.week == week);
        let mut rows: Vec<(u64, RowKey)> =
            of_week.map(|(key, counts)| (counts.weight(), key.clone())).collect();
        // A little slack, so that not every part beyond the bound sorts the whole week again.
        if rows.len() <= MAX_ROWS + MAX_ROWS / 8 {
            return;
        }
        rows.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        for (_, key) in rows.split_off(MAX_ROWS) {
            if key.organisation == OTHERS {
                continue;
            }
            let counts = self.rows.remove(&key).unwrap_or_default();
            let others = RowKey { organisation: OTHERS.into(), ..key };
            self.rows.entry(others).or_default().add(counts);
        }
    }

    /// The rows in order of week, service and organisation.
    pub fn rows(&self) -> impl Iterator<Item = Row> + '_ {
        self.rows.iter().map(|(key, counts)| Row { key: key.clone(), counts: *counts })
    }

    /// The account so far, to be written down.
    pub fn summary(&self) -> Summary {
        let taken = self.taken.iter().map(|(host, (incarnation, sequence))| LastDelta {
            host: host.clone(),
            incarnation: *incarnation,
            sequence: *sequence,
        });
        Summary { upto: self.next, rows: self.rows().collect(), taken: taken.collect() }
    }
}
