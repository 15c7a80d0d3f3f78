//! A version change while an answer is routed or streamed: each answer is of one version.

use parking_lot::Mutex;
use roseshore_adapters::engine::EngineClient;
use roseshore_core::answer::AnswerSettings;
use roseshore_core::prelude::*;
use roseshore_fakes::engine::{EngineFake, EngineFaults, EngineSettings, text};
use roseshore_ports::inside::{Chain, ChainNeeds, Permit, Replica, RequestInfo, Router};
use roseshore_wire::engine::Stage;
use roseshored::answer::{AnswerDeps, AnswerRequest, CallerLeft, TokenSink, run_with};
use std::sync::Arc;

const TOKENS: u32 = 12;

/// Knows one chain of each version; returns the old one only once, as it is gone afterwards.
struct ChangingRouter {
    old: Mutex<Option<Stage>>,
    new: Stage,
}

impl Router for ChangingRouter {
    fn chain(&self, need: &ChainNeeds) -> Result<(Chain, Permit), Refusal> {
        let new = (need.version == "v2").then(|| self.new.clone());
        let stage = new.or_else(|| self.old.lock().take());
        let stage = stage.ok_or_else(|| Refusal::not_run(Code::NoRoute, "no chain"))?;
        let [first_token, token_interval] = [100, 2].map(Duration::from_millis);
        Ok((Chain { stages: vec![stage], first_token, token_interval }, Permit::new(|| ())))
    }

    fn version(&self, _: &ModelId) -> Option<VersionId> {
        Some("v2".into())
    }

    fn replica(&self, _: &str, _: &[TargetId]) -> Result<(Replica, Permit), Refusal> {
        Err(Refusal::not_run(Code::NoRoute, "no replicas here"))
    }

    fn failed(&self, _: &TargetId) {}

    fn record_latency(&self, _: &TargetId, _: Duration) {}
}

#[derive(Default)]
struct Tokens(Vec<String>);

impl TokenSink for Tokens {
    fn token(&mut self, _: Position, text: &str) -> Result<(), CallerLeft> {
        self.0.push(text.to_owned());
        Ok(())
    }
}

struct Case {
    name: &'static str,
    /// The version that the target of the old chain holds when it is called.
    holds: &'static str,
    faults: EngineFaults,
    version: &'static str,
    tokens: usize,
    full: bool,
}

fn cases() -> Vec<Case> {
    let cut = |after| EngineFaults { cut_after: Some(after), ..EngineFaults::default() };
    vec![
        Case {
            name: "the target has changed before the stream opens",
            holds: "v2",
            faults: EngineFaults::default(),
            version: "v2",
            tokens: TOKENS as usize,
            full: true,
        },
        Case {
            name: "the target is lost before the first token",
            holds: "v1",
            faults: cut(0),
            version: "v2",
            tokens: TOKENS as usize,
            full: true,
        },
        Case {
            name: "the target is lost after some tokens",
            holds: "v1",
            faults: cut(5),
            version: "v1",
            tokens: 5,
            full: false,
        },
    ]
}

fn engine(name: &str, version: &str) -> EngineFake {
    EngineFake::start(EngineSettings::holding(name, "m", version, (0, 4))).expect("starts")
}

#[test]
fn an_answer_is_of_one_version() {
    for case in cases() {
        let (old, new) = (engine("old", case.holds), engine("new", "v2"));
        old.faults().set(case.faults);
        let router = ChangingRouter { old: Mutex::new(Some(old.stage())), new: new.stage() };
        let engine = Arc::new(EngineClient::new());
        let deps = AnswerDeps {
            router: Arc::new(router),
            engine,
            budgets: Arc::default(),
            settings: AnswerSettings::default(),
        };
        let prompt = vec!["review".to_owned(), "plate".to_owned()];
        let work = AnswerRequest {
            model: "m".into(),
            version: "v1".into(),
            layers: 4,
            adapter: None,
            prompt: prompt.clone(),
            max_tokens: TOKENS,
            trace: None,
        };
        let now = Instant::now();
        let request = RequestInfo {
            request: case.name.replace(' ', "-"),
            organisation: "o".into(),
            service: "s".into(),
            deadline: now + Duration::from_secs(20),
            arrived: now,
            priority: 4,
            cost: TOKENS,
        };
        let mut sink = Tokens::default();
        let got = run_with(&deps, &request, work, &mut sink);
        let expected = text::expected("m", case.version, None, &prompt, TOKENS);
        assert_eq!(sink.0, expected[..case.tokens], "{}: {got:?}", case.name);
        match got {
            Ok(answer) => assert!(case.full && answer.text == expected.concat(), "{}", case.name),
            Err(refusal) => {
                assert!(!case.full, "{}: {refusal:?}", case.name);
                assert_eq!(refusal.verdict, Verdict::MayHaveRun, "{}", case.name);
            }
        }
    }
}
