//! Polling: tables for one daemon, and a small world of several for who polls what.

use proptest::prelude::*;
use roseshore_core::membership::weight;
use roseshore_core::polling::{Action, CacheCursors, Polling, Settings};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// One event of a case about one target.
#[derive(Clone, Copy)]
enum Step {
    /// So many milliseconds later, with this place in the order, a poll is due or not.
    At(u64, Option<usize>, bool),
    /// The poll was answered.
    Answer(&'static [&'static str]),
    /// The poll failed.
    Miss(&'static [&'static str]),
    /// A peer told a report so old, silent or not.
    Told(u64, bool, &'static [&'static str]),
}
use Step::*;

struct Case {
    name: &'static str,
    steps: &'static [Step],
}

const CASES: &[Case] = &[
    Case {
        name: "the first in order polls each period",
        steps: &[
            At(250, Some(0), true),
            At(10, Some(0), false),
            Answer(&[]),
            At(230, Some(0), false),
            At(20, Some(0), true),
        ],
    },
    Case {
        name: "one poll of a target at a time",
        steps: &[At(250, Some(0), true), At(1000, Some(0), false), At(1000, Some(0), true)],
    },
    Case {
        name: "a miss is tried again at once, two are silence",
        steps: &[
            At(250, Some(0), true),
            Miss(&[]),
            At(40, Some(0), false),
            At(10, Some(0), true),
            Miss(&["lost", "silent"]),
            At(50, Some(0), true),
            Miss(&["silent"]),
            At(50, Some(0), false),
            At(50, Some(0), true),
            Answer(&["back"]),
        ],
    },
    Case {
        name: "an answer between two misses",
        steps: &[
            At(250, Some(0), true),
            Miss(&[]),
            At(50, Some(0), true),
            Answer(&[]),
            At(250, Some(0), true),
            Miss(&[]),
        ],
    },
    Case {
        name: "the others poll only what nobody tells of",
        steps: &[
            At(250, Some(1), false),
            At(400, Some(1), false),
            Told(0, false, &[]),
            At(700, Some(1), false),
            At(100, Some(1), true),
        ],
    },
    Case {
        name: "further places wait longer",
        steps: &[At(800, Some(3), false), At(100, Some(3), false), At(100, Some(3), true)],
    },
    Case {
        name: "one that is leaving or stale polls nothing",
        steps: &[At(10_000, None, false), At(60, Some(0), true)],
    },
    Case {
        name: "a peer's silence is taken over, an old word of it is not",
        steps: &[
            At(250, Some(0), true),
            Answer(&[]),
            Told(100, true, &[]),
            At(100, Some(1), false),
            Told(0, true, &["lost"]),
            Told(50, false, &[]),
            At(100, Some(1), false),
            Told(0, false, &["back"]),
        ],
    },
    Case {
        name: "taking over a poller's place",
        steps: &[At(250, Some(1), false), Told(0, false, &[]), At(60, Some(0), true)],
    },
];

#[test]
fn steps() {
    for case in CASES {
        let mut now = Instant::now();
        let mut polling = Polling::new(Settings::default());
        polling.set_targets(["t".to_owned()], now);
        for (i, step) in case.steps.iter().enumerate() {
            let at = format!("{}, step {i}", case.name);
            let target = &"t".to_owned();
            let (got, want) = match *step {
                At(time, place, due) => {
                    now += ms(time);
                    let got = polling.tick(now, |_| place);
                    assert_eq!(got.len(), usize::from(due), "{at}");
                    continue;
                }
                Answer(want) => (polling.on_answer(target, now), want),
                Miss(want) => (polling.on_failure(target, now), want),
                Told(age, silent, want) => {
                    let seen = now.checked_sub(ms(age)).expect("a clock that has run a while");
                    (polling.on_peer_report(target, silent, seen), want)
                }
            };
            assert_eq!(got.iter().map(word).collect::<Vec<_>>(), want, "{at}");
        }
    }
}

fn word(action: &Action) -> &'static str {
    match action {
        Action::Poll(_) => "poll",
        Action::Unresponsive(_) => "silent",
        Action::Down(_) => "lost",
        Action::Up(_) => "back",
    }
}

#[test]
fn polls_under_way_are_bounded_and_none_starves() {
    let mut now = Instant::now();
    let settings = Settings { max_polls: 4, ..Settings::default() };
    let mut polling = Polling::new(settings);
    polling.set_targets((0..20).map(|n| format!("t{n}")), now);
    let mut seen = BTreeMap::new();
    for _ in 0..20 {
        now += ms(250);
        let actions = polling.tick(now, |_| Some(0));
        assert!(actions.len() <= 4);
        for action in actions {
            let Action::Poll(target) = action else { panic!("{action:?}") };
            *seen.entry(target.clone()).or_insert(0) += 1;
            polling.on_answer(&target, now);
        }
    }
    assert!(seen.len() == 20 && seen.values().all(|n| *n == 4), "{seen:?}");
}

const STEP: u64 = 10;
const TARGETS: usize = 6;

/// Daemons with what each thinks of the others; ones that died are noticed late.
struct World {
    now: Instant,
    polls: Vec<Polling>,
    /// When each died, by its number.
    dead: Vec<Option<Instant>>,
    /// Pairs of a speaker and one who does not hear it.
    cut: Vec<(usize, usize)>,
    /// Polls so far, by target and daemon.
    count: BTreeMap<(String, usize), u32>,
    /// When each target was last heard of, by daemon and target.
    known: BTreeMap<(usize, String), Instant>,
}

impl World {
    fn new(size: usize, cut: Vec<(usize, usize)>) -> World {
        let now = Instant::now();
        let targets: Vec<_> = (0..TARGETS).map(|n| format!("t{n}")).collect();
        let one = || {
            let mut polling = Polling::new(Settings::default());
            polling.set_targets(targets.clone(), now);
            polling
        };
        let polls = (0..size).map(|_| one()).collect();
        World {
            now,
            polls,
            dead: vec![None; size],
            cut,
            count: BTreeMap::new(),
            known: BTreeMap::new(),
        }
    }

    /// Whether `a` thinks that `b` lives; a cut was there from the beginning.
    fn counts(&self, a: usize, b: usize) -> bool {
        let noticed = self.dead[b].is_some_and(|at| self.now - at >= ms(600));
        !noticed && !self.cut.contains(&(b, a))
    }

    fn place(&self, own: usize, target: &str) -> usize {
        let mine = weight(target, &own.to_string());
        let others = (0..self.polls.len()).filter(|b| *b != own && self.counts(own, *b));
        others.filter(|b| weight(target, &b.to_string()) > mine).count()
    }

    fn step(&mut self) {
        self.now += ms(STEP);
        for own in 0..self.polls.len() {
            if self.dead[own].is_some() {
                continue;
            }
            let places: BTreeMap<_, _> = (0..TARGETS)
                .map(|t| format!("t{t}"))
                .map(|t| (t.clone(), self.place(own, &t)))
                .collect();
            for action in self.polls[own].tick(self.now, |t| places.get(t).copied()) {
                let Action::Poll(target) = action else { continue };
                self.polls[own].on_answer(&target, self.now);
                self.tell(own, &target);
            }
        }
    }

    fn tell(&mut self, own: usize, target: &str) {
        *self.count.entry((target.to_owned(), own)).or_insert(0) += 1;
        self.known.insert((own, target.to_owned()), self.now);
        for other in 0..self.polls.len() {
            if other != own && self.dead[other].is_none() && !self.cut.contains(&(own, other)) {
                self.polls[other].on_peer_report(&target.to_owned(), false, self.now);
                self.known.insert((other, target.to_owned()), self.now);
            }
        }
    }

    fn run(&mut self, time: u64, mut check: impl FnMut(&World)) {
        self.count.clear();
        for _ in 0..time / STEP {
            self.step();
            check(self);
        }
    }

    fn pollers(&self, target: &str) -> usize {
        self.count.keys().filter(|(t, _)| t == target).count()
    }
}

fn size_and_cuts() -> impl Strategy<Value = (usize, Vec<(usize, usize)>)> {
    (2..7usize)
        .prop_flat_map(|size| (Just(size), prop::collection::vec((0..size, 0..size), 0..size)))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

    #[test]
    fn one_polls_when_views_agree(size in 1..8usize) {
        let mut world = World::new(size, Vec::new());
        world.run(5000, |_| ());
        world.run(5000, |_| ());
        for t in (0..TARGETS).map(|t| format!("t{t}")) {
            prop_assert_eq!(world.pollers(&t), 1, "{}", t);
            let polls: u32 = world.count.iter().filter(|((x, _), _)| *x == t).map(|(_, n)| n).sum();
            prop_assert!((19..=21).contains(&polls), "{} polls in 20 periods", polls);
        }
    }

    #[test]
    fn the_next_takes_over((size, victims) in (2..7usize).prop_flat_map(|s| (Just(s), 1..s))) {
        let mut world = World::new(size, Vec::new());
        world.run(2000, |_| ());
        (0..victims).for_each(|v| world.dead[v] = Some(world.now));
        let died = world.now;
        world.run(1000, |_| ());
        for own in victims..size {
            for t in (0..TARGETS).map(|t| format!("t{t}")) {
                prop_assert!(world.known[&(own, t.clone())] > died, "{} within a second", t);
            }
        }
    }

    #[test]
    fn cuts_one_way_leave_nobody_blind((size, cuts) in size_and_cuts()) {
        let cuts: Vec<_> = cuts.into_iter().filter(|(a, b)| a != b).collect();
        let mut world = World::new(size, cuts);
        let late = ms(750 + 100 * size as u64 + 100);
        world.run(2000, |_| ());
        let mut blind = None;
        world.run(5000, |w| {
            for own in 0..size {
                for t in (0..TARGETS).map(|t| format!("t{t}")) {
                    if w.now - w.known[&(own, t.clone())] > late {
                        blind = Some((own, t));
                    }
                }
            }
        });
        prop_assert_eq!(blind, None);
        let polls: u32 = world.count.values().sum();
        let bound = (TARGETS * size * 5000 / 250 + TARGETS * size) as u32;
        prop_assert!(polls <= bound, "{} polls, at most one per daemon, target and period", polls);
    }
}

/// Who is asked for cache events: the number of each engine's life, then what is due.
#[test]
fn cache_readers() {
    type Numbered = (&'static str, u64);
    type Engines = &'static [Numbered];
    struct Case {
        name: &'static str,
        /// Milliseconds after the last step, engines with their lives, those restarted, what is due.
        steps: &'static [(u64, Engines, &'static [&'static str], Option<Numbered>)],
    }
    let cases = [
        Case { name: "nobody", steps: &[(0, &[], &[], None)] },
        Case {
            name: "in turn, each after a rest, from where it was read",
            steps: &[
                (0, &[("a", 1), ("b", 1)], &[], Some(("a", 0))),
                (200, &[("a", 1), ("b", 1)], &[], Some(("b", 0))),
                (1700, &[("a", 1), ("b", 1)], &[], None),
                (100, &[("a", 1), ("b", 1)], &[], Some(("a", 10))),
                (200, &[("a", 1), ("b", 1)], &[], Some(("b", 10))),
            ],
        },
        Case {
            name: "a restarted one from its first event",
            steps: &[
                (0, &[("a", 1)], &[], Some(("a", 0))),
                (2000, &[("a", 2)], &["a"], Some(("a", 0))),
            ],
        },
        Case {
            name: "one that left and came back from its first event",
            steps: &[
                (0, &[("a", 1)], &[], Some(("a", 0))),
                (200, &[], &[], None),
                (200, &[("a", 1)], &[], Some(("a", 0))),
            ],
        },
    ];
    for case in cases {
        let mut caches = CacheCursors::new(Duration::from_secs(2));
        let mut now = Instant::now();
        for (i, &(after, engines, restarted, due)) in case.steps.iter().enumerate() {
            now += ms(after);
            let lives = engines.iter().map(|&(id, life)| (id.to_owned(), life));
            assert_eq!(caches.set_engines(lives), restarted, "{}, step {i}", case.name);
            let asked = caches.due(now);
            let want = due.map(|(id, from)| (id.to_owned(), from));
            assert_eq!(asked, want, "{}, step {i}", case.name);
            if let Some((target, from)) = asked {
                caches.advance(&target, from + 10);
            }
        }
    }
}
