//! State machine for one answer, which survives the loss of any stage of its chain.
//!
//! An [`Answer`] takes events ([`Input`]) together with the current time and returns the actions to
//! carry out ([`Action`]). Whatever the order of events, it keeps these invariants:
//!
//! - Position `p` is delivered once, in order, from the current epoch only, and only with a
//!   [`lineage`] that matches its route. Anything else is dropped and counted, or the route is
//!   abandoned; it is never passed on.
//! - An answer is complete only when the token count that the engine reports equals the number of
//!   tokens delivered. Missing tokens at the end are a fault of the route, never a short answer.
//! - A route that fails is replaced: the epoch grows by one, and another chain without the failed
//!   targets continues at the next position. Attempts are bounded by count and by the deadline.
//! - A refusal says "not run" only when every attempt was proved not to have begun.
//!
//! [`timeout`] bounds how long a stream may be silent, [`reorder`] sorts tokens that arrive early,
//! [`avoid`] records what failed, and [`crate::cost`] decides between moving KV caches and a new
//! prefill.

pub mod avoid;
pub mod interval;
pub mod lineage;
pub mod machine;
pub mod message;
pub mod reorder;
pub mod timeout;

pub use machine::{Answer, AnswerCounters, AnswerSettings};
pub use message::{
    Action, CacheMove, Cause, Finish, Input, Job, ProbeResult, Route, StreamFailure, StreamLine,
};
