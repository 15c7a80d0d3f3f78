//! Writes this daemon's deltas of the weekly account to the log, and reads the whole account.

use crate::event;
use crate::log_reader::{Batch, read_to_end};
use parking_lot::Mutex;
use roseshore_core::ledger::account::{AccountDelta, Counter, Fold, Row, Summary};
use roseshore_core::ledger::history::EndedRequest;
use roseshore_core::prelude::*;
use roseshore_ports::inside::{Member, Members};
use roseshore_ports::outside::{CallResult, Log};
use roseshore_wire::platform::Record;
use roseshore_wire::query::{AccountRow, Query, Reply, Rows};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The log stream of deltas.
pub const DELTA_STREAM: &str = "account";
/// The log stream of summaries.
pub const SUMMARY_STREAM: &str = "account-summaries";
/// Deltas between two summaries of the account.
const DELTAS_PER_SUMMARY: u64 = 512;
/// Time between two deltas, if anything has been counted.
const FLUSH_INTERVAL: Duration = Duration::from_secs(10);
/// Time between summaries by the daemon that is first in rank; far below the log's retention.
const SUMMARY_INTERVAL: Duration = Duration::from_hours(1);

/// The weekly account: counts this daemon's requests and folds all daemons' deltas.
pub struct Account {
    log: Arc<dyn Log>,
    host: HostId,
    counter: Mutex<Counter>,
    fold: Mutex<Fold>,
    delayed: AtomicBool,
}

impl Account {
    /// Creates an account that has read nothing from the log yet.
    pub fn new(log: Arc<dyn Log>, own: &Member) -> Account {
        let counter = Counter::new(own.host.clone(), own.incarnation);
        Account {
            log,
            host: own.host.clone(),
            counter: Mutex::new(counter),
            fold: Mutex::default(),
            delayed: AtomicBool::new(false),
        }
    }

    /// Counts a request that has ended.
    pub(crate) fn ended(&self, ended: &EndedRequest) {
        self.counter.lock().count(ended);
    }

    /// Flushes periodically until `stop` is closed, and once more then.
    ///
    /// The first in rank writes a summary every [`SUMMARY_INTERVAL`], because summaries themselves
    /// are subject to the log's retention.
    pub fn run(&self, members: &dyn Members, stop: &flume::Receiver<()>) {
        let mut last_summary = Instant::now();
        while let Err(flume::RecvTimeoutError::Timeout) = stop.recv_timeout(FLUSH_INTERVAL) {
            let flushed = self.flush();
            let first = members.ranked(DELTA_STREAM).first().is_some_and(|m| m.host == self.host);
            if first
                && flushed.is_ok()
                && last_summary.elapsed() >= SUMMARY_INTERVAL
                && self.write_summary().is_ok()
            {
                last_summary = Instant::now();
            }
        }
        // What is not in the log by now is lost when the process ends.
        if self.flush().is_err() {
            event!(Event::AccountDelayed, "lost rows={}", self.counter.lock().pending_rows());
        }
    }

    /// Appends the next delta, if there is one; called periodically and before the daemon ends.
    ///
    /// # Errors
    /// When the append fails. The delta is kept and appended by a later call.
    pub fn flush(&self) -> CallResult<()> {
        let Some(delta) = self.counter.lock().next_delta() else { return Ok(()) };
        let Ok(line) = serde_json::to_string(&delta) else { return Ok(()) };
        match self.log.append(DELTA_STREAM, &[line]) {
            Ok(offset) => {
                self.counter.lock().appended();
                self.delayed.store(false, Ordering::Relaxed);
                event!(Event::AccountWritten, "offset={offset} rows={}", delta.rows.len());
                self.summarise_if_due(offset)
            }
            Err(err) => {
                // Logged once per outage, not with every attempt.
                if !self.delayed.swap(true, Ordering::Relaxed) {
                    event!(
                        Event::AccountDelayed,
                        "rows={}: {err}",
                        self.counter.lock().pending_rows()
                    );
                }
                Err(err)
            }
        }
    }

    /// Writes a summary if the delta just appended at `offset` is the last of
    /// [`DELTAS_PER_SUMMARY`].
    ///
    /// The writer of that delta writes the summary, so no election is needed. If it crashes here,
    /// the next summary covers the gap.
    fn summarise_if_due(&self, offset: Offset) -> CallResult<()> {
        if !(offset + 1).is_multiple_of(DELTAS_PER_SUMMARY) {
            return Ok(());
        }
        self.write_summary()
    }

    /// Appends a summary of the account, so that it outlives the log's retention of the deltas.
    ///
    /// # Errors
    /// When the log does not respond.
    pub fn write_summary(&self) -> CallResult<()> {
        self.read()?;
        let summary = self.fold.lock().summary();
        let Ok(line) = serde_json::to_string(&summary) else { return Ok(()) };
        self.log.append(SUMMARY_STREAM, &[line]).map(drop)
    }

    /// Folds new deltas up to the end of the log.
    ///
    /// # Errors
    /// When the log does not respond.
    pub fn read(&self) -> CallResult<()> {
        if self.fold.lock().next() == 0 {
            self.resume()?;
        }
        let from = self.fold.lock().next();
        read_to_end(&*self.log, DELTA_STREAM, from, |batch| {
            match batch {
                Batch::Records(records) => self.apply(records),
                Batch::Trimmed(oldest) => {
                    self.resume()?;
                    self.skip_trimmed(oldest);
                }
            }
            Ok(self.fold.lock().next())
        })
    }

    fn apply(&self, records: &[Record]) {
        let mut fold = self.fold.lock();
        for record in records {
            let delta = serde_json::from_str::<AccountDelta>(&record.data).ok();
            fold.apply(record.offset, delta.as_ref());
        }
    }

    /// Deltas that were trimmed before a summary covered them are counted as lost.
    fn skip_trimmed(&self, oldest: Offset) {
        let mut fold = self.fold.lock();
        if fold.next() < oldest {
            fold.apply(oldest - 1, None);
        }
    }

    /// Resumes from the newest summary that the log still has.
    fn resume(&self) -> CallResult<()> {
        let mut next = 0;
        read_to_end(&*self.log, SUMMARY_STREAM, next, |batch| {
            match batch {
                Batch::Records(records) => {
                    for record in records {
                        if let Ok(summary) = serde_json::from_str::<Summary>(&record.data) {
                            self.fold.lock().resume(&summary);
                        }
                        next = record.offset + 1;
                    }
                }
                Batch::Trimmed(oldest) => next = oldest,
            }
            Ok(next)
        })
    }

    /// The account rows for an operator's query. Incomplete replies are marked: `cut` when deltas
    /// were lost, and this host in `unasked` when the log does not respond.
    pub(crate) fn reply(&self, query: &Query) -> Reply {
        let flushed = self.flush();
        let read = self.read();
        let fold = self.fold.lock();
        let rows = fold.rows().filter(|row| matches(query, row)).map(account_row).collect();
        let unasked = match flushed.and(read) {
            Ok(()) => Vec::new(),
            Err(_) => vec![self.host.clone()],
        };
        Reply { rows: Rows::Account(rows), unasked, cut: fold.lost() > 0 }
    }
}

fn matches(query: &Query, row: &Row) -> bool {
    let filter = &query.filter;
    filter.service.as_ref().is_none_or(|s| *s == row.key.service)
        && filter.organisation.as_ref().is_none_or(|o| *o == row.key.organisation)
        && filter.since_ms.is_none_or(|since| row.key.week >= since)
}

fn account_row(row: Row) -> AccountRow {
    AccountRow {
        week_ms: row.key.week,
        service: row.key.service,
        organisation: row.key.organisation,
        answered: row.counts.answered,
        late: row.counts.late,
        repeated: row.counts.repeated,
        refused: row.counts.refused,
        unsettled: row.counts.unsettled,
        missed: row.counts.missed,
        advisory: false,
    }
}
