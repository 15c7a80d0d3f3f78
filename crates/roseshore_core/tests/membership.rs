//! Membership: tables of steps, and any order of heartbeats, losses, restarts, pauses and cuts.

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

/// One event of a case; times are in milliseconds since the step before.
#[derive(Clone, Copy)]
enum Step {
    /// A heartbeat of host 1: incarnation, sequence, leaving.
    Beat(u64, u64, bool),
    /// A heartbeat that names host `.0` from the address of host `.1`.
    From(u16, u16, Result<(), Ignored>),
    /// Word of host 50 from another data centre, this old.
    Told(u64, u32),
    /// The host list of this version, with hosts and whether each is leaving.
    List(u64, &'static [(u16, bool)]),
    /// Time passes, in ticks.
    Pass(u64),
    /// Time passes in one jump.
    Pause(u64),
    /// What is thought of a host.
    Is(u16, MemberState),
    /// A host is not counted.
    Not(u16),
    /// A host takes new work or not.
    Leaving(u16, bool),
    /// Whether the own view may be out of date.
    Stale(bool),
}
use MemberState::{Alive, Leaving as Left, Suspect};
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
            Is(1, Suspect),
            Beat(1, 1, false),
            Is(1, Alive),
            Pass(500),
            Is(1, Alive),
            Pass(200),
            Is(1, Suspect),
            Pass(15_000),
            Is(1, Suspect),
            List(2, &[]),
            Not(1),
        ],
    },
    Case {
        name: "listed but silent past the longer bound is gone",
        steps: &[List(1, &[(1, false)]), Beat(1, 1, false), Pass(61_000), Not(1)],
    },
    Case {
        name: "not listed but heard stays",
        steps: &[
            List(1, &[(1, false)]),
            Beat(1, 1, false),
            Pass(100),
            List(2, &[]),
            Beat(1, 2, false),
            Is(1, Alive),
        ],
    },
    Case {
        name: "leaving by its own word",
        steps: &[
            List(1, &[(1, false)]),
            Beat(1, 1, true),
            Is(1, Left),
            Leaving(1, true),
            Beat(2, 1, false),
            Is(1, Alive),
            Leaving(1, false),
        ],
    },
    Case {
        name: "leaving by the list",
        steps: &[
            List(1, &[(1, false)]),
            Beat(1, 1, false),
            List(2, &[(1, true)]),
            Is(1, Left),
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
            Pass(60_000),
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
        name: "an older life changes nothing",
        steps: &[List(1, &[(1, false)]), Beat(3, 1, false), Beat(2, 9, true), Is(1, Alive)],
    },
    Case {
        name: "a repeat does not prolong a life",
        steps: &[
            List(1, &[(1, false)]),
            Beat(1, 5, false),
            Pass(700),
            Beat(1, 5, false),
            Beat(1, 4, false),
            Is(1, Suspect),
        ],
    },
    Case {
        name: "addresses bind names",
        steps: &[
            From(1, 1, Err(Ignored::UnknownSender)),
            List(1, &[(1, false), (2, false)]),
            From(1, 1, Ok(())),
            From(1, 2, Err(Ignored::UnknownSender)),
            From(2, 9, Err(Ignored::UnknownSender)),
            From(0, 1, Err(Ignored::OwnHost)),
            From(9, 9, Ok(())),
            Is(9, Alive),
        ],
    },
    Case {
        name: "own pause is not held against others",
        steps: &[
            List(1, &[(1, false)]),
            Pass(1000),
            Beat(1, 1, false),
            Stale(false),
            Pause(600_000),
            Is(1, Alive),
            Stale(true),
            Pass(700),
            Stale(false),
            Is(1, Suspect),
        ],
    },
    Case {
        name: "a far data centre cut off and back",
        steps: &[
            List(1, &[(50, false)]),
            Told(1, 0),
            Is(50, Alive),
            Pass(7000),
            Is(50, Suspect),
            Pass(60_000),
            Not(50),
            Told(2, 100),
            Is(50, Alive),
        ],
    },
    Case {
        name: "a far digest counts from its age",
        steps: &[List(1, &[(50, false)]), Told(1, 5900), Pass(200), Is(50, Suspect)],
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
            Told(sequence, age_ms) => {
                let beat = beat(50, 1, sequence, false);
                view.on_digest(vec![MemberDigest { beat, age_ms }], now);
            }
            List(version, hosts) => {
                let hosts = hosts.iter().map(|(n, leaving)| listed(*n, *leaving)).collect();
                view.on_host_list(version, hosts, now);
            }
            Pass(time) => {
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
            Is(n, want) => assert_eq!(state(&view, n), Some(want), "{at}"),
            Not(n) => assert_eq!(state(&view, n), None, "{at}"),
            Leaving(n, want) => assert_eq!(view.leaving(&name(n)), want, "{at}"),
            Stale(want) => assert_eq!(view.stale(now), want, "{at}"),
        }
    }
}

fn state(view: &Membership, n: u16) -> Option<MemberState> {
    view.all().iter().find(|m| m.host == name(n)).map(|m| m.state)
}

#[test]
fn listed_peers_are_spoken_to_for_ever() {
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

/// What may happen in the world of the property below.
#[derive(Clone, Debug)]
enum Fate {
    Beat(u16),
    Deliver(usize),
    Repeat(usize),
    Lose(usize),
    Restart(u16),
    Pause(u16, u64),
    Cut(u16, u16, bool),
    Drain(u16),
    List,
    Pass(u64),
}

fn fate() -> impl Strategy<Value = Fate> {
    let host = 0..4u16;
    prop_oneof![
        6 => host.clone().prop_map(Fate::Beat),
        8 => any::<usize>().prop_map(Fate::Deliver),
        2 => any::<usize>().prop_map(Fate::Repeat),
        2 => any::<usize>().prop_map(Fate::Lose),
        1 => host.clone().prop_map(Fate::Restart),
        1 => (host.clone(), 600..90_000u64).prop_map(|(h, t)| Fate::Pause(h, t)),
        1 => (host.clone(), host.clone(), any::<bool>()).prop_map(|(a, b, c)| Fate::Cut(a, b, c)),
        1 => host.prop_map(Fate::Drain),
        1 => Just(Fate::List),
        4 => (50..400u64).prop_map(Fate::Pass),
    ]
}

struct Mail {
    from: u16,
    to: u16,
    beat: Heartbeat,
}

struct World {
    now: Instant,
    views: Vec<Membership>,
    lives: Vec<u64>,
    draining: Vec<bool>,
    asleep: Vec<Instant>,
    cut: Vec<(u16, u16)>,
    mail: Vec<Mail>,
    /// For each view and host: the newest heartbeat and when it came.
    heard: Vec<Vec<Option<(Heartbeat, Instant)>>>,
}

impl World {
    fn new() -> World {
        let now = Instant::now();
        let mut world = World {
            now,
            views: (0..4).map(|n| view(n, now)).collect(),
            lives: vec![1; 4],
            draining: vec![false; 4],
            asleep: vec![now; 4],
            cut: Vec::new(),
            mail: Vec::new(),
            heard: vec![vec![None; 4]; 4],
        };
        world.list();
        world
    }

    fn list(&mut self) {
        for view in &mut self.views {
            view.on_host_list(1, (0..4).map(|n| listed(n, false)).collect(), self.now);
        }
    }

    fn awake(&self, n: u16) -> bool {
        self.asleep[n as usize] <= self.now
    }

    fn beat(&mut self, from: u16) {
        if !self.awake(from) {
            return;
        }
        let beat = self.views[from as usize].beat(self.draining[from as usize], 0, 0);
        for to in (0..4).filter(|to| *to != from && !self.cut.contains(&(from, *to))) {
            self.mail.push(Mail { from, to, beat: beat.clone() });
        }
    }

    fn deliver(&mut self, i: usize, keep: bool) {
        if self.mail.is_empty() {
            return;
        }
        let i = i % self.mail.len();
        let Mail { from, to, beat } = &self.mail[i];
        if self.awake(*to) {
            let got = self.views[*to as usize].on_heartbeat(addr(*from), beat.clone(), self.now);
            let heard = &mut self.heard[*to as usize][*from as usize];
            let order = |b: &Heartbeat| (b.incarnation, b.sequence);
            let newer = heard.as_ref().is_none_or(|(last, _)| order(beat) > order(last));
            assert_eq!(got.is_ok(), newer, "an older heartbeat counts for nothing");
            if newer {
                *heard = Some((beat.clone(), self.now));
            }
        }
        if !keep {
            self.mail.swap_remove(i);
        }
    }

    fn lose(&mut self, i: usize) {
        if !self.mail.is_empty() {
            self.mail.swap_remove(i % self.mail.len());
        }
    }

    fn pass(&mut self, time: u64) {
        self.now += ms(time);
        for n in 0..4 {
            if self.awake(n) {
                self.views[n as usize].tick(self.now);
            }
        }
    }

    fn apply(&mut self, fate: Fate) {
        match fate {
            Fate::Beat(n) => self.beat(n),
            Fate::Deliver(i) => self.deliver(i, false),
            Fate::Repeat(i) => self.deliver(i, true),
            Fate::Lose(i) => self.lose(i),
            Fate::Restart(n) => self.restart(n),
            Fate::Pause(n, time) => self.asleep[n as usize] = self.now + ms(time),
            Fate::Cut(a, b, true) => self.cut.push((a, b)),
            Fate::Cut(a, b, false) => self.cut.retain(|c| *c != (a, b)),
            Fate::Drain(n) => self.draining[n as usize] = true,
            Fate::List => self.list(),
            Fate::Pass(time) => self.pass(time),
        }
    }

    fn restart(&mut self, n: u16) {
        let i = n as usize;
        self.lives[i] += 1;
        self.draining[i] = false;
        self.asleep[i] = self.now;
        let own = beat(n, self.lives[i], 0, false);
        self.views[i] = Membership::new(own, addr(n), vec![], Settings::default(), self.now);
        self.views[i].on_host_list(1, (0..4).map(|n| listed(n, false)).collect(), self.now);
        self.heard[i] = vec![None; 4];
    }

    fn check(&self) {
        for (i, view) in self.views.iter().enumerate().filter(|(i, _)| self.awake(*i as u16)) {
            for member in view.all().iter().skip(1) {
                let n: usize = member.host[1..].parse().expect("a number");
                let life = self.heard[i][n].as_ref().map_or(0, |(beat, _)| beat.incarnation);
                assert_eq!(member.incarnation, life, "the newest life heard of");
            }
            for (beat, at) in self.heard[i].iter().flatten() {
                let fresh = self.now - *at < ms(10_000);
                let counted = view.all().iter().any(|m| m.host == beat.host);
                assert!(!fresh || counted, "heard of within the bound is not gone");
                assert_eq!(view.leaving(&beat.host), beat.leaving, "by its own word");
                let chosen = view.ranked("work").iter().any(|m| m.host == beat.host);
                assert!(!chosen || !beat.leaving, "a leaving one gets no work");
            }
        }
    }

    /// Lets the world run without faults until views have had time to agree.
    fn heal(&mut self) {
        self.cut.clear();
        self.mail.clear();
        self.now = self.now.max(*self.asleep.iter().max().expect("four"));
        for _ in 0..20 {
            self.pass(100);
            self.list();
            (0..4).for_each(|n| self.beat(n));
            while !self.mail.is_empty() {
                self.deliver(0, false);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn any_order_of_events(fates in prop::collection::vec(fate(), 0..250)) {
        let mut world = World::new();
        for fate in fates {
            world.apply(fate);
            world.check();
        }
        world.heal();
        world.check();
        for subject in ["a", "b", "c", "d"] {
            let order = |v: &Membership| v.ranked(subject).into_iter().map(|m| m.host).collect::<Vec<_>>();
            let first = order(&world.views[0]);
            let alive = world.draining.iter().filter(|d| !**d).count();
            prop_assert_eq!(first.len(), alive);
            for (n, view) in world.views.iter().enumerate() {
                prop_assert_eq!(&order(view), &first, "views agree after the cut");
                prop_assert!(!view.stale(world.now));
                let place = first.iter().position(|h| *h == name(n as u16));
                prop_assert_eq!(view.place(subject), place);
            }
        }
    }

    #[test]
    fn one_that_leaves_moves_only_its_own(count in 2..40u16, gone in any::<u16>(), subject in "[a-z]{1,8}") {
        let all: Vec<_> = (0..count).map(|n| view(n, Instant::now()).own()).collect();
        let gone = name(gone % count);
        let mut before = ranked(&subject, all.clone());
        before.retain(|m| m.host != gone);
        let rest = all.into_iter().rev().filter(|m| m.host != gone).collect();
        prop_assert_eq!(ranked(&subject, rest), before);
    }
}

#[test]
fn who_speaks_with_another_data_centre() {
    /// One event; times are in milliseconds since the step before.
    enum Step {
        /// With this place in the order, the host that is called, if one is.
        At(u64, Option<usize>, Option<u16>),
        /// The call failed.
        Failed,
        /// Word came from over there.
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
            name: "the smaller name begins, each period",
            own: "a",
            steps: &[At(0, Some(0), Some(1)), At(1900, Some(0), None), At(100, Some(0), Some(1))],
        },
        Case {
            name: "the others of the data centre keep still",
            own: "a",
            steps: &[At(0, Some(1), None), At(5000, None, None), At(0, Some(0), Some(1))],
        },
        Case {
            name: "the larger name waits, and begins when it hears nothing",
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
            name: "after a failure the next one, then a rest, then round again",
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
    // The places of the order get the numbers 1 to 3; the gone one is tried last.
    far.rotate_left(1);
    far[2].state = MemberState::Gone;
    for case in cases {
        let far = ranked(&format!("speaker/{}", case.own), far.clone());
        let mut order: Vec<_> = far.iter().filter(|m| m.state == Alive).collect();
        order.extend(far.iter().filter(|m| m.state != Alive));
        let mut now = Instant::now();
        let mut speakers = DigestSchedule::new(case.own.into(), Settings::default());
        for (i, step) in case.steps.iter().enumerate() {
            match *step {
                At(time, place, want) => {
                    now += ms(time);
                    let calls = speakers.tick(far.clone(), |_| place, now);
                    let got: Vec<_> = calls.into_iter().map(|c| c.to.host).collect();
                    let want: Vec<_> =
                        want.iter().map(|n| order[*n as usize - 1].host.clone()).collect();
                    assert_eq!(got, want, "{}, step {i}", case.name);
                }
                Failed => speakers.failed(&"near".into(), now),
                Heard => speakers.heard(&"near".into(), now),
            }
        }
    }
}
