//! The lease that entitles one daemon of a data centre to send orders.
//!
//! [`LeaseState`] applies records by their offsets and by the timestamps of the log alone, so that
//! every reader gets the same result. [`LeaseClient`] is the view of one daemon. It counts its own
//! lease from the instant *before* the record was sent, which is never later than the timestamp of
//! the record in the log, so the holder considers its lease expired before any other daemon does.

use crate::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Record of the lease stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Acquires the lease; void while another lease is valid.
    Take {
        /// Host that acquires the lease.
        holder: HostId,
        /// Incarnation of the process on that host.
        incarnation: Incarnation,
        /// Random number that identifies this record.
        nonce: u64,
        /// Validity from the record's timestamp on, in milliseconds.
        ttl: u64,
    },
    /// Extends a valid lease; void once it has expired.
    Renew {
        /// Fencing token of the lease.
        fence: Fence,
        /// Random number that identifies this record.
        nonce: u64,
        /// Validity from the record's timestamp on, in milliseconds.
        ttl: u64,
    },
    /// Ends the lease early; written only while no order is in flight.
    Release {
        /// Fencing token of the lease.
        fence: Fence,
    },
}

/// Lease by the timestamps of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Host that holds the lease.
    pub holder: HostId,
    /// Incarnation of the holder's process.
    pub incarnation: Incarnation,
    /// Fencing token: the offset of the record that acquired the lease.
    pub fence: Fence,
    /// Expiry, in milliseconds of the log's clock.
    pub until: u64,
}

/// Effect of applying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// The record changed the lease.
    Accepted,
    /// No effect: the lease had expired, was still valid or belonged to another daemon.
    Void,
    /// No effect: a record at this offset or a later one was applied before.
    Repeat,
}

/// State of the lease after the records applied so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseState {
    lease: Option<Lease>,
    next: Offset,
}

impl LeaseState {
    /// The lease acquired last, unless it was released; it may have expired by the log's clock.
    pub fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next
    }

    /// Applies the record at `offset`, whose timestamp is `time` in milliseconds of the log's clock.
    pub fn apply(&mut self, offset: Offset, time: u64, record: &LeaseRecord) -> LeaseOutcome {
        if offset < self.next {
            return LeaseOutcome::Repeat;
        }
        self.next = offset + 1;
        match record {
            LeaseRecord::Take { holder, incarnation, ttl, .. } => {
                if self.lease.as_ref().is_some_and(|h| time < h.until) {
                    return LeaseOutcome::Void;
                }
                self.lease = Some(Lease {
                    holder: holder.clone(),
                    incarnation: *incarnation,
                    fence: offset,
                    until: time + ttl,
                });
            }
            LeaseRecord::Renew { fence, ttl, .. } => match &mut self.lease {
                Some(lease) if lease.fence == *fence && time < lease.until => {
                    // A renewal never shortens the lease.
                    lease.until = lease.until.max(time + ttl);
                }
                _ => return LeaseOutcome::Void,
            },
            LeaseRecord::Release { fence } => match &self.lease {
                Some(lease) if lease.fence == *fence => self.lease = None,
                _ => return LeaseOutcome::Void,
            },
        }
        LeaseOutcome::Accepted
    }

    /// Skips records before `next` that are unreadable or trimmed.
    ///
    /// Skipping trimmed records is safe: they are older than the retention of the log, which is far
    /// longer than any lease.
    pub fn skip_to(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }
}

/// Durations that govern a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// Validity of a lease.
    pub ttl: Duration,
    /// How long before expiry the holder renews the lease.
    pub renew_before: Duration,
    /// How long before expiry the holder stops sending orders; covers the longest flight of an
    /// order and the drift between two clocks during one lease.
    pub margin: Duration,
    /// How long a new holder waits before it sends orders to targets that do not check fencing
    /// tokens.
    pub settle: Duration,
}

impl Default for LeaseTimes {
    fn default() -> LeaseTimes {
        LeaseTimes {
            ttl: Duration::from_secs(6),
            renew_before: Duration::from_secs(4),
            margin: Duration::from_millis(1500),
            settle: Duration::from_millis(1500),
        }
    }
}

/// Lease of this daemon, by its own clock.
#[derive(Clone, Debug)]
struct OwnLease {
    fence: Fence,
    until: Instant,
    settled_at: Instant,
}

/// View of the lease by one daemon, which acquires and renews it.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    host: HostId,
    incarnation: Incarnation,
    times: LeaseTimes,
    state: LeaseState,
    /// Send times of this daemon's records that may still appear in the log, by nonce.
    sent_at: BTreeMap<u64, Instant>,
    own: Option<OwnLease>,
    /// When this daemon read the last accepted record.
    read_at: Option<Instant>,
    /// Earliest time to send the next record.
    next_send: Option<Instant>,
}

impl LeaseClient {
    /// Creates the client of a daemon that has read no records.
    pub fn new(host: HostId, incarnation: Incarnation, times: LeaseTimes) -> LeaseClient {
        LeaseClient {
            host,
            incarnation,
            times,
            state: LeaseState::default(),
            sent_at: BTreeMap::new(),
            own: None,
            read_at: None,
            next_send: None,
        }
    }

    /// State after the records read so far.
    pub fn state(&self) -> &LeaseState {
        &self.state
    }

    /// Applies a record that was read at `now`.
    pub fn record(
        &mut self,
        offset: Offset,
        time: u64,
        record: &LeaseRecord,
        now: Instant,
    ) -> LeaseOutcome {
        let outcome = self.state.apply(offset, time, record);
        if outcome != LeaseOutcome::Accepted {
            return outcome;
        }
        self.read_at = Some(now);
        match record {
            LeaseRecord::Take { holder, incarnation, nonce, ttl } => {
                let own_record = *holder == self.host && *incarnation == self.incarnation;
                let sent = self.sent_at.remove(nonce);
                self.own = sent.filter(|_| own_record).map(|sent| OwnLease {
                    fence: offset,
                    until: sent + Duration::from_millis(*ttl),
                    settled_at: now + self.times.settle,
                });
            }
            LeaseRecord::Renew { fence, nonce, ttl } => {
                if let (Some(own), Some(sent)) = (&mut self.own, self.sent_at.remove(nonce))
                    && own.fence == *fence
                {
                    own.until = own.until.max(sent + Duration::from_millis(*ttl));
                }
            }
            LeaseRecord::Release { .. } => self.own = None,
        }
        outcome
    }

    /// Skips records before `next`; see [`LeaseState::skip_to`].
    pub fn skip_to(&mut self, next: Offset) {
        self.state.skip_to(next);
    }

    /// Returns the record to append now, if any.
    ///
    /// `wants` tells whether this daemon should hold the lease; otherwise a holder lets it expire.
    /// `nonce` is a new random number.
    pub fn due(&mut self, now: Instant, wants: bool, nonce: u64) -> Option<LeaseRecord> {
        let ttl = self.times.ttl;
        self.sent_at.retain(|_, sent| now.saturating_duration_since(*sent) < ttl);
        if !wants || self.next_send.is_some_and(|next_send| now < next_send) {
            return None;
        }
        let ttl = ttl.as_millis() as u64;
        let record = match &self.own {
            Some(own) if now < own.until => {
                if own.until - now > self.times.renew_before {
                    return None;
                }
                LeaseRecord::Renew { fence: own.fence, nonce, ttl }
            }
            _ => {
                if !self.may_be_free(now) {
                    return None;
                }
                let (holder, incarnation) = (self.host.clone(), self.incarnation);
                LeaseRecord::Take { holder, incarnation, nonce, ttl }
            }
        };
        self.sent_at.insert(nonce, now);
        self.next_send = Some(now + self.times.ttl / 6);
        Some(record)
    }

    /// Whether the lease may have expired by the log's clock: it certainly has once `ttl` has passed
    /// since its record was read, independent of clock offsets.
    fn may_be_free(&self, now: Instant) -> bool {
        match (self.state.lease(), self.read_at) {
            (Some(_), Some(read_at)) => now.saturating_duration_since(read_at) >= self.times.ttl,
            _ => true,
        }
    }

    /// Returns the fencing token for an order sent at `now`, if this daemon may send one.
    ///
    /// Call it immediately before sending. `checks_fence` tells whether the target rejects stale
    /// fencing tokens; other targets get no orders until those of the previous holder have arrived.
    pub fn may_order(&self, now: Instant, checks_fence: bool) -> Option<Fence> {
        let own = self.own.as_ref()?;
        let running = now + self.times.margin < own.until;
        (running && (checks_fence || now >= own.settled_at)).then_some(own.fence)
    }

    /// Gives up the own lease and returns the record that ends it; call it only while no order is in
    /// flight.
    pub fn release(&mut self) -> Option<LeaseRecord> {
        let own = self.own.take()?;
        Some(LeaseRecord::Release { fence: own.fence })
    }
}
