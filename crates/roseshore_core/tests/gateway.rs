//! The decisions of an entry host.

mod gateway {
    mod allowance;
    mod availability;
    mod avoid;
    mod copies;
    mod failure;
    mod fatal;
    mod fatal_load;
    mod figures;
    mod giving;
    mod hindrance;
    mod holdings;
    mod leaving;
    mod limit_ways;
    mod limits;
    mod look;
    mod older_store;
    mod outage;
    mod path;
    mod peers;
    mod plan;
    mod position;
    mod pressure;
    mod reading;
    mod routes;
    mod shortage;
    mod starts;
    mod targets;
}
