//! What `apply` tells, against a world that loses messages and appends.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use roseshore::Done;
use roseshore::client::{Answer, CallError, Client};
use roseshore_core::config::*;
use roseshore_core::prelude::*;
use roseshore_wire::admin::{Config, Outcome as Told, Report, Versioned};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::LazyLock;

/// What happens to a command that is sent to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// Appended, folded and told.
    Fine,
    /// As above, but the answer is lost.
    AnswerLost,
    /// Lost on the way there.
    Lost,
    /// The host is not there.
    Absent,
    /// The host cannot reach the log.
    CutOff,
    /// Appended, but the host does not know.
    Unsure,
    /// Not appended yet, and the host does not know; it comes after everything else.
    Delayed,
    /// The host refuses it before anything is appended.
    Unfit,
    /// Something on the way answers 503.
    Balancer,
}
use Fate::*;

struct World {
    state: State,
    delayed: Vec<String>,
    fates: Vec<Fate>,
    /// Whether hosts answer the question for a command.
    told: Vec<bool>,
    /// Another operator's command that comes first.
    rival: Option<String>,
}

struct Fake(RefCell<World>);

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
        good(&Config { offset, digest, objects: objects.map(with).collect() })
    }

    fn report(&self, id: &str, fallback: Told) -> Answer {
        let outcome = match self.state.settled(id) {
            Some(Settled::Accepted(version)) => {
                Told::Accepted { version, in_force: vec!["korangi".into()], unconfirmed: vec![] }
            }
            Some(Settled::Rejected(code, reason, message)) => {
                Told::Rejected { code, reason, message }
            }
            Some(Settled::Unknown(message)) => Told::Unknown { message },
            None => fallback,
        };
        good(&Report { command: id.into(), outcome })
    }

    fn command(&mut self, body: &str) -> Result<Answer, CallError> {
        let id = serde_json::from_str::<Command>(body).expect("a command").id;
        if let Some(rival) = self.rival.take() {
            self.fold(&rival);
        }
        let fate = if self.fates.is_empty() { Absent } else { self.fates.remove(0) };
        match fate {
            Fine | AnswerLost | Unsure => self.fold(body),
            Delayed => self.delayed.push(body.into()),
            _ => {}
        }
        let unknown = || Told::Unknown { message: "reply lost".into() };
        match fate {
            Fine => Ok(self.report(&id, unknown())),
            Unsure | Delayed => Ok(good(&Report { command: id, outcome: unknown() })),
            AnswerLost | Lost => Err(CallError::Lost("timeout".into())),
            Absent => Err(CallError::Unreached("refused".into())),
            CutOff => Ok(good(&Report {
                command: id,
                outcome: Told::Rejected {
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

impl Client for Fake {
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
        if world.told.is_empty() || !world.told.remove(0) {
            return Err(CallError::Lost("timeout".into()));
        }
        let id = path.rsplit('/').next().unwrap_or_default();
        Ok(world.report(id, Told::Unknown { message: "not known here".into() }))
    }
}

fn good(body: &impl serde::Serialize) -> Answer {
    Answer { status: 200, body: serde_json::to_vec(body).expect("JSON") }
}

/// A declaration; written once, since the tests run side by side.
static FILE: LazyLock<String> = LazyLock::new(|| {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("apply.toml");
    std::fs::write(&path, "[organisation.mirrors]\nrate = 50.0\n").expect("a file");
    path.display().to_string()
});

/// Runs `apply --id c1` of [`FILE`] over three hosts; gives its end, and the truth after all.
fn apply(fates: &[Fate], told: &[bool], raced: bool) -> (Done, Option<Decision>) {
    let change =
        r#"{"key":{"kind":"organisation","id":"mirrors"},"base":null,"put":{"organisation":{}}}"#;
    let rival =
        format!(r#"{{"format":1,"id":"r","operator":"rana","made_at":0,"changes":[{change}]}}"#);
    let fake = Fake(RefCell::new(World {
        state: State::default(),
        delayed: vec![],
        fates: fates.to_vec(),
        // The first questions are whether the given id is known, one to each host.
        told: [&[true; 3], told].concat(),
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
    let truth = world.state.decision("c1").map(|it| it.2.clone());
    (done, truth)
}

struct Case {
    name: &'static str,
    fates: &'static [Fate],
    told: &'static [bool],
    raced: bool,
    exit: u8,
    says: &'static str,
}

// One case a line.
#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "accepted", fates: &[Fine], told: &[], raced: false, exit: 0, says: "accepted at version 0\nin force in `korangi`" },
    Case { name: "lost the race", fates: &[Fine], told: &[], raced: true, exit: 1, says: "`rana` changed it with command `r`" },
    Case { name: "the first host is gone", fates: &[Absent, Fine], told: &[], raced: false, exit: 0, says: "accepted" },
    Case { name: "the first host is cut off", fates: &[CutOff, Fine], told: &[], raced: false, exit: 0, says: "accepted" },
    Case { name: "every host is cut off", fates: &[CutOff, CutOff, CutOff], told: &[], raced: false, exit: 1, says: "cut off" },
    Case { name: "every host is gone", fates: &[], told: &[], raced: false, exit: 1, says: "no entry host took it" },
    Case { name: "unfit for every host", fates: &[Unfit, Unfit, Unfit], told: &[], raced: false, exit: 1, says: "RS702: behind" },
    Case { name: "answer lost, the next host knows", fates: &[AnswerLost, Fine], told: &[], raced: false, exit: 0, says: "accepted at version 0" },
    Case { name: "answer lost, the rest cut off", fates: &[AnswerLost, CutOff, CutOff], told: &[false, false, true], raced: false, exit: 0, says: "accepted" },
    Case { name: "answer lost, race lost", fates: &[AnswerLost, CutOff, CutOff], told: &[true], raced: true, exit: 1, says: "`rana` changed it" },
    Case { name: "answer lost, nobody can say", fates: &[AnswerLost, CutOff, Absent], told: &[], raced: false, exit: 3, says: "roseshore command c1" },
    Case { name: "lost on the way, the rest cut off", fates: &[Lost, CutOff, CutOff], told: &[true, true, true], raced: false, exit: 3, says: "not known" },
    Case { name: "appended later", fates: &[Delayed, CutOff, CutOff], told: &[true, true, true], raced: false, exit: 3, says: "not known" },
    Case { name: "a stranger's answer", fates: &[Balancer, CutOff, CutOff], told: &[], raced: false, exit: 3, says: "not known" },
    Case { name: "unsure, the next host knows", fates: &[Unsure, Fine], told: &[], raced: false, exit: 0, says: "accepted at version 0" },
];

#[test]
fn apply_reports() {
    for case in CASES {
        let (done, _) = apply(case.fates, case.told, case.raced);
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
            prop_oneof![Just(Fine), Just(AnswerLost), Just(Lost), Just(Absent), Just(CutOff), Just(Unsure),
                Just(Delayed), Just(Unfit), Just(Balancer)], 0..4),
        told in proptest::collection::vec(any::<bool>(), 0..4),
        raced in any::<bool>(),
    ) {
        let (done, truth) = apply(&fates, &told, raced);
        match done.exit as u8 {
            0 | 5 => prop_assert_eq!(truth, Some(Decision::Accepted)),
            1 => prop_assert_ne!(truth, Some(Decision::Accepted)),
            3 => prop_assert!(done.out.contains("roseshore command c1")),
            other => prop_assert!(false, "exit {}", other),
        }
    }
}
