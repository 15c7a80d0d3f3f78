//! Which daemon speaks with which other data centre, and when.
//!
//! The first in rendezvous order speaks for its data centre with another one. Of two data centres
//! the one with the smaller name begins; the other begins too when it has not heard for a while, so
//! that a way that is open in one direction only is used. Over there an alive daemon is asked
//! first; after a failure the next one is tried, gone ones included, so that a data centre that was
//! cut off for hours is found again.

use super::{Member, MemberState, Settings, rank::ranked};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Periods of silence after which the larger name begins too.
const PATIENCE: u32 = 2;

/// The state of one daemon's talks.
pub struct DigestSchedule {
    own: DataCentreId,
    settings: Settings,
    talks: BTreeMap<DataCentreId, Talk>,
}

struct Talk {
    due: Instant,
    heard: Instant,
    failures: usize,
}

/// A daemon of another data centre to exchange digests with now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DigestCall {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The daemon.
    pub to: Member,
}

impl DigestSchedule {
    /// No talks yet.
    pub fn new(own: DataCentreId, settings: Settings) -> DigestSchedule {
        DigestSchedule { own, settings, talks: BTreeMap::new() }
    }

    /// The calls that are due. `far` are the daemons of other data centres; `place` is this daemon's
    /// place in the order for a subject.
    pub fn tick(
        &mut self,
        far: Vec<Member>,
        place: impl Fn(&str) -> Option<usize>,
        now: Instant,
    ) -> Vec<DigestCall> {
        let mut centres: BTreeMap<DataCentreId, Vec<Member>> = BTreeMap::new();
        for member in far {
            centres.entry(member.data_centre.clone()).or_default().push(member);
        }
        self.talks.retain(|centre, _| centres.contains_key(centre));
        let period = self.settings.digest_period(centres.len());
        let mut calls = Vec::new();
        for (centre, members) in centres {
            let fresh = || Talk { due: now, heard: now, failures: 0 };
            let talk = self.talks.entry(centre.clone()).or_insert_with(fresh);
            let silent = now.saturating_duration_since(talk.heard) >= period * PATIENCE;
            let begins = self.own < centre || silent;
            if talk.due > now || !begins || place(&subject(&centre)) != Some(0) {
                continue;
            }
            talk.due = now + period;
            let to = choose(&self.own, members, talk.failures);
            calls.push(DigestCall { data_centre: centre, to });
        }
        calls
    }

    /// Word of a data centre has come, by a call or otherwise.
    pub fn heard(&mut self, centre: &DataCentreId, now: Instant) {
        if let Some(talk) = self.talks.get_mut(centre) {
            talk.heard = now;
            talk.failures = 0;
        }
    }

    /// A call failed; the next daemon over there is tried at once, all of them in one period.
    pub fn failed(&mut self, centre: &DataCentreId, now: Instant) {
        if let Some(talk) = self.talks.get_mut(centre) {
            talk.failures += 1;
            if talk.failures % RETRIES != 0 {
                talk.due = now;
            }
        }
    }
}

/// Calls in one period while they fail.
const RETRIES: usize = 2;

fn subject(centre: &str) -> String {
    format!("speaker/{centre}")
}

fn choose(own: &str, members: Vec<Member>, failures: usize) -> Member {
    let mut order = ranked(&subject(own), members);
    order.sort_by_key(|m| m.state != MemberState::Alive);
    order.swap_remove(failures % order.len())
}
