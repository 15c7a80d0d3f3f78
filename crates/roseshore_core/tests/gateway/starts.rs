//! Tests of where requests start: what callers get where the slots of one engine are fewer than the
//! answers that run.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use roseshore_core::gateway::path::{Candidate, PathRequest, choose};

/// Hosts that send requests in turn.
const HOSTS: usize = 20;
/// Delay until a host learns what the others have in flight, s.
const REPORT_DELAY: f64 = 0.3;
/// Requests a second.
const RATE: f64 = 66.0;
/// Length of the load, s.
const SECONDS: f64 = 20.0;
/// Time that an answer runs, s: 138 tokens of 23 ms.
const ANSWER_TIME: f64 = 3.2;
/// Slots of an engine.
const SLOTS: usize = 192;
/// Time within which the first event should come, s.
const OBJECTIVE: f64 = 0.5;

/// A request at the engine where it started; times in s.
struct Sent {
    host: usize,
    engine: usize,
    at: f64,
    /// When its first event comes.
    first: f64,
    /// When its answer ends.
    end: f64,
}

struct Load {
    name: &'static str,
    /// Factor by which each engine that holds the first layers decodes slower than the fastest.
    engines: &'static [f64],
    /// Whether hosts count the requests in flight at each engine.
    counted: bool,
    /// First events that come late.
    late: usize,
    /// Requests that are refused.
    refused: usize,
}

/// Requests that an engine has in flight as far as a host knows.
fn known_in_flight(sent: &[Sent], host: usize, engine: usize, now: f64) -> usize {
    let lag = |s: &Sent| if s.host == host { 0.0 } else { REPORT_DELAY };
    let runs = |s: &&Sent| s.engine == engine && s.at + lag(s) <= now && s.end + lag(s) > now;
    sent.iter().filter(runs).count()
}

/// When an engine has a free slot for one more request.
fn free_at(sent: &[Sent], engine: usize, now: f64) -> f64 {
    let mut ends: Vec<f64> =
        sent.iter().filter(|s| s.engine == engine && s.end > now).map(|s| s.end).collect();
    ends.sort_by(f64::total_cmp);
    if ends.len() < SLOTS { now } else { ends[ends.len() - SLOTS] }
}

/// Simulates a load; returns the first events that come late, and the requests that no engine had
/// capacity for.
fn simulate(load: &Load) -> (usize, usize) {
    let (mut sent, mut refused) = (Vec::new(), 0);
    let mut random = SmallRng::seed_from_u64(3);
    let request = PathRequest {
        layers: 80,
        prompt_tokens: 760.0,
        answer_tokens: 138.0,
        data_centre: "north",
        avoided: &[],
        excluded_first: &[],
        allowed_first: None,
    };
    for n in 0..(RATE * SECONDS) as usize {
        let (host, now) = (n % HOSTS, n as f64 / RATE);
        let candidate = |name: &str, layers, decode_ms, busy: usize| Candidate {
            id: name.to_owned(),
            addr: "10.0.0.1:80".parse().expect("an address"),
            local: true,
            data_centre: "north".to_owned(),
            layers,
            decode_ms,
            prefill_ms: 0.0001,
            in_flight: busy as f64,
            slots: SLOTS as f64,
            slot_room: f64::INFINITY,
            kv_free: 9e6,
            kv_room: f64::INFINITY,
            kv_capacity: 9e6,
            healthy: true,
        };
        let busy =
            |engine| if load.counted { known_in_flight(&sent, host, engine, now) } else { 0 };
        let firsts = load.engines.iter().enumerate();
        let mut candidates: Vec<Candidate> = firsts
            .map(|(e, slow)| candidate(&e.to_string(), (0, 10), 0.05 * slow, busy(e)))
            .collect();
        candidates.push(candidate("rest", (10, 80), 0.3, 0));
        let path = choose(&candidates, &request, &mut random).expect("a path");
        if !path.suitable {
            refused += 1;
            continue;
        }
        let engine: usize = path.hops[0].0.parse().expect("one of the first");
        let first = free_at(&sent, engine, now) + 0.05;
        sent.push(Sent { host, engine, at: now, first, end: first + ANSWER_TIME });
    }
    (sent.iter().filter(|s| s.first - s.at > OBJECTIVE).count(), refused)
}

#[test]
fn requests_begin_where_slots_are_free() {
    let cases = [
        Load {
            name: "a fast engine and a slow one, not counted",
            engines: &[1.0, 5.0],
            counted: false,
            late: 936,
            refused: 0,
        },
        Load {
            name: "a fast engine and a slow one",
            engines: &[1.0, 5.0],
            counted: true,
            late: 0,
            refused: 0,
        },
        Load {
            name: "one engine, not counted",
            engines: &[1.0],
            counted: false,
            late: 936,
            refused: 0,
        },
        Load { name: "one engine", engines: &[1.0], counted: true, late: 0, refused: 138 },
    ];
    for load in cases {
        assert_eq!(simulate(&load), (load.late, load.refused), "{}", load.name);
    }
}
