//! Chains cover every layer once with usable targets, whatever is known of the targets.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use roseshore_core::fleet::{DataCentre, TargetKind};
use roseshore_core::load::{EngineState, PollResult, ServiceState};
use roseshore_core::prelude::*;
use roseshore_core::route::prefix::CacheChange;
use roseshore_core::route::{ChainRequest, Router, SampleSizes};

const LAYERS: Layer = 12;

#[derive(Clone, Copy, Debug)]
struct Engine {
    id: &'static str,
    data_centre: &'static str,
    layers: (Layer, Layer),
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Usable,
    Queue(u32),
    OldVersion,
    OtherModel,
    NoAdapter,
    Loading,
    Draining,
    HostLeaving,
    Failed,
    Silent,
    Unreported,
    Prefill,
    Cached,
}

use State::*;

fn engine(
    id: &'static str,
    data_centre: &'static str,
    layers: (Layer, Layer),
    state: State,
) -> Engine {
    Engine { id, data_centre, layers, state }
}

fn report(engine: &Engine) -> EngineState {
    let queue = if let Queue(queue) = engine.state { queue } else { 0 };
    EngineState {
        incarnation: 7,
        model: Some(if engine.state == OtherModel { "n" } else { "m" }.into()),
        version: Some(if engine.state == OldVersion { "v1" } else { "v2" }.into()),
        layers: engine.layers,
        adapters: (engine.state != NoAdapter).then(|| "a".to_owned()).into_iter().collect(),
        both_phases: engine.state != Prefill,
        loading: engine.state == Loading,
        draining: engine.state == Draining,
        queue,
        running: queue,
        slots: 4,
        step: Duration::from_millis(2),
        prefill: 1000.0,
        kv_free: 100_000,
    }
}

fn target(kind: TargetKind, data_centre: &str, serves: Option<&str>) -> Target {
    Target {
        kind,
        host: "h".into(),
        data_centre: data_centre.into(),
        addr: "127.0.0.1:1".parse().unwrap(),
        serves: serves.map(str::to_owned),
        model: None,
        layers: None,
        accelerator: None,
        checks_fence: false,
    }
}

fn fleet(targets: impl Iterator<Item = (String, Target)>) -> Fleet {
    let mut fleet = Fleet { targets: targets.collect(), ..Fleet::default() };
    for data_centre in ["near", "far"] {
        let links = [("near", 1.0), ("far", 1.0)].map(|(id, ms)| (id.to_owned(), ms));
        let zone_links = links.into_iter().collect();
        let centre = DataCentre { region: "r".into(), links: zone_links };
        fleet.data_centres.insert(data_centre.into(), centre);
    }
    fleet
}

fn router(engines: &[Engine], seed: u64, now: Instant) -> Router {
    let mut router = Router::new("near", SampleSizes::default(), SmallRng::seed_from_u64(seed));
    let declared = |e: &Engine| (e.id.to_owned(), target(TargetKind::Engine, e.data_centre, None));
    router.apply_fleet(&fleet(engines.iter().map(declared)));
    for engine in engines {
        if engine.state != Unreported {
            router.report(engine.id, now, PollResult::Engine(report(engine)));
        }
        match engine.state {
            Failed => router.record_failure(engine.id, now),
            HostLeaving => {
                let row = router.loads().find(engine.id).unwrap();
                router.set_host_leaving(row, true);
            }
            Silent => {
                let later = now + Duration::from_millis(1);
                router.report(engine.id, later, PollResult::Silent);
            }
            Cached => router
                .apply_cache_changes(engine.id, &[CacheChange::Stored { hash: 9, tokens: 900 }]),
            _ => {}
        }
    }
    router
}

fn request(avoid: &[TargetId]) -> ChainRequest<'_> {
    ChainRequest {
        model: "m",
        version: "v2",
        layers: LAYERS,
        adapter: Some("a"),
        prefixes: &[(100, 8), (900, 9)],
        prompt: 1000,
        expected: 100,
        avoid,
    }
}

fn choose(router: &mut Router, avoid: &[TargetId], now: Instant) -> Option<Vec<String>> {
    let chain = router.choose_chain(&request(avoid), now)?;
    let tiles = chain.stages.windows(2).all(|w| w[0].layers.1 == w[1].layers.0);
    let (first, last) = (chain.stages.first()?, chain.stages.last()?);
    assert!(tiles && first.layers.0 == 0 && last.layers.1 == LAYERS, "{chain:?}");
    Some(chain.stages.iter().map(|s| router.loads().row(s.row).id.clone()).collect())
}

struct Case {
    name: &'static str,
    engines: Vec<Engine>,
    avoid: &'static [&'static str],
    chosen: Option<&'static [&'static str]>,
}

#[test]
fn a_chain_is_chosen() {
    let head = engine("head", "near", (0, 6), Usable);
    let tail = engine("tail", "near", (6, 12), Usable);
    let with = |engine: Engine| vec![head, tail, engine];
    let only = |state: State| vec![head, engine("other", "near", (6, 12), state)];
    let both: Option<&[&str]> = Some(&["head", "tail"]);
    let cases = [
        Case { name: "two halves", engines: vec![head, tail], avoid: &[], chosen: both },
        Case { name: "a hole", engines: vec![head], avoid: &[], chosen: None },
        Case {
            name: "a gap between",
            engines: vec![head, engine("x", "near", (7, 12), Usable)],
            avoid: &[],
            chosen: None,
        },
        Case {
            name: "an overlap is trimmed",
            engines: vec![head, engine("x", "near", (4, 12), Usable)],
            avoid: &[],
            chosen: Some(&["head", "x"]),
        },
        Case {
            name: "layers beyond the model",
            engines: vec![head, engine("x", "near", (6, 13), Usable)],
            avoid: &[],
            chosen: None,
        },
        Case { name: "avoided", engines: vec![head, tail], avoid: &["tail"], chosen: None },
        Case { name: "old version", engines: only(OldVersion), avoid: &[], chosen: None },
        Case { name: "other model", engines: only(OtherModel), avoid: &[], chosen: None },
        Case { name: "no adapter", engines: only(NoAdapter), avoid: &[], chosen: None },
        Case { name: "loading", engines: only(Loading), avoid: &[], chosen: None },
        Case { name: "target leaving", engines: only(Draining), avoid: &[], chosen: None },
        Case { name: "host leaving", engines: only(HostLeaving), avoid: &[], chosen: None },
        Case { name: "failed", engines: only(Failed), avoid: &[], chosen: None },
        Case { name: "silent", engines: only(Silent), avoid: &[], chosen: None },
        Case { name: "never reported", engines: only(Unreported), avoid: &[], chosen: None },
        Case { name: "prefill only", engines: only(Prefill), avoid: &[], chosen: None },
        Case {
            name: "own data centre first",
            engines: with(engine("away", "far", (6, 12), Usable)),
            avoid: &[],
            chosen: both,
        },
        Case {
            name: "another data centre when necessary",
            engines: with(engine("away", "far", (6, 12), Usable)),
            avoid: &["tail"],
            chosen: Some(&["head", "away"]),
        },
        Case {
            name: "another data centre when better",
            engines: vec![
                head,
                engine("tail", "near", (6, 12), Queue(40)),
                engine("away", "far", (6, 12), Usable),
            ],
            avoid: &[],
            chosen: Some(&["head", "away"]),
        },
        Case {
            name: "the shorter queue",
            engines: with(engine("busy", "near", (6, 12), Queue(20))),
            avoid: &[],
            chosen: both,
        },
        Case {
            name: "the cached prefix",
            engines: with(engine("warm", "near", (6, 12), Cached)),
            avoid: &[],
            chosen: Some(&["head", "warm"]),
        },
    ];
    let now = Instant::now();
    for case in cases {
        let mut router = router(&case.engines, 1, now);
        let avoid: Vec<TargetId> = case.avoid.iter().map(|id| (*id).to_owned()).collect();
        let chosen = choose(&mut router, &avoid, now);
        let expected = case.chosen.map(|ids| ids.iter().map(|id| (*id).to_owned()).collect());
        assert_eq!(chosen, expected, "{}", case.name);
    }
}

fn any_engines() -> impl Strategy<Value = Vec<Engine>> {
    const IDS: [&str; 14] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n"];
    let state = prop::sample::select(vec![
        Usable,
        Usable,
        Usable,
        Usable,
        Queue(9),
        OldVersion,
        Loading,
        Draining,
        HostLeaving,
        Failed,
        Silent,
        Unreported,
        Cached,
    ]);
    let data_centre = prop::sample::select(vec!["near", "far"]);
    let border = || prop::sample::select(vec![0_u16, 3, 4, 6, 8, 12]);
    let one = (data_centre, border(), border(), state);
    prop::collection::vec(one, 1..IDS.len()).prop_map(|list| {
        let named = list.into_iter().zip(IDS);
        let engine = |((data_centre, a, b, state), id): ((_, Layer, Layer, _), _)| {
            engine(id, data_centre, (a.min(b), a.max(b)), state)
        };
        named.map(engine).collect()
    })
}

/// Whether usable engines cover all layers, found with a greedy search that is independent of the
/// router.
fn coverable(engines: &[Engine], avoid: &[TargetId]) -> bool {
    let usable = |e: &&Engine| {
        matches!(e.state, Usable | Queue(_) | Cached) && !avoid.iter().any(|id| id == e.id)
    };
    let mut reach = 0;
    loop {
        let over = engines.iter().filter(usable).filter(|e| e.layers.0 <= reach);
        let next = over.map(|e| e.layers.1).max().unwrap_or(0);
        if next >= LAYERS {
            return true;
        }
        if next <= reach {
            return false;
        }
        reach = next;
    }
}

proptest! {
    #[test]
    fn chains_tile_over_usable_targets(
        engines in any_engines(),
        seed in any::<u64>(),
        drop in prop::collection::vec(prop::sample::select(vec!["a", "b", "c"]), 0..3),
    ) {
        let now = Instant::now();
        let avoid: Vec<TargetId> = drop.iter().map(|id| (*id).to_owned()).collect();
        let mut router = router(&engines, seed, now);
        let chosen = choose(&mut router, &avoid, now);
        prop_assert_eq!(chosen.is_some(), coverable(&engines, &avoid));
        for id in chosen.unwrap_or_default() {
            let engine = engines.iter().find(|e| e.id == id).unwrap();
            prop_assert!(matches!(engine.state, Usable | Queue(_) | Cached), "{:?}", engine);
            prop_assert!(!avoid.contains(&id));
        }
    }
}

#[test]
fn replicas_are_chosen() {
    struct Case {
        name: &'static str,
        avoid: &'static [&'static str],
        failed: &'static [&'static str],
        chosen: Option<&'static str>,
    }
    let cases = [
        Case { name: "near and idle", avoid: &[], failed: &[], chosen: Some("idle") },
        Case { name: "avoided", avoid: &["idle"], failed: &[], chosen: Some("away") },
        Case { name: "failed", avoid: &[], failed: &["idle", "away"], chosen: Some("busy") },
        Case { name: "none left", avoid: &["busy"], failed: &["idle", "away"], chosen: None },
    ];
    for case in cases {
        let now = Instant::now();
        let mut router = Router::new("near", SampleSizes::default(), SmallRng::seed_from_u64(1));
        let all = [("idle", "near", 0), ("busy", "near", 90), ("away", "far", 0)];
        let declared = all.map(|(id, data_centre, _)| {
            (id.to_owned(), target(TargetKind::Service, data_centre, Some("s/one")))
        });
        router.apply_fleet(&fleet(declared.into_iter()));
        for (id, _, queue) in all {
            let call = Duration::from_millis(1);
            let state =
                ServiceState { incarnation: 1, queue, running: 0, slots: 4, call, draining: false };
            router.report(id, now, PollResult::Service(state));
        }
        case.failed.iter().for_each(|id| router.record_failure(id, now));
        let avoid: Vec<TargetId> = case.avoid.iter().map(|id| (*id).to_owned()).collect();
        let chosen = router.choose_replica("s/one", &avoid, now);
        let chosen = chosen.map(|row| router.loads().row(row).id.clone());
        assert_eq!(chosen.as_deref(), case.chosen, "{}", case.name);
        assert_eq!(router.choose_replica("s/two", &[], now), None, "{}", case.name);
    }
}

/// Whether a target that was withdrawn and returned is chosen again, depending on the requests.
struct ReturnCase {
    name: &'static str,
    /// Whether each request has a prompt of its own.
    distinct: bool,
    /// Number of requests in flight at a time.
    at_once: usize,
    used: bool,
}

#[test]
fn a_target_that_came_back_is_used_again() {
    // With one prompt and one request at a time, the cached prefix keeps the requests on the same
    // target; otherwise the target that returned is chosen.
    let cases = [
        ReturnCase { name: "one prompt, one at a time", distinct: false, at_once: 1, used: false },
        ReturnCase { name: "one prompt, many at once", distinct: false, at_once: 12, used: true },
        ReturnCase { name: "many prompts, one at a time", distinct: true, at_once: 1, used: true },
    ];
    for case in cases {
        let start = Instant::now();
        let stay = engine("stay", "near", (0, 12), Usable);
        let back = engine("back", "near", (0, 12), Usable);
        let mut router = router(&[stay, back], 3, start);
        let row = router.loads().find("back").expect("declared");
        let mut tickets = std::collections::VecDeque::new();
        let mut used = false;
        for step in 0..2000_u64 {
            let now = start + Duration::from_millis(10 * step);
            router.set_host_leaving(row, step < 100);
            // Reports come once a second, like polls.
            if step % 100 == 0 {
                for engine in [stay, back] {
                    router.report(engine.id, now, PollResult::Engine(report(&engine)));
                }
            }
            let hash = if case.distinct { step } else { 0 };
            let request = ChainRequest {
                model: "m",
                version: "v2",
                layers: LAYERS,
                adapter: Some("a"),
                prefixes: &[(64, hash)],
                prompt: 64,
                expected: 2,
                avoid: &[],
            };
            let chain = router.choose_chain(&request, now).expect("one stays");
            let rows: Vec<_> = chain.stages.iter().map(|s| s.row).collect();
            used |= step >= 100 && rows.contains(&row);
            tickets.push_back(router.begin(&rows, now));
            if tickets.len() >= case.at_once {
                let ticket = tickets.pop_front().expect("in flight");
                router.end(&ticket, now);
            }
        }
        assert_eq!(used, case.used, "{}", case.name);
    }
}

#[test]
fn a_chain_is_paused_while_only_failures_keep_it_out_of_use() {
    struct Case {
        name: &'static str,
        engines: Vec<Engine>,
        paused: bool,
    }
    let row = |states: &[State]| {
        let ids = ["e0", "e1", "e2", "e3"];
        let layers = [(0, 6), (6, LAYERS), (0, 6), (6, LAYERS)];
        let all = ids.into_iter().zip(layers).zip(states);
        all.map(|((id, layers), state)| engine(id, "near", layers, *state)).collect::<Vec<_>>()
    };
    let case = |name, states: &[State], paused| Case { name, engines: row(states), paused };
    let cases = [
        case("in use", &[Usable, Usable], false),
        case("a stage failed", &[Failed, Usable], true),
        case("all stages failed", &[Failed, Failed], true),
        case("a stage does not answer its poll", &[Usable, Silent], true),
        case("a stage failed, the other one loads", &[Failed, Loading], false),
        case("a stage failed, the other one is withdrawn", &[Failed, HostLeaving], false),
        case("a stage failed, another chain loads", &[Failed, Usable, Loading, Loading], true),
        case("a stage failed, another chain is in use", &[Failed, Usable, Usable, Usable], false),
        case("a stage failed that lacks the adapter", &[Failed, NoAdapter], false),
        case("a stage failed that has the old version", &[OldVersion, Failed], false),
        case("a stage has not reported", &[Failed, Unreported], false),
    ];
    let now = Instant::now();
    for case in cases {
        let router = router(&case.engines, 1, now);
        let paused = |until| router.is_paused(&request(&[]), now, now + until);
        assert_eq!(paused(Duration::from_secs(1)), case.paused, "{}", case.name);
        assert!(!paused(Duration::from_millis(100)), "{}: not back that early", case.name);
    }
}
