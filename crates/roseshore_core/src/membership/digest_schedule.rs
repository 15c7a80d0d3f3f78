//! Decides which daemon exchanges digests with which other data centre, and when.
//!
//! For each other data centre, the first daemon in rendezvous order exchanges digests on behalf of
//! its own. Of two data centres, the one with the smaller name calls. The other one calls as well
//! when it has not received a digest for a while, because connections may be possible in one
//! direction only. Alive daemons of the other data centre are called first; after a failure the next
//! daemon is called, including those that are gone, so that a data centre is found again after
//! hours of partition.

use super::{Member, MemberState, Settings, rank::ranked};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Silence in digest intervals after which the data centre with the larger name calls as well.
const SILENT_PERIODS: u32 = 2;

/// Schedule of one daemon's digest exchanges.
pub struct DigestSchedule {
    own: DataCentreId,
    settings: Settings,
    exchanges: BTreeMap<DataCentreId, Exchange>,
}

struct Exchange {
    due: Instant,
    last_heard: Instant,
    failures: usize,
}

/// Digest exchange that is due with a daemon of another data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DigestCall {
    /// The other data centre.
    pub data_centre: DataCentreId,
    /// Daemon to call.
    pub to: Member,
}

impl DigestSchedule {
    /// Creates a schedule without exchanges.
    pub fn new(own: DataCentreId, settings: Settings) -> DigestSchedule {
        DigestSchedule { own, settings, exchanges: BTreeMap::new() }
    }

    /// Returns the calls that are due.
    ///
    /// `remote` contains the daemons of other data centres. `place` returns this daemon's index in
    /// the rendezvous order for a subject.
    pub fn tick(
        &mut self,
        remote: Vec<Member>,
        place: impl Fn(&str) -> Option<usize>,
        now: Instant,
    ) -> Vec<DigestCall> {
        let mut centres: BTreeMap<DataCentreId, Vec<Member>> = BTreeMap::new();
        for member in remote {
            centres.entry(member.data_centre.clone()).or_default().push(member);
        }
        self.exchanges.retain(|centre, _| centres.contains_key(centre));
        let period = self.settings.digest_period(centres.len());
        let mut calls = Vec::new();
        for (centre, members) in centres {
            let new = || Exchange { due: now, last_heard: now, failures: 0 };
            let exchange = self.exchanges.entry(centre.clone()).or_insert_with(new);
            let silent =
                now.saturating_duration_since(exchange.last_heard) >= period * SILENT_PERIODS;
            let begins = self.own < centre || silent;
            if exchange.due > now || !begins || place(&subject(&centre)) != Some(0) {
                continue;
            }
            exchange.due = now + period;
            let to = choose_peer(&self.own, members, exchange.failures);
            calls.push(DigestCall { data_centre: centre, to });
        }
        calls
    }

    /// Records that a digest of a data centre has arrived, by a call in either direction.
    pub fn heard(&mut self, centre: &DataCentreId, now: Instant) {
        if let Some(exchange) = self.exchanges.get_mut(centre) {
            exchange.last_heard = now;
            exchange.failures = 0;
        }
    }

    /// Records that a call failed; the next daemon is called at once, up to `CALLS_PER_PERIOD`
    /// calls per period.
    pub fn failed(&mut self, centre: &DataCentreId, now: Instant) {
        if let Some(exchange) = self.exchanges.get_mut(centre) {
            exchange.failures += 1;
            if exchange.failures % CALLS_PER_PERIOD != 0 {
                exchange.due = now;
            }
        }
    }
}

/// Number of failing calls per digest interval.
const CALLS_PER_PERIOD: usize = 2;

fn subject(centre: &str) -> String {
    format!("speaker/{centre}")
}

fn choose_peer(own: &str, members: Vec<Member>, failures: usize) -> Member {
    let mut order = ranked(&subject(own), members);
    order.sort_by_key(|m| m.state != MemberState::Alive);
    order.swap_remove(failures % order.len())
}
