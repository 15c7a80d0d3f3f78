//! The shares of the [retry budget](crate::gateway::quota::retry_budget) that this host holds as a lender,
//! and since when.
//!
//! A host's pooled share is held by the lenders of its data centre while they hear each other.
//! Nothing is agreed on: a lender derives what it holds from heartbeats, so for a while two groups of
//! lenders may each take a share for theirs. The budget therefore asks how long a share has been held.
//!
//! A process that starts behind a cut hears only a part of the hosts, so the number of hosts among
//! which the slack is divided is also kept in the store. The first host of each data centre reads
//! it, and heartbeats pass it on.

use super::Peers;
use super::message::Scope;
use super::peer::Peer;
use crate::gateway::hashes::TargetHash;
use crate::gateway::quota::retry_budget::Pool;
use crate::gateway::window_max::WindowMax;
use crate::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long a share is held after it was last confirmed.
const HOLD_VALIDITY: Duration = Duration::from_secs(1);
/// How long a host that is gone still has its part of the slack: it may only be out of touch.
const HOST_RETENTION: Duration = Duration::from_hours(24);

/// A share that a lender holds.
#[derive(Clone, Copy, Debug)]
struct Hold {
    since: Instant,
    confirmed: Instant,
}

impl Hold {
    fn new(now: Instant) -> Hold {
        Hold { since: now, confirmed: now }
    }

    fn valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed) <= HOLD_VALIDITY
    }
}

/// The shares that this host holds.
#[derive(Clone, Debug, Default)]
pub(super) struct Lending {
    holds: BTreeMap<SocketAddr, Hold>,
    /// Lenders among which the pool is divided.
    lenders: WindowMax,
    /// Hosts among which the slack is divided.
    hosts: WindowMax,
    /// Hosts that were heard at the same time.
    heard: WindowMax,
    /// The number of hosts in the store; 0 if it was not read.
    recorded: u16,
}

impl Lending {
    fn confirm(&mut self, host: SocketAddr, now: Instant) {
        let hold = self.holds.entry(host).or_insert_with(|| Hold::new(now));
        hold.confirmed = now;
    }
}

impl Peers {
    /// Updates which shares this host holds. To be called several times within [`HOLD_VALIDITY`];
    /// `window` is the time for which retries count.
    pub fn update_lending(&mut self, window: Duration, now: Instant) {
        self.lending.heard.set(self.heard_hosts(), HOST_RETENTION, now);
        self.lending.hosts.set(self.known_hosts(now), HOST_RETENTION, now);
        self.lending.holds.retain(|_, hold| hold.valid(now));
        let ranks = self.lending_ranks(now);
        if !self.speaking || !ranks.contains(&self.rank()) {
            return;
        }
        self.lending.lenders.set(ranks.len(), window, now);
        let delegates = |p: &&Peer| {
            let near = self.is_near(p) && p.scope == Scope::Own;
            near && p.alive(true, now) && p.hears_this_host(now)
        };
        let members = self.all.values().filter(delegates).map(|p| p.addr);
        for host in members.chain([self.addr]).collect::<Vec<_>>() {
            self.lending.confirm(host, now);
        }
    }

    /// The pool of a service's retries that this host lends from; `None` if it is no lender.
    pub fn retry_pool(&self, service: TargetHash, now: Instant) -> Option<Pool> {
        let own = self.lending.holds.get(&self.addr).filter(|hold| hold.valid(now))?;
        let requests = |host: &SocketAddr| {
            let counts = self.all.get(host).map_or(&[][..], |peer| &peer.counts);
            counts.iter().filter(|count| count.service == service).map(|c| c.requests).sum()
        };
        let others = self.lending.holds.iter().filter(|(host, _)| **host != self.addr);
        let members = others.map(|(host, hold)| (hold.since, requests(host))).collect();
        Some(Pool { own_since: own.since, members, lenders: self.lending.lenders.get() })
    }

    /// Number of hosts among which the slack is divided; 0 while this host does not know them.
    pub fn sharing_hosts(&self, now: Instant) -> usize {
        if self.discovers(now) { 0 } else { self.lending.hosts.get().max(1) }
    }

    /// Sets the number of hosts that the store holds.
    pub fn set_recorded_hosts(&mut self, hosts: u16) {
        self.lending.recorded = hosts;
    }

    /// The number of hosts to write to the store; `None` if the one that it holds is to stay. It
    /// grows with the hosts that are heard, and falls once no process of this age has heard so many.
    pub fn hosts_to_record(&self, now: Instant) -> Option<u16> {
        if self.discovers(now) {
            return None;
        }
        let heard = u16::try_from(self.lending.heard.get()).unwrap_or(u16::MAX);
        let knows_all = now.saturating_duration_since(self.started) >= HOST_RETENTION;
        let outdated = heard < self.lending.recorded && knows_all;
        (heard > self.lending.recorded || outdated).then_some(heard)
    }

    /// Number of hosts in the whole system, as far as this one has heard of them or the store says.
    pub(super) fn reported_hosts(&self) -> usize {
        self.heard_hosts().max(self.lending.recorded.into())
    }

    /// When this process started; an earlier one may have used the share of its host.
    pub fn started(&self) -> Instant {
        self.started
    }
}
