//! Tests of membership: tables of events, and a simulation with any order of heartbeats, losses,
//! restarts, pauses and partitions.

use proptest::prelude::*;
use roseshore_core::membership::{
    DigestSchedule, Heartbeat, Ignored, ListedHost, MemberDigest, MemberState, Membership,
    Settings, ranked,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n))
}

fn name(n: u16) -> String {
    format!("h{n}")
}

fn beat(n: u16, incarnation: u64, sequence: u64, leaving: bool) -> Heartbeat {
    let data_centre = if n < 50 { "near" } else { "far" }.into();
    Heartbeat { host: name(n), data_centre, incarnation, sequence, leaving, offset: 0, digest: 0 }
}

fn listed(n: u16, leaving: bool) -> ListedHost {
    let data_centre = beat(n, 1, 1, false).data_centre;
    ListedHost { host: name(n), data_centre, peer: Some(addr(n)), leaving }
}

fn view(n: u16, now: Instant) -> Membership {
    Membership::new(beat(n, 1, 0, false), addr(n), vec![addr(9)], Settings::default(), now)
}

/// Event or expectation of a case; times are in milliseconds since the previous step.
#[derive(Clone, Copy)]
enum Step {
    /// Heartbeat of host 1: incarnation, sequence, leaving.
    Beat(u64, u64, bool),
    /// Heartbeat that names host `.0`, sent from the address of host `.1`, and its result.
    From(u16, u16, Result<(), Ignored>),
    /// Digest entry for host 50 of another data centre: sequence and age.
    Digest(u64, u32),
    /// Host list: version, and hosts with whether each is leaving.
    List(u64, &'static [(u16, bool)]),
    /// Time passes, with a tick every 100 ms.
    Advance(u64),
    /// Time passes without ticks.
    Pause(u64),
    /// Expects the state of a host.
    State(u16, MemberState),
    /// Expects that a host is gone.
    Gone(u16),
    /// Expects whether a host is leaving.
    Leaving(u16, bool),
    /// Expects whether the view is stale.
    Stale(bool),
}
use MemberState::{Alive, Leaving as LeavingState, Suspect};
use Step::*;

struct Case {
    name: &'static str,
    steps: &'static [Step],
}

const CASES: &[Case] = &[
    Case {
        name: "silence: alive, suspect, gone",
        steps: &[
            List(1, &[(1, false)]),
            State(1, Suspect),
            Beat(1, 1, false),
            State(1, Alive),
            Advance(500),
            State(1, Alive),
            Advance(200),
            State(1, Suspect),
            Advance(15_000),
            State(1, Suspect),
            List(2, &[]),
            Gone(1),
        ],
    },
    Case {
        name: "listed but silent past the longer bound is gone",
        steps: &[List(1, &[(1, false)]), Beat(1, 1, false), Advance(61_000), Gone(1)],
    },
    Case {
        name: "not listed but sending heartbeats stays",
        steps: &[
            List(1, &[(1, false)]),
            Beat(1, 1, false),
            Advance(100),
            List(2, &[]),
            Beat(1, 2, false),
            State(1, Alive),
        ],
    },
    Case {
        name: "leaving by its heartbeat",
        steps: &[
            List(1, &[(1, false)]),
            Beat(1, 1, true),
            State(1, LeavingState),
            Leaving(1, true),
            Beat(2, 1, false),
            State(1, Alive),
            Leaving(1, false),
        ],
    },
    Case {
        name: "leaving by the list",
        steps: &[
            List(1, &[(1, false)]),
            Beat(1, 1, false),
            List(2, &[(1, true)]),
            State(1, LeavingState),
            Beat(2, 1, false),
            Leaving(1, true),
        ],
    },
    Case {
        name: "a target's host dropped from the list while leaving stays leaving",
        steps: &[
            List(1, &[(7, true)]),
            List(2, &[]),
            Leaving(7, true),
            Advance(60_000),
            Leaving(7, true),
            List(3, &[(7, false)]),
            Leaving(7, false),
        ],
    },
    Case {
        name: "an older list changes nothing",
        steps: &[List(5, &[(7, true)]), List(4, &[(7, false)]), Leaving(7, true)],
    },
    Case {
        name: "an older incarnation changes nothing",
        steps: &[List(1, &[(1, false)]), Beat(3, 1, false), Beat(2, 9, true), State(1, Alive)],
    },
    Case {
        name: "a duplicate heartbeat does not reset the silence",
        steps: &[
            List(1, &[(1, false)]),
            Beat(1, 5, false),
            Advance(700),
            Beat(1, 5, false),
            Beat(1, 4, false),
            State(1, Suspect),
        ],
    },
    Case {
        name: "a heartbeat must come from the address of its host",
        steps: &[
            From(1, 1, Err(Ignored::UnknownSender)),
            List(1, &[(1, false), (2, false)]),
            From(1, 1, Ok(())),
            From(1, 2, Err(Ignored::UnknownSender)),
            From(2, 9, Err(Ignored::UnknownSender)),
            From(0, 1, Err(Ignored::OwnHost)),
            From(9, 9, Ok(())),
            State(9, Alive),
        ],
    },
    Case {
        name: "the own pause does not count as silence of others",
        steps: &[
            List(1, &[(1, false)]),
            Advance(1000),
            Beat(1, 1, false),
            Stale(false),
            Pause(600_000),
            State(1, Alive),
            Stale(true),
            Advance(700),
            Stale(false),
            State(1, Suspect),
        ],
    },
    Case {
        name: "another data centre partitioned and back",
        steps: &[
            List(1, &[(50, false)]),
            Digest(1, 0),
            State(50, Alive),
            Advance(7000),
            State(50, Suspect),
            Advance(60_000),
            Gone(50),
            Digest(2, 100),
            State(50, Alive),
        ],
    },
    Case {
        name: "a digest entry counts from its age",
        steps: &[List(1, &[(50, false)]), Digest(1, 5900), Advance(200), State(50, Suspect)],
    },
];

#[test]
fn steps() {
    for case in CASES {
        run(case.name, case.steps);
    }
}

fn run(case: &str, steps: &[Step]) {
    let mut now = Instant::now();
    let mut view = view(0, now);
    for (i, step) in steps.iter().enumerate() {
        let at = format!("{case}, step {i}");
        match *step {
            Beat(incarnation, sequence, leaving) => {
                let _ = view.on_heartbeat(addr(1), beat(1, incarnation, sequence, leaving), now);
            }
            From(host, from, want) => {
                let got = view.on_heartbeat(addr(from), beat(host, 1, 1, false), now).map(drop);
                assert_eq!(got, want, "{at}");
            }
            Digest(sequence, age_ms) => {
                let beat = beat(50, 1, sequence, false);
                view.on_digest(vec![MemberDigest { beat, age_ms }], now);
            }
            List(version, hosts) => {
                let hosts = hosts.iter().map(|(n, leaving)| listed(*n, *leaving)).collect();
                view.on_host_list(version, hosts, now);
            }
            Advance(time) => {
                for _ in 0..time / 100 {
                    now += ms(100);
                    view.tick(now);
                }
            }
            Pause(time) => {
                now += ms(time);
                assert!(view.stale(now), "{at}: before the first tick");
                view.tick(now);
            }
            State(n, want) => assert_eq!(state(&view, n), Some(want), "{at}"),
            Gone(n) => assert_eq!(state(&view, n), None, "{at}"),
            Leaving(n, want) => assert_eq!(view.leaving(&name(n)), want, "{at}"),
            Stale(want) => assert_eq!(view.stale(now), want, "{at}"),
        }
    }
}

fn state(view: &Membership, n: u16) -> Option<MemberState> {
    view.all().iter().find(|m| m.host == name(n)).map(|m| m.state)
}

#[test]
fn listed_peers_always_get_heartbeats() {
    let mut now = Instant::now();
    let mut view = view(0, now);
    view.on_host_list(1, vec![listed(0, false), listed(1, false), listed(50, false)], now);
    for _ in 0..700 {
        now += ms(100);
        view.tick(now);
    }
    assert_eq!(state(&view, 1), None);
    assert_eq!(view.heartbeat_addrs(), vec![addr(1), addr(9)], "the gone peer and the silent seed");
}

/// Event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    Beat(u16),
    Deliver(usize),
    Repeat(usize),
    Lose(usize),
    Restart(u16),
    Pause(u16, u64),
    Block(u16, u16, bool),
    Drain(u16),
    List,
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let host = 0..4u16;
    prop_oneof![
        6 => host.clone().prop_map(Event::Beat),
        8 => any::<usize>().prop_map(Event::Deliver),
        2 => any::<usize>().prop_map(Event::Repeat),
        2 => any::<usize>().prop_map(Event::Lose),
        1 => host.clone().prop_map(Event::Restart),
        1 => (host.clone(), 600..90_000u64).prop_map(|(h, t)| Event::Pause(h, t)),
        1 => (host.clone(), host.clone(), any::<bool>()).prop_map(|(a, b, c)| Event::Block(a, b, c)),
        1 => host.prop_map(Event::Drain),
        1 => Just(Event::List),
        4 => (50..400u64).prop_map(Event::Advance),
    ]
}

struct Message {
    from: u16,
    to: u16,
    beat: Heartbeat,
}

struct Simulation {
    now: Instant,
    views: Vec<Membership>,
    incarnations: Vec<u64>,
    draining: Vec<bool>,
    paused_until: Vec<Instant>,
    blocked: Vec<(u16, u16)>,
    in_flight: Vec<Message>,
    /// For each view and host: the newest heartbeat and when it was received.
    received: Vec<Vec<Option<(Heartbeat, Instant)>>>,
}

impl Simulation {
    fn new() -> Simulation {
        let now = Instant::now();
        let mut sim = Simulation {
            now,
            views: (0..4).map(|n| view(n, now)).collect(),
            incarnations: vec![1; 4],
            draining: vec![false; 4],
            paused_until: vec![now; 4],
            blocked: Vec::new(),
            in_flight: Vec::new(),
            received: vec![vec![None; 4]; 4],
        };
        sim.list();
        sim
    }

    fn list(&mut self) {
        for view in &mut self.views {
            view.on_host_list(1, (0..4).map(|n| listed(n, false)).collect(), self.now);
        }
    }

    fn running(&self, n: u16) -> bool {
        self.paused_until[n as usize] <= self.now
    }

    fn beat(&mut self, from: u16) {
        if !self.running(from) {
            return;
        }
        let beat = self.views[from as usize].next_heartbeat(self.draining[from as usize], 0, 0);
        for to in (0..4).filter(|to| *to != from && !self.blocked.contains(&(from, *to))) {
            self.in_flight.push(Message { from, to, beat: beat.clone() });
        }
    }

    fn deliver(&mut self, i: usize, keep: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let i = i % self.in_flight.len();
        let Message { from, to, beat } = &self.in_flight[i];
        if self.running(*to) {
            let got = self.views[*to as usize].on_heartbeat(addr(*from), beat.clone(), self.now);
            let received = &mut self.received[*to as usize][*from as usize];
            let order = |b: &Heartbeat| (b.incarnation, b.sequence);
            let newer = received.as_ref().is_none_or(|(last, _)| order(beat) > order(last));
            assert_eq!(got.is_ok(), newer, "older heartbeats are ignored");
            if newer {
                *received = Some((beat.clone(), self.now));
            }
        }
        if !keep {
            self.in_flight.swap_remove(i);
        }
    }

    fn lose(&mut self, i: usize) {
        if !self.in_flight.is_empty() {
            self.in_flight.swap_remove(i % self.in_flight.len());
        }
    }

    fn advance(&mut self, time: u64) {
        self.now += ms(time);
        for n in 0..4 {
            if self.running(n) {
                self.views[n as usize].tick(self.now);
            }
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Beat(n) => self.beat(n),
            Event::Deliver(i) => self.deliver(i, false),
            Event::Repeat(i) => self.deliver(i, true),
            Event::Lose(i) => self.lose(i),
            Event::Restart(n) => self.restart(n),
            Event::Pause(n, time) => self.paused_until[n as usize] = self.now + ms(time),
            Event::Block(a, b, true) => self.blocked.push((a, b)),
            Event::Block(a, b, false) => self.blocked.retain(|c| *c != (a, b)),
            Event::Drain(n) => self.draining[n as usize] = true,
            Event::List => self.list(),
            Event::Advance(time) => self.advance(time),
        }
    }

    fn restart(&mut self, n: u16) {
        let i = n as usize;
        self.incarnations[i] += 1;
        self.draining[i] = false;
        self.paused_until[i] = self.now;
        let own = beat(n, self.incarnations[i], 0, false);
        self.views[i] = Membership::new(own, addr(n), vec![], Settings::default(), self.now);
        self.views[i].on_host_list(1, (0..4).map(|n| listed(n, false)).collect(), self.now);
        self.received[i] = vec![None; 4];
    }

    fn check(&self) {
        for (i, view) in self.views.iter().enumerate().filter(|(i, _)| self.running(*i as u16)) {
            for member in view.all().iter().skip(1) {
                let n: usize = member.host[1..].parse().expect("a number");
                let incarnation =
                    self.received[i][n].as_ref().map_or(0, |(beat, _)| beat.incarnation);
                assert_eq!(member.incarnation, incarnation, "newest incarnation received");
            }
            for (beat, at) in self.received[i].iter().flatten() {
                let fresh = self.now - *at < ms(10_000);
                let counted = view.all().iter().any(|m| m.host == beat.host);
                assert!(!fresh || counted, "a host with a recent heartbeat is not gone");
                assert_eq!(view.leaving(&beat.host), beat.leaving, "leaving by its heartbeat");
                let chosen = view.ranked("work").iter().any(|m| m.host == beat.host);
                assert!(!chosen || !beat.leaving, "a leaving host gets no work");
            }
        }
    }

    /// Runs without faults until the views have had time to converge.
    fn settle(&mut self) {
        self.blocked.clear();
        self.in_flight.clear();
        self.now = self.now.max(*self.paused_until.iter().max().expect("four hosts"));
        for _ in 0..20 {
            self.advance(100);
            self.list();
            (0..4).for_each(|n| self.beat(n));
            while !self.in_flight.is_empty() {
                self.deliver(0, false);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn any_order_of_events(events in prop::collection::vec(event(), 0..250)) {
        let mut sim = Simulation::new();
        for event in events {
            sim.apply(event);
            sim.check();
        }
        sim.settle();
        sim.check();
        for subject in ["a", "b", "c", "d"] {
            let order = |v: &Membership| v.ranked(subject).into_iter().map(|m| m.host).collect::<Vec<_>>();
            let first = order(&sim.views[0]);
            let alive = sim.draining.iter().filter(|d| !**d).count();
            prop_assert_eq!(first.len(), alive);
            for (n, view) in sim.views.iter().enumerate() {
                prop_assert_eq!(&order(view), &first, "views agree after the partition");
                prop_assert!(!view.stale(sim.now));
                let place = first.iter().position(|h| *h == name(n as u16));
                prop_assert_eq!(view.place(subject), place);
            }
        }
    }

    #[test]
    fn a_departure_moves_only_its_own_subjects(count in 2..40u16, gone in any::<u16>(), subject in "[a-z]{1,8}") {
        let all: Vec<_> = (0..count).map(|n| view(n, Instant::now()).own()).collect();
        let gone = name(gone % count);
        let mut before = ranked(&subject, all.clone());
        before.retain(|m| m.host != gone);
        let rest = all.into_iter().rev().filter(|m| m.host != gone).collect();
        prop_assert_eq!(ranked(&subject, rest), before);
    }
}

#[test]
fn digest_calls_to_another_data_centre() {
    /// Step of a case; times are in milliseconds since the previous step.
    enum Step {
        /// A tick: its time, this daemon's index in the rendezvous order, and the number of the
        /// host that it has to call; `None` if it must not call any.
        At(u64, Option<usize>, Option<u16>),
        /// The call failed.
        Failed,
        /// A digest of the other data centre arrives.
        Heard,
    }
    use Step::{At, Failed, Heard};
    struct Case {
        name: &'static str,
        own: &'static str,
        steps: &'static [Step],
    }
    let cases = [
        Case {
            name: "the smaller name calls, each period",
            own: "a",
            steps: &[At(0, Some(0), Some(1)), At(1900, Some(0), None), At(100, Some(0), Some(1))],
        },
        Case {
            name: "other daemons of the data centre do not call",
            own: "a",
            steps: &[At(0, Some(1), None), At(5000, None, None), At(0, Some(0), Some(1))],
        },
        Case {
            name: "the larger name waits, and calls when no digest arrives",
            own: "z",
            steps: &[
                At(0, Some(0), None),
                At(3900, Some(0), None),
                Heard,
                At(3900, Some(0), None),
                At(100, Some(0), Some(1)),
            ],
        },
        Case {
            name: "after a failure the next daemon, then a pause, then the first again",
            own: "a",
            steps: &[
                At(0, Some(0), Some(1)),
                Failed,
                At(100, Some(0), Some(2)),
                Failed,
                At(100, Some(0), None),
                At(1900, Some(0), Some(3)),
                Failed,
                At(100, Some(0), Some(1)),
                Heard,
                At(2000, Some(0), Some(1)),
            ],
        },
    ];
    let mut far = ranked("speaker/a", (1..4).map(|n| view(n, Instant::now()).own()).collect());
    // The steps number the hosts 1 to 3 in the order of calls; the gone one is called last.
    far.rotate_left(1);
    far[2].state = MemberState::Gone;
    for case in cases {
        let far = ranked(&format!("speaker/{}", case.own), far.clone());
        let mut order: Vec<_> = far.iter().filter(|m| m.state == Alive).collect();
        order.extend(far.iter().filter(|m| m.state != Alive));
        let mut now = Instant::now();
        let mut schedule = DigestSchedule::new(case.own.into(), Settings::default());
        for (i, step) in case.steps.iter().enumerate() {
            match *step {
                At(time, place, want) => {
                    now += ms(time);
                    let calls = schedule.tick(far.clone(), |_| place, now);
                    let got: Vec<_> = calls.into_iter().map(|c| c.to.host).collect();
                    let want: Vec<_> =
                        want.iter().map(|n| order[*n as usize - 1].host.clone()).collect();
                    assert_eq!(got, want, "{}, step {i}", case.name);
                }
                Failed => schedule.failed(&"near".into(), now),
                Heard => schedule.heard(&"near".into(), now),
            }
        }
    }
}
