//! Counts the work that callers offer this host, and that ends.

use super::{DemandSums, OrganisationDemand, Rank, RankDemand, ServiceDemand};
use crate::gateway::hashes::TargetHash;
use crate::prelude::*;
use std::collections::BTreeMap;

/// Time in which a count falls to a third.
const AVERAGE_TIME: Duration = Duration::from_secs(1);
/// Work below which a count is dropped, mean requests a second.
const MIN_RATE: f64 = 0.01;
/// Most organisations that are counted by themselves for a service.
const MAX_COUNTED: usize = 256;

/// Exponentially weighted work a second.
#[derive(Clone, Copy, Debug)]
struct Rate {
    work: f64,
    at: Instant,
}

impl Rate {
    fn new(now: Instant) -> Rate {
        Rate { work: 0.0, at: now }
    }

    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.work * (-age / AVERAGE_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, work: f64, now: Instant) {
        self.work = self.at(now) + work / AVERAGE_TIME.as_secs_f64();
        self.at = now;
    }
}

/// Counts of one service.
#[derive(Clone, Debug, Default)]
struct Counts {
    offered: BTreeMap<(u32, Rank), Rate>,
    ended: Option<Rate>,
    waiting: BTreeMap<Rank, u16>,
}

impl Counts {
    fn expire(&mut self, now: Instant) {
        self.offered.retain(|_, rate| rate.at(now) >= MIN_RATE);
        self.ended = self.ended.filter(|rate| rate.at(now) >= MIN_RATE);
    }

    fn is_idle(&self) -> bool {
        self.offered.is_empty() && self.ended.is_none() && self.waiting.is_empty()
    }

    fn report(&self, service: TargetHash, now: Instant) -> ServiceDemand {
        let ended = self.ended.map_or(0.0, |rate| rate.at(now) as f32);
        let mut report = ServiceDemand { ended, ..ServiceDemand::none(service) };
        for (&(organisation, rank), rate) in &self.offered {
            let offered = rate.at(now) as f32;
            report.organisations.push(OrganisationDemand { organisation, rank, offered });
            report.rank_mut(rank).offered += offered;
        }
        for (&rank, &waiting) in &self.waiting {
            *report.rank_mut(rank) = RankDemand { waiting, ..*report.rank_mut(rank) };
        }
        report.shorten(super::MAX_ORGANISATIONS);
        report
    }
}

/// Demand at this host, by service.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    services: BTreeMap<TargetHash, Counts>,
}

impl DemandMeter {
    /// Counts work that an organisation offers; work that is not a positive number is ignored.
    pub fn record_offered(
        &mut self,
        service: TargetHash,
        organisation: u32,
        rank: Rank,
        work: f64,
        now: Instant,
    ) {
        if !is_work(work) {
            return;
        }
        let counts = self.services.entry(service).or_default();
        let key = (organisation, rank);
        if counts.offered.len() >= MAX_COUNTED && !counts.offered.contains_key(&key) {
            counts.expire(now);
        }
        // Organisations beyond those that can be counted share an entry.
        let key = if counts.offered.len() < MAX_COUNTED || counts.offered.contains_key(&key) {
            key
        } else {
            (0, rank)
        };
        counts.offered.entry(key).or_insert_with(|| Rate::new(now)).add(work, now);
    }

    /// Counts work whose room was freed.
    pub fn record_ended(&mut self, service: TargetHash, work: f64, now: Instant) {
        if is_work(work) {
            let ended = &mut self.services.entry(service).or_default().ended;
            ended.get_or_insert_with(|| Rate::new(now)).add(work, now);
        }
    }

    /// Sets the number of requests that wait for room, by rank.
    pub fn set_waiting(
        &mut self,
        service: TargetHash,
        waiting: impl IntoIterator<Item = (Rank, u16)>,
    ) {
        let waiting = waiting.into_iter().filter(|(_, waiting)| *waiting > 0);
        self.services.entry(service).or_default().waiting = waiting.collect();
    }

    /// Demand for a service.
    pub fn report(&self, service: TargetHash, now: Instant) -> ServiceDemand {
        let counts = self.services.get(&service);
        counts.map_or_else(|| ServiceDemand::none(service), |counts| counts.report(service, now))
    }

    /// Demand for all services that have any, for heartbeats.
    pub fn reports(&mut self, now: Instant) -> Vec<ServiceDemand> {
        for counts in self.services.values_mut() {
            counts.expire(now);
        }
        self.services.retain(|_, counts| !counts.is_idle());
        let mut sums = DemandSums::default();
        let reports = self.services.iter().map(|(&service, counts)| counts.report(service, now));
        sums.add(&reports.collect::<Vec<_>>());
        sums.into_report()
    }
}

fn is_work(work: f64) -> bool {
    work.is_finite() && work > 0.0
}
