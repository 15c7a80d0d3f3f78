//! Who gives the orders of a data centre, and when an order is sent.
//!
//! The first living host gives them. The next few work out the same repairs from the same list, and
//! wait in case those before them cannot act; what another host is seen to order counts as acting. Two
//! hosts with views of their own that both take steps undo each other's, and a layer has no holder though nothing was
//! lost. And were every host to act after a while, all of them would ask all engines for reports while the first is
//! still giving its orders.

use super::LayerRange;
use crate::prelude::*;

/// Hosts of a data centre repair holes one after the other, so far apart: longer than it takes to
/// find that the host before is gone.
const APART: Duration = Duration::from_millis(1500);
/// Hosts that work out what should be ordered: the rest would wait for 12 s and more, and is spared a plan of
/// 1,000 engines with each change.
const PLANNERS: usize = 8;

/// What an order is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReason {
    /// Layers without a holder, or an engine without layers.
    Repair,
    /// A placement that carries more; nothing is broken.
    Improve,
}

/// Whether a host gives the orders that it has wanted for so long; `place` is its own among the
/// living hosts of its data centre, 0 the first.
pub fn may_order(need: OrderReason, place: usize, waited: Duration) -> bool {
    match need {
        OrderReason::Improve => place == 0,
        OrderReason::Repair => may_plan(place) && waited >= APART * place as u32,
    }
}

/// Whether a host at a place works out what should be ordered.
pub fn may_plan(place: usize) -> bool {
    place < PLANNERS
}

/// What a target's report leads to before an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportAction {
    /// It is under an order, or holds the range already.
    Skip,
    /// It holds other layers than the plan was made from, which is made anew.
    Replan(LayerRange),
    /// The order is sent.
    Send,
}

/// Judges a report: what the target holds, against what is wanted and what it was taken to hold.
pub fn check_report(
    busy: bool,
    held: Option<LayerRange>,
    wanted: LayerRange,
    assumed: Option<LayerRange>,
) -> ReportAction {
    match held {
        _ if busy || held == Some(wanted) => ReportAction::Skip,
        Some(held) if assumed != Some(held) => ReportAction::Replan(held),
        _ => ReportAction::Send,
    }
}
