//! The weekly account of late and repeated answers.
//!
//! A daemon counts requests in a [`Counter`] and periodically appends the counts as an
//! [`AccountDelta`]. Deltas are numbered by their writer, so one that was appended twice because a
//! reply was lost counts once. The [`Fold`] over all deltas is the account of the system. It is
//! saved as a [`Summary`] before the log trims the deltas that it is based on.

use crate::ledger::history::EndedRequest;
use crate::prelude::*;
use crate::wall::millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of weeks in the account.
pub const MAX_WEEKS: usize = 8;
/// The number of rows of one week that are kept apart. The others are added up under [`OTHERS`].
pub const MAX_ROWS: usize = 2_000;
/// The organisation under which rows beyond [`MAX_ROWS`] are added up.
pub const OTHERS: &str = "*";

const WEEK_MS: u64 = 7 * 24 * 3600 * 1000;
/// The time from the Monday before the Unix epoch to the epoch, a Thursday.
const MONDAY_OFFSET_MS: u64 = 3 * 24 * 3600 * 1000;

/// The counts of one row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Complete answers within their deadline.
    pub answered: u64,
    /// Complete answers after their deadline.
    pub late: u64,
    /// Recorded answers that were given again.
    pub repeated: u64,
    /// Refusals of requests that did not run.
    pub refused: u64,
    /// Requests whose caller was told that they may have run.
    pub unsettled: u64,
    /// Advisory requests that ended without a complete answer within their deadline, however they
    /// ended.
    #[serde(default)]
    pub missed: u64,
}

impl Counts {
    fn of(request: &EndedRequest) -> Counts {
        let mut counts = Counts::default();
        match request.verdict {
            Verdict::Answered if request.was_late() => counts.late = 1,
            Verdict::Answered => counts.answered = 1,
            Verdict::NotRun => counts.refused = 1,
            Verdict::MayHaveRun => counts.unsettled = 1,
        }
        counts.repeated = u64::from(request.repeated);
        counts.missed = u64::from(request.missed);
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

    /// How relevant a row is to readers of the account. The least relevant rows are merged first.
    fn relevance(&self) -> u64 {
        self.late + self.repeated + self.unsettled + self.missed
    }
}

/// The key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    /// The start of the week, Monday 00:00 UTC, in milliseconds since the Unix epoch.
    pub week: u64,
    /// The service.
    pub service: ServiceId,
    /// The organisation.
    pub organisation: OrganisationId,
}

/// A row of the account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The week, service and organisation.
    pub key: RowKey,
    /// The counts.
    pub counts: Counts,
}

/// What one daemon has counted since its previous delta.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountDelta {
    /// The daemon's host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The number of the delta within the incarnation, from 1.
    pub sequence: u64,
    /// The rows.
    pub rows: Vec<Row>,
}

/// The start of the week that contains a time; both in milliseconds since the Unix epoch.
pub fn week_of(millis: u64) -> u64 {
    ((millis + MONDAY_OFFSET_MS) / WEEK_MS * WEEK_MS).saturating_sub(MONDAY_OFFSET_MS)
}

/// The counts of one daemon that are not known to be in the log.
#[derive(Clone, Debug)]
pub struct Counter {
    host: HostId,
    incarnation: Incarnation,
    sequence: u64,
    rows: BTreeMap<RowKey, Counts>,
    /// The delta that was appended without a reply, to be appended again unchanged.
    pending: Option<AccountDelta>,
}

impl Counter {
    /// A counter that has counted nothing yet.
    pub fn new(host: HostId, incarnation: Incarnation) -> Counter {
        Counter { host, incarnation, sequence: 0, rows: BTreeMap::new(), pending: None }
    }

    /// Counts a request.
    pub fn count(&mut self, request: &EndedRequest) {
        let millis = millis(request.ended_at);
        let key = RowKey {
            week: week_of(millis),
            service: request.meta.service.clone(),
            organisation: request.meta.organisation.clone(),
        };
        self.rows.entry(key).or_default().add(Counts::of(request));
    }

    /// The delta to append now; `None` if there is nothing to append.
    ///
    /// Until [`Counter::appended`] is called it returns the same delta, so that an append whose
    /// reply was lost is repeated under its number.
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

    /// Records that the delta last returned is in the log.
    pub fn appended(&mut self) {
        self.pending = None;
    }

    /// The number of rows that are not known to be in the log.
    pub fn pending_rows(&self) -> usize {
        self.rows.len() + self.pending.as_ref().map_or(0, |p| p.rows.len())
    }
}

/// The account up to an offset in the stream of deltas, so that earlier deltas may be trimmed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// One past the last delta that it covers.
    pub upto: Offset,
    /// The rows.
    pub rows: Vec<Row>,
    /// The last delta folded of each host.
    pub taken: Vec<LastDelta>,
}

/// The last delta folded of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastDelta {
    /// The daemon's host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The number of the delta.
    pub sequence: u64,
}

/// The account folded from the log.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    next: Offset,
    rows: BTreeMap<RowKey, Counts>,
    /// The last incarnation and delta of each host; earlier incarnations write nothing more.
    taken: BTreeMap<HostId, (Incarnation, u64)>,
    /// The number of records that were trimmed before they were read.
    lost: u64,
}

impl Fold {
    /// Continues from a summary if it covers more than this fold.
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

    /// The number of records that were trimmed before this fold read them. Their counts are
    /// missing.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Applies the record at an offset; `None` stands for one that cannot be parsed.
    pub fn apply(&mut self, offset: Offset, delta: Option<&AccountDelta>) {
        if offset < self.next {
            return;
        }
        self.lost += offset - self.next;
        self.next = offset + 1;
        let Some(delta) = delta else { return };
        let last = self.taken.entry(delta.host.clone()).or_default();
        let this = (delta.incarnation, delta.sequence);
        if this <= *last {
            return;
        }
        *last = this;
        for row in &delta.rows {
            self.rows.entry(row.key.clone()).or_default().add(row.counts);
        }
        self.enforce_limits();
    }

    /// Drops old weeks, and merges the least relevant rows of a week that has too many.
    fn enforce_limits(&mut self) {
        let mut weeks: Vec<u64> = self.rows.keys().map(|k| k.week).collect();
        weeks.dedup();
        if let Some(&first) = weeks.iter().rev().nth(MAX_WEEKS - 1) {
            self.rows.retain(|key, _| key.week >= first);
        }
        for week in weeks {
            self.merge_rows(week);
        }
    }

    fn merge_rows(&mut self, week: u64) {
        let of_week = self.rows.iter().filter(|(k, _)| k.week == week);
        let mut rows: Vec<(u64, RowKey)> =
            of_week.map(|(key, counts)| (counts.relevance(), key.clone())).collect();
        // Allow some slack, so that not every delta beyond the limit sorts the whole week again.
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

    /// The rows, ordered by week, service and organisation.
    pub fn rows(&self) -> impl Iterator<Item = Row> + '_ {
        self.rows.iter().map(|(key, counts)| Row { key: key.clone(), counts: *counts })
    }

    /// The account so far, to be saved.
    pub fn summary(&self) -> Summary {
        let taken = self.taken.iter().map(|(host, (incarnation, sequence))| LastDelta {
            host: host.clone(),
            incarnation: *incarnation,
            sequence: *sequence,
        });
        Summary { upto: self.next, rows: self.rows().collect(), taken: taken.collect() }
    }
}
