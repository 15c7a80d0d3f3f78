//! The newest host list of the platform.
//!
//! A host that the list showed as leaving and then dropped stays leaving until the list shows it as
//! live again: the list is delayed, and a host that is being withdrawn must not get work meanwhile.

use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentreId,
    /// Peer address of the daemon on the host; `None` for hosts of targets.
    pub peer: Option<SocketAddr>,
    /// Whether the host is being withdrawn.
    pub leaving: bool,
}

/// Newest host list, and hosts that were dropped from the list while leaving.
pub struct HostTable {
    version: Option<u64>,
    hosts: BTreeMap<HostId, ListedHost>,
    withdrawn: BTreeMap<HostId, Instant>,
    /// Leaving hosts of `hosts` and all of `withdrawn`, kept because they are few and queried often.
    leaving: BTreeSet<HostId>,
    retention: Duration,
}

impl HostTable {
    /// Creates a table without a list; withdrawn hosts are remembered for `retention`.
    pub fn new(retention: Duration) -> HostTable {
        let (hosts, withdrawn, leaving) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        HostTable { version: None, hosts, withdrawn, leaving, retention }
    }

    /// Replaces the list; returns `false` if `version` is older than the known one.
    pub fn replace(&mut self, version: u64, hosts: Vec<ListedHost>, now: Instant) -> bool {
        if self.version.is_some_and(|known| version < known) {
            return false;
        }
        self.version = Some(version);
        let listed: BTreeMap<_, _> = hosts.into_iter().map(|h| (h.host.clone(), h)).collect();
        for (host, old) in &self.hosts {
            if old.leaving && !listed.contains_key(host) {
                self.withdrawn.insert(host.clone(), now);
            }
        }
        self.withdrawn.retain(|host, _| !listed.contains_key(host));
        self.hosts = listed;
        let leaving = self.hosts.values().filter(|h| h.leaving).map(|h| &h.host);
        self.leaving = leaving.chain(self.withdrawn.keys()).cloned().collect();
        true
    }

    /// Drops hosts that were withdrawn longer ago than the retention.
    pub fn prune(&mut self, now: Instant) {
        let keep = self.retention;
        let leaving = &mut self.leaving;
        self.withdrawn.retain(|host, since| {
            let recent = now.saturating_duration_since(*since) < keep;
            if !recent {
                leaving.remove(host);
            }
            recent
        });
    }

    /// Whether the host is in the list.
    pub fn contains(&self, host: &HostId) -> bool {
        self.hosts.contains_key(host)
    }

    /// Whether the host is leaving, by the list or by its last entry in an earlier list.
    pub fn leaving(&self, host: &HostId) -> bool {
        self.leaving.contains(host)
    }

    /// Returns the leaving hosts without a daemon.
    pub fn leaving_targets(&self) -> BTreeSet<HostId> {
        let target = |host: &&HostId| self.hosts.get(*host).is_none_or(|h| h.peer.is_none());
        self.leaving.iter().filter(target).cloned().collect()
    }

    /// Returns the peer address of the daemon on a host.
    pub fn peer(&self, host: &HostId) -> Option<SocketAddr> {
        self.hosts.get(host)?.peer
    }

    /// Returns the hosts with a daemon, with its peer address and its data centre.
    pub fn daemons(&self) -> impl Iterator<Item = (&HostId, SocketAddr, &DataCentreId)> {
        self.hosts.values().filter_map(|h| Some((&h.host, h.peer?, &h.data_centre)))
    }
}
