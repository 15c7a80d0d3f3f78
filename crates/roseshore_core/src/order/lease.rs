//! The lease by which one daemon of a data centre gives orders.
//!
//! [`LeaseState`] judges the records by their place and by the log's own times alone, so that every
//! reader reaches the same verdict. [`LeaseClient`] is one daemon's view: it counts its own lease from
//! the instant *before* the record was sent, which is never later than the log's time of the
//! record, so its lease ends for itself before it ends for anybody else.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A record of the stream of leases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Asks for the lease; void while another's runs.
    Take {
        /// Who asks.
        holder: HostId,
        /// The asking process's life.
        incarnation: Incarnation,
        /// Tells this record from every other.
        nonce: u64,
        /// How long it is to run, milliseconds.
        ttl: u64,
    },
    /// Makes the running lease run on; void once it has ended.
    Renew {
        /// The lease.
        fence: Fence,
        /// Tells this record from every other.
        nonce: u64,
        /// How long it is to run from here, milliseconds.
        ttl: u64,
    },
    /// Ends the lease early; written when no order is under way.
    Release {
        /// The lease.
        fence: Fence,
    },
}

/// The lease that runs, by the log's times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Who has it.
    pub holder: HostId,
    /// The holder's life.
    pub incarnation: Incarnation,
    /// Its fencing number.
    pub fence: Fence,
    /// When it ends, milliseconds of the log's clock.
    pub until: u64,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// It counts.
    Accepted,
    /// It came too late, too early, or from somebody else.
    Void,
    /// It lies before the fold's place and was seen already.
    Repeat,
}

/// The state of the lease stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseState {
    held: Option<Lease>,
    next: Offset,
}

impl LeaseState {
    /// The lease taken last and not released; it may have ended by the log's clock.
    pub fn lease(&self) -> Option<&Lease> {
        self.held.as_ref()
    }

    /// The offset to read next.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Takes the next record, with its place and the log's time of it in milliseconds.
    pub fn apply(&mut self, offset: Offset, time: u64, record: &LeaseRecord) -> LeaseOutcome {
        if offset < self.next {
            return LeaseOutcome::Repeat;
        }
        self.next = offset + 1;
        match record {
            LeaseRecord::Take { holder, incarnation, ttl, .. } => {
                if self.held.as_ref().is_some_and(|h| time < h.until) {
                    return LeaseOutcome::Void;
                }
                self.held = Some(Lease {
                    holder: holder.clone(),
                    incarnation: *incarnation,
                    fence: offset,
                    until: time + ttl,
                });
            }
            LeaseRecord::Renew { fence, ttl, .. } => match &mut self.held {
                Some(held) if held.fence == *fence && time < held.until => {
                    // A short renewal never shortens what was promised to run longer.
                    held.until = held.until.max(time + ttl);
                }
                _ => return LeaseOutcome::Void,
            },
            LeaseRecord::Release { fence } => match &self.held {
                Some(held) if held.fence == *fence => self.held = None,
                _ => return LeaseOutcome::Void,
            },
        }
        LeaseOutcome::Accepted
    }

    /// Skips records that cannot be read or are no longer kept.
    ///
    /// A lease record that was trimmed away is older than the log's retention, which is far longer
    /// than any lease.
    pub fn skip_to(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }
}

/// The times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// How long a lease runs.
    pub ttl: Duration,
    /// How long before its end a holder renews it.
    pub renew: Duration,
    /// How long before its end a holder stops giving orders: the longest flight of an order and the
    /// drift of two clocks over one lease.
    pub margin: Duration,
    /// How long a new holder waits before it orders targets that do not check fencing numbers.
    pub settle: Duration,
}

impl Default for LeaseTimes {
    fn default() -> LeaseTimes {
        LeaseTimes {
            ttl: Duration::from_secs(6),
            renew: Duration::from_secs(4),
            margin: Duration::from_millis(1500),
            settle: Duration::from_millis(1500),
        }
    }
}

#[derive(Clone, Debug)]
struct Own {
    fence: Fence,
    until: Instant,
    settled: Instant,
}

/// One daemon's view of the lease and its wish to have it.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    host: HostId,
    incarnation: Incarnation,
    times: LeaseTimes,
    state: LeaseState,
    /// When each of the own records that may still turn up was sent.
    sent: BTreeMap<u64, Instant>,
    own: Option<Own>,
    /// When the record that the fold's lease rests on was read here.
    read: Option<Instant>,
    /// No record is sent before this.
    quiet: Option<Instant>,
}

impl LeaseClient {
    /// A daemon that has read nothing yet.
    pub fn new(host: HostId, incarnation: Incarnation, times: LeaseTimes) -> LeaseClient {
        LeaseClient {
            host,
            incarnation,
            times,
            state: LeaseState::default(),
            sent: BTreeMap::new(),
            own: None,
            read: None,
            quiet: None,
        }
    }

    /// The stream's state as read here.
    pub fn state(&self) -> &LeaseState {
        &self.state
    }

    /// Takes a record that was read at `now`.
    pub fn record(
        &mut self,
        offset: Offset,
        time: u64,
        record: &LeaseRecord,
        now: Instant,
    ) -> LeaseOutcome {
        let folded = self.state.apply(offset, time, record);
        if folded != LeaseOutcome::Accepted {
            return folded;
        }
        self.read = Some(now);
        match record {
            LeaseRecord::Take { holder, incarnation, nonce, ttl } => {
                let mine = *holder == self.host && *incarnation == self.incarnation;
                let sent = self.sent.remove(nonce);
                self.own = sent.filter(|_| mine).map(|sent| Own {
                    fence: offset,
                    until: sent + Duration::from_millis(*ttl),
                    settled: now + self.times.settle,
                });
            }
            LeaseRecord::Renew { fence, nonce, ttl } => {
                if let (Some(own), Some(sent)) = (&mut self.own, self.sent.remove(nonce))
                    && own.fence == *fence
                {
                    own.until = own.until.max(sent + Duration::from_millis(*ttl));
                }
            }
            LeaseRecord::Release { .. } => self.own = None,
        }
        folded
    }

    /// Skips to an offset; see [`LeaseState::skip_to`].
    pub fn skip_to(&mut self, next: Offset) {
        self.state.skip_to(next);
    }

    /// The record to append now, if any.
    ///
    /// `wants` says whether this daemon is the one that should hold the lease; a holder that is no
    /// longer wanted lets it run out. `nonce` is a fresh random number.
    pub fn due(&mut self, now: Instant, wants: bool, nonce: u64) -> Option<LeaseRecord> {
        let ttl = self.times.ttl;
        self.sent.retain(|_, sent| now.saturating_duration_since(*sent) < ttl);
        if !wants || self.quiet.is_some_and(|quiet| now < quiet) {
            return None;
        }
        let ttl = ttl.as_millis() as u64;
        let record = match &self.own {
            Some(own) if now < own.until => {
                if own.until - now > self.times.renew {
                    return None;
                }
                LeaseRecord::Renew { fence: own.fence, nonce, ttl }
            }
            _ => {
                if !self.free(now) {
                    return None;
                }
                let (holder, incarnation) = (self.host.clone(), self.incarnation);
                LeaseRecord::Take { holder, incarnation, nonce, ttl }
            }
        };
        self.sent.insert(nonce, now);
        self.quiet = Some(now + self.times.ttl / 6);
        Some(record)
    }

    /// Whether the lease can have ended by the log's clock: a `ttl` after its record was read
    /// here, it has ended wherever the clocks stand.
    fn free(&self, now: Instant) -> bool {
        match (self.state.lease(), self.read) {
            (Some(_), Some(read)) => now.saturating_duration_since(read) >= self.times.ttl,
            _ => true,
        }
    }

    /// The fencing number to order with at this very instant, if orders may be given.
    ///
    /// Asked right before an order is sent. `checks` says whether the target refuses old fencing
    /// numbers; one that does not is left alone until the last holder's orders have landed.
    pub fn may_order(&self, now: Instant, checks: bool) -> Option<Fence> {
        let own = self.own.as_ref()?;
        let running = now + self.times.margin < own.until;
        (running && (checks || now >= own.settled)).then_some(own.fence)
    }

    /// The record that ends the own lease early; asked when no order is under way.
    pub fn release(&mut self) -> Option<LeaseRecord> {
        let own = self.own.take()?;
        Some(LeaseRecord::Release { fence: own.fence })
    }
}
