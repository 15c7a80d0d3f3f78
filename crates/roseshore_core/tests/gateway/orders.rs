//! Tests of which host gives orders, and when one is sent.

use roseshore_core::gateway::plan::LayerRange;
use roseshore_core::gateway::plan::orders::{
    OrderReason, ReportAction, check_report, may_order, may_plan,
};
use roseshore_core::prelude::*;

struct Turn {
    reason: OrderReason,
    rank: usize,
    waited_ms: u64,
    orders: bool,
}

#[test]
fn one_host_improves_the_placement_and_the_others_only_repair_late() {
    let cases = [
        Turn { reason: OrderReason::Repair, rank: 0, waited_ms: 0, orders: true },
        Turn { reason: OrderReason::Repair, rank: 1, waited_ms: 1_200, orders: false },
        Turn { reason: OrderReason::Repair, rank: 1, waited_ms: 1_500, orders: true },
        Turn { reason: OrderReason::Repair, rank: 2, waited_ms: 1_600, orders: false },
        Turn { reason: OrderReason::Repair, rank: 7, waited_ms: 10_400, orders: false },
        Turn { reason: OrderReason::Repair, rank: 7, waited_ms: 10_500, orders: true },
        Turn { reason: OrderReason::Repair, rank: 8, waited_ms: 60_000, orders: false },
        Turn { reason: OrderReason::Repair, rank: 90, waited_ms: 6_000, orders: false },
        Turn { reason: OrderReason::Improve, rank: 0, waited_ms: 0, orders: true },
        Turn { reason: OrderReason::Improve, rank: 1, waited_ms: 60_000, orders: false },
    ];
    for case in cases {
        let orders = may_order(case.reason, case.rank, Duration::from_millis(case.waited_ms));
        assert_eq!(orders, case.orders, "{:?} {}", case.reason, case.rank);
    }
}

/// Guards against all hosts acting while the first still gives orders: in a data centre of 100
/// hosts and 1,000 engines, all hosts asked all engines for reports during the 20 s for which the
/// first one gave orders. Only the first may act.
#[test]
fn hosts_wait_while_another_one_gives_orders() {
    const HOSTS: usize = 100;
    let period = Duration::from_millis(400);
    let mut acting = Vec::new();
    for rank in (0..HOSTS).filter(|rank| may_plan(*rank)) {
        // Each order of the first host that another one learns of restarts its wait.
        let since_heard = if rank == 0 { Duration::from_secs(20) } else { period };
        if may_order(OrderReason::Repair, rank, since_heard) {
            acting.push(rank);
        }
    }
    assert_eq!(acting, [0]);
}

struct Report {
    busy: bool,
    held: Option<LayerRange>,
    assumed: Option<LayerRange>,
    action: ReportAction,
}

#[test]
fn an_order_is_sent_to_a_target_that_holds_what_the_plan_assumed() {
    let wanted = (30, 60);
    let old = Some((32, 60));
    let cases = [
        Report { busy: false, held: old, assumed: old, action: ReportAction::Send },
        Report { busy: false, held: None, assumed: None, action: ReportAction::Send },
        Report { busy: false, held: None, assumed: old, action: ReportAction::Send },
        Report { busy: true, held: old, assumed: old, action: ReportAction::Skip },
        Report { busy: false, held: Some(wanted), assumed: old, action: ReportAction::Skip },
        Report {
            busy: false,
            held: Some((31, 60)),
            assumed: old,
            action: ReportAction::Replan((31, 60)),
        },
        Report { busy: false, held: old, assumed: None, action: ReportAction::Replan((32, 60)) },
    ];
    for case in cases {
        let action = check_report(case.busy, case.held, wanted, case.assumed);
        assert_eq!(action, case.action, "{:?} {:?}", case.held, case.assumed);
    }
}
