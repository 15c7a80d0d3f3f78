//! The decisions of an entry host.

mod gateway {
    mod allowance;
    mod fate;
    mod figures;
    mod path;
    mod peers;
    mod plan;
    mod routes;
    mod targets;
}
