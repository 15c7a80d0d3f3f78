//! Who gives orders, and when one is sent.

use roseshore_core::gateway::plan::LayerRange;
use roseshore_core::gateway::plan::orders::{
    OrderReason, ReportAction, check_report, may_order, may_plan,
};
use roseshore_core::prelude::*;

struct Turn {
    need: OrderReason,
    place: usize,
    waited_ms: u64,
    orders: bool,
}

#[test]
fn one_host_takes_steps_and_the_others_only_repair_late() {
    let cases = [
        Turn { need: OrderReason::Repair, place: 0, waited_ms: 0, orders: true },
        Turn { need: OrderReason::Repair, place: 1, waited_ms: 1_200, orders: false },
        Turn { need: OrderReason::Repair, place: 1, waited_ms: 1_500, orders: true },
        Turn { need: OrderReason::Repair, place: 2, waited_ms: 1_600, orders: false },
        Turn { need: OrderReason::Repair, place: 7, waited_ms: 10_400, orders: false },
        Turn { need: OrderReason::Repair, place: 7, waited_ms: 10_500, orders: true },
        Turn { need: OrderReason::Repair, place: 8, waited_ms: 60_000, orders: false },
        Turn { need: OrderReason::Repair, place: 90, waited_ms: 6_000, orders: false },
        Turn { need: OrderReason::Improve, place: 0, waited_ms: 0, orders: true },
        Turn { need: OrderReason::Improve, place: 1, waited_ms: 60_000, orders: false },
    ];
    for case in cases {
        let orders = may_order(case.need, case.place, Duration::from_millis(case.waited_ms));
        assert_eq!(orders, case.orders, "{:?} {}", case.need, case.place);
    }
}

/// With 100 hosts and 1,000 engines in a data centre: how many hosts ask engines for reports in the 20 s
/// for which the first one gives orders. All of them did before, each of all engines; now one.
#[test]
fn hosts_wait_while_another_one_orders() {
    const HOSTS: usize = 100;
    let period = Duration::from_millis(400);
    let mut acting = Vec::new();
    for place in (0..HOSTS).filter(|place| may_plan(*place)) {
        // Each order of the first that is heard of begins the wait anew.
        let since_heard = if place == 0 { Duration::from_secs(20) } else { period };
        if may_order(OrderReason::Repair, place, since_heard) {
            acting.push(place);
        }
    }
    assert_eq!(acting, [0]);
}

struct Report {
    busy: bool,
    held: Option<LayerRange>,
    assumed: Option<LayerRange>,
    leads: ReportAction,
}

#[test]
fn an_order_is_sent_to_a_target_that_holds_what_the_plan_took_it_to_hold() {
    let wanted = (30, 60);
    let old = Some((32, 60));
    let cases = [
        Report { busy: false, held: old, assumed: old, leads: ReportAction::Send },
        Report { busy: false, held: None, assumed: None, leads: ReportAction::Send },
        Report { busy: false, held: None, assumed: old, leads: ReportAction::Send },
        Report { busy: true, held: old, assumed: old, leads: ReportAction::Skip },
        Report { busy: false, held: Some(wanted), assumed: old, leads: ReportAction::Skip },
        Report {
            busy: false,
            held: Some((31, 60)),
            assumed: old,
            leads: ReportAction::Replan((31, 60)),
        },
        Report { busy: false, held: old, assumed: None, leads: ReportAction::Replan((32, 60)) },
    ];
    for case in cases {
        let leads = check_report(case.busy, case.held, wanted, case.assumed);
        assert_eq!(leads, case.leads, "{:?} {:?}", case.held, case.assumed);
    }
}
