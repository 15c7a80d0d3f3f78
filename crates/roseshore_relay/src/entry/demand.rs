//! Counts what callers ask of services, here and in the data centre.

use super::EntryHost;
use super::choice::expected_tokens;
use super::exchange::Exchange;
use crate::slab::Key;
use roseshore_core::gateway::demand::{CentreDemand, DemandMeter};
use roseshore_core::gateway::path::kv_tokens;
use roseshore_core::gateway::peers::name_hash;
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
}

impl EntryHost {
    /// Counts a request that is offered to an engine service.
    pub(super) fn record_offered(&mut self, exchange: &Exchange) {
        if exchange.service.engine.is_none() {
            return;
        }
        let service = name_hash(&exchange.service.name);
        let organisation = name_hash(exchange.organisation.as_deref().unwrap_or_default());
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

    /// Shows the demand in the data centre and this host's part of it.
    pub(super) fn update_demand_gauges(&mut self) {
        let Some(snapshot) = self.snapshot.clone() else { return };
        for service in snapshot.engine_services() {
            let demand = self.centre_demand(&service.name);
            let of = |name| metrics::gauge!(name, "service" => service.name.clone());
            of("roseshore_demand_offered").set(demand.total.offered());
            of("roseshore_demand_ended").set(f64::from(demand.total.ended));
            of("roseshore_demand_part").set(demand.own_part);
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
