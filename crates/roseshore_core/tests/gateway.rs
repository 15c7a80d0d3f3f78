//! Tests of the decisions of an entry host.

mod gateway {
    mod admission;
    mod admission_load;
    mod availability;
    mod avoid;
    mod check_load;
    mod copies;
    mod demand;
    mod failure;
    mod fatal;
    mod fatal_load;
    mod fixtures;
    mod holdings;
    mod leaving;
    mod limit_ways;
    mod limits;
    mod liveness;
    mod memory;
    mod moves;
    mod newer_configs;
    mod older_store;
    mod orders;
    mod outage;
    mod overload;
    mod paces;
    mod partial;
    mod path;
    mod peers;
    mod plan;
    mod poll_timing;
    mod position;
    mod pressure;
    mod progress;
    mod responses;
    mod retry_budget;
    mod retry_loans;
    mod returns;
    mod room;
    mod routes;
    mod shutdown;
    mod starts;
    mod store_reads;
    mod targets;
    mod tried;
    mod unavailable;
}
