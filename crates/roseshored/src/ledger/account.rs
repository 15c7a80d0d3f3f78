//! Writes this daemon's part of the weekly account, and reads the whole.

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

/// The stream of parts.
pub const DELTA_STREAM: &str = "account";
/// The stream of summaries.
pub const SUMMARY_STREAM: &str = "account-summaries";
/// Parts after which the account is written down anew.
const SUMMARY_EVERY: u64 = 512;
/// How often a part is written, if there is anything to say.
const FLUSH_EVERY: Duration = Duration::from_secs(10);
/// How often the whole account is written down; far below the log's retention.
const KEEP_EVERY: Duration = Duration::from_hours(1);

/// The account, towards the log.
pub struct Account {
    log: Arc<dyn Log>,
    host: HostId,
    counter: Mutex<Counter>,
    fold: Mutex<Fold>,
    delayed: AtomicBool,
}

impl Account {
    /// An account that has read nothing yet.
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

    /// Counts a request.
    pub(crate) fn ended(&self, ended: &EndedRequest) {
        self.counter.lock().count(ended);
    }

    /// Flushes until `stop` is closed, and once more then.
    ///
    /// The first in rank writes the whole down every [`KEEP_EVERY`], because a summary is itself
    /// kept for a limited time only.
    pub fn run(&self, members: &dyn Members, stop: &flume::Receiver<()>) {
        let mut kept = Instant::now();
        while let Err(flume::RecvTimeoutError::Timeout) = stop.recv_timeout(FLUSH_EVERY) {
            let flushed = self.flush();
            let first = members.ranked(DELTA_STREAM).first().is_some_and(|m| m.host == self.host);
            if first
                && flushed.is_ok()
                && kept.elapsed() >= KEEP_EVERY
                && self.write_summary().is_ok()
            {
                kept = Instant::now();
            }
        }
        // The last chance: what is not in the log now is gone with this host.
        if self.flush().is_err() {
            event!(Event::AccountDelayed, "lost rows={}", self.counter.lock().pending_rows());
        }
    }

    /// Appends what is due; called now and then, and once before the daemon ends.
    ///
    /// # Errors
    /// When the log does not take it; it is kept and due again.
    pub fn flush(&self) -> CallResult<()> {
        let Some(part) = self.counter.lock().next_delta() else { return Ok(()) };
        let Ok(line) = serde_json::to_string(&part) else { return Ok(()) };
        match self.log.append(DELTA_STREAM, &[line]) {
            Ok(offset) => {
                self.counter.lock().appended();
                self.delayed.store(false, Ordering::Relaxed);
                event!(Event::AccountWritten, "offset={offset} rows={}", part.rows.len());
                self.summarize(offset)
            }
            Err(err) => {
                // Said once per outage, not with every try.
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

    /// Writes the account down when the part that was just appended is the one whose turn it is.
    ///
    /// The part's own writer does it, so that nobody has to be chosen; a writer that dies here
    /// leaves the work to the next turn.
    fn summarize(&self, offset: Offset) -> CallResult<()> {
        if !(offset + 1).is_multiple_of(SUMMARY_EVERY) {
            return Ok(());
        }
        self.write_summary()
    }

    /// Writes the account down, so that it outlives the log's retention of the parts.
    ///
    /// # Errors
    /// When the log does not answer.
    pub fn write_summary(&self) -> CallResult<()> {
        self.read()?;
        let summary = self.fold.lock().summary();
        let Ok(line) = serde_json::to_string(&summary) else { return Ok(()) };
        self.log.append(SUMMARY_STREAM, &[line]).map(drop)
    }

    /// Reads on to the end of the log.
    ///
    /// # Errors
    /// When the log does not answer.
    pub fn read(&self) -> CallResult<()> {
        if self.fold.lock().next() == 0 {
            self.resume()?;
        }
        let from = self.fold.lock().next();
        read_to_end(&*self.log, DELTA_STREAM, from, |met| {
            match met {
                Batch::Records(records) => self.take(records),
                Batch::Trimmed(oldest) => {
                    self.resume()?;
                    self.skip(oldest);
                }
            }
            Ok(self.fold.lock().next())
        })
    }

    fn take(&self, records: &[Record]) {
        let mut fold = self.fold.lock();
        for record in records {
            let part = serde_json::from_str::<AccountDelta>(&record.data).ok();
            fold.apply(record.offset, part.as_ref());
        }
    }

    /// Parts that were trimmed before anybody summed them up are counted as lost.
    fn skip(&self, oldest: Offset) {
        let mut fold = self.fold.lock();
        if fold.next() < oldest {
            fold.apply(oldest - 1, None);
        }
    }

    /// Goes on from the newest summary that is kept.
    fn resume(&self) -> CallResult<()> {
        let mut next = 0;
        read_to_end(&*self.log, SUMMARY_STREAM, next, |met| {
            match met {
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

    /// The account for an operator. Rows that are not whole are marked: when the log does not
    /// answer, this daemon is named as one that could not be asked.
    pub(crate) fn reply(&self, query: &Query) -> Reply {
        let flushed = self.flush();
        let read = self.read();
        let fold = self.fold.lock();
        let rows = fold.rows().filter(|row| fits(query, row)).map(account_row).collect();
        let unasked = match flushed.and(read) {
            Ok(()) => Vec::new(),
            Err(_) => vec![self.host.clone()],
        };
        Reply { rows: Rows::Account(rows), unasked, cut: fold.lost() > 0 }
    }
}

fn fits(query: &Query, row: &Row) -> bool {
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
