//! Calls of plain services, once where they may not be repeated.

use crate::app::App;
use roseshore_core::prelude::*;
use roseshore_ports::inside::Ask;
use roseshore_ports::outside::ServiceReply;

/// The end of a call that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallEnd {
    /// What the replica said, now or when the key was first used.
    pub reply: ServiceReply,
    /// Whether it is the recorded answer given again.
    pub repeated: bool,
}

/// Runs a call; `key` is the joined [`Key`], `digest` is over the body.
///
/// # Errors
/// [`Verdict::NotRun`] only when no replica began it.
pub fn run(
    _app: &App,
    _ask: &Ask,
    _body: &[u8],
    _key: Option<&Key>,
    _digest: u64,
    _trace: Option<&str>,
) -> Result<CallEnd, Refusal> {
    Err(Refusal::not_run(Code::NoRoute, "calls are not wired yet"))
}
