//! Heartbeats among hosts.

use proptest::prelude::*;
use roseshore_core::gateway::Fingerprint;
use roseshore_core::gateway::Position;
use roseshore_core::gateway::demand::{self, OrganisationDemand, Rank, RankDemand, ServiceDemand};
use roseshore_core::gateway::fatal::{
    CrashReport, FatalReport, REPORT_BYTES, Stage, SurvivalReport,
};
use roseshore_core::gateway::paces::PaceReport;
use roseshore_core::gateway::peers::{
    Heartbeat, HoldingReport, LimitReport, ListVersion, LocalState, Peers, Scope, ServiceCounts,
    TargetLoad, name_hash,
};
use roseshore_core::gateway::targets::LayersReport;
use roseshore_core::prelude::*;
use std::net::SocketAddr;

/// Time for which retries count.
const WINDOW: Duration = Duration::from_secs(11);

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

fn peers(n: u8, centre: &str, seeds: &[SocketAddr], now: Instant) -> Peers {
    Peers::new(addr(n), centre, u64::from(n), seeds, now)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn own() -> LocalState {
    LocalState { config: 1, ..LocalState::default() }
}

/// The heartbeat that a host sends to an address, if one is due.
fn sent(from: &mut Peers, to: u8, own: &LocalState, now: Instant) -> Option<Heartbeat> {
    from.due(own, now).into_iter().find(|(receiver, _)| *receiver == addr(to)).map(|(_, beat)| beat)
}

#[test]
fn hosts_discover_each_other_through_seeds() {
    let now = Instant::now();
    let mut hosts: Vec<Peers> = (1..=4).map(|n| peers(n, "north", &[addr(1)], now)).collect();
    for round in 0..40 {
        let at = now + ms(50 * round);
        for from in 0..4_u8 {
            let due = hosts[usize::from(from)].due(&own(), at);
            for (to, beat) in due {
                let receiver = (1..=4).find(|n| addr(*n) == to).expect("a known address");
                hosts[usize::from(receiver) - 1].receive(addr(from + 1), beat, at);
            }
        }
    }
    let end = now + ms(50 * 40);
    let ranks: Vec<usize> = hosts.iter().map(|h| h.rank_in_centre(end)).collect();
    assert_eq!(ranks, [0, 1, 2, 3]);
    assert!(hosts.iter().all(|h| h.hosts() == 4 && h.near_alive(end) == 3));
}

#[test]
fn a_silent_host_no_longer_counts() {
    let now = Instant::now();
    let (mut a, mut b) = (peers(1, "north", &[], now), peers(2, "north", &[addr(1)], now));
    let loads = vec![TargetLoad { target: name_hash("t"), own: 3, held: 7, down: true }];
    let beat = sent(&mut b, 1, &LocalState { loads, ..own() }, now).expect("a first contact");
    assert!(a.receive(addr(2), beat.clone(), now).expect("a new heartbeat").joined);
    let load = a.loads(now)[&name_hash("t")];
    assert_eq!((load.own, load.held, load.down), (3, 7, true));
    assert_eq!(a.receive(addr(2), beat, now), None, "a duplicate is ignored");
    let later = now + ms(5000);
    assert!(a.loads(later).is_empty());
    assert_eq!(a.near_alive(later), 0);
    assert_eq!(a.hosts(), 2, "its counts may still matter");
}

/// What a lender knows of another host of its data centre.
struct Delegation {
    name: &'static str,
    /// Whether the other host has heard the lender before its last heartbeat.
    heard: bool,
    /// Time since that heartbeat.
    silent: Duration,
    /// Whether the lender holds the other host's share.
    held: bool,
}

/// Guards against a share that a host holds itself, since it hears no lender, and a lender as well.
#[test]
fn a_lender_holds_the_shares_of_live_hosts_that_hear_it() {
    let cases = [
        Delegation { name: "both ways", heard: true, silent: ms(0), held: true },
        Delegation { name: "one way", heard: false, silent: ms(0), held: false },
        Delegation { name: "silent", heard: true, silent: ms(1300), held: false },
    ];
    let service = name_hash("models");
    for case in cases {
        let now = Instant::now();
        let (mut a, mut b) = (peers(1, "north", &[], now), peers(2, "north", &[addr(1)], now));
        let counts = vec![ServiceCounts { service, requests: 10 }];
        let other = LocalState { counts, ..own() };
        // A host counts the others only after it has had time to discover them.
        let met = now + ms(900);
        let beat = sent(&mut b, 1, &other, met).expect("a first contact");
        a.receive(addr(2), beat, met);
        let beat = sent(&mut a, 2, &own(), met).expect("an answer");
        if case.heard {
            b.receive(addr(1), beat, met);
        }
        let then = met + ms(1100);
        let beat = sent(&mut b, 1, &other, then).expect("another heartbeat");
        a.receive(addr(2), beat, then);
        let later = then + case.silent;
        a.update_lending(WINDOW, later);
        let pool = a.retry_pool(service, later).expect("the first host lends");
        let members = if case.held { vec![(later, 10)] } else { Vec::new() };
        assert_eq!((pool.own_since, pool.members), (later, members), "{}", case.name);
        assert_eq!(a.sharing_hosts(later), 2, "{}", case.name);
    }
}

/// Guards against a share that counts as held for long after others may have held it.
#[test]
fn a_share_is_held_since_it_was_last_taken_over() {
    let now = Instant::now();
    let mut a = peers(1, "north", &[], now);
    let held_since = |a: &Peers, now| a.retry_pool(name_hash("models"), now).map(|p| p.own_since);
    for step in [0, 900, 1800] {
        a.update_lending(WINDOW, now + ms(step));
    }
    assert_eq!(held_since(&a, now + ms(2700)), Some(now));
    assert_eq!(held_since(&a, now + ms(2900)), None, "not confirmed");
    a.update_lending(WINDOW, now + ms(2900));
    assert_eq!(held_since(&a, now + ms(2900)), Some(now + ms(2900)));
}

/// Guards against a fleet that is parted: each part would have the slack of all for itself.
#[test]
fn hosts_that_are_no_longer_known_keep_their_part_of_the_slack() {
    let now = Instant::now();
    let (mut a, mut b) = (peers(1, "north", &[], now), peers(2, "south", &[addr(1)], now));
    let mut beat = sent(&mut b, 1, &own(), now).expect("a first contact");
    (beat.scope, beat.known) = (Scope::Centre(5), 7);
    a.receive(addr(2), beat, now);
    a.update_lending(WINDOW, now);
    assert_eq!(a.sharing_hosts(now), 0, "it may not have heard of all");
    assert_eq!(
        a.sharing_hosts(now + ms(2000)),
        8,
        "with those that are out of touch with the other speaker"
    );
    let hour = now + Duration::from_hours(1);
    assert!(a.due(&own(), hour).is_empty());
    a.update_lending(WINDOW, hour);
    assert_eq!((a.known_hosts(hour), a.sharing_hosts(hour)), (1, 8));
    let next_day = now + Duration::from_hours(25);
    a.update_lending(WINDOW, next_day);
    assert_eq!(a.sharing_hosts(next_day), 1);
}

/// What is written to the store of the number of hosts.
struct RecordCase {
    name: &'static str,
    /// Hours since this host started, in the first of which it heard one other host.
    hours: u64,
    recorded: u16,
    written: Option<u16>,
    /// Hosts among which the slack is divided.
    sharing: usize,
}

/// Guards against a number that never falls, or falls while some hosts are only out of touch.
#[test]
fn the_number_of_hosts_in_the_store_follows_what_is_heard() {
    let case = |name, hours, recorded, written, sharing| RecordCase {
        name,
        hours,
        recorded,
        written,
        sharing,
    };
    let cases = [
        case("no number yet", 1, 0, Some(2), 2),
        case("more hosts than known", 1, 1, Some(2), 2),
        case("the same", 1, 2, None, 2),
        case("started behind a cut", 1, 6, None, 6),
        case("none has heard so many for a day", 30, 6, Some(1), 6),
    ];
    for case in cases {
        let now = Instant::now();
        let (mut a, mut b) = (peers(1, "north", &[], now), peers(2, "south", &[addr(1)], now));
        a.receive(addr(2), sent(&mut b, 1, &own(), now).expect("a first contact"), now);
        a.update_lending(WINDOW, now);
        assert_eq!(a.hosts_to_record(now), None, "{}: it may not have heard of all", case.name);
        let later = now + Duration::from_hours(case.hours);
        a.set_recorded_hosts(case.recorded);
        assert!(a.due(&own(), later).is_empty(), "{}", case.name);
        a.update_lending(WINDOW, later);
        assert_eq!(a.hosts_to_record(later), case.written, "{}", case.name);
        assert_eq!(a.sharing_hosts(later), case.sharing, "{}", case.name);
    }
}

/// Guards against a data centre whose other hosts do not learn what its first one has read.
#[test]
fn heartbeats_pass_on_the_number_of_hosts_in_the_store() {
    let now = Instant::now();
    let mut first = peers(1, "north", &[addr(2)], now);
    let mut second = peers(2, "north", &[addr(1)], now);
    first.set_recorded_hosts(6);
    let beat = sent(&mut first, 2, &own(), now).expect("a first contact");
    second.receive(addr(1), beat, now);
    second.update_lending(WINDOW, now);
    assert_eq!(second.sharing_hosts(now + ms(2000)), 6);
}

#[test]
fn a_leaving_host_loses_its_rank() {
    let now = Instant::now();
    let mut b = peers(2, "north", &[addr(1)], now);
    let mut a = peers(1, "north", &[addr(2)], now);
    let beat = sent(&mut a, 2, &own(), now).expect("a first contact");
    b.receive(addr(1), beat, now);
    assert_eq!(b.rank_in_centre(now), 1);
    let leaving = LocalState { leaving: true, ..own() };
    let beat = sent(&mut a, 2, &leaving, now + ms(1100)).expect("a first contact");
    b.receive(addr(1), beat, now + ms(1100));
    assert_eq!(b.rank_in_centre(now + ms(1100)), 0);
}

#[test]
fn one_host_reads_and_the_first_of_each_data_centre_ranks_next() {
    let now = Instant::now();
    let seeds: Vec<SocketAddr> = (1..=4).map(addr).collect();
    let centres = ["north", "north", "south", "south"];
    let numbered = (1_u8..).zip(centres);
    let mut hosts: Vec<Peers> = numbered.map(|(n, dc)| peers(n, dc, &seeds, now)).collect();
    for from in 0..4_u8 {
        for (to, beat) in hosts[usize::from(from)].due(&own(), now) {
            let receiver = (0..4).find(|n| addr(n + 1) == to).expect("a known address");
            hosts[usize::from(receiver)].receive(addr(from + 1), beat, now);
        }
    }
    let ranks: Vec<usize> = hosts.iter().map(|h| h.read_rank(now)).collect();
    assert_eq!(ranks, [0, 1, 1, 2]);
    let later = now + ms(5000);
    assert!(hosts.iter().all(|h| h.read_rank(later) == 0), "an isolated host reads itself");
}

#[test]
fn a_proof_is_converted_to_the_receivers_clock() {
    let now = Instant::now();
    let (mut a, mut b) = (peers(1, "north", &[addr(2)], now), peers(2, "north", &[addr(1)], now));
    let beat = sent(&mut a, 2, &own(), now).expect("a first contact");
    b.receive(addr(1), beat, now + ms(3));
    // Proofs 40 ms before and 20 ms after the heartbeat was received; their delivery takes a
    // second.
    let reported = LocalState {
        config_proven: Some(now + ms(23)),
        list_proven: now.checked_sub(ms(37)),
        ..own()
    };
    let beat = sent(&mut b, 1, &reported, now + ms(60)).expect("a first contact");
    let heard = a.receive(addr(2), beat, now + ms(1060)).expect("a new heartbeat");
    let (config, list) =
        (heard.config_proven.expect("a proof"), heard.list_proven.expect("a proof"));
    assert!(config <= now + ms(23) && config >= now + ms(19), "no later than it was made");
    assert!(list < now && list + ms(45) >= now, "no later than it was made");
    assert!(heard.near);
}

#[test]
fn a_proof_relative_to_a_former_process_of_the_receiver_is_ignored() {
    let now = Instant::now();
    let (mut a, mut b) = (peers(1, "north", &[addr(2)], now), peers(2, "north", &[addr(1)], now));
    let uptime = ms(6000);
    let beat = sent(&mut a, 2, &own(), now + uptime).expect("a first contact");
    b.receive(addr(1), beat, now + uptime);
    let proven = now + ms(4000);
    let reported = LocalState { config_proven: Some(proven), ..own() };
    let restarted = now + ms(8000);
    let mut a = Peers::new(addr(1), "north", 11, &[addr(2)], restarted);
    let beat = sent(&mut b, 1, &reported, restarted + ms(500)).expect("a regular heartbeat");
    let heard = a.receive(addr(2), beat, restarted + ms(500)).expect("a new heartbeat");
    let claimed = heard.config_proven.map(|claimed| claimed.saturating_duration_since(proven));
    assert!(claimed.is_none_or(|newer| newer.is_zero()), "taken for {claimed:?} newer than it is");
}

#[test]
fn a_failed_check_in_another_data_centre_does_not_count() {
    let now = Instant::now();
    let (mut a, mut b) = (peers(1, "north", &[], now), peers(2, "south", &[addr(1)], now));
    let loads = vec![TargetLoad { target: name_hash("t"), own: 1, held: 0, down: true }];
    let beat = sent(&mut b, 1, &LocalState { loads, ..own() }, now).expect("a first contact");
    assert!(!a.receive(addr(2), beat, now).expect("a new heartbeat").near);
    assert!(!a.loads(now)[&name_hash("t")].down, "the host may only be cut off from the target");
}

/// The longest report of a request under which targets crash.
fn largest_report(digest: u64, crashes: usize) -> FatalReport {
    let fingerprint = Fingerprint { organisation: u32::MAX, digest };
    let crash = |n| CrashReport {
        target: u32::MAX - n,
        stage: Stage::COMPLETE,
        silent: true,
        age: 600_000,
    };
    let survived = vec![SurvivalReport { stage: Stage::COMPLETE, age: 600_000 }; 3];
    FatalReport { fingerprint, ends: (0..crashes as u32).map(crash).collect(), survived }
}

/// Loads that a host has, as far as they fit into its heartbeats.
struct Truncated {
    name: &'static str,
    /// Number of targets, and of those in its data centre.
    targets: u32,
    home: u32,
    /// Heartbeats until the receiver knows all of them.
    beats: usize,
}

/// Guards against targets that are left out of all heartbeats and so count as free, until all hosts
/// overload them. A listener hears a speaker every 200 to 400 ms, and a load that is a second old is
/// of no use.
#[test]
fn loads_that_do_not_fit_a_heartbeat_take_turns() {
    let cases = [
        Truncated { name: "few", targets: 60, home: 20, beats: 1 },
        Truncated { name: "many", targets: 100, home: 34, beats: 3 },
        Truncated { name: "many in the data centre", targets: 110, home: 90, beats: 3 },
    ];
    for case in cases {
        let now = Instant::now();
        let (mut a, mut b) = (peers(1, "north", &[], now), peers(2, "north", &[addr(1)], now));
        // Those of the data centre have the smallest loads.
        let load = |n: u32| TargetLoad { target: n, own: 1, held: 100 + n, down: false };
        let loads: Vec<TargetLoad> = (0..case.targets).map(load).collect();
        let own = LocalState { loads, home: (0..case.home).collect(), ..own() };
        for beat in 0..case.beats {
            let at = now + ms(1100 * beat as u64);
            let beat = sent(&mut b, 1, &own, at).expect("a heartbeat");
            let first = beat.loads.iter().filter(|load| load.target < case.home).count();
            assert!(first >= 42.min(case.home as usize), "{}: {first}", case.name);
            // They arrive 200 ms apart.
            a.receive(addr(2), beat, now + ms(200 * (at - now).as_millis() as u64 / 1100));
        }
        let known = a.loads(now + ms(200 * case.beats as u64));
        assert_eq!(known.len(), case.targets as usize, "{}", case.name);
        assert!(known.values().all(|load| load.own == 1), "{}", case.name);
    }
}

/// Demand of a service with more ranks and organisations than a report holds.
fn largest_demand(service: u32) -> ServiceDemand {
    let rank = |n| Rank::new(Some(n), n);
    let ranks = (0..9).map(|n| RankDemand { rank: rank(n), offered: 9.0, waiting: 999 });
    let organisations =
        (0..30).map(|n| OrganisationDemand { organisation: n, rank: rank(n), offered: 1.0 });
    let (ranks, organisations) = (ranks.collect(), organisations.collect());
    ServiceDemand { service: u32::MAX - service, ended: 9.0, ranks, organisations }
}

#[test]
fn a_heartbeat_fits_a_datagram() {
    let now = Instant::now();
    let mut a = peers(1, "a-data-centre-with-a-long-name", &[], now);
    for n in 2..200 {
        let mut other = peers(n, "north", &[addr(1)], now);
        let beat = sent(&mut other, 1, &own(), now).expect("a first contact");
        a.receive(addr(n), beat, now);
    }
    let load = |n: u32| TargetLoad {
        target: u32::MAX - n,
        own: 200,
        held: 50_000,
        down: n.is_multiple_of(2),
    };
    let loads = (0..500).map(load).collect();
    let list = ListVersion { next: Position { era: u64::MAX, next: u64::MAX }, digest: u64::MAX };
    // As many as the placement code reports.
    let holdings = (0..16)
        .map(|n| HoldingReport {
            target: n,
            word: LayersReport { number: 300, layers: (300, 400), listed: (300, 400) },
            done: true,
        })
        .collect();
    let paces =
        (0..12).map(|n| PaceReport { target: u32::MAX - n, pace: 6400, age: 2999 }).collect();
    let most = REPORT_BYTES / largest_report(0, 1).max_bytes();
    let fatal = (0..most).map(|n| largest_report(u64::MAX - n as u64, 1)).collect();
    let limit = |n| LimitReport {
        target: u32::MAX - n,
        limit: 1e5,
        ended: false,
        age: u32::MAX,
        origin: (u32::MAX, u32::MAX),
        wanted: u16::MAX,
    };
    let limits = (0..12).map(limit).collect();
    let demand = (0..9).map(largest_demand).collect();
    let own = LocalState {
        loads,
        list,
        holdings,
        paces,
        fatal,
        limits,
        demand,
        config_proven: Some(now),
        ..own()
    };
    let beat = sent(&mut a, 2, &own, now + ms(5000)).expect("a heartbeat");
    let size = beat.loads.len() * 12
        + beat.fatal.iter().map(FatalReport::max_bytes).sum::<usize>()
        + beat.limits.len() * 28
        + beat.holds.len() * 17
        + beat.named.len() * 8
        + beat.paces.len() * 9
        + demand::report_bytes(&beat.demand)
        + 140;
    assert!(!beat.demand.is_empty());
    assert!(size <= 1400, "{size}");
}

proptest! {
    /// However late heartbeats arrive, a proof is never taken for newer than it is.
    #[test]
    fn a_proof_is_never_younger_than_it_was(
        steps in proptest::collection::vec((1_u64..400, 0_u64..6000, any::<bool>()), 1..40),
    ) {
        let start = Instant::now();
        let mut a = peers(1, "north", &[addr(2)], start);
        let mut b = peers(2, "north", &[addr(1)], start + ms(37));
        let mut now = start + ms(40);
        let mut config_proven = None;
        let mut in_transit: Vec<(Instant, bool, Heartbeat, Option<Instant>)> = Vec::new();
        for (pause, delay, proves) in steps {
            now += ms(pause);
            if proves {
                config_proven = Some(now);
            }
            let reported = LocalState { config_proven, ..own() };
            if let Some(beat) = sent(&mut b, 1, &reported, now) {
                in_transit.push((now + ms(delay), true, beat, config_proven));
            }
            if let Some(beat) = sent(&mut a, 2, &own(), now) {
                in_transit.push((now + ms(delay / 3), false, beat, None));
            }
            let (here, still): (Vec<_>, Vec<_>) = in_transit.into_iter().partition(|f| f.0 <= now);
            in_transit = still;
            for (_, to_a, beat, proven) in here {
                let heard = if to_a { a.receive(addr(2), beat, now) } else { b.receive(addr(1), beat, now) };
                if let (true, Some(claimed)) = (to_a, heard.and_then(|h| h.config_proven)) {
                    let proven = proven.expect("a claimed time implies a proof");
                    prop_assert!(claimed <= proven, "claimed {:?} after the proof", claimed - proven);
                }
            }
        }
    }
}

/// Which of three hosts of a data centre the store answers, their read ranks, and which of them know
/// another one that can confirm its configuration.
struct ReaderCase {
    name: &'static str,
    reading: [bool; 3],
    ranks: [usize; 3],
    others: [bool; 3],
}

#[test]
fn hosts_that_the_store_does_not_answer_rank_last_as_readers() {
    let cases = [
        ReaderCase {
            name: "none",
            reading: [true, true, true],
            ranks: [0, 1, 2],
            others: [true, true, true],
        },
        ReaderCase {
            name: "the first",
            reading: [false, true, true],
            ranks: [2, 0, 1],
            others: [true, true, true],
        },
        ReaderCase {
            name: "two",
            reading: [false, false, true],
            ranks: [1, 2, 0],
            others: [true, true, false],
        },
        ReaderCase {
            name: "all",
            reading: [false, false, false],
            ranks: [0, 1, 2],
            others: [false, false, false],
        },
    ];
    for case in cases {
        let now = Instant::now();
        let seeds: Vec<SocketAddr> = (1..=3).map(addr).collect();
        let mut hosts: Vec<Peers> = (1..=3).map(|n| peers(n, "north", &seeds, now)).collect();
        for from in 0..3_u8 {
            let own = LocalState { reading: case.reading[usize::from(from)], ..own() };
            for (to, beat) in hosts[usize::from(from)].due(&own, now) {
                let receiver = (0..3).find(|n| addr(n + 1) == to).expect("a known address");
                hosts[usize::from(receiver)].receive(addr(from + 1), beat, now);
            }
        }
        let ranks: Vec<usize> = hosts.iter().map(|h| h.read_rank(now)).collect();
        assert_eq!(ranks, case.ranks, "{}", case.name);
        let others: Vec<bool> = hosts.iter().map(|h| h.others_confirm(now)).collect();
        assert_eq!(others, case.others, "{}: others that can confirm", case.name);
        let cut_off = hosts[0].others_confirm(now + ms(10_000));
        assert!(cut_off, "{}: a host that hears nobody may be the only one cut off", case.name);
    }
}

#[test]
fn hosts_with_the_largest_cpu_share_rank_first() {
    let now = Instant::now();
    let mut small = peers(1, "north", &[addr(2)], now).with_capacity(120);
    let mut large = peers(2, "north", &[addr(1)], now).with_capacity(500);
    let beat = sent(&mut small, 2, &own(), now).expect("a first contact");
    large.receive(addr(1), beat, now);
    let beat = sent(&mut large, 1, &own(), now).expect("a first contact");
    small.receive(addr(2), beat, now);
    assert_eq!((large.rank_in_centre(now), small.rank_in_centre(now)), (0, 1));
    assert_eq!((large.read_rank(now), small.read_rank(now)), (0, 1));
}
