//! Plays checks of targets that are lost for a whole data centre: how many of them the targets have
//! to take, and how soon it is known that the targets are back.

use roseshore_core::gateway::liveness::{CHECK_TIMEOUT, CheckDuty, Doubt};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Interval between the times at which a host looks for checks that are due.
const TICK: Duration = Duration::from_millis(100);
/// Time for which the targets are lost.
const LOST: Duration = Duration::from_secs(12);
/// Time from a speaker's heartbeat until all hosts of the data centre have got one.
const SPREAD: Duration = Duration::from_millis(400);

struct Case {
    name: &'static str,
    hosts: usize,
    speakers: usize,
    targets: u32,
    /// Whether all hosts have a use for the targets.
    used: bool,
    /// Most checks of a target in a second, on average while it is lost.
    most: f64,
    /// Most connections to a target, once it is back.
    most_back: f64,
    /// Longest time until all hosts that use it know that it is back.
    back: Duration,
}

/// One host's state of a target.
#[derive(Clone, Copy, Default)]
struct State {
    last: Option<Instant>,
    failing: bool,
}

/// What the targets had to take.
#[derive(Default)]
struct Load {
    lost: usize,
    back: usize,
    known_after: Duration,
}

impl Case {
    fn play(&self) -> Load {
        let start = Instant::now();
        let count = self.hosts * self.targets as usize;
        let (mut states, mut load) = (vec![State::default(); count], Load::default());
        // When the first speaker has found each target back.
        let mut refuted: Vec<Option<Instant>> = vec![None; self.targets as usize];
        let ticks = (LOST + Duration::from_secs(10)).div_duration_f64(TICK) as u32;
        for now in (0..ticks).map(|n| start + TICK * n) {
            let is_back = now >= start + LOST;
            for (n, state) in states.iter_mut().enumerate() {
                let (host, target) = (n % self.hosts, n / self.hosts);
                let addr =
                    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + host as u32)), 1);
                let speaks = host < self.speakers;
                let duty = CheckDuty { speaks, hosts: self.hosts, addr };
                let ended = refuted[target].is_some_and(|at| speaks || now >= at + SPREAD);
                let doubt = Doubt {
                    target: target as u32,
                    reported: (!ended).then_some(start),
                    failing: state.failing,
                    relayed: false,
                    used: self.used,
                    alive: None,
                };
                if !duty.is_due(&doubt, state.last, now) {
                    continue;
                }
                state.last = Some(now);
                if is_back {
                    load.back += 1;
                    state.failing = false;
                    load.known_after = load.known_after.max(now - (start + LOST));
                    if speaks {
                        refuted[target].get_or_insert(now);
                    }
                    continue;
                }
                load.lost += 1;
                if !state.failing {
                    // An unanswered check is repeated before the target counts as failing.
                    load.lost += 1;
                    state.last = Some(now + CHECK_TIMEOUT);
                    state.failing = true;
                }
            }
        }
        assert!(states.iter().all(|state| !state.failing), "{}: back for all", self.name);
        load
    }
}

/// Guards against checks that grow with hosts times targets.
#[test]
fn checks_of_lost_targets_are_bounded() {
    let case = Case {
        name: "targets that nobody uses",
        hosts: 390,
        speakers: 3,
        targets: 30,
        used: false,
        // Two of each speaker, and four turns of others, each repeated.
        most: 16.0,
        most_back: 60.0,
        back: Duration::from_secs(2),
    };
    let cases = [
        Case { name: "a small data centre", hosts: 8, speakers: 8, most: 20.0, ..case },
        Case { name: "targets that all use", used: true, most: 300.0, most_back: 500.0, ..case },
        Case { name: "a large data centre", hosts: 1_200, ..case },
        case,
    ];
    for case in cases {
        let load = case.play();
        let targets = f64::from(case.targets);
        let lost = load.lost as f64 / targets / LOST.as_secs_f64();
        let back = load.back as f64 / targets;
        let known = load.known_after;
        println!("{}: {lost:.1} a second and target, {back:.1} when back, {known:?}", case.name);
        assert!(lost <= case.most, "{}: {lost} checks of a target a second", case.name);
        assert!(back <= case.most_back, "{}: {back} checks once it is back", case.name);
        assert!(known <= case.back, "{}: back after {known:?}", case.name);
    }
}
