//! Which host orders the engines of a data centre to load layers, and when an order is sent.
//!
//! The first living host gives the orders. The next few plan the same repairs from the same list of
//! targets, and wait in case the hosts before them cannot act; an order of another host counts as
//! acting. If two hosts with different views both improved the placement they would undo each
//! other's orders, and a layer would be left without a holder although no engine was lost. If every
//! host acted after some wait, all of them would ask all engines for reports while the first host
//! still gives its orders.

use super::LayerRange;
use crate::prelude::*;

/// Delay between the hosts of a data centre that repair gaps one after another; longer than it
/// takes to notice that the host before is gone.
const REPAIR_STAGGER: Duration = Duration::from_millis(1500);
/// Hosts that plan repairs. The others would wait for 12 s or more, and are spared planning for
/// 1,000 engines at each change.
const PLANNERS: usize = 8;

/// What an order is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReason {
    /// Some layers have no holder, or an engine has no layers.
    Repair,
    /// A placement with a higher throughput; nothing is broken.
    Improve,
}

/// Whether a host may give orders that it has wanted for the time `waited`; `rank` is its position
/// among the living hosts of its data centre, 0 for the first.
pub fn may_order(reason: OrderReason, rank: usize, waited: Duration) -> bool {
    match reason {
        OrderReason::Improve => rank == 0,
        OrderReason::Repair => may_plan(rank) && waited >= REPAIR_STAGGER * rank as u32,
    }
}

/// Whether the host of a rank plans repairs.
pub fn may_plan(rank: usize) -> bool {
    rank < PLANNERS
}

/// What to do about an order after the report of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportAction {
    /// Send none: the target carries out another order, or already holds the range.
    Skip,
    /// Plan anew: the target holds these layers, not those that the plan was made from.
    Replan(LayerRange),
    /// Send the order.
    Send,
}

/// Compares the report of a target with the plan: `busy` if it carries out an order, `held` what it
/// holds, `wanted` what it is to hold, and `assumed` what the plan took it to hold.
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
