//! Admission in a whole data centre under load: what callers get.
//!
//! The fake has 20 hosts whose view is 150 ms old, and ten engines that run the slower the fuller
//! they are. Refused callers come back after some seconds.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::gateway::admission::{Arrival, Decision, Level, Queue, Scan, Wait, Waiter};
use roseshore_core::gateway::demand::{
    CentreDemand, OrganisationDemand, Rank, RankDemand, ServiceDemand,
};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

const HOSTS: usize = 20;
const ENGINES: usize = 10;
/// Mean requests that an engine has room for: 20 layers on a middle one of the fixtures leave 8 GB
/// for KV cache, of which one takes 0.2 GB.
const ROOM: f64 = 40.0;
/// Seconds that a request runs on an empty engine; on a full one it takes twice as long.
const RUN_TIME: f64 = 1.2;
const STEP: f64 = 0.01;
/// Steps by which a host's view is late.
const VIEW_AGE: usize = 15;
/// Steps over which work is counted.
const COUNTED: usize = 100;
const OBJECTIVE: Duration = Duration::from_millis(500);
/// Work a second at the fill that admission aims at.
const CAPACITY: f64 = ENGINES as f64 * ROOM * 0.9 / (RUN_TIME * 1.9);
/// Size of the smallest of the largest tenth of requests.
const LARGE: f64 = 2.3;

/// Callers of one kind; the demand is relative to [`CAPACITY`].
#[derive(Clone, Copy)]
struct Callers {
    priority: u32,
    organisation: Option<u32>,
    demand: f64,
}

/// What the callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    callers: f64,
    answered: f64,
    large: f64,
    large_answered: f64,
}

#[derive(Clone, Copy)]
struct Request {
    kind: usize,
    work: f64,
    arrived: f64,
    left: f64,
    tries: u32,
    since: f64,
    until: f64,
}

#[derive(Default)]
struct Host {
    level: Level,
    queue: Queue,
    waiting: HashMap<u64, Request>,
}

struct Centre {
    callers: Vec<Callers>,
    rng: SmallRng,
    base: Instant,
    time: f64,
    hosts: Vec<Host>,
    engines: Vec<Vec<Request>>,
    /// Fills of the engines, offered work by kind and ended work in recent steps.
    fills: VecDeque<Vec<f64>>,
    offered: VecDeque<Vec<f64>>,
    ended: VecDeque<f64>,
    back: Vec<(f64, Request)>,
    outcomes: Vec<Outcome>,
    /// Work that ended in each second, and the part of it on the caller's first try.
    goodput: Vec<(f64, f64)>,
    /// Seconds for which refused requests were held.
    held: Vec<f64>,
    next_id: u64,
}

fn rank(callers: &Callers) -> Rank {
    Rank::new(None, callers.priority)
}

fn used(engine: &[Request]) -> f64 {
    engine.iter().map(|r| r.work).sum()
}

impl Centre {
    fn new(callers: &[Callers]) -> Centre {
        let kinds = callers.len();
        Centre {
            callers: callers.to_vec(),
            rng: SmallRng::seed_from_u64(7),
            base: Instant::now(),
            time: 0.0,
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            engines: vec![Vec::new(); ENGINES],
            fills: vec![vec![0.0; ENGINES]; VIEW_AGE].into(),
            offered: vec![vec![0.0; kinds]; COUNTED + VIEW_AGE].into(),
            ended: vec![0.0; COUNTED + VIEW_AGE].into(),
            back: Vec::new(),
            outcomes: vec![Outcome::default(); kinds],
            goodput: Vec::new(),
            held: Vec::new(),
            next_id: 0,
        }
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_secs_f64(self.time)
    }

    /// The sums that all hosts see.
    fn demand(&self) -> CentreDemand {
        let waiting = |rank_seen| {
            let all = self.hosts.iter().flat_map(|host| host.queue.waiters());
            all.filter(|w| w.rank == rank_seen).count() as u16
        };
        let seconds = COUNTED as f64 * STEP;
        let ended = (self.ended.iter().take(COUNTED).sum::<f64>() / seconds) as f32;
        let mut total = ServiceDemand { ended, ..ServiceDemand::default() };
        for (kind, callers) in self.callers.iter().enumerate() {
            let work: f64 = self.offered.iter().take(COUNTED).map(|step| step[kind]).sum();
            let (rank, offered) = (rank(callers), (work / seconds) as f32);
            match total.ranks.iter_mut().find(|r| r.rank == rank) {
                Some(known) => known.offered += offered,
                None => total.ranks.push(RankDemand { rank, offered, waiting: waiting(rank) }),
            }
            if let Some(organisation) = callers.organisation {
                total.organisations.push(OrganisationDemand { organisation, rank, offered });
            }
        }
        CentreDemand { total, own_part: 1.0 / HOSTS as f64, hosts: HOSTS }
    }

    /// Runs for some seconds with the demand of each kind times `load`.
    fn run(&mut self, seconds: f64, load: f64) {
        for _ in 0..(seconds / STEP).round() as usize {
            self.time += STEP;
            self.run_engines();
            let demand = self.demand();
            let mut arrivals = self.new_callers(load);
            let time = self.time;
            let returned = self.back.iter().filter(|(at, _)| *at <= time);
            arrivals.extend(returned.map(|(_, request)| *request));
            self.back.retain(|(at, _)| *at > time);
            let mut offered = vec![0.0; self.callers.len()];
            for request in arrivals {
                offered[request.kind] += request.work;
                self.arrive(request, &demand);
            }
            self.offered.push_back(offered);
            self.offered.pop_front();
            for host in 0..HOSTS {
                self.serve_queue(host);
            }
        }
    }

    fn run_engines(&mut self) {
        let second = self.time as usize;
        self.goodput.resize(second + 1, (0.0, 0.0));
        let mut ended = 0.0;
        for engine in &mut self.engines {
            let fill = used(engine) / ROOM;
            for request in engine.iter_mut() {
                request.left -= STEP / (1.0 + fill);
            }
            for request in engine.extract_if(.., |r| r.left <= 0.0) {
                ended += request.work;
                self.goodput[second].1 += if request.tries == 1 { request.work } else { 0.0 };
            }
        }
        self.goodput[second].0 += ended;
        self.fills.push_back(self.engines.iter().map(|e| used(e) / ROOM).collect());
        self.fills.pop_front();
        self.ended.push_back(ended);
        self.ended.pop_front();
    }

    fn new_callers(&mut self, load: f64) -> Vec<Request> {
        let mut arrivals = Vec::new();
        for (kind, callers) in self.callers.iter().enumerate() {
            let mut expected = callers.demand * load * CAPACITY * STEP;
            while self.rng.random::<f64>() < expected {
                expected -= 1.0;
                let work = (-self.rng.random::<f64>().max(0.01).ln()).max(0.1);
                let left = RUN_TIME * 2.0 * self.rng.random::<f64>();
                let arrived = self.time;
                let (tries, since, until) = (0, 0.0, 0.0);
                arrivals.push(Request { kind, work, arrived, left, tries, since, until });
                let outcome = &mut self.outcomes[kind];
                outcome.callers += 1.0;
                outcome.large += f64::from(u8::from(work > LARGE));
            }
        }
        arrivals
    }

    /// The engine that a host prefers, and its fill with a request as the host sees it.
    fn choose(&mut self, work: f64) -> (usize, f64) {
        let rng = &mut self.rng;
        let seen = self.fills[0].iter().map(|fill| fill + 0.2 * rng.random::<f64>());
        let best = seen.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map_or(0, |(e, _)| e);
        (best, self.fills[0][best] + work / ROOM)
    }

    /// Sends a request if its host sees room, and its engine has it.
    fn send(&mut self, request: Request) -> bool {
        let (engine, seen) = self.choose(request.work);
        if seen > 1.0 || used(&self.engines[engine]) + request.work > ROOM {
            return false;
        }
        let outcome = &mut self.outcomes[request.kind];
        outcome.answered += 1.0;
        outcome.large_answered += f64::from(u8::from(request.work > LARGE));
        self.engines[engine].push(request);
        true
    }

    fn arrive(&mut self, request: Request, demand: &CentreDemand) {
        let request = Request { tries: request.tries + 1, since: self.time, ..request };
        let callers = self.callers[request.kind];
        let (rank, returned) = (rank(&callers), request.tries > 1);
        let arrival = Arrival { rank, organisation: callers.organisation, returned };
        let (_, seen) = self.choose(request.work);
        let (now, draw) = (self.now(), self.rng.random());
        let at = self.rng.random_range(0..HOSTS);
        let host = &mut self.hosts[at];
        let seen = if host.queue.is_empty() { seen } else { seen.max(1.0) };
        if host.level.decide(&arrival, seen, demand, now, draw) != Decision::Admit {
            return self.refuse(request);
        }
        self.next_id += 1;
        let waiter = Waiter {
            id: self.next_id,
            begun: false,
            rank,
            returned,
            organisation: callers.organisation.unwrap_or(0),
            work: request.work,
            bytes: 1000,
            since: now,
        };
        if host.queue.may_pass(&waiter, now) && self.send(request) {
            return;
        }
        let wait = Wait {
            begun: false,
            rank,
            work: request.work,
            objective: OBJECTIVE,
            first_token: Duration::from_millis(100),
            age: Duration::ZERO,
        };
        let host = &mut self.hosts[at];
        let Some(hold) = wait.hold(host.queue.ahead(&waiter), demand) else {
            return self.refuse(request);
        };
        host.queue.join(waiter);
        let until = self.time + hold.as_secs_f64();
        host.waiting.insert(waiter.id, Request { until, ..request });
    }

    /// The caller comes back some seconds later, up to eight after its first try.
    fn refuse(&mut self, request: Request) {
        self.held.push(self.time - request.since);
        let after = 2.4 + 2.0 * self.rng.random::<f64>();
        if self.time + after < request.arrived + 8.0 {
            self.back.push((self.time + after, request));
        }
    }

    fn serve_queue(&mut self, at: usize) {
        let (now, time) = (self.now(), self.time);
        let due = self.hosts[at].waiting.iter().filter(|(_, r)| r.until <= time);
        let mut due: Vec<u64> = due.map(|(id, _)| *id).collect();
        due.sort_unstable();
        for id in due {
            self.hosts[at].queue.remove(id);
            if let Some(request) = self.hosts[at].waiting.remove(&id) {
                self.refuse(request);
            }
        }
        let mut scan = Scan::default();
        while let Some(waiter) = self.hosts[at].queue.next(&mut scan) {
            if self.send(self.hosts[at].waiting[&waiter.id]) {
                self.hosts[at].queue.take(waiter.id);
                self.hosts[at].waiting.remove(&waiter.id);
            } else {
                scan.found_none(&waiter, false, now);
            }
        }
    }

    /// Mean work a second that ended in some seconds, and that of it on first tries.
    fn goodput(&self, from: usize, to: usize) -> (f64, f64) {
        let seconds = (to - from) as f64;
        let all = &self.goodput[from..to];
        (
            all.iter().map(|s| s.0).sum::<f64>() / seconds,
            all.iter().map(|s| s.1).sum::<f64>() / seconds,
        )
    }
}

fn callers(priority: u32, organisation: Option<u32>, demand: f64) -> Callers {
    Callers { priority, organisation, demand }
}

/// A data centre after some seconds of usual load and some of overload.
fn overloaded(callers: &[Callers], usual: f64, load: f64) -> Centre {
    let mut centre = Centre::new(callers);
    centre.run(6.0, usual);
    centre.outcomes.fill(Outcome::default());
    centre.held.clear();
    centre.run(20.0, load);
    // Callers who are still to come back are not counted.
    for (_, request) in &centre.back {
        let outcome = &mut centre.outcomes[request.kind];
        outcome.callers -= 1.0;
        outcome.large -= f64::from(u8::from(request.work > LARGE));
    }
    centre
}

#[test]
fn goodput_stays_up_in_an_overload() {
    struct Case {
        load: f64,
        /// Least goodput, relative to that at the capacity.
        goodput: f64,
    }
    let cases = [
        Case { load: 1.5, goodput: 0.95 },
        Case { load: 2.0, goodput: 0.9 },
        Case { load: 3.0, goodput: 0.9 },
    ];
    let (full, _) = overloaded(&[callers(0, None, 1.0)], 0.8, 1.0).goodput(10, 26);
    for Case { load, goodput } in cases {
        let mut centre = overloaded(&[callers(0, None, 1.0)], 0.8, load);
        let (all, first_tries) = centre.goodput(10, 26);
        assert!(all >= goodput * full, "load {load}: {all:.1} of {full:.1}");
        // Most room goes to callers who can still be answered in time.
        assert!(first_tries >= 0.75 * full, "load {load}: {first_tries:.1} on first tries");
        let Outcome { callers, answered, large, large_answered } = centre.outcomes[0];
        let (of_all, of_large) = (answered / callers, large_answered / large);
        assert!(
            of_large >= 0.5 * of_all,
            "load {load}: {of_large:.2} of large, {of_all:.2} of all"
        );
        // Who cannot be served learns it in a tenth of a second, so that it can try elsewhere.
        centre.held.sort_by(f64::total_cmp);
        let late = centre.held[centre.held.len() * 99 / 100];
        assert!(late <= 0.1 + STEP, "load {load}: refused callers were held for {late:.2} s");
    }
}

#[test]
fn the_first_rank_is_served_while_its_own_demand_fits() {
    let ranks = [callers(0, None, 0.2), callers(1, None, 0.3), callers(2, None, 0.5)];
    let centre = overloaded(&ranks, 0.8, 3.0);
    let answered = centre.outcomes.iter().map(|o| o.answered / o.callers);
    let answered: Vec<f64> = answered.collect();
    assert!(answered[0] >= 0.95, "{answered:?}");
    assert!(answered[1] > answered[2], "{answered:?}");
    assert!(answered[2] > 0.0, "no rank starves: {answered:?}");
}

#[test]
fn organisations_within_their_share_are_served_beside_a_greedy_one() {
    let mut all: Vec<Callers> = (1..=8).map(|id| callers(0, Some(id), 0.09)).collect();
    all.push(callers(0, Some(9), 7.5 * 0.09));
    let centre = overloaded(&all, 0.6, 1.0);
    let part = |outcomes: &[Outcome]| {
        let answered: f64 = outcomes.iter().map(|o| o.answered).sum();
        answered / outcomes.iter().map(|o| o.callers).sum::<f64>()
    };
    let (small, greedy) = (part(&centre.outcomes[..8]), part(&centre.outcomes[8..]));
    assert!(small >= 0.98, "{small:.3} beside {greedy:.3}");
    assert!(greedy > 0.1, "what the others leave goes to it: {greedy:.3}");
}

#[test]
fn goodput_is_back_two_seconds_after_an_overload() {
    let mut centre = overloaded(&[callers(0, None, 1.0)], 0.8, 3.0);
    let ended = centre.time as usize;
    centre.run(8.0, 0.8);
    let (before, _) = centre.goodput(3, 6);
    let (after, first_tries) = centre.goodput(ended + 2, ended + 8);
    assert!(after >= 0.95 * before, "{after:.1} of {before:.1}");
    // New callers keep most of the room beside those who return.
    assert!(first_tries >= 0.75 * before, "{first_tries:.1} of {before:.1} on first tries");
}
