//! Polling: scripted cases for one daemon, and a simulation of several that share targets.

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
    /// This many milliseconds later, at this position in the order, whether a poll is due.
    At(u64, Option<usize>, bool),
    /// The poll was answered.
    Answer(&'static [&'static str]),
    /// The poll failed.
    Failure(&'static [&'static str]),
    /// A peer reports a poll this many milliseconds old, and whether the target was unresponsive.
    PeerReport(u64, bool, &'static [&'static str]),
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
        name: "one failure is retried, two mean that the target is down",
        steps: &[
            At(250, Some(0), true),
            Failure(&[]),
            At(40, Some(0), false),
            At(10, Some(0), true),
            Failure(&["down", "unresponsive"]),
            At(50, Some(0), true),
            Failure(&["unresponsive"]),
            At(50, Some(0), false),
            At(50, Some(0), true),
            Answer(&["up"]),
        ],
    },
    Case {
        name: "an answer between two failures",
        steps: &[
            At(250, Some(0), true),
            Failure(&[]),
            At(50, Some(0), true),
            Answer(&[]),
            At(250, Some(0), true),
            Failure(&[]),
        ],
    },
    Case {
        name: "others poll only targets without reports",
        steps: &[
            At(250, Some(1), false),
            At(400, Some(1), false),
            PeerReport(0, false, &[]),
            At(700, Some(1), false),
            At(100, Some(1), true),
        ],
    },
    Case {
        name: "daemons further down the order wait longer",
        steps: &[At(800, Some(3), false), At(100, Some(3), false), At(100, Some(3), true)],
    },
    Case {
        name: "a leaving daemon or one with a stale view polls nothing",
        steps: &[At(10_000, None, false), At(60, Some(0), true)],
    },
    Case {
        name: "a peer's report of silence counts, an outdated report does not",
        steps: &[
            At(250, Some(0), true),
            Answer(&[]),
            PeerReport(100, true, &[]),
            At(100, Some(1), false),
            PeerReport(0, true, &["down"]),
            PeerReport(50, false, &[]),
            At(100, Some(1), false),
            PeerReport(0, false, &["up"]),
        ],
    },
    Case {
        name: "a new first in order polls at once",
        steps: &[At(250, Some(1), false), PeerReport(0, false, &[]), At(60, Some(0), true)],
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
            let (actual, expected) = match *step {
                At(time, rank, due) => {
                    now += ms(time);
                    let actual = polling.tick(now, |_| rank);
                    assert_eq!(actual.len(), usize::from(due), "{at}");
                    continue;
                }
                Answer(expected) => (polling.on_answer(target, now), expected),
                Failure(expected) => (polling.on_failure(target, now), expected),
                PeerReport(age, silent, expected) => {
                    let seen = now.checked_sub(ms(age)).expect("a clock that has run a while");
                    (polling.on_peer_report(target, silent, seen), expected)
                }
            };
            assert_eq!(actual.iter().map(action_name).collect::<Vec<_>>(), expected, "{at}");
        }
    }
}

fn action_name(action: &Action) -> &'static str {
    match action {
        Action::Poll(_) => "poll",
        Action::Unresponsive(_) => "unresponsive",
        Action::Down(_) => "down",
        Action::Up(_) => "up",
    }
}

#[test]
fn polls_in_flight_are_bounded_and_no_target_starves() {
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

const STEP_MS: u64 = 10;
const TARGETS: usize = 6;

/// Several daemons, each with its own view of the others; a daemon's death is noticed late.
struct Simulation {
    now: Instant,
    polls: Vec<Polling>,
    /// When each daemon died.
    died_at: Vec<Option<Instant>>,
    /// Pairs of a sender and a receiver that its reports do not reach.
    cut_links: Vec<(usize, usize)>,
    /// The number of polls, by target and daemon.
    poll_counts: BTreeMap<(String, usize), u32>,
    /// The time of the newest report, by daemon and target.
    last_report: BTreeMap<(usize, String), Instant>,
}

impl Simulation {
    fn new(size: usize, cut_links: Vec<(usize, usize)>) -> Simulation {
        let now = Instant::now();
        let targets: Vec<_> = (0..TARGETS).map(|n| format!("t{n}")).collect();
        let new_polling = || {
            let mut polling = Polling::new(Settings::default());
            polling.set_targets(targets.clone(), now);
            polling
        };
        let polls = (0..size).map(|_| new_polling()).collect();
        Simulation {
            now,
            polls,
            died_at: vec![None; size],
            cut_links,
            poll_counts: BTreeMap::new(),
            last_report: BTreeMap::new(),
        }
    }

    /// Whether `a` counts `b` as a member. Cuts exist from the start, so `a` never learns of a
    /// daemon whose reports do not reach it.
    fn counts_as_member(&self, a: usize, b: usize) -> bool {
        let noticed = self.died_at[b].is_some_and(|at| self.now - at >= ms(600));
        !noticed && !self.cut_links.contains(&(b, a))
    }

    fn rank(&self, own: usize, target: &str) -> usize {
        let mine = weight(target, &own.to_string());
        let others = (0..self.polls.len()).filter(|b| *b != own && self.counts_as_member(own, *b));
        others.filter(|b| weight(target, &b.to_string()) > mine).count()
    }

    fn step(&mut self) {
        self.now += ms(STEP_MS);
        for own in 0..self.polls.len() {
            if self.died_at[own].is_some() {
                continue;
            }
            let ranks: BTreeMap<_, _> = (0..TARGETS)
                .map(|t| format!("t{t}"))
                .map(|t| (t.clone(), self.rank(own, &t)))
                .collect();
            for action in self.polls[own].tick(self.now, |t| ranks.get(t).copied()) {
                let Action::Poll(target) = action else { continue };
                self.polls[own].on_answer(&target, self.now);
                self.share_report(own, &target);
            }
        }
    }

    fn share_report(&mut self, own: usize, target: &str) {
        *self.poll_counts.entry((target.to_owned(), own)).or_insert(0) += 1;
        self.last_report.insert((own, target.to_owned()), self.now);
        for other in 0..self.polls.len() {
            if other != own
                && self.died_at[other].is_none()
                && !self.cut_links.contains(&(own, other))
            {
                self.polls[other].on_peer_report(&target.to_owned(), false, self.now);
                self.last_report.insert((other, target.to_owned()), self.now);
            }
        }
    }

    fn run(&mut self, time: u64, mut check: impl FnMut(&Simulation)) {
        self.poll_counts.clear();
        for _ in 0..time / STEP_MS {
            self.step();
            check(self);
        }
    }

    fn pollers(&self, target: &str) -> usize {
        self.poll_counts.keys().filter(|(t, _)| t == target).count()
    }
}

fn size_and_cuts() -> impl Strategy<Value = (usize, Vec<(usize, usize)>)> {
    (2..7usize)
        .prop_flat_map(|size| (Just(size), prop::collection::vec((0..size, 0..size), 0..size)))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(60) })]

    #[test]
    fn one_daemon_polls_when_views_agree(size in 1..8usize) {
        let mut sim = Simulation::new(size, Vec::new());
        sim.run(5000, |_| ());
        sim.run(5000, |_| ());
        for t in (0..TARGETS).map(|t| format!("t{t}")) {
            prop_assert_eq!(sim.pollers(&t), 1, "{}", t);
            let polls: u32 =
                sim.poll_counts.iter().filter(|((x, _), _)| *x == t).map(|(_, n)| n).sum();
            prop_assert!((19..=21).contains(&polls), "{} polls in 20 periods", polls);
        }
    }

    #[test]
    fn the_next_in_order_takes_over((size, victims) in (2..7usize).prop_flat_map(|s| (Just(s), 1..s))) {
        let mut sim = Simulation::new(size, Vec::new());
        sim.run(2000, |_| ());
        (0..victims).for_each(|v| sim.died_at[v] = Some(sim.now));
        let died = sim.now;
        sim.run(1000, |_| ());
        for own in victims..size {
            for t in (0..TARGETS).map(|t| format!("t{t}")) {
                prop_assert!(sim.last_report[&(own, t.clone())] > died, "{} within a second", t);
            }
        }
    }

    #[test]
    fn one_way_cuts_leave_no_daemon_without_reports((size, cuts) in size_and_cuts()) {
        let cuts: Vec<_> = cuts.into_iter().filter(|(a, b)| a != b).collect();
        let mut sim = Simulation::new(size, cuts);
        let max_silence = ms(750 + 100 * size as u64 + 100);
        sim.run(2000, |_| ());
        let mut uninformed = None;
        sim.run(5000, |w| {
            for own in 0..size {
                for t in (0..TARGETS).map(|t| format!("t{t}")) {
                    if w.now - w.last_report[&(own, t.clone())] > max_silence {
                        uninformed = Some((own, t));
                    }
                }
            }
        });
        prop_assert_eq!(uninformed, None);
        let polls: u32 = sim.poll_counts.values().sum();
        let bound = (TARGETS * size * 5000 / 250 + TARGETS * size) as u32;
        prop_assert!(polls <= bound, "{} polls, at most one per daemon, target and period", polls);
    }
}

/// Which engine is asked for cache events, and from which event on.
#[test]
fn cache_readers() {
    type Numbered = (&'static str, u64);
    type Engines = &'static [Numbered];
    struct Case {
        name: &'static str,
        /// Milliseconds after the last step, engines with their incarnations, the restarted
        /// engines, and the engine and event that are due.
        steps: &'static [(u64, Engines, &'static [&'static str], Option<Numbered>)],
    }
    let cases = [
        Case { name: "no engines", steps: &[(0, &[], &[], None)] },
        Case {
            name: "in turn, each after the interval, from its last event read",
            steps: &[
                (0, &[("a", 1), ("b", 1)], &[], Some(("a", 0))),
                (200, &[("a", 1), ("b", 1)], &[], Some(("b", 0))),
                (1700, &[("a", 1), ("b", 1)], &[], None),
                (100, &[("a", 1), ("b", 1)], &[], Some(("a", 10))),
                (200, &[("a", 1), ("b", 1)], &[], Some(("b", 10))),
            ],
        },
        Case {
            name: "a restarted engine from its first event",
            steps: &[
                (0, &[("a", 1)], &[], Some(("a", 0))),
                (2000, &[("a", 2)], &["a"], Some(("a", 0))),
            ],
        },
        Case {
            name: "an engine that was removed and added again from its first event",
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
            let incarnations =
                engines.iter().map(|&(id, incarnation)| (id.to_owned(), incarnation));
            assert_eq!(caches.set_engines(incarnations), restarted, "{}, step {i}", case.name);
            let asked = caches.due(now);
            let expected = due.map(|(id, from)| (id.to_owned(), from));
            assert_eq!(asked, expected, "{}, step {i}", case.name);
            if let Some((target, from)) = asked {
                caches.advance(&target, from + 10);
            }
        }
    }
}
