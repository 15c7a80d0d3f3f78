//! Demand that hosts count and tell each other.

use roseshore_core::gateway::demand::{
    DemandMeter, OrganisationDemand, Rank, RankDemand, ServiceDemand,
};
use roseshore_core::gateway::peers::{Heartbeat, LocalState, Peers, Scope};
use roseshore_core::prelude::*;
use std::net::SocketAddr;

const SERVICE: u32 = 7;

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Demand with this much offered at the first rank.
fn demand(offered: f32) -> ServiceDemand {
    let rank = Rank::new(None, 0);
    ServiceDemand {
        service: SERVICE,
        ended: offered / 2.0,
        ranks: vec![RankDemand { rank, offered, waiting: 2 }],
        organisations: vec![OrganisationDemand { organisation: 1, rank, offered }],
    }
}

/// A heartbeat of another host with this demand.
fn beat(n: u8, centre: &str, reported: Vec<ServiceDemand>, now: Instant) -> Heartbeat {
    let mut other = Peers::new(addr(n), centre, u64::from(n), &[addr(1)], now);
    let own = LocalState { demand: reported, ..LocalState::default() };
    other.due(&own, now).pop().expect("a first contact").1
}

/// What this host hears of the others.
struct Heard {
    name: &'static str,
    /// Demand of each other host that it hears directly.
    direct: &'static [f32],
    /// Hosts and offered work in the sum of a speaker.
    speaker: Option<(u16, f32)>,
    /// Time since then.
    silent: Duration,
    /// Expected hosts, offered work, and part of this host, which offers 10.
    hosts: usize,
    offered: f64,
    own_part: f64,
}

const ALONE: Heard = Heard {
    name: "alone",
    direct: &[],
    speaker: None,
    silent: Duration::ZERO,
    hosts: 1,
    offered: 10.0,
    own_part: 1.0,
};

/// What a host may hear of the others.
const HEARD: [Heard; 9] = [
    ALONE,
    Heard { direct: &[10.0, 20.0], hosts: 3, offered: 40.0, own_part: 0.25, name: "near", ..ALONE },
    Heard { direct: &[10.0, 20.0], silent: Duration::from_millis(1300), name: "silent", ..ALONE },
    Heard {
        speaker: Some((4, 90.0)),
        hosts: 5,
        offered: 100.0,
        own_part: 0.1,
        name: "a speaker",
        ..ALONE
    },
    Heard {
        direct: &[5.0, 5.0],
        speaker: Some((1, 90.0)),
        hosts: 3,
        offered: 20.0,
        own_part: 0.5,
        name: "a speaker that hears fewer",
        ..ALONE
    },
    Heard {
        direct: &[f32::NAN, 30.0],
        hosts: 3,
        offered: 40.0,
        own_part: 0.25,
        name: "NaN",
        ..ALONE
    },
    Heard { direct: &[-5.0], hosts: 2, name: "negative", ..ALONE },
    Heard { direct: &[1e30], hosts: 2, name: "absurd", ..ALONE },
    Heard { direct: &[f32::INFINITY], hosts: 2, name: "infinite", ..ALONE },
];

#[test]
fn the_demand_of_a_data_centre_is_the_sum_of_its_hosts() {
    for case in HEARD {
        let now = Instant::now();
        let mut host = Peers::new(addr(1), "north", 1, &[], now);
        for (n, offered) in (2..).zip(case.direct) {
            host.receive(addr(n), beat(n, "north", vec![demand(*offered)], now), now);
        }
        if let Some((hosts, offered)) = case.speaker {
            let mut sum = beat(9, "north", vec![demand(offered)], now);
            (sum.scope, sum.demand_hosts) = (Scope::Others(hosts), hosts);
            host.receive(addr(9), sum, now);
        }
        host.receive(addr(8), beat(8, "south", vec![demand(50.0)], now), now);
        let centre = host.demand(SERVICE, &demand(10.0), now + case.silent);
        assert_eq!(centre.hosts, case.hosts, "{}", case.name);
        assert!((centre.total.offered() - case.offered).abs() < 1e-6, "{}", case.name);
        assert!((centre.own_part - case.own_part).abs() < 1e-6, "{}", case.name);
    }
}

/// Guards against a host that is counted twice in the sum that it gets.
#[test]
fn a_speaker_leaves_out_the_receivers_own_part() {
    let now = Instant::now();
    let mut speaker = Peers::new(addr(1), "north", 1, &[], now).with_capacity(9);
    for n in 2..=40 {
        speaker.receive(addr(n), beat(n, "north", vec![demand(2.0)], now), now);
    }
    let own = LocalState { demand: vec![demand(3.0)], ..LocalState::default() };
    let due = speaker.due(&own, now + ms(500));
    let mut checked = 0;
    for (to, beat) in due.iter().filter(|(_, beat)| beat.scope != Scope::Own) {
        assert_eq!(beat.demand_hosts, 39, "{to}");
        assert!((beat.demand[0].offered() - 79.0).abs() < 1e-3, "{to}");
        checked += 1;
    }
    assert!(checked > 30, "{checked}");
}

#[test]
fn a_meter_follows_the_work_of_the_last_second() {
    let start = Instant::now();
    let mut meter = DemandMeter::default();
    let (low, high) = (Rank::new(None, 1), Rank::new(Some(0), 0));
    for step in 0..500 {
        let now = start + ms(10 * step);
        let rank = if step % 4 == 0 { high } else { low };
        meter.record_offered(SERVICE, step as u32 % 20, rank, 0.5, now);
        meter.record_offered(SERVICE, 1, low, f64::NAN, now);
        meter.record_ended(SERVICE, 0.25, now);
    }
    let end = start + ms(5000);
    meter.set_waiting(SERVICE, [(low, 3)]);
    let report = meter.report(SERVICE, end);
    assert!((report.offered() - 50.0).abs() < 2.0, "{report:?}");
    assert!((report.ended - 25.0).abs() < 1.0, "{report:?}");
    let ranks: Vec<_> = report.ranks.iter().map(|r| (r.rank, r.waiting)).collect();
    assert_eq!(ranks, [(high, 0), (low, 3)]);
    assert_eq!(report.organisations.len(), 8);
    meter.set_waiting(SERVICE, []);
    assert!(meter.reports(end + ms(9000)).is_empty(), "nothing is told of an idle service");
}
