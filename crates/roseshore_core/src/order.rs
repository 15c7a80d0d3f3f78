//! Orders to targets: which daemon may send them, and which ones are due.
//!
//! One daemon of a data centre sends orders at a time. It holds a lease in the log ([`lease`]); the
//! offset of the lease record is the fencing token that every order carries. [`desired`] derives the
//! desired state of targets from the declared fleet, and [`placement`] that of spare engines.
//! [`reconciler`] decides which orders are due, so that a change keeps a complete chain in service
//! and stays within the rate of the weight store. [`rollout`] chooses the version for new answers
//! during a change.

pub mod desired;
pub mod lease;
pub mod placement;
pub mod reconciler;
pub mod rollout;
