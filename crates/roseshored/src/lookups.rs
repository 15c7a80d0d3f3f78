//! Lookups by name over the declared sources of a service.

use crate::app::App;
use roseshore_core::prelude::*;
use roseshore_ports::inside::Ask;
use roseshore_ports::outside::ServiceReply;

/// Looks a name up.
///
/// # Errors
/// [`Code::NotFound`] only when every source that could hold the name says that it does not.
pub fn run(
    _app: &App,
    _ask: &Ask,
    _name: &str,
    _trace: Option<&str>,
) -> Result<ServiceReply, Refusal> {
    Err(Refusal::not_run(Code::NoRoute, "lookups are not wired yet"))
}
