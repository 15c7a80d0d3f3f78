//! Orders to targets: who may give them, and which ones to give.
//!
//! One daemon of a data centre gives orders at a time. Its right is a lease in the log
//! ([`lease`]); the lease record's offset is the fencing number that every order carries. What a
//! target should hold comes from the declared fleet ([`desired`]), and [`reconciler`] decides which
//! orders go out now, so that a change keeps a whole chain in service and stays within the
//! weight store's rate. [`rollout`] says which version new answers use meanwhile, and [`placement`] what spare engines should hold.

pub mod desired;
pub mod lease;
pub mod placement;
pub mod reconciler;
pub mod rollout;
