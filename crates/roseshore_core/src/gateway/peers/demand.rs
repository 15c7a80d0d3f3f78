//! What callers ask of services in the own data centre.

use super::Peers;
use super::message::Scope;
use super::peer::Peer;
use crate::gateway::demand::{CentreDemand, DemandSums, ServiceDemand};
use crate::gateway::hashes::TargetHash;
use crate::prelude::*;

/// Demand at several hosts of a data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct HostsDemand {
    pub(super) hosts: usize,
    pub(super) sums: DemandSums,
}

impl HostsDemand {
    /// Adds another host's own part.
    fn add(&mut self, report: &[ServiceDemand]) {
        self.hosts += 1;
        self.sums.add(report);
    }

    /// Number of hosts and sums for a heartbeat of a host with this demand, to a receiver whose
    /// part is left out.
    pub(super) fn report(
        &self,
        own: &[ServiceDemand],
        receiver: Option<&Peer>,
    ) -> (u16, Vec<ServiceDemand>) {
        let mut all = self.clone();
        all.add(own);
        if let Some(receiver) = receiver {
            all.hosts = all.hosts.saturating_sub(1);
            all.sums.remove(&receiver.demand);
        }
        (u16::try_from(all.hosts).unwrap_or(u16::MAX), all.sums.into_report())
    }
}

impl Peers {
    /// Demand at the other hosts of the own data centre, as reported by each.
    pub(super) fn near_demand(&self, now: Instant) -> HostsDemand {
        let mut heard = HostsDemand::default();
        let near = self.all.values().filter(|p| self.is_near(p) && p.scope == Scope::Own);
        for peer in near.filter(|p| p.alive(true, now)) {
            heard.add(&peer.demand);
        }
        heard
    }

    /// Demand for a service in the own data centre, with this host's own: by the reports of each
    /// host, or that of the speaker that includes more hosts.
    pub fn demand(&self, service: TargetHash, own: &ServiceDemand, now: Instant) -> CentreDemand {
        let heard = self.near_demand(now);
        let sums = |p: &&Peer| {
            self.is_near(p) && matches!(p.scope, Scope::Others(_)) && p.alive(true, now)
        };
        let speakers = self.all.values().filter(sums);
        let most = speakers.max_by_key(|p| (p.demand_hosts, std::cmp::Reverse(p.rank())));
        match most.filter(|p| usize::from(p.demand_hosts) > heard.hosts) {
            None => CentreDemand::of(heard.sums.of_service(service), heard.hosts, own),
            Some(speaker) => {
                let mut sums = DemandSums::default();
                sums.add(&speaker.demand);
                let hosts = usize::from(speaker.demand_hosts);
                CentreDemand::of(sums.of_service(service), hosts, own)
            }
        }
    }
}
