//! Tests of the fake engine as a process, of its text, and of its line streams.

use roseshore_core::prelude::*;
use roseshore_fakes::engine::chain::{MODEL, VERSION, whole, words};
use roseshore_fakes::engine::{EngineFaults, Stats, text};
use roseshore_fakes::http::{Handler, LineWriter, Request, Server};
use roseshore_wire::engine::{Generate, Load, Output, Stage};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use ureq::Agent;

/// A fake engine process that ends with its test.
struct Process {
    child: Child,
    addr: SocketAddr,
}

impl Process {
    fn start(index: u16, args: &[&str]) -> Process {
        let layers = format!("{}-{}", index * 6, index * 6 + 6);
        let mut child = Command::new(env!("CARGO_BIN_EXE_fake_engine"))
            .args(["--target", &format!("engine-{index}"), "--layers", &layers])
            .args(["--model", MODEL, "--version", VERSION])
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the fake starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("piped");
        BufReader::new(stdout).read_line(&mut line).expect("a line");
        let addr = line.trim().strip_prefix("listening ").expect("an address");
        Process { addr: addr.parse().expect("an address"), child }
    }

    fn stage(&self, index: u16) -> Stage {
        let layers = (index * 6, index * 6 + 6);
        Stage { target: format!("engine-{index}"), addr: self.addr, layers, incarnation: 1 }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn agent() -> Agent {
    let limit = Some(Duration::from_secs(30));
    Agent::config_builder().proxy(None).timeout_global(limit).build().into()
}

fn ask(stages: &[Process]) -> Generate {
    let route = stages.iter().zip(0..).map(|(stage, index)| stage.stage(index));
    Generate {
        answer: "answer".to_owned(),
        epoch: 1,
        route: route.collect(),
        model: MODEL.to_owned(),
        version: VERSION.to_owned(),
        adapter: None,
        prompt: words("a b c"),
        done: Vec::new(),
        warm: false,
        max_tokens: 8,
        priority: 4,
        trace: None,
    }
}

#[test]
fn processes() {
    struct Case {
        name: &'static str,
        stage: usize,
        fault: fn(&mut EngineFaults),
        tokens: usize,
        last: fn(&Output) -> bool,
        exits: bool,
    }
    let token = |o: &Output| matches!(o, Output::Token { .. });
    let done = |o: &Output| matches!(o, Output::Done { count: 8, .. });
    let lost = |o: &Output| matches!(o, Output::Lost { .. });
    let cases = [
        Case { name: "whole", stage: 0, fault: |_| (), tokens: 8, last: done, exits: false },
        Case {
            name: "first stage exits",
            stage: 0,
            fault: |f| f.die_after = Some(2),
            tokens: 2,
            last: token,
            exits: true,
        },
        Case {
            name: "second stage exits",
            stage: 1,
            fault: |f| f.die_after = Some(2),
            tokens: 2,
            last: lost,
            exits: true,
        },
    ];
    for case in cases {
        let mut stages = [Process::start(0, &["--link-us", "10"]), Process::start(1, &[])];
        let mut faults = EngineFaults::default();
        (case.fault)(&mut faults);
        let url = stages[case.stage].url("/_fault");
        let set: EngineFaults = agent()
            .post(&url)
            .send_json(&faults)
            .expect(case.name)
            .body_mut()
            .read_json()
            .expect(case.name);
        assert_eq!(set, faults, "{}", case.name);
        let ask = ask(&stages);
        let reply = agent().post(stages[0].url("/v1/generate")).send_json(&ask).expect(case.name);
        let mut text = String::new();
        let end = BufReader::new(reply.into_body().into_reader()).read_to_string(&mut text);
        let cut = case.exits && case.stage == 0;
        assert_eq!(end.is_err(), cut, "{}: {end:?}", case.name);
        let lines: Vec<&str> = text.lines().collect();
        let outputs: Vec<Output> =
            lines.iter().map(|l| serde_json::from_str(l).expect(l)).collect();
        let texts: Vec<_> = outputs
            .iter()
            .filter_map(|o| match o {
                Output::Token { text, .. } => Some(text.clone()),
                _ => None,
            })
            .collect();
        assert_eq!(texts, whole(&ask)[..case.tokens], "{}", case.name);
        assert!(outputs.last().is_some_and(case.last), "{}", case.name);
        if case.exits {
            let status = stages[case.stage].child.wait().expect(case.name);
            assert!(!status.success(), "{}", case.name);
            continue;
        }
        let left: Stats = agent()
            .post(stages[0].url("/_leave"))
            .send_empty()
            .expect("leave")
            .body_mut()
            .read_json()
            .expect("stats");
        let load: Load = agent()
            .get(stages[0].url("/v1/load"))
            .call()
            .expect("load")
            .body_mut()
            .read_json()
            .expect("load");
        assert_eq!((left.opened, left.steps, load.leaving), (1, 8, true));
    }
}

#[test]
fn text_depends_on_everything_that_it_should() {
    let prompt = words("a b c");
    let base = text::expected("m", "v", None, &prompt, 5);
    let others = [
        ("model", text::expected("n", "v", None, &prompt, 5)),
        ("version", text::expected("m", "w", None, &prompt, 5)),
        ("adapter", text::expected("m", "v", Some("x"), &prompt, 5)),
        ("prompt", text::expected("m", "v", None, &words("a b d"), 5)),
        ("order", text::expected("m", "v", None, &words("b a c"), 5)),
        (
            "tokens before",
            text::expected("m", "v", None, &[prompt.clone(), base[..1].to_vec()].concat(), 5),
        ),
    ];
    assert_eq!(base, text::expected("m", "v", None, &prompt, 5));
    for (what, other) in &others {
        assert_ne!(base, *other, "{what}");
    }
    assert_eq!(base[1..], others[5].1[..4], "a resumed prompt goes on where the answer was");
    assert_eq!(text::expected("m", "v", None, &prompt, 3), base[..3]);
}

/// Writes each line only after the test has read the previous one.
struct Stepwise {
    steps: flume::Receiver<()>,
    whole: bool,
}

impl Handler for Stepwise {
    fn handle(&self, request: Request) {
        let mut lines = LineWriter::start(request, "text/plain").expect("the head is sent");
        for line in ["one", "two", "three"] {
            self.steps.recv().expect("the test goes on");
            lines.line(line.as_bytes()).expect("the caller listens");
        }
        if self.whole {
            lines.end();
        }
    }
}

#[test]
fn lines_are_sent_at_once_and_a_dropped_stream_is_cut() {
    for whole in [true, false] {
        let (step, steps) = flume::unbounded();
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(anywhere, 2, Arc::new(Stepwise { steps, whole })).expect("port");
        let request = agent().get(format!("http://{}/", server.addr()));
        let reply = request.header("Connection", "close").call().expect("the head comes first");
        let mut body = BufReader::new(reply.into_body().into_reader());
        for expected in ["one\n", "two\n", "three\n"] {
            step.send(()).expect("the server waits");
            let mut line = String::new();
            body.read_line(&mut line).expect("a line");
            assert_eq!(line, expected);
        }
        assert_eq!(body.read_to_end(&mut Vec::new()).is_ok(), whole);
    }
}

#[test]
fn faults_that_do_not_exist_are_refused() {
    let process = Process::start(0, &[]);
    let config = Agent::config_builder().proxy(None).http_status_as_error(false).build();
    let reply = config.new_agent().post(process.url("/_fault")).send(r#"{"explode":true}"#);
    assert_eq!(reply.expect("a reply").status(), 400);
    let get = agent().get(process.url("/_fault"));
    let now: EngineFaults = get.call().expect("a reply").body_mut().read_json().expect("faults");
    assert_eq!(now, EngineFaults::default());
}
