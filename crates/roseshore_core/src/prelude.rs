//! Types that nearly every module needs.

pub use crate::code::Code;
pub use crate::event::Event;
pub use crate::fleet::{Fleet, Model, Organisation, Service, Target};
pub use crate::ids::*;
pub use crate::verdict::{Refusal, Verdict};
pub use std::time::{Duration, Instant, SystemTime};
