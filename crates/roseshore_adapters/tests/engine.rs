//! The engine adapter against the stand-in: whole answers, and what each fault is reported as.

use roseshore_adapters::engine::EngineClient;
use roseshore_core::prelude::*;
use roseshore_fakes::engine::{EngineFake, EngineSettings, text};
use roseshore_ports::outside::{Called, Engine, StreamItem};
use roseshore_wire::engine::{Generate, Output, Stage, Stamp};

const MODEL: &str = "indus";
const VERSION: &str = "v1";
const LAYERS: Layer = 12;
const LIMIT: Duration = Duration::from_secs(20);

fn chain(stages: u16, tune: impl Fn(&mut EngineSettings)) -> Vec<EngineFake> {
    let part = LAYERS / stages;
    let start = |index: u16| {
        let name = format!("engine-{index}");
        let layers = (index * part, (index + 1) * part);
        let mut settings = EngineSettings::holding(&name, MODEL, VERSION, layers);
        settings.adapters.insert("safety".to_owned());
        settings.step = Duration::from_micros(50);
        tune(&mut settings);
        EngineFake::start(settings).expect("a free port")
    };
    (0..stages).map(start).collect()
}

fn route(chain: &[EngineFake]) -> Vec<Stage> {
    chain.iter().map(EngineFake::stage).collect()
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

fn ask(chain: &[EngineFake], epoch: Epoch) -> Generate {
    Generate {
        answer: "answer-1".to_owned(),
        epoch,
        route: route(chain),
        model: MODEL.to_owned(),
        version: VERSION.to_owned(),
        adapter: None,
        prompt: words(&["review", "plate", "seven"]),
        done: Vec::new(),
        warm: false,
        max_tokens: 12,
        priority: 4,
        trace: None,
    }
}

fn open(ask: &Generate, limit: Duration) -> Called<flume::Receiver<StreamItem>> {
    EngineClient::new().generate(ask.route[0].addr, ask, Instant::now() + limit)
}

/// What came over one stream.
#[derive(Debug, Default)]
struct Heard {
    tokens: Vec<(Position, String)>,
    lineages: Vec<Vec<Stamp>>,
    last: Option<Output>,
    end: Option<Called<()>>,
}

impl Heard {
    fn texts(&self) -> Vec<String> {
        self.tokens.iter().map(|(_, text)| text.clone()).collect()
    }
}

fn hear(stream: &flume::Receiver<StreamItem>) -> Heard {
    let mut heard = Heard::default();
    while let Ok(item) = stream.recv_timeout(LIMIT) {
        match item {
            StreamItem::Output(Output::Token { position, text, lineage, .. }) => {
                heard.tokens.push((position, text));
                heard.lineages.push(lineage);
            }
            StreamItem::Output(last) => heard.last = Some(last),
            StreamItem::Ended(end) => heard.end = Some(end),
        }
    }
    heard
}

fn whole(ask: &Generate) -> Vec<String> {
    let adapter = ask.adapter.as_deref();
    text::expected(&ask.model, &ask.version, adapter, &ask.prompt, ask.max_tokens)
}

#[test]
fn whole_answers() {
    struct Case {
        name: &'static str,
        stages: u16,
        prompt: &'static [&'static str],
        adapter: Option<&'static str>,
        count: u32,
        reason: &'static str,
    }
    let plain: &[&str] = &["review", "plate"];
    let cases = [
        Case {
            name: "one stage",
            stages: 1,
            prompt: plain,
            adapter: None,
            count: 12,
            reason: "length",
        },
        Case {
            name: "three stages",
            stages: 3,
            prompt: plain,
            adapter: None,
            count: 12,
            reason: "length",
        },
        Case {
            name: "four stages",
            stages: 4,
            prompt: plain,
            adapter: None,
            count: 12,
            reason: "length",
        },
        Case {
            name: "with an adapter",
            stages: 3,
            prompt: plain,
            adapter: Some("safety"),
            count: 12,
            reason: "length",
        },
        Case {
            name: "stops early",
            stages: 3,
            prompt: &["a", "stop:5"],
            adapter: None,
            count: 5,
            reason: "stop",
        },
        Case {
            name: "no tokens",
            stages: 3,
            prompt: &["stop:0"],
            adapter: None,
            count: 0,
            reason: "stop",
        },
    ];
    for case in cases {
        let chain = chain(case.stages, |_| ());
        let mut ask = ask(&chain, 1);
        ask.prompt = words(case.prompt);
        ask.adapter = case.adapter.map(str::to_owned);
        let heard = hear(&open(&ask, LIMIT).expect(case.name));
        assert_eq!(heard.texts(), whole(&ask), "{}", case.name);
        assert_eq!(heard.end, Some(Ok(())), "{}", case.name);
        let Some(Output::Done { count, reason, .. }) = heard.last else { panic!("{}", case.name) };
        assert_eq!((count, reason.as_str()), (case.count, case.reason), "{}", case.name);
        for lineage in &heard.lineages {
            let ran: Vec<_> =
                lineage.iter().map(|s| (s.target.clone(), s.layers, s.epoch)).collect();
            let planned: Vec<_> =
                ask.route.iter().map(|s| (s.target.clone(), s.layers, 1)).collect();
            assert_eq!(ran, planned, "{}", case.name);
        }
    }
}
