//! The decisions of an entry host.

mod gateway {
    mod allowance;
    mod failure;
    mod figures;
    mod path;
    mod peers;
    mod plan;
    mod routes;
    mod targets;
}
