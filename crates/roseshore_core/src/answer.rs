//! One answer across stages: a machine that survives the loss of any of them.
//!
//! An [`Answer`] takes what happens ([`Input`]) with the time, and says what is to be done
//! ([`Action`]). Whatever the order of events, it holds to these rules:
//!
//! - Position `p` is delivered once, in order, from the current epoch only, and only with a
//!   [`lineage`] that equals its route. Anything else is dropped and counted, or the route is
//!   given up; it is never passed on.
//! - An answer is whole only when the engine's count equals what was delivered. A hole at the end
//!   is a fault of the route, never a short answer.
//! - A route that fails is replaced: epoch + 1, another chain without what failed, going on at the
//!   next position. Attempts are bounded by count and by the deadline.
//! - A refusal says "not run" only when every attempt was proved not to have begun.
//!
//! [`timeout`] bounds silence, [`reorder`] puts early tokens in order, [`avoid`] remembers what failed,
//! and [`crate::cost`] decides between moving KV caches and a new prefill.

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
