//! Limits that targets advertise: which advertisement applies, how data centres divide a limit, and
//! what is issued.

use proptest::prelude::*;
use roseshore_core::gateway::peers::{LimitReport, PermitGrant};
use roseshore_core::gateway::quota::limits::share::ShareInputs;
use roseshore_core::gateway::quota::limits::{
    Issuer, LimitChange, Permit, PermitShare, TargetLimits,
};
use roseshore_core::prelude::*;

const TARGET: u32 = 7;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Events at a host that knows nothing, and the limit that it keeps afterwards.
struct Case {
    name: &'static str,
    happens: fn(&mut TargetLimits, Instant),
    kept: Option<f64>,
}

fn report(limit: f32, ended: bool, age: u32, origin: (u32, u32)) -> LimitReport {
    LimitReport { target: TARGET, limit, ended, age, origin, wanted: 0 }
}

/// Each case takes at most five seconds; the limit is checked five seconds after its start.
#[test]
fn the_newest_advertisement_of_a_target_applies() {
    let case = |name, happens, kept| Case { name, happens, kept };
    let cases = [
        case("nothing", |_, _| (), None),
        case("advertised", |l, t| _ = l.advertised(TARGET, 6.0, t), Some(6.0)),
        case(
            "a limit of 0 still allows a trial now and then",
            |l, t| _ = l.advertised(TARGET, 0.0, t),
            Some(0.2),
        ),
        case(
            "advertised again, higher",
            |l, t| {
                l.advertised(TARGET, 6.0, t);
                l.advertised(TARGET, 8.0, t + ms(250));
            },
            Some(8.0),
        ),
        case(
            "none in the response to a request sent before",
            |l, t| {
                l.advertised(TARGET, 6.0, t + ms(100));
                assert_eq!(l.not_advertised(TARGET, t, t + ms(900)), None);
            },
            Some(6.0),
        ),
        case(
            "none in the response to a request sent after",
            |l, t| {
                l.advertised(TARGET, 6.0, t);
                let ended = LimitChange { before: Some(6.0), after: None };
                assert_eq!(l.not_advertised(TARGET, t + ms(1), t + ms(20)), Some(ended));
                // The rate increases in steps.
                assert_eq!(l.rate(TARGET, t + ms(501)), Some(12.0));
            },
            None,
        ),
        case(
            "advertised again after its end",
            |l, t| {
                l.advertised(TARGET, 6.0, t);
                l.not_advertised(TARGET, t + ms(1), t + ms(20));
                l.advertised(TARGET, 5.0, t + ms(30));
            },
            Some(5.0),
        ),
        case(
            "reported by another host",
            |l, t| _ = l.receive(&report(4.0, false, 100, (9, 1)), t),
            Some(4.0),
        ),
        case(
            "reported, older than what this host received",
            |l, t| {
                l.advertised(TARGET, 6.0, t);
                assert_eq!(l.receive(&report(4.0, false, 400, (9, 1)), t + ms(50)), None);
            },
            Some(6.0),
        ),
        case(
            "the lower of two simultaneous advertisements",
            |l, t| {
                l.advertised(TARGET, 6.0, t);
                l.receive(&report(4.0, false, 100, (9, 1)), t + ms(50));
                l.receive(&report(7.0, false, 0, (8, 1)), t + ms(60));
            },
            Some(4.0),
        ),
        case(
            "its end reported, older than what this host received",
            |l, t| {
                l.advertised(TARGET, 6.0, t);
                l.receive(&report(4.0, true, 100, (9, 1)), t + ms(50));
            },
            Some(6.0),
        ),
        case(
            "its own advertisement reported back is no younger",
            |l, t| {
                l.advertised(TARGET, 6.0, t);
                let own = l.reports(1, |_| Some(0), t + ms(10))[0];
                l.receive(&report(4.0, true, 0, (9, 1)), t + ms(15));
                l.receive(&LimitReport { age: 0, ..own }, t + ms(16));
                l.receive(&LimitReport { age: 10, ..own }, t + ms(17));
            },
            Some(6.0),
        ),
        case("invalid limit", |l, t| _ = l.receive(&report(f32::NAN, false, 0, (9, 1)), t), None),
        case("negative limit", |l, t| _ = l.receive(&report(-1.0, false, 0, (9, 1)), t), None),
    ];
    for case in cases {
        let start = Instant::now();
        let mut limits = TargetLimits::new(1);
        (case.happens)(&mut limits, start);
        assert_eq!(limits.rate(TARGET, start + ms(5_000)), case.kept, "{}", case.name);
    }
}

#[test]
fn two_hosts_that_exchange_all_reports_converge() {
    let start = Instant::now();
    let (mut a, mut b) = (TargetLimits::new(1), TargetLimits::new(2));
    a.advertised(TARGET, 6.0, start);
    b.advertised(TARGET, 5.0, start + ms(2));
    let mut changes = 0;
    for turn in 1..100 {
        let (sent, received) = (start + ms(turn * 100), start + ms(turn * 100 + 3));
        let (from_a, from_b) = (a.reports(9, |_| Some(0), sent), b.reports(9, |_| Some(0), sent));
        changes += from_a.iter().filter_map(|report| b.receive(report, received)).count();
        changes += from_b.iter().filter_map(|report| a.receive(report, received)).count();
    }
    let end = start + ms(10_000);
    assert_eq!(a.rate(TARGET, end), b.rate(TARGET, end));
    assert!(changes <= 2, "{changes} changes");
}

#[test]
fn a_limit_lasts_as_long_as_its_targets_incarnation() {
    let start = Instant::now();
    let later = start + Duration::from_mins(10);
    let mut limits = TargetLimits::new(1);
    limits.advertised(TARGET, 6.0, start);
    limits.expire(|_| true, later);
    assert_eq!(limits.rate(TARGET, later), Some(6.0));
    limits.expire(|_| false, later);
    assert_eq!(limits.rate(TARGET, later), None);
}

#[test]
fn a_limit_of_an_unlisted_target_applies_but_is_not_reported() {
    let start = Instant::now();
    let mut limits = TargetLimits::new(1);
    limits.receive(&report(6.0, false, 0, (2, 1)), start);
    assert_eq!(limits.permit(TARGET, start), Permit::Ask);
    assert_eq!(limits.reports(9, |_| None, start), []);
    assert_eq!(limits.reports(9, |_| Some(0), start).len(), 1, "once it is listed");
}

#[test]
fn a_permit_is_used_once_and_expires() {
    let start = Instant::now();
    let mut limits = TargetLimits::new(1);
    assert_eq!(limits.permit(TARGET, start), Permit::Unlimited);
    limits.advertised(TARGET, 6.0, start);
    assert_eq!(limits.permit(TARGET, start), Permit::Ask);
    let ask = limits.permit_request(TARGET, 3, start).expect("a limit is known");
    assert_eq!((ask.number, ask.limit.limit), (3, 6.0));
    let grant = PermitGrant { target: TARGET, number: 3, permits: 2, wait: 0 };
    limits.apply_grant(&grant, start);
    assert!(limits.consume(TARGET, start) && limits.consume(TARGET, start));
    assert!(!limits.consume(TARGET, start), "both are used");
    limits.apply_grant(&grant, start);
    assert!(!limits.consume(TARGET, start + ms(1_000)), "they have expired");
    limits.apply_grant(&PermitGrant { permits: 0, wait: 80, ..grant }, start + ms(1_000));
    assert_eq!(limits.permit(TARGET, start + ms(1_079)), Permit::None);
    assert_eq!(limits.without_permit(start + ms(1_079)).collect::<Vec<_>>(), [TARGET]);
    assert_eq!(limits.permit(TARGET, start + ms(1_080)), Permit::Ask);
    limits.request_failed(TARGET, start + ms(1_080));
    assert_eq!(limits.permit(TARGET, start + ms(1_081)), Permit::None);
}

proptest! {
    /// Data centres that know all permit requests together issue exactly the limit, and no larger
    /// burst than users tolerate beside it.
    #[test]
    fn data_centres_divide_a_limit(
        limit in 0.2_f64..100.0,
        asked in proptest::collection::vec(0_u16..500, 1..23),
    ) {
        let shares: Vec<PermitShare> = (0..asked.len()).map(|n| {
            let mut others = asked.clone();
            let own = others.remove(n);
            PermitShare::of(limit, &ShareInputs { own, others: &others, home: n == 0, heard: 1.0 })
        }).collect();
        let rate: f64 = shares.iter().map(|s| s.rate).sum();
        let burst: f64 = shares.iter().map(|s| s.burst).sum();
        prop_assert!((rate - limit).abs() < 1e-6 * limit, "{rate} of {limit}");
        prop_assert!(burst <= 2.0 * limit + 5.0 + 1e-9, "{burst} at once");
    }

    /// Whoever asks and when, no four seconds see more permits than the users' bound.
    #[test]
    fn an_issuer_keeps_to_the_bound(
        limit in 0.2_f64..60.0,
        pauses in proptest::collection::vec(0_u64..400, 1..400),
    ) {
        let start = Instant::now();
        let mut issuer = Issuer::default();
        let mut now = start;
        let mut issued: Vec<(Instant, u16)> = Vec::new();
        for pause in pauses {
            now += ms(pause);
            let share = |own| PermitShare::of(limit, &ShareInputs { own, others: &[], home: true, heard: 1.0 });
            let grant = issuer.issue(TARGET, 1, now, share);
            issued.push((now, grant.permits));
            prop_assert!(grant.permits == 0 || grant.wait == 0);
        }
        for (n, (first, _)) in issued.iter().enumerate() {
            let within = issued[n..].iter().take_while(|(at, _)| *at < *first + ms(4_000));
            let sum: u32 = within.map(|(_, permits)| u32::from(*permits)).sum();
            prop_assert!(f64::from(sum) <= 6.0 * limit + 5.0, "{sum} of {limit} a second");
        }
    }
}
