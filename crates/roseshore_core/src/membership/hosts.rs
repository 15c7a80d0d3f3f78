//! The platform's host list, as last seen.
//!
//! A host that the list showed as leaving and then dropped stays leaving until the list shows it
//! live again: the list is late, and a host on its way out must not get work in between.

use crate::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
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
    hosts: BTreeMap<HostId, Listed>,
    left: BTreeMap<HostId, Instant>,
    remember: Duration,
}

impl HostTable {
    /// No list yet; hosts that left are remembered as long as `remember`.
    pub fn new(remember: Duration) -> HostTable {
        HostTable { version: None, hosts: BTreeMap::new(), left: BTreeMap::new(), remember }
    }

    /// Takes a list, or returns `false` if it is older than the known one.
    pub fn replace(&mut self, version: u64, hosts: Vec<Listed>, now: Instant) -> bool {
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
        true
    }

    /// Forgets hosts that left long ago.
    pub fn forget(&mut self, now: Instant) {
        let keep = self.remember;
        self.left.retain(|_, since| now.saturating_duration_since(*since) < keep);
    }

    /// Whether the list has the host.
    pub fn contains(&self, host: &HostId) -> bool {
        self.hosts.contains_key(host)
    }

    /// Whether the list says, or last said, that the host is leaving.
    pub fn leaving(&self, host: &HostId) -> bool {
        self.hosts.get(host).map_or(self.left.contains_key(host), |h| h.leaving)
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
