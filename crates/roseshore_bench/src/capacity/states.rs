//! Memory and time of the daemon's state machines at four sizes each, measured in this process.
//!
//! Memory is the growth of the resident set while several copies of a state are built, so that
//! rounding to whole pages matters little. The copies are leaked: the next size would reuse freed
//! memory, and its growth would be measured too low.

use super::fit::Point;
use super::{ACCELERATORS, DAEMONS, DATA_CENTRES, ORGANISATIONS, REPLICAS, Series, usage};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use roseshore_core::admit::{Admission, AdmitResult, Arrival, Capacity};
use roseshore_core::config::{
    Change, Command, Decision, FORMAT, Object, ObjectKey, Outcome as FoldOutcome, State,
};
use roseshore_core::fleet::{DataCentre, TargetKind};
use roseshore_core::ledger::account::{AccountDelta, Counts, Fold, Row, RowKey};
use roseshore_core::ledger::history::{EndedRequest, RequestHistory, RequestMeta};
use roseshore_core::load::{EngineState, PollResult, TargetIndex};
use roseshore_core::membership::{Heartbeat, ListedHost, Membership, Settings};
use roseshore_core::once::keys::Keys;
use roseshore_core::once::record::{Act, Owner, Record};
use roseshore_core::prelude::*;
use roseshore_core::route::{ChainRequest, Router, SampleSizes};
use roseshore_ports::inside::Outcome;
use std::hint::black_box;
use std::net::SocketAddr;

/// Total size to aim for when choosing the number of copies, bytes.
const TOTAL_BYTES: usize = 24 << 20;
/// Calls per timed batch.
const BATCH_CALLS: usize = 500;
/// Number of batches, of which the median is reported.
const BATCHES: usize = 9;
/// Maximum number of changes in one command.
const CHANGES: usize = 500;
/// Models at the planned size.
const MODELS: usize = 24;
/// Number of data centres in the measured fleets.
const CENTRE_COUNT: usize = DATA_CENTRES as usize;

/// Parts of a daemon that [`measure`] accepts.
pub const ROLES: [&str; 7] =
    ["configuration", "routing", "membership", "claims", "ledger", "account", "admission"];

/// Measures one of [`ROLES`]; returns no series for another name. Memory freed by an earlier role can
/// be reused by a later one and so lower its result; a process per role avoids this.
pub fn measure(role: &str) -> Vec<Series> {
    match role {
        "configuration" => configuration(),
        "routing" => routing(),
        "membership" => membership(),
        "claims" => claims(),
        "ledger" => vec![ledger()],
        "account" => account(),
        "admission" => admission(),
        _ => Vec::new(),
    }
}

/// Resident bytes per copy of the value that `make` builds; `guess` is its approximate size in bytes.
fn bytes_per_copy<T>(guess: usize, mut make: impl FnMut() -> T) -> f64 {
    let copies = (TOTAL_BYTES / guess.max(1)).clamp(1, 2000);
    let before = usage::resident_bytes();
    let held: Vec<T> = (0..copies).map(|_| make()).collect();
    let grown = usage::resident_bytes().saturating_sub(before);
    std::mem::forget(held);
    grown as f64 / copies as f64
}

/// Duration of one call in microseconds, the median over the batches.
fn median_micros(mut call: impl FnMut(usize)) -> f64 {
    let mut took: Vec<f64> = (0..BATCHES)
        .map(|batch| {
            let begun = Instant::now();
            (0..BATCH_CALLS).for_each(|round| call(batch * BATCH_CALLS + round));
            begun.elapsed().as_secs_f64() * 1e6 / BATCH_CALLS as f64
        })
        .collect();
    took.sort_by(f64::total_cmp);
    took[BATCHES / 2]
}

fn points<const N: usize>(sizes: [usize; N], mut cost: impl FnMut(usize) -> f64) -> Vec<Point> {
    sizes.iter().map(|&size| Point { size: size as f64, cost: cost(size) }).collect()
}

fn organisation(n: usize) -> (ObjectKey, Object) {
    let object = Object::Organisation(Organisation { share: 1.5, rate: 40.25, burst: 200.0 });
    let key = ObjectKey::new(object.kind(), format!("organisation-{n:05}"));
    (key, object)
}

fn target(n: usize) -> (TargetId, Target) {
    let piece = (n % 3) as Layer;
    let target = Target {
        kind: TargetKind::Engine,
        host: format!("host-{n:05}"),
        data_centre: format!("z{}", n / 3 % CENTRE_COUNT),
        addr: SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8], 8000)),
        serves: None,
        model: Some(format!("m{}", n / 3 % MODELS)),
        layers: Some((piece * 20, piece * 20 + 20)),
        accelerator: Some("a1".into()),
        checks_fence: true,
    };
    (format!("target-{n:05}"), target)
}

fn base_objects() -> Vec<(ObjectKey, Object)> {
    let mut fleet = Fleet::default();
    for zone in 0..CENTRE_COUNT {
        let links = (0..CENTRE_COUNT)
            .filter(|&other| other != zone)
            .map(|other| (format!("z{other}"), 5.0))
            .collect();
        fleet.data_centres.insert(format!("z{zone}"), DataCentre { region: "r".into(), links });
    }
    for model in 0..MODELS {
        let adapters = ["notes".to_owned(), "review".to_owned()].into();
        let model_row =
            Model { layers: 60, version: "2028-11".into(), adapters, layer_bytes: 1 << 26 };
        fleet.models.insert(format!("m{model}"), model_row);
    }
    fleet.objects()
}

/// Serialises a command as a log record.
fn command(id: CommandId, made_at: Offset, changes: Vec<Change>) -> String {
    let command = Command { format: FORMAT, id, operator: "operator".into(), made_at, changes };
    serde_json::to_string(&command).expect("a command is JSON")
}

/// Log records of commands that put the objects.
fn records(objects: &[(ObjectKey, Object)]) -> Vec<String> {
    let record = |(at, part): (usize, &[(ObjectKey, Object)])| {
        let change = |(key, object): &(ObjectKey, Object)| Change {
            key: key.clone(),
            base: None,
            put: Some(object.clone()),
        };
        command(format!("command-{at}"), at as Offset, part.iter().map(change).collect())
    };
    objects.chunks(CHANGES).enumerate().map(record).collect()
}

fn fold_records(records: &[String]) -> State {
    let mut state = State::default();
    for record in records {
        let folded = state.fold(state.offset(), record).expect("in order");
        assert_eq!(folded.outcome, FoldOutcome::Decided(Decision::Accepted));
    }
    state
}

/// The state of a configuration with `count` organisations.
fn many_organisations(count: usize) -> State {
    let mut objects = base_objects();
    objects.extend((0..count).map(organisation));
    fold_records(&records(&objects))
}

fn configuration() -> Vec<Series> {
    const SIZES: [usize; 4] = [4_000, 8_000, 16_000, 33_000];
    const TARGETS: [usize; 4] = [500, 1_000, 2_000, 4_000];
    let goals = vec![ORGANISATIONS];
    let series = |cost, points| {
        let (role, size, goals) = ("configuration", "organisations", goals.clone());
        Series { role, cost, size, points, goals }
    };
    let targets = points(TARGETS, |n| {
        let mut objects = base_objects();
        let object = |n| {
            let (id, target) = target(n);
            let object = Object::Target(target);
            (ObjectKey::new(object.kind(), id), object)
        };
        objects.extend((0..n).map(object));
        let records = records(&objects);
        let state = bytes_per_copy(n * 900, || fold_records(&records));
        std::mem::forget((objects, records));
        state
    });
    let state = points(SIZES, |n| {
        let mut objects = base_objects();
        objects.extend((0..n).map(organisation));
        let records = records(&objects);
        let state = bytes_per_copy(n * 600, || fold_records(&records));
        std::mem::forget((objects, records));
        state
    });
    let copy = points(SIZES, |n| {
        let state = many_organisations(n);
        let copy = bytes_per_copy(n * 150, || state.fleet().clone());
        std::mem::forget(state);
        copy
    });
    let fold = points(SIZES, |n| {
        let mut state = many_organisations(n);
        median_micros(|round| {
            let (_, object) = organisation(round);
            let key = ObjectKey::new(object.kind(), format!("new-{}", round % 64));
            let base = state.meta(&key).map(|meta| meta.version);
            let change = Change { key, base, put: Some(object) };
            let command = command(format!("later-{round}"), state.offset(), vec![change]);
            black_box(state.fold(state.offset(), &command));
        })
    });
    let publish = points(SIZES, |n| {
        let state = many_organisations(n);
        let begun = Instant::now();
        (0..5).for_each(|_| drop(black_box(state.fleet().clone())));
        begun.elapsed().as_secs_f64() * 1e6 / 5.0
    });
    vec![
        series("bytes of the fold's state", state),
        series("bytes of the published copy", copy),
        series("us to write and fold one change", fold),
        series("us to copy the fleet for each change", publish),
        Series {
            role: "configuration",
            cost: "bytes of the fold's state",
            size: "targets",
            points: targets,
            goals: vec![REPLICAS, ACCELERATORS],
        },
    ]
}

fn engine(n: usize) -> EngineState {
    let piece = (n % 3) as Layer;
    EngineState {
        incarnation: 1,
        model: Some(format!("m{}", n / 3 % MODELS)),
        version: Some("2028-11".into()),
        layers: (piece * 20, piece * 20 + 20),
        adapters: ["notes".to_owned(), "review".to_owned()].into(),
        both_phases: true,
        loading: false,
        draining: false,
        queue: 0,
        running: (n % 7) as u32,
        slots: 8,
        step: Duration::from_millis(1 + (n % 5) as u64),
        prefill: 4000.0,
        kv_free: 1 << 20,
    }
}

fn router(fleet: &Fleet, now: Instant) -> Router {
    let mut router = Router::new("z0", SampleSizes::default(), SmallRng::seed_from_u64(1));
    router.apply_fleet(fleet);
    for (n, id) in fleet.targets.keys().enumerate() {
        router.report(id, now, PollResult::Engine(engine(n)));
    }
    router
}

fn routing() -> Vec<Series> {
    const SIZES: [usize; 4] = [500, 1_000, 2_000, 4_000];
    let now = Instant::now();
    let fleet = |n: usize| {
        let mut fleet = Fleet { targets: (0..n).map(target).collect(), ..Fleet::default() };
        for (key, object) in base_objects() {
            fleet.put(&key.id, object);
        }
        fleet
    };
    let tables = points(SIZES, |n| {
        let fleet = fleet(n);
        bytes_per_copy(n * 600, || router(&fleet, now))
    });
    let chain = points(SIZES, |n| {
        let mut router = router(&fleet(n), now);
        let models: Vec<String> = (0..MODELS).map(|m| format!("m{m}")).collect();
        median_micros(|round| {
            let need = ChainRequest {
                model: &models[round % MODELS],
                version: "2028-11",
                layers: 60,
                adapter: None,
                prefixes: &[],
                prompt: 600,
                expected: 100,
                avoid: &[],
            };
            let choice = router.choose_chain(&need, now).expect("a chain");
            let rows: Vec<TargetIndex> = choice.stages.iter().map(|stage| stage.row).collect();
            let ticket = router.begin(&rows, now);
            router.end(&ticket, now);
        })
    });
    let report = points(SIZES, |n| {
        let mut router = router(&fleet(n), now);
        let ids: Vec<TargetId> = (0..n).map(|i| target(i).0).collect();
        median_micros(|round| {
            let seen = now + Duration::from_micros(1 + round as u64);
            router.report(&ids[round % n], seen, PollResult::Engine(engine(round % n)));
        })
    });
    let goals = vec![REPLICAS, ACCELERATORS];
    let series = |cost, points| {
        let (role, size, goals) = ("routing", "targets", goals.clone());
        Series { role, cost, size, points, goals }
    };
    vec![
        series("bytes of the tables", tables),
        series("us of one choice of a chain", chain),
        series("us to take one report", report),
    ]
}

fn heartbeat(n: usize, sequence: u64) -> Heartbeat {
    Heartbeat {
        host: format!("entry-{n:04}"),
        data_centre: "z0".into(),
        incarnation: 1_800_000_000_000,
        sequence: 1_000_000 + sequence,
        leaving: false,
        offset: 400_000,
        digest: u64::MAX - 5,
    }
}

fn members(count: usize, now: Instant) -> Membership {
    let addr = |n: usize| SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 8081));
    let mut view = Membership::new(heartbeat(0, 0), addr(0), vec![], Settings::default(), now);
    let listed = |n: usize| ListedHost {
        host: format!("entry-{n:04}"),
        data_centre: format!("z{}", n / 18),
        peer: Some(addr(n)),
        leaving: false,
    };
    view.on_host_list(1, (0..count).map(listed).collect(), now);
    view
}

fn membership() -> Vec<Series> {
    const SIZES: [usize; 4] = [49, 98, 195, 390];
    let now = Instant::now();
    let memory = points(SIZES, |n| bytes_per_copy(n * 500, || members(n, now)));
    let tick = points(SIZES, |n| {
        let mut view = members(n, now);
        median_micros(|_| drop(black_box(view.tick(now))))
    });
    let heard = points(SIZES, |n| {
        let mut view = members(n, now);
        let from = SocketAddr::from(([10, 0, 0, 1], 8081));
        median_micros(|round| {
            drop(black_box(view.on_heartbeat(from, heartbeat(1, round as u64 + 1), now)));
        })
    });
    let series = |cost, points| {
        let (role, size) = ("membership", "daemons");
        Series { role, cost, size, points, goals: vec![DAEMONS] }
    };
    vec![
        series("bytes of the view", memory),
        series("us of one tick", tick),
        series("us to take one heartbeat", heard),
    ]
}

fn claims() -> Vec<Series> {
    const SIZES: [usize; 4] = [10_000, 20_000, 40_000, 80_000];
    let owner = Owner { host: "host-17".into(), incarnation: 1 };
    let line = |key: usize, act: Act| {
        Record { key: format!("org/service/{key:032x}"), nonce: key as u64, act }.line()
    };
    let lines = |count: usize| -> Vec<String> {
        let pair = |key: usize| {
            let claim = Act::Claim { owner: owner.clone(), digest: 7, left: 0 };
            let outcome = Outcome { verdict: Verdict::Answered, ..Outcome::unknown() };
            let end = Act::Outcome { digest: 7, outcome, whole: true };
            [line(key, claim), line(key, end)]
        };
        (0..count).flat_map(pair).collect()
    };
    let fold = |lines: &[String]| {
        let mut keys = Keys::new(usize::MAX);
        for (offset, line) in (0..).zip(lines) {
            keys.apply(offset, offset, line);
        }
        keys
    };
    let memory = points(SIZES, |n| {
        let lines = lines(n);
        let memory = bytes_per_copy(n * 480, || fold(&lines));
        std::mem::forget(lines);
        memory
    });
    let time = points(SIZES, |n| {
        let lines = lines(n);
        let begun = Instant::now();
        black_box(fold(&lines));
        begun.elapsed().as_secs_f64() * 1e6
    });
    let series = |cost, points, goals| Series { role: "claims", cost, size: "keys", points, goals };
    // The keys that one partition retains at present, and a day of keys at 2% of the requests.
    vec![
        series("bytes of the fold", memory, vec![10_000.0, 26e6]),
        series("us to fold all (claim and outcome)", time, vec![10_000.0]),
    ]
}

fn ended(n: usize) -> EndedRequest {
    let meta = RequestMeta {
        request: format!("r-{n:08}~0123456789abcdef"),
        service: "indus-notes".into(),
        organisation: format!("organisation-{:05}", n % 33_000),
    };
    EndedRequest {
        meta,
        ended_at: SystemTime::UNIX_EPOCH,
        late_by: Duration::from_millis(1),
        verdict: Verdict::Answered,
        code: None,
        repeated: false,
        caller_left: false,
        reroutes: 0,
        missed: false,
    }
}

fn ledger() -> Series {
    let points = points([1024, 2048, 3072, 4096], |n| {
        bytes_per_copy(n * 250, || {
            let mut history = RequestHistory::default();
            (0..n).for_each(|row| history.end(ended(row)));
            history
        })
    });
    let (role, cost, size) = ("ledger", "bytes of the book", "ended rows");
    // Three ring buffers of 4,096 rows each.
    Series { role, cost, size, points, goals: vec![3.0 * 4096.0] }
}

fn account() -> Vec<Series> {
    const SIZES: [usize; 4] = [250, 500, 1_000, 2_000];
    let part = |n: usize| AccountDelta {
        host: "entry-1".into(),
        incarnation: 1,
        sequence: 1,
        rows: (0..n)
            .map(|row| Row {
                key: RowKey {
                    week: 0,
                    service: "indus-notes".into(),
                    organisation: format!("organisation-{row:05}"),
                },
                counts: Counts::default(),
            })
            .collect(),
    };
    let memory = points(SIZES, |n| {
        let part = part(n);
        bytes_per_copy(n * 200, || {
            let mut fold = Fold::default();
            fold.apply(0, Some(&part));
            fold
        })
    });
    let (role, cost, size) = ("account", "bytes of the fold", "rows");
    // Eight weeks with 2,000 rows each.
    vec![Series { role, cost, size, points: memory, goals: vec![8.0 * 2_000.0] }]
}

fn admission() -> Vec<Series> {
    const SIZES: [usize; 4] = [1_000, 2_000, 4_000, 8_000];
    let now = Instant::now();
    let ids: Vec<String> = (0..8_000).map(|n| organisation(n).0.id).collect();
    let mut fleet = Fleet::default();
    for (key, object) in (0..8_000).map(organisation) {
        fleet.put(&key.id, object);
    }
    let limiter = |n: usize| {
        let mut limiter = Admission::default();
        limiter.update_limit("chat", Capacity { slots: 1e6, busy: 0.0 });
        for id in &ids[..n] {
            arrive(&mut limiter, &fleet, id, now);
        }
        limiter
    };
    let memory = points(SIZES, |n| bytes_per_copy(n * 250, || limiter(n)));
    let time = points(SIZES, |n| {
        let mut limiter = limiter(n);
        let mut later = now;
        median_micros(|round| {
            later += Duration::from_millis(1);
            arrive(&mut limiter, &fleet, &ids[round % n], later);
        })
    });
    let tick = points(SIZES, |n| {
        let mut limiter = limiter(n);
        median_micros(|_| limiter.tick(18, now))
    });
    let series = |cost, points| {
        let (role, size) = ("admission", "active organisations");
        Series { role, cost, size, points, goals: vec![8_000.0, ORGANISATIONS] }
    };
    vec![
        series("bytes of the door", memory),
        series("us of one arrival and its end", time),
        series("us of one tick", tick),
    ]
}

fn arrive(limiter: &mut Admission, fleet: &Fleet, id: &str, now: Instant) {
    let who = Arrival {
        organisation: id,
        service: "chat",
        deadline: now + Duration::from_secs(30),
        priority: 4,
        cost: 1,
    };
    if let AdmitResult::Admitted(pass) = limiter.arrive(fleet, &who, now, 0.5) {
        limiter.release(pass, now, 0.5);
    }
}
