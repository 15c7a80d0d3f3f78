//! Measures the cost of one decision at four fleet sizes: chains, replicas, reports and admission.
//!
//! 24 models of three layer ranges over 22 data centres; every decision is also begun and ended.
//! Run with `cargo run --release -p roseshore_core --example route_cost`.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use roseshore_core::admit::{Admission, AdmitResult, Arrival, Capacity};
use roseshore_core::fleet::{DataCentre, ServiceKind, TargetKind};
use roseshore_core::load::{EngineState, PollResult, TargetIndex};
use roseshore_core::prelude::*;
use roseshore_core::route::{ChainRequest, Router, SampleSizes};
use std::net::{Ipv4Addr, SocketAddr};

const MODELS: usize = 24;
const DATA_CENTRES: usize = 22;
const ROUNDS: usize = 100_000;

fn fleet(targets: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for data_centre in 0..DATA_CENTRES {
        let links = (0..DATA_CENTRES).map(|other| (format!("z{other}"), 5.0)).collect();
        let centre = DataCentre { region: "r".into(), links };
        fleet.data_centres.insert(format!("z{data_centre}"), centre);
    }
    for i in 0..targets {
        let service = i % 20 == 0;
        let target = Target {
            kind: if service { TargetKind::Service } else { TargetKind::Engine },
            host: format!("h{i}"),
            data_centre: format!("z{}", i / 3 % DATA_CENTRES),
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            serves: service.then(|| "lookup".to_owned()),
            model: None,
            layers: None,
            accelerator: None,
            checks_fence: false,
        };
        fleet.targets.insert(format!("t{i}"), target);
    }
    let service = Service {
        kind: ServiceKind::Lookup,
        model: None,
        sources: Vec::new(),
        idempotent: true,
        advisory: false,
        deadline: Duration::from_secs(30),
    };
    fleet.services.insert("lookup".into(), service);
    for i in 0..33_000 {
        let limits = Organisation { share: 1.0, rate: 1e9, burst: 1e9 };
        fleet.organisations.insert(format!("o{i}"), limits);
    }
    fleet
}

fn engine(i: usize) -> EngineState {
    let range = (i % 3) as Layer;
    EngineState {
        incarnation: 1,
        model: Some(format!("m{}", i / 3 % MODELS)),
        version: Some("v".into()),
        layers: (range * 20, range * 20 + 20),
        adapters: [].into(),
        both_phases: true,
        loading: false,
        draining: false,
        queue: 0,
        running: (i % 7) as u32,
        slots: 8,
        step: Duration::from_millis(1 + (i % 5) as u64),
        prefill: 4000.0,
        kv_free: 1 << 20,
    }
}

/// Median and 99th percentile of the time of `rounds` calls, in microseconds.
fn time(rounds: usize, mut call: impl FnMut(usize)) -> String {
    let mut took: Vec<f64> = (0..rounds)
        .map(|round| {
            let start = Instant::now();
            call(round);
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    took.sort_by(f64::total_cmp);
    format!("{:.2} / {:.2}", took[rounds / 2], took[rounds * 99 / 100])
}

fn chains(router: &mut Router, now: Instant) -> String {
    let models: Vec<String> = (0..MODELS).map(|m| format!("m{m}")).collect();
    let prefixes: Vec<(u32, u64)> = (1..9).map(|n| (n * 64, u64::from(n))).collect();
    time(ROUNDS, |round| {
        let request = ChainRequest {
            model: &models[round % MODELS],
            version: "v",
            layers: 60,
            adapter: None,
            prefixes: &prefixes,
            prompt: 600,
            expected: 100,
            avoid: &[],
        };
        let choice = router.choose_chain(&request, now).expect("a chain");
        let rows: Vec<TargetIndex> = choice.stages.iter().map(|stage| stage.row).collect();
        let ticket = router.begin(&rows, now);
        router.record_chain_step(&rows, Duration::from_millis(10), now);
        router.end(&ticket, now);
    })
}

fn admissions(fleet: &Fleet, now: Instant) -> String {
    let mut admission = Admission::default();
    let mut random = SmallRng::seed_from_u64(3);
    let ids: Vec<String> =
        (0..2000).map(|_| format!("o{}", random.random_range(0..33_000))).collect();
    admission.update_limit("lookup", Capacity { slots: 64.0, busy: 0.0 });
    time(ROUNDS, |round| {
        let arrival = Arrival {
            organisation: &ids[round % ids.len()],
            service: "lookup",
            deadline: now + Duration::from_secs(30),
            priority: 4,
            cost: 1,
        };
        let AdmitResult::Admitted(slot) = admission.arrive(fleet, &arrival, now, 0.5) else {
            panic!("not admitted")
        };
        admission.release(slot, now, 0.5);
    })
}

fn main() {
    println!("microseconds, median / 99th percentile");
    println!("| targets | chain | replica | report | admission |");
    for targets in [250, 500, 1000, 2000] {
        let fleet = fleet(targets);
        let mut now = Instant::now();
        let mut router = Router::new("z0", SampleSizes::default(), SmallRng::seed_from_u64(1));
        router.apply_fleet(&fleet);
        let ids: Vec<String> = (0..targets).map(|i| format!("t{i}")).collect();
        let engines = (0..targets).filter(|i| i % 20 != 0);
        for i in engines.clone() {
            router.report(&ids[i], now, PollResult::Engine(engine(i)));
        }
        let chain = chains(&mut router, now);
        let replica = time(ROUNDS, |_| {
            let row = router.choose_replica("lookup", &[], now).expect("a replica");
            let ticket = router.begin(&[row], now);
            router.end(&ticket, now);
        });
        let states: Vec<(usize, EngineState)> = engines.map(|i| (i, engine(i))).collect();
        let report = time(ROUNDS, |round| {
            now += Duration::from_micros(10);
            let (i, state) = &states[round % states.len()];
            router.report(&ids[*i], now, PollResult::Engine(state.clone()));
        });
        let admission = admissions(&fleet, now);
        println!("| {targets} | {chain} | {replica} | {report} | {admission} |");
    }
}
