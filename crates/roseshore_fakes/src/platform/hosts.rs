//! The state of the host list, without I/O: changes become visible after a delay.

use roseshore_core::prelude::*;
use roseshore_wire::platform::{Host, HostState, Hosts};

/// The history of the host list.
#[derive(Debug)]
pub struct HostsState {
    changes: Vec<Change>,
}

#[derive(Debug)]
struct Change {
    at: Instant,
    list: Hosts,
}

impl HostsState {
    /// Creates a list that is visible immediately.
    pub fn new(hosts: Vec<Host>, now: Instant) -> HostsState {
        HostsState { changes: vec![Change { at: now, list: Hosts { version: 0, hosts } }] }
    }

    /// Replaces the list.
    pub fn set(&mut self, hosts: Vec<Host>, now: Instant) {
        let version = self.newest().version + 1;
        self.changes.push(Change { at: now, list: Hosts { version, hosts } });
    }

    /// Marks a host as leaving; `false` if it is not listed.
    pub fn leave(&mut self, host: &str, now: Instant) -> bool {
        let mut hosts = self.newest().hosts.clone();
        let Some(found) = hosts.iter_mut().find(|h| h.host == host) else { return false };
        found.state = HostState::Leaving;
        self.set(hosts, now);
        true
    }

    /// The list as of `lag` before `now`, or the initial list if none is that old.
    pub fn shown(&self, now: Instant, lag: Duration) -> &Hosts {
        let old = self.changes.iter().rev().find(|c| c.at + lag <= now);
        &old.unwrap_or(&self.changes[0]).list
    }

    fn newest(&self) -> &Hosts {
        &self.changes[self.changes.len() - 1].list
    }
}
