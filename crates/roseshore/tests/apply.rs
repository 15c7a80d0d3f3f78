//! Tests the reports of `apply` against a simulated fleet that loses messages and appends.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseshore::CommandOutput;
use roseshore::client::{Answer, CallError, Client};
use roseshore_core::config::*;
use roseshore_core::prelude::*;
use roseshore_wire::admin::{Config, Outcome, Report, Versioned};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::LazyLock;

/// What happens to a command sent to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is appended and folded, and the answer arrives.
    Appended,
    /// It is appended and folded, but the answer is lost.
    AnswerLost,
    /// It is lost on the way to the host.
    Lost,
    /// The connection is refused.
    Absent,
    /// The host cannot reach the log.
    CutOff,
    /// It is appended, but the host reports an unknown outcome.
    Unsure,
    /// The host reports an unknown outcome, and it is appended after everything else.
    Delayed,
    /// The host refuses it with status 422 before anything is appended.
    Unfit,
    /// A proxy on the way answers with status 503.
    Balancer,
}
use Fate::*;

struct World {
    state: State,
    delayed: Vec<String>,
    fates: Vec<Fate>,
    /// For each query of a command in turn, whether the host answers it.
    answered: Vec<bool>,
    /// Another operator's command that is appended first.
    rival: Option<String>,
}

struct FakeClient(RefCell<World>);

impl World {
    fn fold(&mut self, data: &str) {
        self.state.fold(self.state.offset(), data);
    }

    fn config(&self) -> Answer {
        let objects = self.state.fleet().objects().into_iter();
        let with = |(key, object): (ObjectKey, Object)| {
            let version = self.state.meta(&key).expect("its meta").version;
            Versioned { key, version, object }
        };
        let (offset, digest) = (self.state.offset(), self.state.digest());
        ok_answer(&Config { offset, digest, objects: objects.map(with).collect() })
    }

    fn report(&self, id: &str, fallback: Outcome) -> Answer {
        let outcome = match self.state.command_result(id) {
            Some(CommandResult::Accepted(version)) => {
                Outcome::Accepted { version, in_force: vec!["korangi".into()], unconfirmed: vec![] }
            }
            Some(CommandResult::Rejected(code, reason, message)) => {
                Outcome::Rejected { code, reason, message }
            }
            Some(CommandResult::Unknown(message)) => Outcome::Unknown { message },
            None => fallback,
        };
        ok_answer(&Report { command: id.into(), outcome })
    }

    fn command(&mut self, body: &str) -> Result<Answer, CallError> {
        let id = serde_json::from_str::<Command>(body).expect("a command").id;
        if let Some(rival) = self.rival.take() {
            self.fold(&rival);
        }
        let fate = if self.fates.is_empty() { Absent } else { self.fates.remove(0) };
        match fate {
            Appended | AnswerLost | Unsure => self.fold(body),
            Delayed => self.delayed.push(body.into()),
            _ => {}
        }
        let unknown = || Outcome::Unknown { message: "reply lost".into() };
        match fate {
            Appended => Ok(self.report(&id, unknown())),
            Unsure | Delayed => Ok(ok_answer(&Report { command: id, outcome: unknown() })),
            AnswerLost | Lost => Err(CallError::Lost("timeout".into())),
            Absent => Err(CallError::Unreached("refused".into())),
            CutOff => Ok(ok_answer(&Report {
                command: id,
                outcome: Outcome::Rejected {
                    code: Code::LogUnreachable,
                    reason: None,
                    message: "cut off".into(),
                },
            })),
            Unfit => Ok(Answer {
                status: 422,
                body: br#"{"code":"CommandInvalid","message":"behind"}"#.to_vec(),
            }),
            Balancer => Ok(Answer { status: 503, body: vec![] }),
        }
    }
}

impl Client for FakeClient {
    fn call(
        &self,
        _: SocketAddr,
        path: &str,
        body: Option<String>,
        _: Duration,
    ) -> Result<Answer, CallError> {
        let mut world = self.0.borrow_mut();
        if path == "/v1/admin/config" {
            return Ok(world.config());
        }
        if let Some(body) = body {
            return world.command(&body);
        }
        if world.answered.is_empty() || !world.answered.remove(0) {
            return Err(CallError::Lost("timeout".into()));
        }
        let id = path.rsplit('/').next().unwrap_or_default();
        Ok(world.report(id, Outcome::Unknown { message: "not known here".into() }))
    }
}

fn ok_answer(body: &impl serde::Serialize) -> Answer {
    Answer { status: 200, body: serde_json::to_vec(body).expect("JSON") }
}

/// Path of a file with a declaration. It is written once, since the tests run in parallel.
static FILE: LazyLock<String> = LazyLock::new(|| {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("apply.toml");
    std::fs::write(&path, "[organisation.mirrors]\nrate = 50.0\n").expect("a file");
    path.display().to_string()
});

/// Runs `apply --id c1` with [`FILE`] on three hosts. Returns its result, and the decision on the
/// command once delayed commands have been appended too.
fn apply(fates: &[Fate], answered: &[bool], raced: bool) -> (CommandOutput, Option<Decision>) {
    let change =
        r#"{"key":{"kind":"organisation","id":"mirrors"},"base":null,"put":{"organisation":{}}}"#;
    let rival =
        format!(r#"{{"format":1,"id":"r","operator":"rana","made_at":0,"changes":[{change}]}}"#);
    let fake = FakeClient(RefCell::new(World {
        state: State::default(),
        delayed: vec![],
        fates: fates.to_vec(),
        // The first three queries, one for each host, ask whether the given id has been decided.
        answered: [&[true; 3], answered].concat(),
        rival: raced.then_some(rival),
    }));
    let hosts = "--hosts=127.0.0.1:1,127.0.0.1:2,127.0.0.1:3";
    let args = ["roseshore", hosts, "apply", "--id=c1", FILE.as_str()];
    let matches = roseshore::cli::command().try_get_matches_from(args).expect("a command line");
    let done = roseshore::run(&matches, &fake);
    let mut world = fake.0.into_inner();
    for data in std::mem::take(&mut world.delayed) {
        world.fold(&data);
    }
    let decision = world.state.decision("c1").map(|it| it.2.clone());
    (done, decision)
}

struct Case {
    name: &'static str,
    fates: &'static [Fate],
    answered: &'static [bool],
    raced: bool,
    exit: u8,
    says: &'static str,
}

// One case per line.
#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "accepted", fates: &[Appended], answered: &[], raced: false, exit: 0, says: "accepted at version 0\nin force in `korangi`" },
    Case { name: "lost the race", fates: &[Appended], answered: &[], raced: true, exit: 1, says: "`rana` changed it with command `r`" },
    Case { name: "the first host is gone", fates: &[Absent, Appended], answered: &[], raced: false, exit: 0, says: "accepted" },
    Case { name: "the first host is cut off", fates: &[CutOff, Appended], answered: &[], raced: false, exit: 0, says: "accepted" },
    Case { name: "every host is cut off", fates: &[CutOff, CutOff, CutOff], answered: &[], raced: false, exit: 1, says: "cut off" },
    Case { name: "every host is gone", fates: &[], answered: &[], raced: false, exit: 1, says: "no entry host took it" },
    Case { name: "unfit for every host", fates: &[Unfit, Unfit, Unfit], answered: &[], raced: false, exit: 1, says: "RS702: behind" },
    Case { name: "answer lost, the next host knows", fates: &[AnswerLost, Appended], answered: &[], raced: false, exit: 0, says: "accepted at version 0" },
    Case { name: "answer lost, the rest cut off", fates: &[AnswerLost, CutOff, CutOff], answered: &[false, false, true], raced: false, exit: 0, says: "accepted" },
    Case { name: "answer lost, race lost", fates: &[AnswerLost, CutOff, CutOff], answered: &[true], raced: true, exit: 1, says: "`rana` changed it" },
    Case { name: "answer lost, nobody can say", fates: &[AnswerLost, CutOff, Absent], answered: &[], raced: false, exit: 3, says: "roseshore command c1" },
    Case { name: "lost on the way, the rest cut off", fates: &[Lost, CutOff, CutOff], answered: &[true, true, true], raced: false, exit: 3, says: "not known" },
    Case { name: "appended later", fates: &[Delayed, CutOff, CutOff], answered: &[true, true, true], raced: false, exit: 3, says: "not known" },
    Case { name: "a stranger's answer", fates: &[Balancer, CutOff, CutOff], answered: &[], raced: false, exit: 3, says: "not known" },
    Case { name: "unsure, the next host knows", fates: &[Unsure, Appended], answered: &[], raced: false, exit: 0, says: "accepted at version 0" },
];

#[test]
fn apply_reports() {
    for case in CASES {
        let (done, _) = apply(case.fates, case.answered, case.raced);
        let all = format!("{}{}", done.out, done.err);
        assert_eq!(done.exit as u8, case.exit, "{}: {all}", case.name);
        assert!(all.contains(case.says), "{}: {all}", case.name);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: RngSeed::Fixed(7), failure_persistence: None,
        ..ProptestConfig::default() })]

    #[test]
    fn no_faults_make_apply_lie(
        fates in proptest::collection::vec(
            prop_oneof![Just(Appended), Just(AnswerLost), Just(Lost), Just(Absent), Just(CutOff), Just(Unsure),
                Just(Delayed), Just(Unfit), Just(Balancer)], 0..4),
        answered in proptest::collection::vec(any::<bool>(), 0..4),
        raced in any::<bool>(),
    ) {
        let (done, decision) = apply(&fates, &answered, raced);
        match done.exit as u8 {
            0 | 5 => prop_assert_eq!(decision, Some(Decision::Accepted)),
            1 => prop_assert_ne!(decision, Some(Decision::Accepted)),
            3 => prop_assert!(done.out.contains("roseshore command c1")),
            other => prop_assert!(false, "exit {}", other),
        }
    }
}
