//! Injects faults into stages during the prefill or the decoding of an answer.

use super::{Row, median, world};
use crate::caller::{Chat, ClientReply, RequestOptions};
use crate::fleets::{self, CHAT, CUSTOMER, Shape};
use crate::process::ProcessError;
use crate::world::World;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

const CHAINS: usize = 3;
const STAGES: usize = 3;
const TOKENS: u32 = 30;
/// Attempts per wanted measurement; a fault may miss the route of its answer.
const ATTEMPTS: usize = 4;
/// Number of tokens after which the fault is injected.
const FAULT_AFTER_TOKENS: usize = 8;
/// Length in words of a prompt whose prefill takes about 100 ms per stage.
const LONG_PROMPT_WORDS: usize = 1500;
/// Wait until daemons know that a target has recovered: its probes are at most one second apart.
const SETTLE: Duration = Duration::from_millis(1300);
const FROZEN_BOUND: &str = "detection, then a new prefill";

#[derive(Clone, Copy, PartialEq)]
enum Loss {
    Killed,
    Frozen,
}

struct Case {
    name: &'static str,
    loss: Loss,
    stage: usize,
    bound: &'static str,
}

const CASES: &[Case] = &[
    Case { name: "first stage killed", loss: Loss::Killed, stage: 0, bound: "new prefill" },
    Case { name: "middle stage killed", loss: Loss::Killed, stage: 1, bound: "new prefill" },
    Case { name: "last stage killed", loss: Loss::Killed, stage: 2, bound: "new prefill" },
    Case { name: "first stage frozen", loss: Loss::Frozen, stage: 0, bound: FROZEN_BOUND },
    Case { name: "middle stage frozen", loss: Loss::Frozen, stage: 1, bound: FROZEN_BOUND },
    Case { name: "last stage frozen", loss: Loss::Frozen, stage: 2, bound: FROZEN_BOUND },
];

/// Measures every case during decode and during prefill, and streams that are cut.
pub(super) fn run(repeats: usize) -> Result<Vec<Row>, ProcessError> {
    let shape = Shape { chains: CHAINS, stages: STAGES, kind: 4, ..Shape::default() };
    let mut world = world(shape, 1)?;
    let mut count = 0;
    let mut prompt = |words: usize| {
        count += 1;
        (0..words).map(|w| format!("p{count}w{w}")).collect::<Vec<_>>().join(" ")
    };
    let plain = median((0..5).map(|_| stream_without_fault(&world, &prompt(4)).first).collect());
    let long = median(
        (0..5).map(|_| stream_without_fault(&world, &prompt(LONG_PROMPT_WORDS)).first).collect(),
    );
    let mut rows = Vec::new();
    for case in CASES {
        let mut took = Vec::new();
        for _ in 0..repeats * ATTEMPTS {
            if took.len() < repeats {
                took.extend(in_decode(&mut world, case, &prompt(4))?);
            }
        }
        rows.push(Row::new(format!("{}, decode", case.name), case.bound, took).with_plain(plain));
    }
    let cuts = (0..repeats).map(|_| cut(&world, &prompt(4))).collect::<Result<_, _>>()?;
    rows.push(
        Row::new("stream cut, decode", "new head over the kept cache", cuts).with_plain(plain),
    );
    for case in CASES {
        let mut took = Vec::new();
        for _ in 0..repeats * ATTEMPTS {
            if took.len() < repeats {
                took.extend(in_prefill(&mut world, case, &prompt(LONG_PROMPT_WORDS))?);
            }
        }
        rows.push(Row::new(format!("{}, prefill", case.name), case.bound, took).with_plain(long));
    }
    Ok(rows)
}

fn stream_without_fault(world: &World, prompt: &str) -> ClientReply {
    let chat = Chat { service: CHAT, prompt, tokens: TOKENS };
    world.caller.stream(world.daemons[0].addr, &chat, &RequestOptions::of(CUSTOMER), |_| ())
}

/// Number of answers that each chain has begun.
fn opened(world: &World) -> [u64; CHAINS] {
    std::array::from_fn(|chain| {
        let stats = world.addr(&name(chain, 0)).and_then(|a| world.caller.get(a, "/_stats").ok());
        stats.and_then(|s| s["opened"].as_u64()).unwrap_or(0)
    })
}

fn name(chain: usize, stage: usize) -> String {
    format!("north-{chain}-{stage}")
}

/// The first chain that has begun an answer since `before`.
fn busy(world: &World, before: [u64; CHAINS]) -> Option<usize> {
    let now = opened(world);
    (0..CHAINS).find(|&chain| now[chain] > before[chain])
}

fn inject_fault(world: &mut World, loss: Loss, target: &str) -> Instant {
    let begun = Instant::now();
    if let Some(process) = world.targets.get_mut(target) {
        match loss {
            Loss::Killed => process.kill(),
            Loss::Frozen => process.freeze(),
        }
    }
    begun
}

fn recover(world: &mut World, loss: Loss, target: &str) -> Result<(), ProcessError> {
    match loss {
        Loss::Killed => world.restart(target)?,
        Loss::Frozen => world.targets[target].thaw(),
    }
    thread::sleep(SETTLE);
    Ok(())
}

fn in_decode(
    world: &mut World,
    case: &Case,
    prompt: &str,
) -> Result<Option<Duration>, ProcessError> {
    let chat = Chat { service: CHAT, prompt, tokens: TOKENS };
    let (caller, addr, before) = (world.caller.clone(), world.daemons[0].addr, opened(world));
    let mut injected = None;
    let mut tokens = Vec::new();
    let got = caller.stream(addr, &chat, &RequestOptions::of(CUSTOMER), |count| {
        tokens.push(Instant::now());
        if count == FAULT_AFTER_TOKENS {
            let chain = busy(world, before).unwrap_or(0);
            let target = name(chain, case.stage);
            injected = Some((inject_fault(world, case.loss, &target), target));
        }
    });
    check(world, &got, &chat)?;
    let (at, target) = injected.ok_or_else(|| missed(case.name))?;
    recover(world, case.loss, &target)?;
    // Tokens already in flight still arrive after the fault; the longest gap is the pause.
    let after = tokens.windows(2).filter(|pair| pair[1] > at);
    let pause = after.max_by_key(|pair| pair[1] - pair[0]).map(|pair| pair[1]);
    Ok(pause.filter(|_| resumed(world, &got)).map(|end| end - at))
}

fn in_prefill(
    world: &mut World,
    case: &Case,
    prompt: &str,
) -> Result<Option<Duration>, ProcessError> {
    let chat = Chat { service: CHAT, prompt, tokens: 4 };
    let (caller, addr, before) = (world.caller.clone(), world.daemons[0].addr, opened(world));
    let (got, first, injected) = thread::scope(|scope| {
        let stream = scope.spawn(|| {
            let mut first = None;
            let got = caller.stream(addr, &chat, &RequestOptions::of(CUSTOMER), |_| {
                first.get_or_insert_with(Instant::now);
            });
            (got, first)
        });
        let mut chain = None;
        while chain.is_none() && !stream.is_finished() {
            chain = busy(world, before);
        }
        thread::sleep(Duration::from_millis(20));
        let injected = chain.map(|chain| {
            let target = name(chain, case.stage);
            (inject_fault(world, case.loss, &target), target)
        });
        let (got, first) = stream.join().unwrap_or_default();
        (got, first, injected)
    });
    check(world, &got, &chat)?;
    let (at, target) = injected.ok_or_else(|| missed(case.name))?;
    recover(world, case.loss, &target)?;
    let first = first.ok_or_else(|| missed(case.name))?;
    Ok(first.checked_duration_since(at).filter(|_| resumed(world, &got)))
}

/// Whether the answer was resumed on another route. Chains may share stages, so the failed stage is
/// not necessarily on the answer's route.
fn resumed(world: &World, got: &ClientReply) -> bool {
    let id = got.request.clone().unwrap_or_default();
    let fate = world.caller.get(world.daemons[0].addr, &format!("/v1/requests/{id}"));
    fate.is_ok_and(|fate| fate["resumed"].as_u64().unwrap_or(0) > 0)
}

/// Measures the pause when a stream is cut while its stages stay alive.
fn cut(world: &World, prompt: &str) -> Result<Duration, ProcessError> {
    let faults = |faults| {
        let chains = (0..CHAINS).filter_map(|chain| world.addr(&name(chain, 0)));
        chains.for_each(|addr| drop(world.fault(addr, &faults)));
    };
    faults(json!({ "cut_after": FAULT_AFTER_TOKENS }));
    let chat = Chat { service: CHAT, prompt, tokens: TOKENS };
    let marks = RequestOptions::of(CUSTOMER);
    let got = world.caller.stream(world.daemons[0].addr, &chat, &marks, |count| {
        if count == FAULT_AFTER_TOKENS + 1 {
            faults(json!({}));
        }
    });
    check(world, &got, &chat)?;
    got.gaps.get(FAULT_AFTER_TOKENS - 1).copied().ok_or_else(|| missed("stream cut"))
}

fn check(world: &World, got: &ClientReply, chat: &Chat<'_>) -> Result<(), ProcessError> {
    if got.whole && got.joined() == fleets::text(chat) {
        return Ok(());
    }
    let id = got.request.clone().unwrap_or_default();
    let fate = world.caller.get(world.daemons[0].addr, &format!("/v1/requests/{id}"));
    let trace = world.caller.get(world.daemons[0].addr, &format!("/v1/trace/{id}"));
    let text = format!("an answer was not whole or not right: {got:?} {fate:?} {trace:?}");
    Err(ProcessError::Call(text))
}

fn missed(case: &str) -> ProcessError {
    ProcessError::Call(format!("the fault `{case}` did not meet the answer"))
}
