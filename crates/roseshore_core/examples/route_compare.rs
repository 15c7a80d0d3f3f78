//! Compares strategies for choosing a chain, by their decisions only: targets are simulated as
//! queues in virtual time.
//!
//! The simulated fleet has 30 engines in three data centres, twelve layers in three ranges, three
//! kinds of accelerators, and 8 daemons that share late reports. Every strategy is used behind the
//! same admission control. Each figure comes from one seeded run of `cargo run --release -p
//! roseshore_core --example route_compare`.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::admit::{Admission, AdmitResult, Arrival, Slot, WaitOutcome};
use roseshore_core::fleet::{DataCentre, ServiceKind, TargetKind};
use roseshore_core::load::{EngineState, PollResult, TargetIndex, Ticket};
use roseshore_core::prelude::*;
use roseshore_core::route::{ChainRequest, Router, SampleSizes};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

const DAEMONS: usize = 8;
const ENGINES: usize = 30;
const SLOTS: usize = 4;
const TOKENS: (u32, u32) = (20, 60);
const PROMPT: (u32, u32) = (50, 350);
const DEADLINE: Duration = Duration::from_secs(4);
const LINK: Duration = Duration::from_millis(1);
const WARM_UP: Duration = Duration::from_secs(15);
const MEASURED: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    Random,
    RoundRobin,
    ShortestQueue,
    Sampled,
    Oracle,
}

#[derive(Clone, Copy)]
struct Setup {
    strategy: Strategy,
    load: f64,
    lag: Duration,
    slowed: bool,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Step(usize),
    Enter(usize),
    Poll,
    Deliver(Vec<u32>),
    GiveUp(usize, u64),
}

struct Engine {
    layers: (Layer, Layer),
    step: f64,
    prefill: f64,
    slow: f64,
    busy: usize,
    queue: VecDeque<usize>,
    in_flight: u32,
}

struct Job {
    daemon: usize,
    org: &'static str,
    arrived: Instant,
    prompt: u32,
    tokens: u32,
    chain: Vec<TargetIndex>,
    at: usize,
    done: u32,
    first: Option<Duration>,
    last: Instant,
    held: Option<(Ticket, Slot)>,
}

struct World {
    now: Instant,
    heap: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    engines: Vec<Engine>,
    jobs: Vec<Job>,
    routers: Vec<Router>,
    admissions: Vec<Admission>,
    waiting: Vec<HashMap<u64, usize>>,
    fleet: Fleet,
    random: SmallRng,
    round_robin: usize,
    setup: Setup,
}

impl World {
    fn new(setup: Setup) -> World {
        let (now, mut fleet) = (Instant::now(), Fleet::default());
        let mut engines = Vec::new();
        for data_centre in ["korangi", "clifton", "landhi"] {
            let links =
                ["korangi", "clifton", "landhi"].map(|other| (other.to_owned(), 1.0)).into();
            fleet
                .data_centres
                .insert(data_centre.into(), DataCentre { region: "pk-south".into(), links });
        }
        for i in 0..ENGINES {
            let speed = [1.0, 2.0, 4.0][i / 3 % 3];
            let range = (i % 3) as Layer;
            let data_centre = ["korangi", "clifton", "landhi"][i / 9 % 3];
            let target = Target {
                kind: TargetKind::Engine,
                host: "h".into(),
                data_centre: data_centre.into(),
                addr: "127.0.0.1:1".parse().unwrap(),
                serves: None,
                model: None,
                layers: None,
                accelerator: None,
                checks_fence: false,
            };
            fleet.targets.insert(format!("e{i:02}"), target);
            let slow = if setup.slowed && i / 3 % 2 == 0 { 10.0 } else { 1.0 };
            engines.push(Engine {
                layers: (range * 4, range * 4 + 4),
                step: 0.002 * speed,
                prefill: 4000.0 / speed,
                slow,
                busy: 0,
                queue: VecDeque::new(),
                in_flight: 0,
            });
        }
        fleet.services.insert(
            "s".into(),
            Service {
                kind: ServiceKind::Model,
                model: Some("m".into()),
                sources: vec![],
                idempotent: true,
                advisory: false,
                deadline: DEADLINE,
            },
        );
        fleet.organisations.insert("o".into(), Organisation { share: 1.0, rate: 1e9, burst: 1e9 });
        let data_centres = ["korangi", "clifton", "landhi"];
        // One more router than daemons: the oracle sees every request and knows the true speeds.
        let routers = (0..=DAEMONS)
            .map(|d| {
                let all = SampleSizes { near: ENGINES, far: ENGINES };
                let sample_sizes = if d == DAEMONS { all } else { SampleSizes::default() };
                let mut router = Router::new(
                    data_centres[d % 3],
                    sample_sizes,
                    SmallRng::seed_from_u64(d as u64),
                );
                router.apply_fleet(&fleet);
                router
            })
            .collect();
        let mut world = World {
            now,
            heap: BinaryHeap::new(),
            sequence: 0,
            engines,
            jobs: Vec::new(),
            routers,
            admissions: (0..DAEMONS).map(|_| Admission::default()).collect(),
            waiting: vec![HashMap::new(); DAEMONS],
            fleet,
            random: SmallRng::seed_from_u64(99),
            round_robin: 0,
            setup,
        };
        world.report(&[0; ENGINES], now);
        world.at(now, Event::Arrive);
        world.at(now, Event::Poll);
        world
    }

    fn at(&mut self, time: Instant, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((time, self.sequence, event)));
    }

    /// Answers a second that the layer range with the least capacity can complete.
    fn capacity(&self) -> f64 {
        let (tokens, prompt) =
            (f64::from(TOKENS.0 + TOKENS.1) / 2.0, f64::from(PROMPT.0 + PROMPT.1) / 2.0);
        let rate = |e: &Engine| SLOTS as f64 / (e.slow * (prompt / e.prefill + tokens * e.step));
        let range = |p: usize| self.engines.iter().skip(p).step_by(3).map(rate).sum::<f64>();
        (0..3).map(range).fold(f64::INFINITY, f64::min)
    }

    fn report(&mut self, depths: &[u32], seen: Instant) {
        for (i, engine) in self.engines.iter().enumerate() {
            let state = EngineState {
                incarnation: 1,
                model: Some("m".into()),
                version: Some("v".into()),
                layers: engine.layers,
                adapters: [].into(),
                both_phases: true,
                loading: false,
                draining: false,
                queue: 0,
                running: depths[i],
                slots: SLOTS as u32,
                step: Duration::from_secs_f64(engine.step),
                prefill: engine.prefill,
                kv_free: 1 << 30,
            };
            for router in &mut self.routers[..DAEMONS] {
                router.report(&format!("e{i:02}"), seen, PollResult::Engine(state.clone()));
            }
            let truth = EngineState {
                running: 0,
                step: state.step.mul_f64(engine.slow),
                prefill: state.prefill / engine.slow,
                ..state
            };
            self.routers[DAEMONS].report(&format!("e{i:02}"), seen, PollResult::Engine(truth));
        }
    }

    fn router(&self, daemon: usize) -> usize {
        if self.setup.strategy == Strategy::Oracle { DAEMONS } else { daemon }
    }

    fn pick(&mut self, job: usize) -> Vec<TargetIndex> {
        let (daemon, prompt, expected) =
            (self.jobs[job].daemon, self.jobs[job].prompt, self.jobs[job].tokens);
        let request = ChainRequest {
            model: "m",
            version: "v",
            layers: 12,
            adapter: None,
            prefixes: &[],
            prompt,
            expected,
            avoid: &[],
        };
        if matches!(self.setup.strategy, Strategy::Sampled | Strategy::Oracle) {
            let router = self.router(daemon);
            let choice = self.routers[router].choose_chain(&request, self.now).unwrap();
            return choice.stages.iter().map(|s| s.row).collect();
        }
        self.round_robin += 1;
        (0..3)
            .map(|range| {
                let all: Vec<usize> = (range..ENGINES).step_by(3).collect();
                let row = |i: usize| self.routers[daemon].loads().row(i as TargetIndex);
                let chosen = match self.setup.strategy {
                    Strategy::Random => all[self.random.random_range(0..all.len())],
                    Strategy::RoundRobin => all[(self.round_robin / DAEMONS + daemon) % all.len()],
                    _ => all
                        .into_iter()
                        .min_by(|&a, &b| row(a).figures.depth.total_cmp(&row(b).figures.depth))
                        .unwrap(),
                };
                chosen as TargetIndex
            })
            .collect()
    }

    fn begin(&mut self, job: usize, slot: Slot) {
        let chain = self.pick(job);
        let router = self.router(self.jobs[job].daemon);
        let ticket = self.routers[router].begin(&chain, self.now);
        for &engine in &chain {
            self.engines[engine as usize].in_flight += 1;
        }
        let current = &mut self.jobs[job];
        (current.chain, current.held, current.last) = (chain, Some((ticket, slot)), self.now);
        self.at(self.now + LINK, Event::Enter(job));
    }

    /// A step of a job arrives at its stage.
    fn enter(&mut self, job: usize) {
        let engine = self.jobs[job].chain[self.jobs[job].at] as usize;
        if self.engines[engine].busy == SLOTS {
            return self.engines[engine].queue.push_back(job);
        }
        self.engines[engine].busy += 1;
        self.work(job);
    }

    fn work(&mut self, job: usize) {
        let current = &self.jobs[job];
        let engine = &self.engines[current.chain[current.at] as usize];
        let prefill =
            if current.done == 0 { f64::from(current.prompt) / engine.prefill } else { 0.0 };
        let took = Duration::from_secs_f64((prefill + engine.step) * engine.slow);
        self.at(self.now + took, Event::Step(job));
    }

    fn stepped(&mut self, job: usize, ends: &mut Vec<(Duration, Duration)>) {
        let engine = self.jobs[job].chain[self.jobs[job].at] as usize;
        match self.engines[engine].queue.pop_front() {
            Some(next) => self.work(next),
            None => self.engines[engine].busy -= 1,
        }
        let current = &mut self.jobs[job];
        current.at = (current.at + 1) % current.chain.len();
        if current.at == 0 {
            let (chain, gap) = (current.chain.clone(), self.now - current.last);
            match self.setup.strategy {
                Strategy::Sampled if current.done > 0 => {
                    self.routers[current.daemon].record_chain_step(&chain, gap, self.now);
                }
                // The oracle knows the speeds; it is only told that there is progress.
                Strategy::Oracle => {
                    self.routers[DAEMONS].record_chain_step(&chain, Duration::ZERO, self.now);
                }
                _ => {}
            }
            current.done += 1;
            current.last = self.now;
            current.first.get_or_insert(self.now - current.arrived);
            if current.done == current.tokens {
                return self.ended(job, ends);
            }
        }
        self.at(self.now + LINK, Event::Enter(job));
    }

    fn ended(&mut self, job: usize, ends: &mut Vec<(Duration, Duration)>) {
        let current = &mut self.jobs[job];
        let (ticket, slot) = current.held.take().unwrap();
        let daemon = current.daemon;
        ends.push((current.first.unwrap(), self.now - current.arrived));
        for &engine in &current.chain {
            self.engines[engine as usize].in_flight -= 1;
        }
        let router = self.router(daemon);
        self.routers[router].end(&ticket, self.now);
        let outcomes = self.admissions[daemon].release(slot, self.now, 0.5);
        self.outcomes(daemon, outcomes);
    }

    fn outcomes(&mut self, daemon: usize, outcomes: Vec<WaitOutcome>) {
        for outcome in outcomes {
            let job = self.waiting[daemon].remove(&outcome.waiter).unwrap();
            if let Ok(slot) = outcome.result {
                self.begin(job, slot);
            }
        }
    }

    fn arrive(&mut self) {
        let gap = -self.random.random::<f64>().ln() / (self.capacity() * self.setup.load);
        self.at(self.now + Duration::from_secs_f64(gap), Event::Arrive);
        let (daemon, job) = (self.random.random_range(0..DAEMONS), self.jobs.len());
        let (prompt, tokens) = (
            self.random.random_range(PROMPT.0..PROMPT.1),
            self.random.random_range(TOKENS.0..TOKENS.1),
        );
        self.jobs.push(Job {
            daemon,
            org: "o",
            arrived: self.now,
            prompt,
            tokens,
            chain: vec![],
            at: 0,
            done: 0,
            first: None,
            last: self.now,
            held: None,
        });
        let arrival = Arrival {
            organisation: self.jobs[job].org,
            service: "s",
            deadline: self.now + DEADLINE,
            priority: 4,
            cost: tokens,
        };
        match self.admissions[daemon].arrive(&self.fleet, &arrival, self.now, 0.5) {
            AdmitResult::Admitted(slot) => self.begin(job, slot),
            AdmitResult::Refused(_) => {}
            AdmitResult::Queued(waiting) => {
                self.waiting[daemon].insert(waiting.waiter, job);
                self.at(waiting.until, Event::GiveUp(daemon, waiting.waiter));
                self.outcomes(daemon, waiting.displaced.into_iter().collect());
            }
        }
    }

    fn poll(&mut self) {
        let depths = self.engines.iter().map(|e| e.in_flight).collect();
        self.at(self.now + self.setup.lag, Event::Deliver(depths));
        self.at(self.now + POLL, Event::Poll);
        let request = ChainRequest {
            model: "m",
            version: "v",
            layers: 12,
            adapter: None,
            prefixes: &[],
            prompt: 200,
            expected: 40,
            avoid: &[],
        };
        for daemon in 0..DAEMONS {
            self.admissions[daemon].tick(DAEMONS, self.now);
            let router = self.router(daemon);
            if let Some(capacity) = self.routers[router].chain_capacity(&request, self.now) {
                self.admissions[daemon].update_limit("s", capacity);
            }
            let outcomes = self.admissions[daemon].admit_waiting("s", self.now, 0.5);
            self.outcomes(daemon, outcomes);
        }
    }

    fn run(mut self) -> String {
        let (start, mut ends): (Instant, Vec<(Duration, Duration)>) = (self.now, Vec::new());
        while let Some(Reverse((time, _, event))) = self.heap.pop() {
            if time > start + WARM_UP + MEASURED {
                break;
            }
            self.now = time;
            if time < start + WARM_UP {
                ends.clear();
            }
            match event {
                Event::Arrive => self.arrive(),
                Event::Enter(job) => self.enter(job),
                Event::Step(job) => self.stepped(job, &mut ends),
                Event::Poll => self.poll(),
                Event::Deliver(depths) => self.report(&depths, time),
                Event::GiveUp(daemon, waiter) => {
                    if self.admissions[daemon].give_up(waiter, 0.5).is_some() {
                        self.waiting[daemon].remove(&waiter);
                    }
                }
            }
        }
        let good = ends.iter().filter(|(_, whole)| *whole <= DEADLINE).count() as f64;
        let mut firsts: Vec<Duration> = ends.iter().map(|end| end.0).collect();
        firsts.sort();
        let at = |part: f64| {
            firsts.get((firsts.len() as f64 * part) as usize).map_or(0, Duration::as_millis)
        };
        let share = good / MEASURED.as_secs_f64() / self.capacity();
        format!("{share:.2} {}/{}/{}", at(0.5), at(0.95), at(0.99))
    }
}

fn main() {
    let strategies = [
        ("random", Strategy::Random),
        ("robin", Strategy::RoundRobin),
        ("queue", Strategy::ShortestQueue),
        ("ours", Strategy::Sampled),
        ("oracle", Strategy::Oracle),
    ];
    println!("goodput as part of the bound, time to first token p50/p95/p99 ms");
    println!("| slowed | lag s | load | {} |", strategies.map(|(name, _)| name).join(" | "));
    for slowed in [false, true] {
        for (lag, load) in [
            (0.25, 0.5),
            (0.25, 0.9),
            (0.25, 1.0),
            (0.25, 2.0),
            (0.25, 3.0),
            (1.0, 0.9),
            (2.0, 0.9),
            (2.0, 3.0),
        ] {
            let lag_time = Duration::from_secs_f64(lag);
            let one = |(_, strategy)| {
                move || World::new(Setup { strategy, load, lag: lag_time, slowed }).run()
            };
            let row = strategies
                .map(|strategy| std::thread::spawn(one(strategy)))
                .map(|run| run.join().unwrap());
            println!("| {slowed} | {lag} | {load} | {} |", row.join(" | "));
        }
    }
}
