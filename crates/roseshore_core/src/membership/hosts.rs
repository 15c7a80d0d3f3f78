//! The platform's host list, as last seen.
//!
//! A host that the list showed as leaving and then dropped stays leaving until the list shows it
//! live again: the list is late, and a host on its way out must not get work in between.

use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Its name.
    pub host: HostId,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Where a daemon on it hears peers; absent for hosts of targets.
    pub peer: Option<SocketAddr>,
    /// Whether it is being taken away.
    pub leaving: bool,
}

/// The newest list and the hosts that left it.
pub struct HostTable {
    version: Option<u64>,
    hosts: BTreeMap<HostId, ListedHost>,
    left: BTreeMap<HostId, Instant>,
    /// The leaving ones of `hosts` and all of `left`: few, and asked for often.
    leaving: BTreeSet<HostId>,
    remember: Duration,
}

impl HostTable {
    /// No list yet; hosts that left are remembered as long as `remember`.
    pub fn new(remember: Duration) -> HostTable {
        let (hosts, left, leaving) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        HostTable { version: None, hosts, left, leaving, remember }
    }

    /// Takes a list, or returns `false` if it is older than the known one.
    pub fn replace(&mut self, version: u64, hosts: Vec<ListedHost>, now: Instant) -> bool {
        if self.version.is_some_and(|known| version < known) {
            return false;
        }
        self.version = Some(version);
        let fresh: BTreeMap<_, _> = hosts.into_iter().map(|h| (h.host.clone(), h)).collect();
        for (host, old) in &self.hosts {
            if old.leaving && !fresh.contains_key(host) {
                self.left.insert(host.clone(), now);
            }
        }
        self.left.retain(|host, _| !fresh.contains_key(host));
        self.hosts = fresh;
        let leaving = self.hosts.values().filter(|h| h.leaving).map(|h| &h.host);
        self.leaving = leaving.chain(self.left.keys()).cloned().collect();
        true
    }

    /// Forgets hosts that left long ago.
    pub fn forget(&mut self, now: Instant) {
        let keep = self.remember;
        let leaving = &mut self.leaving;
        self.left.retain(|host, since| {
            let recent = now.saturating_duration_since(*since) < keep;
            if !recent {
                leaving.remove(host);
            }
            recent
        });
    }

    /// Whether the list has the host.
    pub fn contains(&self, host: &HostId) -> bool {
        self.hosts.contains_key(host)
    }

    /// Whether the list says, or last said, that the host is leaving.
    pub fn leaving(&self, host: &HostId) -> bool {
        self.leaving.contains(host)
    }

    /// The hosts without a daemon that the list says, or last said, are leaving.
    pub fn leaving_targets(&self) -> BTreeSet<HostId> {
        let target = |host: &&HostId| self.hosts.get(*host).is_none_or(|h| h.peer.is_none());
        self.leaving.iter().filter(target).cloned().collect()
    }

    /// Where the daemon on a host hears peers.
    pub fn peer(&self, host: &HostId) -> Option<SocketAddr> {
        self.hosts.get(host)?.peer
    }

    /// The hosts with a daemon, where it hears peers, and its data centre.
    pub fn daemons(&self) -> impl Iterator<Item = (&HostId, SocketAddr, &DataCentreId)> {
        self.hosts.values().filter_map(|h| Some((&h.host, h.peer?, &h.data_centre)))
    }
}
