//! Measurements, the load tool, and the matrix of proofs.

pub mod answer;
pub mod capacity;
pub mod figures;
pub mod load;
pub mod proofs;
