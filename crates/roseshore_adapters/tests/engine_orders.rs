//! Tests orders, loading of weights, load reports and cache events of an engine.

use roseshore_adapters::engine::EngineClient;
use roseshore_core::prelude::*;
use roseshore_fakes::engine::chain::{EngineChain, MODEL, VERSION, whole};
use roseshore_fakes::engine::text::prefix_hash;
use roseshore_fakes::engine::{EngineFake, EngineFaults, EngineSettings};
use roseshore_fakes::http::{self, Handler, Request, Server};
use roseshore_fakes::wait::wait_until;
use roseshore_ports::outside::{CallError, Engine, StreamItem};
use roseshore_wire::engine::{CacheEvent, Holding, Order, Output, Role};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Timeout of calls and streams, except for the call with the timeout [`SHORT`].
const LIMIT: Duration = Duration::from_secs(30);
/// Timeout of the call to a frozen engine, which does not answer.
const SHORT: Duration = Duration::from_millis(400);

fn engine(tune: impl Fn(&mut EngineSettings)) -> EngineFake {
    let mut chain = EngineChain::start(1, tune).expect("a free port");
    chain.stages.remove(0)
}

fn order(fence: Fence, version: Option<&str>) -> Order {
    Order {
        fence,
        order: format!("order-{fence}"),
        model: version.map(|_| MODEL.to_owned()),
        version: version.map(str::to_owned),
        layers: (0, 12),
        adapters: ["plain".to_owned()].into(),
        role: Role::Decode,
    }
}

#[test]
fn fencing() {
    struct Case {
        name: &'static str,
        checks_fence: bool,
        fault: fn(&mut EngineFaults),
        fences: [Fence; 2],
        refused: bool,
        fence: Option<Fence>,
    }
    let none: fn(&mut EngineFaults) = |_| ();
    let case = |name, checks_fence, fault, fences, refused, fence| Case {
        name,
        checks_fence,
        fault,
        fences,
        refused,
        fence,
    };
    let cases = [
        case("a newer number", true, none, [5, 6], false, Some(6)),
        case("the same number", true, none, [5, 5], false, Some(5)),
        case("an old number", true, none, [5, 4], true, Some(5)),
        case(
            "an old number, fencing ignored",
            true,
            |f| f.ignore_fence = true,
            [5, 4],
            false,
            Some(5),
        ),
        case("an old number, not looked at", false, none, [5, 4], false, None),
    ];
    for case in cases {
        let engine = engine(|settings| settings.checks_fence = case.checks_fence);
        engine.faults().change(case.fault);
        let client = EngineClient::new();
        let first = order(case.fences[0], Some(VERSION));
        client.order(engine.addr(), &first, LIMIT).expect(case.name);
        let second = order(case.fences[1], Some("v2"));
        let outcome = client.order(engine.addr(), &second, LIMIT);
        if case.refused {
            let Err(CallError::Refused(412, _, body)) = outcome else { panic!("{}", case.name) };
            let holding: Holding = serde_json::from_str(&body).expect(case.name);
            assert_eq!(holding, engine.holding(), "{}", case.name);
        } else {
            outcome.expect(case.name);
        }
        wait_until(case.name, || !engine.holding().loading);
        let holding = engine.holding();
        let version = if case.refused { VERSION } else { "v2" };
        let got = (holding.version.as_deref(), holding.fence, holding.role);
        assert_eq!(got, (Some(version), case.fence, Role::Decode), "{}", case.name);
    }
}

#[test]
fn a_lost_reply_is_settled_by_the_order_again() {
    let engine = engine(|_| ());
    engine.faults().change(|f| f.lose_order = true);
    let client = EngineClient::new();
    let order = order(1, Some("v2"));
    let lost = client.order(engine.addr(), &order, LIMIT).expect_err("the reply is lost");
    assert_eq!(lost.verdict(), Verdict::MayHaveRun, "{lost:?}");
    engine.faults().clear();
    client.order(engine.addr(), &order, LIMIT).expect("again");
    wait_until("loaded", || engine.holding().version.as_deref() == Some("v2"));
    assert_eq!((engine.stats().orders, engine.stats().loads), (2, 1));
}

#[test]
fn an_order_ends_what_runs_on_the_old_weights() {
    let engine = engine(|settings| settings.step = Duration::from_millis(2));
    let chain = EngineChain { stages: vec![engine] };
    let mut ask = chain.ask("answer", 1);
    ask.max_tokens = 1_000_000;
    let client = EngineClient::new();
    let stream = client.generate(chain.addr(), &ask, Instant::now() + LIMIT).expect("open");
    assert!(stream.recv_timeout(LIMIT).is_ok());
    let holding = client.order(chain.addr(), &order(1, None), LIMIT).expect("unload");
    assert_eq!((holding.model, holding.loading), (None, false));
    let items: Vec<_> = stream.iter().collect();
    let [.., StreamItem::Output(Output::Lost { reason, .. }), StreamItem::Ended(Ok(()))] =
        &items[..]
    else {
        panic!("{:?}", items.last())
    };
    assert!(reason.contains("something else"), "{reason}");
}

/// A weight store that answers its first two calls with 503.
struct Store {
    calls: AtomicU32,
}

impl Handler for Store {
    fn handle(&self, request: Request) {
        assert_eq!(http::query(&request, "bytes"), Some(12 << 10));
        match self.calls.fetch_add(1, Ordering::SeqCst) {
            0 | 1 => http::reply_text(request, 503, "out"),
            _ => http::reply_text(request, 200, "{}"),
        }
    }
}

#[test]
fn loads_wait_for_the_weight_store() {
    let store = Arc::new(Store { calls: AtomicU32::new(0) });
    let anywhere = "127.0.0.1:0".parse().expect("an address");
    let server = Server::start(anywhere, 4, store.clone()).expect("a free port");
    let engine = engine(|settings| {
        settings.weights = Some(server.addr());
        settings.layer_bytes = 1 << 10;
    });
    let client = EngineClient::new();
    let holding = client.order(engine.addr(), &order(1, Some("v2")), LIMIT).expect("order");
    assert_eq!((holding.loading, holding.version), (true, None));
    wait_until("loaded", || !engine.holding().loading);
    assert_eq!(engine.holding().version.as_deref(), Some("v2"));
    assert_eq!(store.calls.load(Ordering::SeqCst), 3);
}

#[test]
fn reports_are_late_and_tell_of_leaving() {
    let engine = engine(|_| ());
    let client = EngineClient::new();
    engine.faults().change(|f| f.load_lag_ms = 3_600_000);
    let before = client.load(engine.addr(), LIMIT).expect("load");
    engine.leave();
    assert_eq!(client.load(engine.addr(), LIMIT).expect("load"), before);
    assert!(!before.leaving);
    engine.faults().clear();
    assert!(client.load(engine.addr(), LIMIT).expect("load").leaving);
    let chain = EngineChain { stages: vec![engine] };
    let ask = chain.ask("answer", 1);
    let stream = client.generate(chain.addr(), &ask, Instant::now() + LIMIT).expect("open");
    assert_eq!(stream.iter().count(), whole(&ask).len() + 2);
    assert_eq!(chain.stages[0].stats().late_opened, 1);
    chain.stages[0].faults().change(|f| f.freeze = true);
    let silent = client.load(chain.addr(), SHORT).expect_err("frozen");
    assert!(matches!(silent, CallError::Lost(_)), "{silent:?}");
}

#[test]
fn cache_events() {
    struct Case {
        name: &'static str,
        lag: Duration,
        keep: usize,
        lost: usize,
        from: u64,
        seen: (u64, u64),
    }
    let hour = Duration::from_hours(1);
    let zero = Duration::ZERO;
    // Three prompts of two blocks each, which share the first block.
    let cases = [
        Case { name: "all", lag: zero, keep: 99, lost: 9, from: 0, seen: (0, 4) },
        Case { name: "from the third on", lag: zero, keep: 99, lost: 9, from: 2, seen: (2, 4) },
        Case { name: "none beyond the end", lag: zero, keep: 99, lost: 9, from: 4, seen: (4, 4) },
        Case { name: "late", lag: hour, keep: 99, lost: 9, from: 0, seen: (0, 0) },
        Case {
            name: "the oldest are not kept",
            lag: zero,
            keep: 2,
            lost: 9,
            from: 0,
            seen: (2, 4),
        },
        Case { name: "up to a gap", lag: zero, keep: 99, lost: 1, from: 0, seen: (0, 2) },
        Case { name: "after a gap", lag: zero, keep: 99, lost: 1, from: 2, seen: (3, 4) },
    ];
    for case in cases {
        let engine = engine(|settings| {
            (settings.cache_lag, settings.cache_keep) = (case.lag, case.keep);
            settings.cache_block = 2;
        });
        let chain = EngineChain { stages: vec![engine] };
        let client = EngineClient::new();
        let mut hashes = Vec::new();
        for index in 0..3 {
            chain.stages[0].faults().change(|f| f.cache_gap = index == case.lost);
            let mut ask = chain.ask(&format!("answer-{index}"), 1);
            ask.prompt = ["a", "b", "c", ["x", "y", "z"][index]].map(str::to_owned).to_vec();
            let cached = if index == 0 { 0 } else { 2 };
            if index == 0 {
                hashes.push(CacheEvent::Stored { hash: prefix_hash(&ask.prompt[..2]), tokens: 2 });
            }
            hashes.push(CacheEvent::Stored { hash: prefix_hash(&ask.prompt), tokens: 4 });
            let stream = client.generate(chain.addr(), &ask, Instant::now() + LIMIT).expect("open");
            let has_cached_count =
                |i| matches!(i, StreamItem::Output(Output::Done { cached: c, .. }) if c == cached);
            assert!(stream.iter().any(has_cached_count), "{}", case.name);
        }
        let got = client.cache(chain.addr(), case.from, LIMIT).expect(case.name);
        assert_eq!((got.first, got.next), case.seen, "{}", case.name);
        assert_eq!(got.events, hashes[got.first as usize..got.next as usize], "{}", case.name);
    }
}
