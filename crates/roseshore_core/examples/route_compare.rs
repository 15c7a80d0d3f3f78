//! Compares ways to choose a chain, by their decisions only: targets are queues in virtual time.
//!
//! Today's size: 30 engines in three data centres, three pieces of twelve layers, three kinds of
//! accelerators, 8 daemons that share late reports. Every way stands behind the same admission. Figures
//! of one seeded run each; `cargo run --release -p roseshore_core --example route_compare`.

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
const LIMIT: Duration = Duration::from_secs(4);
const LINK: Duration = Duration::from_millis(1);
const WARM: Duration = Duration::from_secs(15);
const MEASURED: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, PartialEq)]
enum Way {
    Random,
    Robin,
    Queue,
    Ours,
    Oracle,
}

#[derive(Clone, Copy)]
struct Setup {
    way: Way,
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
    inside: u32,
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
    hold: Option<(Ticket, Slot)>,
}

struct World {
    now: Instant,
    heap: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    engines: Vec<Engine>,
    jobs: Vec<Job>,
    routers: Vec<Router>,
    admissions: Vec<Admission>,
    waits: Vec<HashMap<u64, usize>>,
    fleet: Fleet,
    random: SmallRng,
    robin: usize,
    setup: Setup,
}

impl World {
    fn new(setup: Setup) -> World {
        let (now, mut fleet) = (Instant::now(), Fleet::default());
        let mut engines = Vec::new();
        for zone in ["korangi", "clifton", "landhi"] {
            let links =
                ["korangi", "clifton", "landhi"].map(|other| (other.to_owned(), 1.0)).into();
            fleet.data_centres.insert(zone.into(), DataCentre { region: "pk-south".into(), links });
        }
        for i in 0..ENGINES {
            let speed = [1.0, 2.0, 4.0][i / 3 % 3];
            let piece = (i % 3) as Layer;
            let zone = ["korangi", "clifton", "landhi"][i / 9 % 3];
            let target = Target {
                kind: TargetKind::Engine,
                host: "h".into(),
                data_centre: zone.into(),
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
                layers: (piece * 4, piece * 4 + 4),
                step: 0.002 * speed,
                prefill: 4000.0 / speed,
                slow,
                busy: 0,
                queue: VecDeque::new(),
                inside: 0,
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
                deadline: LIMIT,
            },
        );
        fleet.organisations.insert("o".into(), Organisation { share: 1.0, rate: 1e9, burst: 1e9 });
        let zones = ["korangi", "clifton", "landhi"];
        // One more than daemons: the oracle sees every request and knows the true speeds.
        let routers = (0..=DAEMONS)
            .map(|d| {
                let all = SampleSizes { near: ENGINES, far: ENGINES };
                let tuning = if d == DAEMONS { all } else { SampleSizes::default() };
                let mut router =
                    Router::new(zones[d % 3], tuning, SmallRng::seed_from_u64(d as u64));
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
            waits: vec![HashMap::new(); DAEMONS],
            fleet,
            random: SmallRng::seed_from_u64(99),
            robin: 0,
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

    /// Answers a second that the narrowest piece can do.
    fn bound(&self) -> f64 {
        let (tokens, prompt) =
            (f64::from(TOKENS.0 + TOKENS.1) / 2.0, f64::from(PROMPT.0 + PROMPT.1) / 2.0);
        let rate = |e: &Engine| SLOTS as f64 / (e.slow * (prompt / e.prefill + tokens * e.step));
        let piece = |p: usize| self.engines.iter().skip(p).step_by(3).map(rate).sum::<f64>();
        (0..3).map(piece).fold(f64::INFINITY, f64::min)
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
        if self.setup.way == Way::Oracle { DAEMONS } else { daemon }
    }

    fn pick(&mut self, job: usize) -> Vec<TargetIndex> {
        let (daemon, prompt, expected) =
            (self.jobs[job].daemon, self.jobs[job].prompt, self.jobs[job].tokens);
        let need = ChainRequest {
            model: "m",
            version: "v",
            layers: 12,
            adapter: None,
            prefixes: &[],
            prompt,
            expected,
            avoid: &[],
        };
        if matches!(self.setup.way, Way::Ours | Way::Oracle) {
            let router = self.router(daemon);
            let choice = self.routers[router].choose_chain(&need, self.now).unwrap();
            return choice.stages.iter().map(|s| s.row).collect();
        }
        self.robin += 1;
        (0..3)
            .map(|piece| {
                let all: Vec<usize> = (piece..ENGINES).step_by(3).collect();
                let row = |i: usize| self.routers[daemon].loads().row(i as TargetIndex);
                let chosen = match self.setup.way {
                    Way::Random => all[self.random.random_range(0..all.len())],
                    Way::Robin => all[(self.robin / DAEMONS + daemon) % all.len()],
                    _ => all
                        .into_iter()
                        .min_by(|&a, &b| row(a).figures.depth.total_cmp(&row(b).figures.depth))
                        .unwrap(),
                };
                chosen as TargetIndex
            })
            .collect()
    }

    fn begin(&mut self, job: usize, pass: Slot) {
        let chain = self.pick(job);
        let router = self.router(self.jobs[job].daemon);
        let ticket = self.routers[router].begin(&chain, self.now);
        for &engine in &chain {
            self.engines[engine as usize].inside += 1;
        }
        let own = &mut self.jobs[job];
        (own.chain, own.hold, own.last) = (chain, Some((ticket, pass)), self.now);
        self.at(self.now + LINK, Event::Enter(job));
    }

    /// A step of a job comes to its stage.
    fn enter(&mut self, job: usize) {
        let engine = self.jobs[job].chain[self.jobs[job].at] as usize;
        if self.engines[engine].busy == SLOTS {
            return self.engines[engine].queue.push_back(job);
        }
        self.engines[engine].busy += 1;
        self.work(job);
    }

    fn work(&mut self, job: usize) {
        let own = &self.jobs[job];
        let engine = &self.engines[own.chain[own.at] as usize];
        let prefill = if own.done == 0 { f64::from(own.prompt) / engine.prefill } else { 0.0 };
        let took = Duration::from_secs_f64((prefill + engine.step) * engine.slow);
        self.at(self.now + took, Event::Step(job));
    }

    fn stepped(&mut self, job: usize, ends: &mut Vec<(Duration, Duration)>) {
        let engine = self.jobs[job].chain[self.jobs[job].at] as usize;
        match self.engines[engine].queue.pop_front() {
            Some(next) => self.work(next),
            None => self.engines[engine].busy -= 1,
        }
        let own = &mut self.jobs[job];
        own.at = (own.at + 1) % own.chain.len();
        if own.at == 0 {
            let (chain, gap) = (own.chain.clone(), self.now - own.last);
            match self.setup.way {
                Way::Ours if own.done > 0 => {
                    self.routers[own.daemon].record_chain_step(&chain, gap, self.now)
                }
                // The oracle knows the speeds; it is only told that there is progress.
                Way::Oracle => {
                    self.routers[DAEMONS].record_chain_step(&chain, Duration::ZERO, self.now)
                }
                _ => {}
            }
            own.done += 1;
            own.last = self.now;
            own.first.get_or_insert(self.now - own.arrived);
            if own.done == own.tokens {
                return self.ended(job, ends);
            }
        }
        self.at(self.now + LINK, Event::Enter(job));
    }

    fn ended(&mut self, job: usize, ends: &mut Vec<(Duration, Duration)>) {
        let own = &mut self.jobs[job];
        let (ticket, pass) = own.hold.take().unwrap();
        let daemon = own.daemon;
        ends.push((own.first.unwrap(), self.now - own.arrived));
        for &engine in &own.chain {
            self.engines[engine as usize].inside -= 1;
        }
        let router = self.router(daemon);
        self.routers[router].end(&ticket, self.now);
        let turns = self.admissions[daemon].release(pass, self.now, 0.5);
        self.turns(daemon, turns);
    }

    fn turns(&mut self, daemon: usize, turns: Vec<WaitOutcome>) {
        for turn in turns {
            let job = self.waits[daemon].remove(&turn.waiter).unwrap();
            if let Ok(pass) = turn.result {
                self.begin(job, pass);
            }
        }
    }

    fn arrive(&mut self) {
        let gap = -self.random.random::<f64>().ln() / (self.bound() * self.setup.load);
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
            hold: None,
        });
        let who = Arrival {
            organisation: self.jobs[job].org,
            service: "s",
            deadline: self.now + LIMIT,
            priority: 4,
            cost: tokens,
        };
        match self.admissions[daemon].arrive(&self.fleet, &who, self.now, 0.5) {
            AdmitResult::Admitted(pass) => self.begin(job, pass),
            AdmitResult::Refused(_) => {}
            AdmitResult::Queued(waits) => {
                self.waits[daemon].insert(waits.waiter, job);
                self.at(waits.until, Event::GiveUp(daemon, waits.waiter));
                self.turns(daemon, waits.displaced.into_iter().collect());
            }
        }
    }

    fn poll(&mut self) {
        let depths = self.engines.iter().map(|e| e.inside).collect();
        self.at(self.now + self.setup.lag, Event::Deliver(depths));
        self.at(self.now + POLL, Event::Poll);
        let need = ChainRequest {
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
            if let Some(room) = self.routers[router].chain_capacity(&need, self.now) {
                self.admissions[daemon].update_limit("s", room);
            }
            let turns = self.admissions[daemon].admit_waiting("s", self.now, 0.5);
            self.turns(daemon, turns);
        }
    }

    fn run(mut self) -> String {
        let (start, mut ends): (Instant, Vec<(Duration, Duration)>) = (self.now, Vec::new());
        while let Some(Reverse((time, _, event))) = self.heap.pop() {
            if time > start + WARM + MEASURED {
                break;
            }
            self.now = time;
            if time < start + WARM {
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
                        self.waits[daemon].remove(&waiter);
                    }
                }
            }
        }
        let good = ends.iter().filter(|(_, whole)| *whole <= LIMIT).count() as f64;
        let mut firsts: Vec<Duration> = ends.iter().map(|end| end.0).collect();
        firsts.sort();
        let at = |part: f64| {
            firsts.get((firsts.len() as f64 * part) as usize).map_or(0, Duration::as_millis)
        };
        let share = good / MEASURED.as_secs_f64() / self.bound();
        format!("{share:.2} {}/{}/{}", at(0.5), at(0.95), at(0.99))
    }
}

fn main() {
    let ways = [
        ("random", Way::Random),
        ("robin", Way::Robin),
        ("queue", Way::Queue),
        ("ours", Way::Ours),
        ("oracle", Way::Oracle),
    ];
    println!("goodput as part of the bound, time to first token p50/p95/p99 ms");
    println!("| slowed | lag s | load | {} |", ways.map(|(name, _)| name).join(" | "));
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
            let one =
                |(_, way)| move || World::new(Setup { way, load, lag: lag_time, slowed }).run();
            let row = ways.map(|way| std::thread::spawn(one(way))).map(|run| run.join().unwrap());
            println!("| {slowed} | {lag} | {load} | {} |", row.join(" | "));
        }
    }
}
