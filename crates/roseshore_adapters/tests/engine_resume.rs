//! Tests answers that are resumed on another route: epochs, cancels, KV export and import.

use roseshore_adapters::engine::EngineClient;
use roseshore_core::prelude::*;
use roseshore_fakes::engine::chain::{EngineChain, whole, words};
use roseshore_fakes::engine::{EngineFake, EngineFaults, EngineSettings, text};
use roseshore_fakes::wait::wait_until;
use roseshore_ports::outside::{CallError, Engine, StreamItem};
use roseshore_wire::engine::{Cancel, Generate, Kv, KvExport, Output};

const LIMIT: Duration = Duration::from_secs(30);
const ANSWER: &str = "answer";

fn chain(stages: u16, tune: impl Fn(&mut EngineSettings)) -> EngineChain {
    EngineChain::start(stages, tune).expect("free ports")
}

type Stream = flume::Receiver<StreamItem>;

fn open(ask: &Generate) -> Stream {
    let deadline = Instant::now() + LIMIT;
    EngineClient::new().generate(ask.route[0].addr, ask, deadline).expect("open")
}

/// Receives up to `most` tokens, and the final line if it arrives.
fn receive(stream: &Stream, most: usize) -> (Vec<String>, Option<Output>) {
    let (mut texts, mut last) = (Vec::new(), None);
    while texts.len() < most
        && let Ok(StreamItem::Output(output)) = stream.recv_timeout(LIMIT)
    {
        match output {
            Output::Token { position, text, .. } => {
                assert!(texts.is_empty() || position > 0);
                texts.push(text);
            }
            other => last = Some(other),
        }
    }
    (texts, last)
}

fn receive_all(ask: &Generate) -> (Vec<String>, Option<Output>) {
    receive(&open(ask), usize::MAX)
}

fn is_done(last: Option<&Output>) -> bool {
    matches!(last, Some(Output::Done { .. }))
}

fn lost_reason(last: Option<Output>) -> String {
    let Some(Output::Lost { reason, .. }) = last else { panic!("not lost: {last:?}") };
    reason
}

fn cancel(epoch: Epoch, keep_kv: bool) -> Cancel {
    Cancel { answer: ANSWER.to_owned(), epoch, keep_kv }
}

#[test]
fn resumed_answers_equal_unbroken_ones() {
    struct Case {
        name: &'static str,
        stages: u16,
        after: usize,
        warm: bool,
    }
    let case = |name, stages, after, warm| Case { name, stages, after, warm };
    let cases = [
        case("one stage, cold, before a token", 1, 0, false),
        case("one stage, cold, after 5", 1, 5, false),
        case("one stage, warm, after 5", 1, 5, true),
        case("three stages, cold, after 1", 3, 1, false),
        case("three stages, warm, after 1", 3, 1, true),
        case("three stages, warm, after 11", 3, 11, true),
        case("four stages, cold, after 5", 4, 5, false),
        case("four stages, warm, after 5", 4, 5, true),
        case("four stages, cold, after all", 4, 12, false),
    ];
    for Case { name, stages, after, warm } in cases {
        let chain = chain(stages, |_| ());
        let mut ask = chain.ask(ANSWER, 1);
        chain.stages[0].faults().change(|f| f.cut_after = Some(after as u32));
        let (mut texts, last) = receive_all(&ask);
        assert_eq!((texts.len(), is_done(last.as_ref())), (after, after == 12), "{name}");
        chain.stages[0].faults().clear();
        ask.epoch = 2;
        ask.done.clone_from(&texts);
        ask.warm = warm;
        let (rest, last) = receive_all(&ask);
        assert!(is_done(last.as_ref()), "{name}: {last:?}");
        texts.extend(rest);
        assert_eq!(texts, whole(&ask), "{name}");
    }
}

#[test]
fn resumes_that_must_not_go_on() {
    struct Case {
        name: &'static str,
        change: fn(&mut Generate, &EngineChain),
        reason: &'static str,
    }
    let free_kv: fn(&mut Generate, &EngineChain) = |_, chain| {
        let addr = chain.stages[1].addr();
        EngineClient::new().cancel(addr, &cancel(1, false), LIMIT).expect("cancel");
    };
    let cases = [
        Case { name: "KV cache freed", change: free_kv, reason: "no KV cache" },
        Case {
            name: "another prompt",
            change: |ask, _| ask.prompt[0].push('x'),
            reason: "does not cover",
        },
        Case {
            name: "another token",
            change: |ask, _| ask.done[2].push('x'),
            reason: "does not cover",
        },
        Case {
            name: "tokens that the KV cache lacks",
            change: |ask, _| ask.done.extend(words("a b")),
            reason: "does not cover",
        },
        Case { name: "the epoch again", change: |ask, _| ask.epoch = 1, reason: "not newer" },
        Case { name: "an older epoch", change: |ask, _| ask.epoch = 0, reason: "not newer" },
        Case {
            name: "other layers",
            change: |ask, _| {
                ask.route[2].layers.0 = 9;
                ask.route[1].layers.1 = 9;
            },
            reason: "not held",
        },
    ];
    for case in cases {
        let chain = chain(3, |_| ());
        let mut ask = chain.ask(ANSWER, 1);
        chain.stages[0].faults().change(|f| f.cut_after = Some(5));
        ask.done = receive_all(&ask).0;
        chain.stages[0].faults().clear();
        (ask.epoch, ask.warm) = (2, true);
        (case.change)(&mut ask, &chain);
        let (texts, last) = receive_all(&ask);
        let reason = lost_reason(last);
        assert!(texts.is_empty() && reason.contains(case.reason), "{}: {reason}", case.name);
    }
}

#[test]
fn newer_epochs_and_cancels_end_what_runs() {
    struct Case {
        name: &'static str,
        stage: usize,
        frozen: Option<usize>,
        keep_kv: bool,
    }
    let case = |name, stage, frozen, keep_kv| Case { name, stage, frozen, keep_kv };
    let cases = [
        case("cancelled at the first stage", 0, None, false),
        case("cancelled at the middle stage", 1, None, false),
        case("cancelled at the last stage, cache kept", 2, None, true),
        case("cancelled before a frozen stage", 1, Some(2), true),
    ];
    for Case { name, stage, frozen, keep_kv } in cases {
        let chain = chain(3, |settings| settings.step = Duration::from_millis(2));
        let mut ask = chain.ask(ANSWER, 3);
        ask.max_tokens = 1_000_000;
        let stream = open(&ask);
        assert_eq!(receive(&stream, 2).0, expected_prefix(&ask, 2), "{name}");
        if let Some(frozen) = frozen {
            chain.stages[frozen].faults().change(|f| f.freeze_after = Some(0));
        }
        let client = EngineClient::new();
        let hit = &chain.stages[stage];
        client.cancel(hit.addr(), &cancel(2, true), LIMIT).expect(name);
        assert_eq!(client.load(hit.addr(), LIMIT).expect(name).running, 1, "{name}: older epoch");
        client.cancel(hit.addr(), &cancel(3, keep_kv), LIMIT).expect(name);
        let load = client.load(hit.addr(), LIMIT).expect(name);
        assert_eq!((load.running, load.kv_used > 0), (0, keep_kv), "{name}");
        lost_reason(receive(&stream, usize::MAX).1);
        let steps = hit.stats().steps;
        assert!(lost_reason(receive_all(&ask).1).contains("not newer") || stage > 0, "{name}");
        assert_eq!(hit.stats().steps, steps, "{name}: no further steps run");
    }
}

fn expected_prefix(ask: &Generate, count: u32) -> Vec<String> {
    let short = Generate { max_tokens: count, ..ask.clone() };
    whole(&short)
}

#[test]
fn a_newer_epoch_takes_over_while_the_older_runs() {
    let chain = chain(3, |settings| settings.step = Duration::from_millis(2));
    let mut ask = chain.ask(ANSWER, 1);
    ask.max_tokens = 40;
    let old = open(&ask);
    let mut texts = receive(&old, 3).0;
    (ask.epoch, ask.done, ask.warm) = (2, texts.clone(), false);
    let (rest, last) = receive_all(&ask);
    assert!(is_done(last.as_ref()), "{last:?}");
    texts.extend(rest);
    assert_eq!(texts, whole(&ask));
    let (late, last) = receive(&old, usize::MAX);
    lost_reason(last);
    assert_eq!(late, whole(&ask)[3..3 + late.len()], "late tokens of the old epoch are correct");
    wait_until("nothing runs", || chain.stages.iter().all(|s| load(s).running == 0));
}

fn load(fake: &EngineFake) -> roseshore_wire::engine::Load {
    EngineClient::new().load(fake.addr(), LIMIT).expect("load")
}

#[test]
fn kv_moves_to_another_engine() {
    struct Case {
        name: &'static str,
        fault: fn(&mut EngineFaults),
        change: fn(&mut Kv),
        import: Option<fn(&CallError) -> bool>,
    }
    let no_fault = |_: &mut EngineFaults| ();
    let cases = [
        Case { name: "whole", fault: no_fault, change: |_| (), import: None },
        Case {
            name: "content changed",
            fault: no_fault,
            change: |kv| kv.content.replace_range(..2, "AB"),
            import: Some(|e| refused(e, 400)),
        },
        Case {
            name: "digest changed",
            fault: no_fault,
            change: |kv| kv.digest ^= 1,
            import: Some(|e| refused(e, 400)),
        },
        Case {
            name: "other layers",
            fault: no_fault,
            change: |kv| kv.layers = (0, 4),
            import: Some(|e| refused(e, 409)),
        },
        Case {
            name: "other weights",
            fault: no_fault,
            change: |kv| kv.version = "v0".to_owned(),
            import: Some(|e| refused(e, 409)),
        },
        Case {
            name: "import fails",
            fault: |f| f.import_fails = true,
            change: |_| (),
            import: Some(|e| e.verdict() == Verdict::MayHaveRun),
        },
    ];
    for case in cases {
        let chain = chain(3, |_| ());
        let mut ask = chain.ask(ANSWER, 1);
        chain.stages[0].faults().change(|f| f.cut_after = Some(5));
        ask.done = receive_all(&ask).0;
        chain.stages[0].faults().clear();
        let client = EngineClient::new();
        let export = KvExport { answer: ANSWER.to_owned() };
        let mut kv = client.export(chain.stages[1].addr(), &export, LIMIT).expect(case.name);
        let covered = text::digest(ask.prompt.iter().chain(&ask.done));
        assert_eq!((kv.tokens, kv.digest), (8, covered), "{}", case.name);
        let mut settings = EngineChain::settings(1, 3);
        (settings.target, settings.incarnation) = ("spare".to_owned(), 7);
        let spare = EngineFake::start(settings).expect("a free port");
        spare.faults().change(case.fault);
        (case.change)(&mut kv);
        let imported = client.import(spare.addr(), &kv, LIMIT);
        ask.route[1] = spare.stage();
        (ask.epoch, ask.warm) = (2, true);
        let (rest, last) = receive_all(&ask);
        if let Some(is_expected) = case.import {
            let error = imported.expect_err(case.name);
            assert!(is_expected(&error), "{}: {error:?}", case.name);
            assert!(lost_reason(last).contains("no KV cache"), "{}", case.name);
            continue;
        }
        assert_eq!((imported, is_done(last.as_ref())), (Ok(()), true), "{}", case.name);
        assert_eq!([ask.done.clone(), rest].concat(), whole(&ask), "{}", case.name);
        assert_eq!(
            client.import(spare.addr(), &kv, LIMIT).map_err(|e| refused(&e, 409)),
            Err(true)
        );
    }
}

fn refused(error: &CallError, status: u16) -> bool {
    matches!(error, CallError::Refused(got, ..) if *got == status)
}

#[test]
fn kv_that_cannot_be_exported() {
    let chain = chain(1, |_| ());
    let client = EngineClient::new();
    let export = KvExport { answer: ANSWER.to_owned() };
    let gone = client.export(chain.addr(), &export, LIMIT).expect_err("gone");
    assert!(refused(&gone, 404), "{gone:?}");
    chain.stages[0].faults().change(|f| f.export_fails = true);
    let failed = client.export(chain.addr(), &export, LIMIT).expect_err("failed");
    assert!(matches!(failed, CallError::Lost(_)), "{failed:?}");
}

#[test]
fn a_full_kv_cache_is_told() {
    let chain = chain(1, |settings| settings.kv_cap = 8);
    let mut ask = chain.ask(ANSWER, 1);
    let (texts, last) = receive_all(&ask);
    assert_eq!(texts, whole(&ask)[..texts.len()]);
    assert!(lost_reason(last).contains("full") && texts.len() == 6, "{texts:?}");
    ask.prompt = words("one two three four five six seven eight nine");
    let refusal = EngineClient::new().generate(chain.addr(), &ask, Instant::now() + LIMIT);
    assert!(matches!(refusal, Err(CallError::Refused(503, Some(_), _))));
}

#[test]
fn a_request_that_comes_after_its_cancel_does_not_run() {
    let chain = chain(3, |_| ());
    for stage in &chain.stages {
        let answer = format!("cancelled at {}", stage.stage().target);
        let cancel = Cancel { answer: answer.clone(), epoch: 1, keep_kv: false };
        EngineClient::new().cancel(stage.addr(), &cancel, LIMIT).expect("cancel");
        let (texts, last) = receive_all(&chain.ask(&answer, 1));
        let reason = lost_reason(last);
        assert!(texts.is_empty() && reason.contains("cancelled"), "{answer}: {reason}");
        assert!(
            is_done(receive_all(&chain.ask(&answer, 2)).1.as_ref()),
            "{answer}: a newer epoch runs"
        );
    }
}
