//! Counts what callers ask of services, here and in the data centre.

use super::choice::expected_tokens;
use super::exchange::Exchange;
use super::{EntryHost, log_event};
use crate::slab::Key;
use rand::RngExt;
use roseshore_core::gateway::demand::{CentreDemand, DemandMeter};
use roseshore_core::gateway::path::kv_tokens;
use roseshore_core::gateway::peers::{name_hash, relation};
use roseshore_core::gateway::quota::room::{Share, SteadyDraw};
use roseshore_core::gateway::{EngineSpec, ServiceSpec};
use roseshore_core::prelude::*;
use roseshore_ports::entry::RequestFields;
use std::collections::HashMap;

/// How long the sum over a data centre is used.
const SUM_VALIDITY: Duration = Duration::from_millis(50);

/// What callers ask of services.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Demand at this host.
    pub(super) meter: DemandMeter,
    /// Demand in the data centre, with the time of its sum.
    centre: HashMap<ServiceId, (Instant, CentreDemand)>,
    /// Decides whether this host takes room of which its part is smaller than a request.
    draw: SteadyDraw,
}

impl EntryHost {
    /// Counts a request that is offered to an engine service.
    pub(super) fn record_offered(&mut self, exchange: &Exchange) {
        if exchange.service.engine.is_none() {
            return;
        }
        let service = name_hash(&exchange.service.name);
        let organisation = exchange.organisation_hash();
        let (rank, work) = (exchange.rank, exchange.work);
        self.demand.meter.record_offered(service, organisation, rank, work, self.now);
    }

    /// Counts a request that ends after it took room at engines.
    pub(super) fn record_ended(&mut self, key: Key) {
        let Some(exchange) = self.exchanges.get(key) else { return };
        let took_room = exchange.send.is_some() || exchange.verdict != Verdict::NotRun;
        if exchange.service.engine.is_some() && took_room {
            let service = name_hash(&exchange.service.name);
            self.demand.meter.record_ended(service, exchange.work, self.now);
        }
    }

    /// What this host may take of the room of a service's engines, for a request that may have
    /// begun.
    pub(super) fn room_share(&mut self, service: &ServiceId, begun: bool) -> Share {
        let demand = self.centre_demand(service);
        let ages = relation::report_ages(demand.hosts);
        let draw = self.demand.draw.get(self.rng.random(), ages.near, self.now);
        let centres = self.targets.data_centres(service);
        Share::new(&demand, ages, centres, draw).for_begun(begun)
    }

    /// Narrows the room of a full engine that refused a request.
    pub(super) fn record_full_engine(&mut self, target: &TargetId, service: &ServiceSpec) {
        let now = self.now;
        let Some(engine) = &service.engine else { return };
        let Some(fill) = self.targets.kv_fill(target, engine, 0.0) else { return };
        metrics::counter!("roseshore_sends_refused_full_total", "service" => service.name.clone())
            .increment(1);
        if self.targets.record_full(target, now) {
            let part = self.targets.usable_part(target, engine, now).unwrap_or(1.0);
            log_event!(self, RoomNarrowed, "target={target} fill={fill:.2} usable={part:.2}");
        }
    }

    /// Widens the room of engines that refused requests some time ago.
    pub(super) fn widen_rooms(&mut self) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        for service in snapshot.engine_services() {
            let Some(engine) = &service.engine else { continue };
            let (back, least) = self.targets.widen(&service.name, engine, self.now);
            metrics::gauge!("roseshore_room_usable", "service" => service.name.clone()).set(least);
            for target in back {
                log_event!(self, RoomWidened, "target={target}");
            }
        }
    }

    /// Shows the demand in the data centre and this host's part of it.
    pub(super) fn update_demand_gauges(&mut self) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        for service in snapshot.engine_services() {
            let demand = self.centre_demand(&service.name);
            let name = || service.name.clone();
            metrics::gauge!("roseshore_demand_offered", "service" => name())
                .set(demand.total.offered());
            metrics::gauge!("roseshore_demand_ended", "service" => name())
                .set(f64::from(demand.total.ended));
            metrics::gauge!("roseshore_demand_part", "service" => name()).set(demand.own_part);
            metrics::gauge!("roseshore_room_part", "service" => name())
                .set(self.room_share(&service.name, false).part());
        }
    }

    /// What callers ask of a service in this data centre; at most [`SUM_VALIDITY`] old.
    pub(super) fn centre_demand(&mut self, service: &ServiceId) -> CentreDemand {
        let now = self.now;
        let recent = |at: Instant| now.saturating_duration_since(at) < SUM_VALIDITY;
        if let Some((at, demand)) = self.demand.centre.get(service)
            && recent(*at)
        {
            return demand.clone();
        }
        let hash = name_hash(service);
        let own = self.demand.meter.report(hash, now);
        let demand = self.peers.demand(hash, &own, now);
        self.demand.centre.insert(service.clone(), (now, demand.clone()));
        demand
    }
}

/// KV cache that a request is expected to take, as a multiple of the mean request's; 1 for a
/// service without engines.
pub(super) fn expected_work(fields: &RequestFields, service: &ServiceSpec) -> f64 {
    let Some(engine) = &service.engine else { return 1.0 };
    let EngineSpec { mean_prompt, mean_answer, .. } = *engine;
    let mean = kv_tokens(mean_prompt, mean_answer);
    let answer = expected_tokens(fields, mean_answer);
    if mean > 0.0 { kv_tokens(f64::from(fields.prompt_tokens), answer) / mean } else { 1.0 }
}
